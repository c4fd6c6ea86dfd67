"""Choice of the upstream of one attempt.

Prefill is scarce and demand for it uneven, so the engine with the least expected time to the first
token is chosen. Traffic between zones is expensive, so an upstream in another zone must be better
by a margin.
"""

from __future__ import annotations

import math

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cactusshunt.routing.queued_work import QueuedWork
from cactusshunt.routing.queued_work import estimate_first_token_ms
from cactusshunt.routing.stream_pauses import MAX_COUNTED_STREAMS
from cactusshunt.routing.stream_pauses import compute_long_stream_cost_ms
from cactusshunt.routing.stream_pauses import compute_short_request_cost_ms

if TYPE_CHECKING:
    import random

    from collections.abc import Sequence

# Fraction of the latency objective added for an upstream in another zone: one in the same zone is
# preferred up to this difference, with which it still meets the objective.
OTHER_ZONE_COST_FRACTION = 0.25
JITTER_MS = 15.0  # VMs with the same reports must not all choose the same upstream
LONG_STREAM_COST_MS = 5.0  # for each long stream, which a prefill interrupts for about 100 ms
FAILURE_COST_MS = 60.0  # for an upstream whose requests all fail; proportional to failure_share


@dataclass(frozen=True, kw_only=True)
class Candidate:
    """Figures about one upstream that could take a request.

    ``pending_tokens`` are queued before the request, ``uncached_tokens`` are those of its own
    prompt that the engine has to process. ``running`` are the requests at the upstream, also those
    still queued; ``long_streams`` those whose generation takes longer than the latency objective.
    ``permit_wait_ms`` is the expected wait until a request limit allows the request; ``slowdown``
    how many times as long as usual work takes at the upstream's machine. ``all_pending_tokens``
    are queued at any priority.
    """

    name: str
    same_zone: bool
    pending_tokens: float
    uncached_tokens: float
    running: float
    tokens_per_ms: float
    failure_share: float
    long_streams: float = 0.0
    permit_wait_ms: float = 0.0
    slowdown: float = 1.0
    all_pending_tokens: float = 0.0

    def measure_prefill_ms(self, tokens: float) -> float:
        """Return the time in ms in which the engine reads prompt tokens at the moment."""
        return self.slowdown * tokens / max(0.01, self.tokens_per_ms)

    @property
    def idle(self) -> bool:
        """Return whether a prompt is read at once and delays no long stream."""
        return not (self.all_pending_tokens or self.long_streams or self.permit_wait_ms)

    @property
    def work(self) -> QueuedWork:
        """Return the work up to the request's first token."""
        return QueuedWork(
            pending_tokens=self.pending_tokens,
            uncached_tokens=self.uncached_tokens,
            running=self.running,
            slowdown=self.slowdown,
        )


@dataclass(frozen=True, kw_only=True)
class Choice:
    """The chosen upstream and the expected time to the first token in ms, 0 if not estimated."""

    name: str
    expected_ms: float


def choose_engine(
    candidates: Sequence[Candidate],
    target_ms: float,
    rng: random.Random,
    *,
    long_running: bool = False,
    gap_aim_ms: float = 0.0,
    limit_ms: float = math.inf,
) -> Choice | None:
    """Return the engine with the least expected time to the first token, plus costs.

    The prefill of a prompt interrupts the streams on the same engine. Requests that are not long
    running themselves therefore prefer engines with fewer long streams. ``gap_aim_ms`` is the
    target for the longest pause between a stream's events, 0 if there is none. With such a target
    an engine that is expected to take longer than ``limit_ms``, and where the request is therefore
    refused, is chosen only if all are.
    """
    best: tuple[tuple[bool, float], Choice] | None = None
    for candidate in candidates:
        expected = candidate.permit_wait_ms + estimate_first_token_ms(
            candidate.work, candidate.tokens_per_ms
        )
        score = expected + rng.uniform(0.0, JITTER_MS) + FAILURE_COST_MS * candidate.failure_share
        if not candidate.same_zone:
            score += OTHER_ZONE_COST_FRACTION * target_ms
        if gap_aim_ms:
            score += _compute_pause_cost_ms(candidate, target_ms, long_running, gap_aim_ms)
        elif not long_running:
            score += LONG_STREAM_COST_MS * min(MAX_COUNTED_STREAMS, candidate.long_streams)
        rank = (bool(gap_aim_ms) and expected > limit_ms, score)
        if best is None or rank < best[0]:
            best = (rank, Choice(name=candidate.name, expected_ms=expected))
    return best[1] if best else None


def _compute_pause_cost_ms(
    candidate: Candidate, target_ms: float, long_running: bool, gap_aim_ms: float
) -> float:
    if long_running:
        less_urgent_tokens = max(0.0, candidate.all_pending_tokens - candidate.pending_tokens)
        return compute_long_stream_cost_ms(
            queued_ms=candidate.measure_prefill_ms(less_urgent_tokens),
            long_streams=candidate.long_streams,
        )
    tokens = candidate.all_pending_tokens + candidate.uncached_tokens
    return compute_short_request_cost_ms(
        prefill_ms=candidate.measure_prefill_ms(tokens),
        long_streams=candidate.long_streams,
        gap_aim_ms=gap_aim_ms,
        target_ms=target_ms,
    )


def choose_service_upstream(
    candidates: Sequence[Candidate], slots: dict[str, int], rng: random.Random
) -> Choice | None:
    """Return the upstream with the fewest requests per slot, for a service without models.

    Where the machine is slow, each request counts as several, and so does the one to be sent.
    The costs of failures and of another zone are added, in requests per slot. Upstreams whose limit
    makes the request wait are chosen only if all do.
    """
    best: tuple[float, Choice] | None = None
    least_wait_ms = min((candidate.permit_wait_ms for candidate in candidates), default=0.0)
    for candidate in candidates:
        if candidate.permit_wait_ms > least_wait_ms:
            continue
        count = max(1, slots[candidate.name])
        load = (candidate.running + rng.uniform(0.0, 0.5)) / count
        load += (candidate.slowdown - 1.0) * (candidate.running + 1.0) / count
        score = load + candidate.failure_share + (0.0 if candidate.same_zone else 0.25)
        if best is None or score < best[0]:
            best = (score, Choice(name=candidate.name, expected_ms=candidate.permit_wait_ms))
    return best[1] if best else None
