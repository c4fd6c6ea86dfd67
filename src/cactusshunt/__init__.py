"""Serving system that routes many models to a shared pool of accelerators."""

from __future__ import annotations

__version__ = "0.1.0"
