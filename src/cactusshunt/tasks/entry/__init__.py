"""Data path: callers' requests, admission, attempts at upstreams."""

from __future__ import annotations
