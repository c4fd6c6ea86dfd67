"""Adapter to the users' platform: header names, document formats and calls, without decisions."""

from __future__ import annotations
