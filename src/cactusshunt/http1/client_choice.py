"""Decides which connections are closed when clients take more than a process has for them.

Load pattern: many clients hold connections or memory without being served, beside ordinary ones,
whose requests are complete as soon as they arrive and whose responses are read.
"""

from __future__ import annotations

import enum

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

Key = TypeVar("Key")

# An ordinary client's first bytes arrive with its connection or one round trip later (1.4 ms).
SILENT_AFTER_S = 0.1
SLOW_AFTER_S = 1.0  # since a request began to arrive; 4 MB take 0.4 s at 100 Mbit/s
# Mobile links may stall for seconds, and the request of a response that is cut off has run already.
UNREAD_AFTER_S = 5.0
RELIEVED_PART = 0.9  # fraction of the limit down to which connections are closed


class Activity(enum.Enum):
    """What a connection does at this moment."""

    SILENT = "has never sent anything"
    RECEIVING = "a request is arriving"
    IDLE = "waits for the next request"
    UNREAD = "its responses are not read"
    PIPELINED = "a request runs and much further input waits"
    RUNNING = "a request runs"


@dataclass(frozen=True, kw_only=True)
class ClientState:
    """What is known of a connection; ``since`` is the reactor time in s of its activity's begin."""

    activity: Activity
    since: float
    held_bytes: int


# For each activity: its rank at first, a time in s, and its rank once it has lasted for that time.
# The lowest rank is closed first.
CLOSING_ORDER: dict[Activity, tuple[int, float, int]] = {
    Activity.UNREAD: (4, UNREAD_AFTER_S, 1),
    Activity.SILENT: (6, SILENT_AFTER_S, 0),
    Activity.RECEIVING: (4, SLOW_AFTER_S, 2),
    Activity.IDLE: (3, 0.0, 3),
    Activity.PIPELINED: (5, 0.0, 5),
}


def choose_for_descriptor(states: Mapping[Key, ClientState], now: float) -> Key | None:
    """Return whose connection makes room for a new one; ``None`` if all run a single request."""
    best: tuple[int, float] | None = None
    chosen: Key | None = None
    for key, state in states.items():
        if state.activity not in CLOSING_ORDER:
            continue
        first, after_s, then = CLOSING_ORDER[state.activity]
        rank = (first if now - state.since < after_s else then, state.since)
        if best is None or rank < best:
            best, chosen = rank, key
    return chosen


def choose_for_memory(
    states: Iterable[tuple[Key, ClientState]], held_bytes: int, limit_bytes: float
) -> list[Key]:
    """Return whose connections are closed, those that hold most first, to get below a limit.

    Those whose single request runs are not: their number is bounded (``MAX_JOBS_IN_FLIGHT``).
    """
    excess = held_bytes - RELIEVED_PART * limit_bytes
    chosen = []
    others = [found for found in states if found[1].activity is not Activity.RUNNING]
    for key, state in sorted(others, key=lambda found: -found[1].held_bytes):
        if excess <= 0:
            break
        chosen.append(key)
        excess -= state.held_bytes
    return chosen
