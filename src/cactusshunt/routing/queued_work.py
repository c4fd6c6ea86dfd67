"""Work queued at a model engine, and the expected time to a request's first token.

Prefill is scarce, and each VM sees only a part of the traffic: the estimate depends on the queued
uncached prompt tokens rather than on the number of requests.
"""

from __future__ import annotations

from dataclasses import dataclass

DEFAULT_TOKENS_PER_MS = 20.0  # prefill rate of a large model on one engine, until measured
DECODE_STEP_MS = 12.0  # time for one token at medium load
RATE_WEIGHT = 0.2  # of the latest request; about five show that an engine has become slow
MIN_RATE_FRACTION = 0.1  # of the default rate; lower measurements are raised to it
MAX_RATE_FACTOR = 5.0  # of the default rate; higher measurements are lowered to it


@dataclass(frozen=True, kw_only=True)
class QueuedWork:
    """Prompt tokens queued before a request, its own uncached ones, and requests running."""

    pending_tokens: float
    uncached_tokens: float
    running: float


def estimate_first_token_ms(work: QueuedWork, tokens_per_ms: float) -> float:
    """Return the expected time from sending a request to its first token."""
    prefill = (work.pending_tokens + work.uncached_tokens) / max(0.01, tokens_per_ms)
    return prefill + DECODE_STEP_MS + work.running * 0.3


def update_prefill_rate(previous_rate: float, work: QueuedWork, first_token_ms: float) -> float:
    """Return the prefill rate in tokens per ms, updated by one measured first token."""
    tokens = work.pending_tokens + work.uncached_tokens
    if tokens < 200 or first_token_ms <= DECODE_STEP_MS:
        return previous_rate
    measured_rate = tokens / max(1.0, first_token_ms - DECODE_STEP_MS)
    measured_rate = min(
        DEFAULT_TOKENS_PER_MS * MAX_RATE_FACTOR,
        max(DEFAULT_TOKENS_PER_MS * MIN_RATE_FRACTION, measured_rate),
    )
    return previous_rate + RATE_WEIGHT * (measured_rate - previous_rate)
