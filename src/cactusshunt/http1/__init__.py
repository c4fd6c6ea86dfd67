"""HTTP/1.1 connections to callers and upstreams, parsed by h11."""

from __future__ import annotations
