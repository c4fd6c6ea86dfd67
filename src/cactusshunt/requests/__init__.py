"""Handling of callers' requests: admission, attempts at upstreams, and answers."""

from __future__ import annotations
