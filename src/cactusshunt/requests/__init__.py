"""The way of a request: admission, attempts, answers."""

from __future__ import annotations
