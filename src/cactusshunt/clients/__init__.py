"""Ports to outside systems with one adapter each."""

from __future__ import annotations
