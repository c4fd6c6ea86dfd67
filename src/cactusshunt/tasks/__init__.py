"""Reactor tasks of the entry and control processes, which do the I/O for ``decisions``."""

from __future__ import annotations
