"""Work queued at a model engine, and the expected time to a request's first token.

Prefill is scarce and takes most of the time to a first token, so the estimate depends mainly on the
uncached prompt tokens in the queue. Each VM sees only a part of the traffic; peers report the rest.
"""

from __future__ import annotations

from dataclasses import dataclass

from cactusshunt.routing.reported_load import find_usual_rate

DEFAULT_TOKENS_PER_MS = 20.0  # prefill rate of a large model on one engine, until measured
DECODE_STEP_MS = 12.0  # time for one token at medium load
RATE_WEIGHT = 0.2  # of the latest measurement; about five slow ones show a slow engine
MIN_RATE_FRACTION = 0.1  # of the default rate; lower measurements are raised to it
MAX_RATE_FACTOR = 5.0  # of the default rate; higher measurements are lowered to it


LEAST_RATE = DEFAULT_TOKENS_PER_MS * MIN_RATE_FRACTION  # this and the next in tokens per ms
LARGEST_RATE = DEFAULT_TOKENS_PER_MS * MAX_RATE_FACTOR


@dataclass(frozen=True, kw_only=True)
class QueuedWork:
    """Prompt tokens queued before a request, its own uncached ones, and requests at the engine.

    ``slowdown`` is how many times as long as usual work takes at the engine's machine.
    """

    pending_tokens: float
    uncached_tokens: float
    running: float
    slowdown: float = 1.0


def estimate_first_token_ms(work: QueuedWork, tokens_per_ms: float) -> float:
    """Return the expected time in ms from sending a request to its first token.

    Each request at the engine adds 0.3 ms. ``tokens_per_ms`` is the usual prefill rate.
    """
    prefill = (work.pending_tokens + work.uncached_tokens) / max(0.01, tokens_per_ms)
    return work.slowdown * (prefill + DECODE_STEP_MS + work.running * 0.3)


def update_prefill_rate(
    previous_tokens_per_ms: float,
    work: QueuedWork,
    first_token_ms: float,
    slowdown: float = 1.0,
) -> float:
    """Return the usual prefill rate in tokens per ms, updated by one measured first token.

    ``slowdown`` is that at the first token, ``work.slowdown`` that at the send. Fewer than 200
    tokens do not change the rate.
    """
    tokens = work.pending_tokens + work.uncached_tokens
    if tokens < 200 or first_token_ms <= DECODE_STEP_MS:
        return previous_tokens_per_ms
    measured_tokens_per_ms = find_usual_rate(
        [
            tokens / max(1.0, first_token_ms / factor - DECODE_STEP_MS)
            for factor in (work.slowdown, slowdown)
        ],
        known_tokens_per_ms=previous_tokens_per_ms,
    )
    measured_tokens_per_ms = min(LARGEST_RATE, max(LEAST_RATE, measured_tokens_per_ms))
    return previous_tokens_per_ms + RATE_WEIGHT * (measured_tokens_per_ms - previous_tokens_per_ms)
