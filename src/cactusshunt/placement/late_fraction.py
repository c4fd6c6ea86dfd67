"""How much of a model's work its replicas serve in time.

Answers the load patterns "a burst asks one model for the work of several engines" and "an engine
turns slow": a further replica serves more for as long as work is refused.
"""

from __future__ import annotations

from collections import Counter
from collections import defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cactusshunt.placement.fleet_state import EngineState

EASY_SHARE = 0.22  # of an engine's prefill time, up to which requests don't wait for each other
FULL_SHARE = 0.75  # from which on further work is refused, since queues would grow
SLOW_SHARE = 0.6  # of the usual speed, below which an engine's replicas count in part
SLOWEST = 0.1
FULL_STRAIN = 0.5  # of requests that come late or are refused at that share


def relative_speed(tokens_per_ms: float, usual: float) -> float:
    """Return an engine's speed against the usual one, where estimates within a band count as 1."""
    share = tokens_per_ms / max(0.01, usual)
    return max(SLOWEST, share) if share < SLOW_SHARE else 1.0


def strain(load: float, replicas: float) -> float:
    """Return the share of a model's requests that come late or not at all.

    ``replicas`` counts those on slow engines in part. Beyond a full share each replica serves as
    many requests as before, so that a further one always serves more.
    """
    if replicas <= 0:
        return 1.0
    share = load / replicas
    if share <= FULL_SHARE:
        return FULL_STRAIN * max(0.0, share - EASY_SHARE) / (FULL_SHARE - EASY_SHARE)
    return 1.0 - (1.0 - FULL_STRAIN) * FULL_SHARE / share


class ReplicaTally:
    """Replicas by model, and their power: a replica on a slow engine counts in part."""

    def __init__(self) -> None:
        self.count: Counter[str] = Counter()
        self.power: defaultdict[str, float] = defaultdict(float)

    def add(self, engine: EngineState, *models: str) -> None:
        """Count an engine's replicas of these models."""
        for model in models:
            self.count[model] += 1
            self.power[model] += engine.speed

    def remove(self, engine: EngineState, model: str) -> None:
        """Count an engine's replica of a model no more."""
        self.count[model] -= 1
        self.power[model] = max(0.0, self.power[model] - engine.speed) if self.count[model] else 0.0
