"""Administration API: reads, checks and writes settings, and serves state dumps."""

from __future__ import annotations
