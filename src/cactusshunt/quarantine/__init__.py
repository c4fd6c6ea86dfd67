"""Keeps what crashes engines away from the engines."""

from __future__ import annotations
