"""The record of what was sent, answered and run, in ``record.txt`` of a case's folder."""

from __future__ import annotations

import asyncio
import os
import sys
import time

from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from pathlib import Path


class Record:
    """Writes lines with the time since the start."""

    def __init__(self, folder: Path) -> None:
        self._started_at = time.monotonic()
        self._file = (folder / "record.txt").open("w", encoding="utf-8")

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started_at

    def write(self, what: str, **fields: object) -> None:
        """Write one line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now():8.3f} {what} {text}".rstrip() + "\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Write a line that is also printed."""
        print(text, flush=True)
        self.write("RESULT", text=text)

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def run_and_leave(case: Coroutine[Any, Any, int]) -> None:
    """Run a case and end this process with its status, without waiting for open connections."""

    async def run() -> None:
        status = await case
        sys.stdout.flush()
        os._exit(status)

    asyncio.run(run())
