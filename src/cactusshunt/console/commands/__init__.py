"""The commands, one module per command or command group."""

from __future__ import annotations
