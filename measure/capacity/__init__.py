"""Measurements of how the cost of each role grows with size, on the real code.

A node is an entry VM with its entry and control processes."""

from __future__ import annotations
