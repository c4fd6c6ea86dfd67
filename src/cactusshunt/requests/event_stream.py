"""Whole events of a stream, so that a break never falls inside one."""

from __future__ import annotations

import re

_END = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"(?m)^id:[ ]?([^\r\n]*)")


class EventSplitter:
    """Cuts bytes into whole events and remembers the last event's id."""

    def __init__(self) -> None:
        self._rest = b""
        self.last_id: bytes | None = None
        self.count = 0

    @property
    def rest(self) -> bytes:
        """Return the bytes of an event that is not complete."""
        return self._rest

    def add(self, data: bytes) -> bytes:
        """Take bytes as they arrive and return the whole events among them."""
        self._rest += data
        end = 0
        for found in _END.finditer(self._rest):
            end = found.end()
            self.count += 1
        whole, self._rest = self._rest[:end], self._rest[end:]
        ids = _ID.findall(whole)
        if ids:
            self.last_id = ids[-1]
        return whole

    def restart(self) -> None:
        """Drop an incomplete event; another upstream goes on behind the last whole one."""
        self._rest = b""
