"""Clients of external systems: an interface and an HTTP implementation for each."""

from __future__ import annotations
