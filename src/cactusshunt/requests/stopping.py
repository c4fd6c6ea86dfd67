"""Decides which requests a VM still accepts after it was told to stop.

Callers keep using open connections until the process ends. Streams, and requests whose deadline is
too late for that, might not be finished by then: they are refused before they run.
"""

from __future__ import annotations

from cactusshunt.requests.admission import Refusal

ACCEPT_AFTER_STOP_S = 2.8  # after this the balancer sends new connections to other VMs
LAST_ANSWERS_RESERVE_S = 0.6  # time to send the last answers before the process ends
LAST_ANSWERS_S = 0.25  # part of it for which the process waits until callers have read them
# A connection without a request is closed after this time; its caller may be about to send one.
IDLE_BEFORE_CLOSE_S = 0.5
RETRY_AFTER_S = 0.1  # another VM can accept the request at once


def compute_serving_end(stopping_since: float, grace_s: float) -> float:
    """Return the reactor time at which requests that are still open get their last answers.

    ``grace_s`` is the time from the signal to stop to the end of the process.
    """
    return stopping_since + grace_s - LAST_ANSWERS_RESERVE_S


def has_ended(*, now: float, serving_end: float, in_flight: int, connections: int) -> bool:
    """Return whether a stopping process may end: nothing is open, or the last answers are sent."""
    if now < serving_end:
        return not in_flight and not connections
    return not connections or now >= serving_end + LAST_ANSWERS_S


def check_while_stopping(
    *, now: float, stopping_since: float, grace_s: float, deadline: float, streams: bool
) -> Refusal | None:
    """Return a refusal for a request that might not be finished before the process ends."""
    if now < stopping_since + ACCEPT_AFTER_STOP_S:
        return None
    if not streams and deadline <= compute_serving_end(stopping_since, grace_s):
        return None
    return Refusal(reason="this VM is stopping", retry_after_s=RETRY_AFTER_S)
