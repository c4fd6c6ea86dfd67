"""Measurements of the real code against the stand-ins."""

from __future__ import annotations
