"""Waits until the last response of a connection is written, while its client reads.

Load pattern: phones read a large response over many seconds; other clients never read theirs.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from collections.abc import Callable

CLOSE_TIMEOUT_S = 5.0  # without a byte read by the client; the same as CALLER_USER_TIMEOUT_MS


def await_written(
    transport: Any,
    start_timer: Callable[[float, Callable[[], None]], None],
    abort: Callable[[], None],
) -> None:
    """Abort a connection that is closing once its client reads nothing more.

    The connection ends by itself, and its timer with it, when everything is written.
    """
    unwritten = _measure_unwritten(transport)

    def check() -> None:
        if _measure_unwritten(transport) < unwritten:
            await_written(transport, start_timer, abort)
        else:
            abort()

    start_timer(CLOSE_TIMEOUT_S, check)


def _measure_unwritten(transport: Any) -> int:
    """Return the bytes in a transport's buffers, for which Twisted has no interface."""
    buffered = len(getattr(transport, "dataBuffer", b"")) - getattr(transport, "offset", 0)
    return int(buffered + getattr(transport, "_tempDataLen", 0))
