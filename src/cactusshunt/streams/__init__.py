"""Software versions of streams: a stream goes on only at the version that began it."""

from __future__ import annotations
