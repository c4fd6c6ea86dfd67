"""Whether a request is sent, waits, or is refused at once.

Answers the load pattern "more prefill is asked for than engines can do": work that would come too
late is refused while it has cost nothing, with the time at which room is expected.
"""

from __future__ import annotations

from dataclasses import dataclass

QUEUE_PART = 1.3  # of the latency objective that an engine's queue may take
LEFT_PART = 0.7  # of the time for which the caller still waits that it may take
WAIT_PART = 0.65  # of that time that a request may wait for its model
COME_BACK_PART = 0.33  # of the time left; callers don't stay away longer
SHORTEST_RETRY_S = 0.1
LONGEST_RETRY_S = 2.0
UNORDERED_WAIT_S = 0.35  # for the order holder to hear of a request and to order what it needs
UNORDERED_PART = 0.2  # of the time for which the caller waits, where that is longer
UNORDERED_RETRY_S = 1.0  # about the time of one load
LATE_LOAD_S = 0.3  # by which loads come later than expected, where several run


@dataclass(frozen=True, kw_only=True)
class Refusal:
    """Why a request is not sent, and when its caller should come back (seconds)."""

    reason: str
    retry_after_s: float


def judge_expected_wait(*, expected_ms: float, target_ms: float, left_ms: float) -> Refusal | None:
    """Return a refusal if the best upstream would answer too late.

    ``left_ms`` is the time for which the caller still waits for a first byte.
    """
    limit_ms = min(target_ms * QUEUE_PART, left_ms * LEFT_PART)
    if expected_ms <= limit_ms:
        return None
    retry_after_s = bound_retry((expected_ms - limit_ms) / 1000.0, left_ms)
    return Refusal(reason="overloaded", retry_after_s=retry_after_s)


def judge_placement_wait(
    *, now: float, began: float, left_ms: float, expected_at: float | None
) -> Refusal | None:
    """Return a refusal if the item that a request waits for won't be there in time.

    ``left_ms`` is the time for which the caller waits from ``began`` on; ``expected_at`` is when
    an engine will hold the item, ``None`` if no order is under way.
    """
    until = began + left_ms * WAIT_PART / 1000.0
    if expected_at is None:
        if now - began < max(UNORDERED_WAIT_S, UNORDERED_PART * left_ms / 1000.0):
            return None
        return Refusal(
            reason="model is not placed", retry_after_s=bound_retry(UNORDERED_RETRY_S, left_ms)
        )
    if expected_at > until or now > max(until, expected_at + LATE_LOAD_S):
        retry_after_s = bound_retry(expected_at - now + LATE_LOAD_S, left_ms)
        return Refusal(reason="model comes too late", retry_after_s=retry_after_s)
    return None


def bound_retry(seconds: float, left_ms: float) -> float:
    """Return a time to come back that callers keep, neither too soon nor too late for them."""
    longest = min(LONGEST_RETRY_S, left_ms / 1000.0 * COME_BACK_PART)
    return max(SHORTEST_RETRY_S, min(longest, seconds))
