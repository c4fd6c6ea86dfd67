"""Which engine holds which model, and the orders that change it."""

from __future__ import annotations
