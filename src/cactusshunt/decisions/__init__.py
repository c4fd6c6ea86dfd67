"""Pure decision logic without I/O, clocks or the Twisted reactor."""

from __future__ import annotations
