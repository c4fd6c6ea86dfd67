"""Serves requests through another VM while this one does not reach their upstreams."""

from __future__ import annotations
