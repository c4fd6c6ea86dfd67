"""Event log: JSON lines on standard output, rate-limited by kind of event, never blocking."""

from __future__ import annotations

import os
import sys
import time

from typing import TYPE_CHECKING
from typing import Any

import msgspec

from cactusshunt.schema.generated.events import EVENT_LEVELS

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_LINES_PER_KIND = 40  # in one window, for each kind of event; more are counted as left out
WINDOW_S = 1.0
UNWRITTEN_LEVEL = "DEBUG"  # such events are not written, only counted in the metrics
MAX_BUFFER_BYTES = 262_144  # of lines not yet written; more lines are counted as left out


class EventLog:
    """Writes a line for each event, up to a limit for each kind and window."""

    def __init__(self) -> None:
        self._vm = ""
        self._buffer: list[bytes] = []
        self._buffered_bytes = 0
        self._counts: dict[str, int] = {}
        self._window_ends = 0.0
        self._started = time.monotonic()
        self._left_out: dict[str, int] = {}
        self._non_blocking = False
        self.observers: list[Callable[[str, dict[str, Any]], None]] = []
        self.left_out_total = 0

    def set_vm(self, vm: str) -> None:
        """Set the VM name of all lines, and make standard output non-blocking."""
        self._vm = vm
        if not self._non_blocking:
            os.set_blocking(sys.stdout.fileno(), False)
            self._non_blocking = True

    def write(self, kind: str, fields: dict[str, Any]) -> None:
        """Buffer a line, or count it as left out; observers receive every event."""
        for observe in self.observers:
            observe(kind, fields)
        level = EVENT_LEVELS[kind]
        if level == UNWRITTEN_LEVEL:
            return
        now = time.monotonic()
        if now >= self._window_ends:
            self._window_ends = now + WINDOW_S
            self._counts.clear()
        count = self._counts.get(kind, 0) + 1
        self._counts[kind] = count
        if count > MAX_LINES_PER_KIND or self._buffered_bytes > MAX_BUFFER_BYTES:
            self._left_out[kind] = self._left_out.get(kind, 0) + 1
            self.left_out_total += 1
            return
        line: dict[str, Any] = {
            "at": round(time.time(), 3),
            "up": round(now - self._started, 3),
            "vm": self._vm,
            "event": kind,
            "level": level,
        }
        line |= fields
        left_out = self._left_out.pop(kind, 0)
        if left_out:
            line["left_out_before"] = left_out
        data = msgspec.json.encode(line) + b"\n"
        self._buffer.append(data)
        self._buffered_bytes += len(data)

    def flush(self) -> None:
        """Write as much of the buffer as standard output accepts without blocking."""
        if not self._buffer:
            return
        data = b"".join(self._buffer)
        try:
            written = os.write(sys.stdout.fileno(), data)
        except OSError:
            written = 0
        rest = data[written:]
        self._buffer = [rest] if rest else []
        self._buffered_bytes = len(rest)


_log = EventLog()
event_log = _log
set_log_vm = _log.set_vm
flush_log = _log.flush


def log_event(event: str, /, **fields: Any) -> None:
    """Write one event to the process's log."""
    _log.write(event, fields)
