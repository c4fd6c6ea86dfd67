"""Decides whether a request is sent, waits, or is refused at once.

When callers request more prefill than the engines can do, requests that would be answered too late
are refused before they have cost any work, with the time after which a retry should succeed.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_LATENCY_TARGET_FACTOR = 1.3  # largest accepted expected latency / latency objective
# The queue for permits grows to the accepted latency in overload, so that must meet the objective.
MAX_PERMIT_LATENCY_TARGET_FACTOR = 0.8
MAX_LATENCY_WAIT_FRACTION = 0.7  # largest accepted expected latency / time the caller still waits
MAX_PLACEMENT_WAIT_FRACTION = 0.65  # longest wait for a load / time the caller waits from its start
RETRY_AFTER_FRACTION = 0.33  # largest Retry-After / time for which the caller waits
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 2.0
MIN_QUEUE_RETRY_AFTER_S = 0.15  # by then, reports of other VMs show what was queued meanwhile
MIN_ORDER_WAIT_LIMIT_S = 0.35  # the order holder learns of a request and orders a load within it
ORDER_WAIT_LIMIT_FRACTION = 0.2  # longest wait without an order / time the caller waits
NO_ORDER_RETRY_AFTER_S = 1.0  # about the time of one load
LOAD_DELAY_TOLERANCE_S = 0.3  # delay of a load while other loads run
OVERLOADED = "overloaded"
REQUEST_LIMIT = "request limit"


@dataclass(frozen=True, kw_only=True)
class Refusal:
    """Reason for which a request is not sent, and the time after which to retry (seconds).

    With ``may_wait`` the reason may end so soon that a request within its latency objective waits.
    """

    reason: str
    retry_after_s: float
    may_wait: bool = False


def check_expected_latency(
    *, expected_ms: float, target_ms: float, left_ms: float, fraction: float = 1.0
) -> Refusal | None:
    """Return a refusal if even the best upstream would answer too late.

    ``expected_ms`` is the expected time to the first byte at that upstream, ``target_ms`` the
    route's latency objective, ``left_ms`` the time for which the caller still waits for a first
    byte; ``fraction`` is that of the usual limit that the customer gets.
    """
    limit_ms = fraction * compute_latency_limit_ms(target_ms=target_ms, left_ms=left_ms)
    if expected_ms <= limit_ms:
        return None
    retry_after_s = limit_retry_after((expected_ms - limit_ms) / 1000.0, left_ms)
    return Refusal(reason=OVERLOADED, retry_after_s=retry_after_s)


def check_queued_prompts(
    *, queued_ms: float, own_ms: float, gap_aim_ms: float, left_ms: float, fraction: float = 1.0
) -> Refusal | None:
    """Return a refusal if an engine's queue would delay the events of its streams too long.

    Load pattern: bursts of prompts that the engines can read only later. Engines read queued
    prompts between the tokens of the streams that they run. Once the queue takes longer than the
    accepted pause ``gap_aim_ms`` to read, all streams there are late, those of the queued requests
    as well, and each further request prolongs that time. A caller that returns when the queue is
    short is served in time. ``queued_ms`` and ``own_ms`` are the times to read the prompts before
    the request and its own; a request before which nothing is queued is accepted. ``fraction`` is
    as in ``check_expected_latency``. It applies here too because this limit is lower than that on
    the latency: a customer that uses more than its share would otherwise meet the same limit as
    the others.
    """
    excess_ms = queued_ms + own_ms - fraction * gap_aim_ms
    if not gap_aim_ms or not queued_ms or excess_ms <= 0.0:
        return None
    # A long prompt may exceed the limit by itself, and is accepted once nothing is queued.
    wait_s = min(excess_ms, queued_ms) / 1000.0
    retry_after_s = limit_retry_after(max(MIN_QUEUE_RETRY_AFTER_S, wait_s), left_ms)
    return Refusal(reason=OVERLOADED, retry_after_s=retry_after_s)


def check_permit_wait(
    *, expected_ms: float, target_ms: float, left_ms: float, fraction: float = 1.0
) -> Refusal | None:
    """Return a refusal if a request limit makes even the best upstream answer too late.

    ``expected_ms`` includes the wait for a permit. The Retry-After is the time after which the wait
    would be short enough, however long the caller waits: an earlier retry would be refused again.
    ``fraction`` is as in ``check_expected_latency``.
    """
    limit_ms = fraction * min(
        target_ms * MAX_PERMIT_LATENCY_TARGET_FACTOR, left_ms * MAX_LATENCY_WAIT_FRACTION
    )
    if expected_ms <= limit_ms:
        return None
    return Refusal(
        reason=REQUEST_LIMIT,
        retry_after_s=max(MIN_RETRY_AFTER_S, (expected_ms - limit_ms) / 1000.0),
    )


def compute_latency_limit_ms(*, target_ms: float, left_ms: float) -> float:
    """Return the largest accepted expected time to the first byte, in ms."""
    return min(target_ms * MAX_LATENCY_TARGET_FACTOR, left_ms * MAX_LATENCY_WAIT_FRACTION)


def check_placement_wait(
    *, now: float, waiting_since: float, left_ms: float, expected_at: float | None
) -> Refusal | None:
    """Return a refusal if the model or adapter that a request waits for is not loaded in time.

    ``left_ms`` is the time for which the caller waits from ``waiting_since`` on, also if a part of
    it has passed; ``expected_at`` is when an engine is expected to hold the item. It is ``None`` if
    no load has been ordered: the request then waits for an order for the longer of
    MIN_ORDER_WAIT_LIMIT_S and ORDER_WAIT_LIMIT_FRACTION. Times are reactor time in seconds.
    """
    until = waiting_since + left_ms * MAX_PLACEMENT_WAIT_FRACTION / 1000.0
    if expected_at is None:
        if now - waiting_since < max(
            MIN_ORDER_WAIT_LIMIT_S, ORDER_WAIT_LIMIT_FRACTION * left_ms / 1000.0
        ):
            return None
        return Refusal(
            reason="model is not placed",
            retry_after_s=limit_retry_after(NO_ORDER_RETRY_AFTER_S, left_ms),
        )
    if expected_at > until or now > max(until, expected_at + LOAD_DELAY_TOLERANCE_S):
        retry_after_s = limit_retry_after(expected_at - now + LOAD_DELAY_TOLERANCE_S, left_ms)
        return Refusal(reason="model comes too late", retry_after_s=retry_after_s)
    return None


def limit_retry_after(seconds: float, left_ms: float) -> float:
    """Limit a Retry-After in seconds by constants and by the time for which the caller waits."""
    longest = min(MAX_RETRY_AFTER_S, left_ms / 1000.0 * RETRY_AFTER_FRACTION)
    return max(MIN_RETRY_AFTER_S, min(longest, seconds))
