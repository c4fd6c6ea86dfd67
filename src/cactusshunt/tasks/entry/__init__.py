"""The entry process: callers' requests, admission, and attempts at upstreams."""

from __future__ import annotations
