"""Measurements of how the cost of each role grows with size, on the real code."""

from __future__ import annotations
