"""Choice of the upstream of one attempt.

Answers the load patterns "prefill is scarce and unevenly asked for" and "bytes between zones are
dear": the least expected time to the first token, where another zone's upstream must be better by
a margin.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cactusshunt.routing.queued_work import QueuedWork
from cactusshunt.routing.queued_work import estimate_first_token_ms

if TYPE_CHECKING:
    import random

    from collections.abc import Sequence

OTHER_ZONE_PART = 0.25  # of the latency objective: nearer work comes in time all the same
JITTER_MS = 15.0  # VMs with the same word must not all choose the same upstream
STREAM_PAUSE_MS = 5.0  # that a prompt's reading, some 100 ms, is worth for each stream it delays
MOST_STREAMS = 12.0  # beyond which more of them don't turn a request away further
UNPROVEN_MS = 60.0  # against an upstream that failed lately


@dataclass(frozen=True, kw_only=True)
class Candidate:
    """One upstream that could take a request, in numbers."""

    name: str
    same_zone: bool
    pending_tokens: float
    own_tokens: float
    running: float
    tokens_per_ms: float
    failure_share: float
    long_streams: float = 0.0

    @property
    def work(self) -> QueuedWork:
        """Return the work that the request would meet."""
        return QueuedWork(
            pending_tokens=self.pending_tokens, own_tokens=self.own_tokens, running=self.running
        )


@dataclass(frozen=True, kw_only=True)
class Choice:
    """The chosen upstream and the expected ms to its first token."""

    name: str
    expected_ms: float


def choose_engine(
    candidates: Sequence[Candidate],
    target_ms: float,
    draw: random.Random,
    *,
    lasts_long: bool = False,
) -> Choice | None:
    """Return the engine with the least expected time to the first token.

    A prompt that is read between the tokens of long streams makes these pause, so that a request
    that does not last long itself keeps away from them where it can.
    """
    best: tuple[float, Choice] | None = None
    for candidate in candidates:
        expected = estimate_first_token_ms(candidate.work, candidate.tokens_per_ms)
        score = expected + draw.uniform(0.0, JITTER_MS) + UNPROVEN_MS * candidate.failure_share
        if not candidate.same_zone:
            score += OTHER_ZONE_PART * target_ms
        if not lasts_long:
            score += STREAM_PAUSE_MS * min(MOST_STREAMS, candidate.long_streams)
        if best is None or score < best[0]:
            best = (score, Choice(name=candidate.name, expected_ms=expected))
    return best[1] if best else None


def choose_service_upstream(
    candidates: Sequence[Candidate], slots: dict[str, int], draw: random.Random
) -> Choice | None:
    """Return the plain service's upstream with the least work for each slot."""
    best: tuple[float, Choice] | None = None
    for candidate in candidates:
        load = (candidate.running + draw.uniform(0.0, 0.5)) / max(1, slots[candidate.name])
        score = load + candidate.failure_share + (0.0 if candidate.same_zone else 0.25)
        if best is None or score < best[0]:
            best = (score, Choice(name=candidate.name, expected_ms=0.0))
    return best[1] if best else None
