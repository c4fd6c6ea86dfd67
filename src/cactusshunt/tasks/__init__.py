"""Tasks on the reactor that turn I/O into messages and actions into I/O."""

from __future__ import annotations
