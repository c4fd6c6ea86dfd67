"""The record of what was sent, answered and run, in ``record.txt`` of a case's folder."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
import traceback

from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from pathlib import Path


COULD_NOT_RUN = 2


class Record:
    """Writes lines with the time since the start."""

    def __init__(self, path: Path) -> None:
        self._started_at = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

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
    """Run a case and end this process with its status, without waiting for open connections.

    A case that is told to stop ends its processes first, and counts as one that could not run.
    """

    async def run() -> None:
        task = asyncio.ensure_future(case)
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        status = COULD_NOT_RUN
        try:
            status = await task
        except asyncio.CancelledError:
            print("told to stop", flush=True)
        except Exception:
            traceback.print_exc()
        finally:
            sys.stdout.flush()
            os._exit(status)

    asyncio.run(run())
