"""Accepted configuration and the state read from the platform's store."""

from __future__ import annotations
