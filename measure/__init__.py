"""Measurements and simulations that run the real code against stand-ins."""

from __future__ import annotations
