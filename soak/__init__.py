"""Randomized soak test: runs the real programs under injected faults and checks the guarantees."""

from __future__ import annotations
