"""Pure decisions, free of I/O, clocks and the reactor."""

from __future__ import annotations
