"""Administration API: reading, checking and writing settings, and state dumps."""

from __future__ import annotations
