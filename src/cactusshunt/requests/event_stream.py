"""Splits an event stream into complete events, so that it never breaks off inside one."""

from __future__ import annotations

import re

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_EVENT_ID = re.compile(rb"(?m)^id:[ ]?([^\r\n]*)")


class EventSplitter:
    """Returns the complete events of a byte stream; keeps their number and the id of the last."""

    def __init__(self) -> None:
        self._incomplete = b""
        self.last_id: bytes | None = None
        self.count = 0

    @property
    def incomplete(self) -> bytes:
        """Return the bytes of the last event, which is not complete yet."""
        return self._incomplete

    def add(self, data: bytes) -> bytes:
        """Add received bytes and return the events that they complete."""
        self._incomplete += data
        end = 0
        for found in _EVENT_END.finditer(self._incomplete):
            end = found.end()
            self.count += 1
        complete, self._incomplete = self._incomplete[:end], self._incomplete[end:]
        ids = _EVENT_ID.findall(complete)
        if ids:
            self.last_id = ids[-1]
        return complete

    def discard_incomplete(self) -> None:
        """Discard an incomplete event; another upstream resumes after the last complete one."""
        self._incomplete = b""
