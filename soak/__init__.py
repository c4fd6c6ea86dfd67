"""Randomized soak: real programs, faults from outside, and the promises checked meanwhile."""

from __future__ import annotations
