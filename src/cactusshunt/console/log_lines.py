"""Reads and formats the log events of several VMs."""

from __future__ import annotations

import sys

from typing import TYPE_CHECKING
from typing import Any

import msgspec

from cactusshunt.schema.decoding import UNREADABLE_ERRORS

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence
    from pathlib import Path

LogLine = dict[str, Any]


def read_log_lines(paths: Sequence[Path]) -> list[LogLine]:
    """Return the events of log files in order of time; reads standard input if no file is given.

    Ignores text before the first brace of a row, and rows that hold no event.
    """
    lines = []
    for text in _read_texts(paths):
        for row in text.splitlines():
            line = decode_line(row)
            if line is not None:
                lines.append(line)
    return sorted(lines, key=lambda line: line["at"])


def decode_line(row: str) -> LogLine | None:
    """Return the event in one row of text, or ``None`` if it holds none."""
    start = row.find("{")
    if start < 0:
        return None
    try:
        found = msgspec.json.decode(row[start:].encode(errors="replace"))
    except UNREADABLE_ERRORS:
        return None
    if not isinstance(found, dict) or not isinstance(found.get("event"), str):
        return None
    if not isinstance(found.get("at"), (int, float)):
        return None
    return found


def describe_line(line: LogLine) -> str:
    """Return one event as a readable line."""
    excluded = ("at", "up", "vm", "event", "level")
    texts = " ".join(f"{key}={value}" for key, value in line.items() if key not in excluded)
    return f"{line['at']:>14.3f} {line.get('vm', ''):<18} {line['event']:<18} {texts}"


def _read_texts(paths: Sequence[Path]) -> Iterator[str]:
    if not paths:
        yield sys.stdin.read()
    for path in paths:
        yield path.read_text(encoding="utf-8", errors="replace")
