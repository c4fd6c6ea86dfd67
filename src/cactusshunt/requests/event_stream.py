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

    def goes_back(self, data: bytes) -> bool:
        """Return whether received bytes complete an event that does not follow the last one."""
        known = self._incomplete + data
        ends = [found.end() for found in _EVENT_END.finditer(known)]
        last = self.last_id
        for event_id in _EVENT_ID.findall(known[: ends[-1]] if ends else b""):
            if last is not None and not _follows(last, event_id):
                return True
            last = event_id
        return False

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


def _follows(last_id: bytes, event_id: bytes) -> bool:
    """Return whether an event's id may follow another one; numbers have to rise."""
    if last_id.isdigit() and event_id.isdigit():
        # By length first: a number may have too many digits to be converted.
        last, this = last_id.lstrip(b"0"), event_id.lstrip(b"0")
        return (len(this), this) > (len(last), last)
    return event_id != last_id
