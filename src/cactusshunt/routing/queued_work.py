"""Work that a request meets at a model engine, and the time to its first token.

Answers the load pattern "prefill is scarce, and each VM sees only a part of the traffic": what
counts is the uncached prompt tokens ahead, not the number of requests.
"""

from __future__ import annotations

from dataclasses import dataclass

DEFAULT_TOKENS_PER_MS = 20.0  # prefill of a large model on one engine, until observed
STEP_MS = 12.0  # one decoding step at middling load, until the first token comes out
RATE_WEIGHT = 0.2  # of the newest observation: five requests show an engine that turned slow
SLOWEST_PART = 0.1  # of the usual rate that an observation may lower the estimate to
FASTEST_PART = 5.0


@dataclass(frozen=True, kw_only=True)
class QueuedWork:
    """Tokens to be read before a request's own, its own uncached ones, and requests running."""

    pending_tokens: float
    own_tokens: float
    running: float


def estimate_first_token_ms(work: QueuedWork, tokens_per_ms: float) -> float:
    """Return the expected time from sending a request to its first token."""
    prefill = (work.pending_tokens + work.own_tokens) / max(0.01, tokens_per_ms)
    return prefill + STEP_MS + work.running * 0.3


def observe_rate(known: float, work: QueuedWork, first_token_ms: float) -> float:
    """Return the prefill rate after one observed first token."""
    tokens = work.pending_tokens + work.own_tokens
    if tokens < 200 or first_token_ms <= STEP_MS:
        return known
    seen = tokens / max(1.0, first_token_ms - STEP_MS)
    seen = min(
        DEFAULT_TOKENS_PER_MS * FASTEST_PART, max(DEFAULT_TOKENS_PER_MS * SLOWEST_PART, seen)
    )
    return known + RATE_WEIGHT * (seen - known)
