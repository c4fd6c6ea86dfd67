"""Whether a request is sent, waits, or is refused at once.

Answers the load pattern "more prefill is asked for than engines can do": work that would come too
late is refused while it has cost nothing, with the time at which room is expected.
"""

from __future__ import annotations

from dataclasses import dataclass

QUEUE_PART = 1.3  # of the latency objective that the expected first token may take
LEFT_PART = 0.7  # of the caller's remaining time that it may take
SHORTEST_RETRY_S = 0.1
LONGEST_RETRY_S = 2.0
WAIT_PART = 2.0  # of the latency objective that a request may wait for its model
WAIT_LEFT_PART = 0.6  # of the time left that it may wait at most
UNORDERED_WAIT_S = 0.35  # for the order holder to hear of a request and to order what it needs
UNORDERED_RETRY_S = 1.0  # about the time of one load
LATE_LOAD_S = 0.3  # by which loads come later than expected, where several run


@dataclass(frozen=True, kw_only=True)
class Refusal:
    """Why a request is not sent, and when its caller should come back (seconds)."""

    reason: str
    retry_after_s: float


def judge_expected_wait(
    *, expected_ms: float, elapsed_ms: float, target_ms: float, left_ms: float
) -> Refusal | None:
    """Return a refusal if the best upstream would answer too late."""
    limit_ms = min(max(target_ms * QUEUE_PART - elapsed_ms, target_ms * 0.5), left_ms * LEFT_PART)
    if expected_ms <= limit_ms:
        return None
    return Refusal(reason="overloaded", retry_after_s=bound_retry((expected_ms - limit_ms) / 1000))


def placement_wait_s(*, target_ms: float, left_ms: float) -> float:
    """Return how long a request may wait for its model to be placed, in seconds."""
    return min(left_ms * WAIT_LEFT_PART, target_ms * WAIT_PART) / 1000.0


def judge_placement_wait(
    *, now: float, began: float, until: float, expected_at: float | None
) -> Refusal | None:
    """Return a refusal if the item that a request waits for won't be there in time.

    ``expected_at`` is when an engine will hold it, ``None`` if no order is under way.
    """
    if expected_at is None:
        if now - began < UNORDERED_WAIT_S:
            return None
        return Refusal(reason="model is not placed", retry_after_s=UNORDERED_RETRY_S)
    if expected_at > until or now > max(until, expected_at + LATE_LOAD_S):
        retry_after_s = bound_retry(expected_at - now + LATE_LOAD_S)
        return Refusal(reason="model comes too late", retry_after_s=retry_after_s)
    return None


def bound_retry(seconds: float) -> float:
    """Return a time to come back that spreads neither too thin nor too far."""
    return min(LONGEST_RETRY_S, max(SHORTEST_RETRY_S, seconds))
