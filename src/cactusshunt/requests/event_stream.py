"""Splits an event stream into complete events, so that it never breaks off inside one."""

from __future__ import annotations

import re

_EVENT_END = re.compile(rb"\r?\n\r?\n")
MAX_EVENT_END_BYTES = 4  # the longest match of ``_EVENT_END``
_EVENT_ID = re.compile(rb"(?m)^id:[ ]?([^\r\n]*)")


class EventSplitter:
    """Returns the complete events of a byte stream; keeps their number and the id of the last.

    Each byte is searched once, in however small parts it arrives.
    """

    def __init__(self) -> None:
        self._incomplete = bytearray()
        self.last_id: bytes | None = None
        self.count = 0

    @property
    def incomplete(self) -> bytes:
        """Return the bytes of the last event, which is not complete yet."""
        return bytes(self._incomplete)

    @property
    def incomplete_bytes(self) -> int:
        """Return how many bytes of the last event have arrived, 0 if it is complete."""
        return len(self._incomplete)

    def add(self, data: bytes, *, in_order: bool = False) -> bytes | None:
        """Add received bytes and return the events that they complete.

        With ``in_order`` return ``None``, and record nothing, if one of them does not follow the
        event before it.
        """
        searched = max(0, len(self._incomplete) - MAX_EVENT_END_BYTES + 1)
        self._incomplete += data
        ends = [found.end() for found in _EVENT_END.finditer(self._incomplete, searched)]
        if not ends:
            return b""
        complete = bytes(self._incomplete[: ends[-1]])
        del self._incomplete[: ends[-1]]
        ids = _EVENT_ID.findall(complete)
        if in_order and not self._follow_each_other(ids):
            return None
        self.count += len(ends)
        if ids:
            self.last_id = ids[-1]
        return complete

    def _follow_each_other(self, ids: list[bytes]) -> bool:
        last = self.last_id
        for event_id in ids:
            if last is not None and not _follows(last, event_id):
                return False
            last = event_id
        return True

    def discard_incomplete(self) -> None:
        """Discard an incomplete event; another upstream resumes after the last complete one."""
        self._incomplete = bytearray()


def _follows(last_id: bytes, event_id: bytes) -> bool:
    """Return whether an event's id may follow another one; numbers have to rise."""
    if last_id.isdigit() and event_id.isdigit():
        # By length first: a number may have too many digits to be converted.
        last, this = last_id.lstrip(b"0"), event_id.lstrip(b"0")
        return (len(this), this) > (len(last), last)
    return event_id != last_id
