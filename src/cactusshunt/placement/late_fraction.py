"""Estimates the fraction of a model's requests that its replicas don't serve in time.

Covers the load patterns "a burst sends one model the work of several engines" and "an engine
becomes slow": while requests are refused, each further replica reduces the refusals.
"""

from __future__ import annotations

from collections import Counter
from collections import defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cactusshunt.placement.fleet_state import EngineState

# Prefill fractions are of the prefill time of one engine.
MAX_UNQUEUED_PREFILL_FRACTION = 0.22  # up to this, requests don't wait for each other
SATURATED_PREFILL_FRACTION = 0.75  # above this, requests are refused because queues would grow
SLOW_SPEED_FRACTION = 0.6  # of the usual speed; slower engines count as a fraction of a replica
MIN_SPEED_FRACTION = 0.1  # of the usual speed; the least that a replica counts
LATE_FRACTION_AT_SATURATION = 0.5  # of requests, at SATURATED_PREFILL_FRACTION


def estimate_relative_speed(tokens_per_ms: float, usual_tokens_per_ms: float) -> float:
    """Return an engine's prefill rate as a fraction of the usual one, at most 1.

    Fractions of ``SLOW_SPEED_FRACTION`` and more count as 1, because rates are only estimates.
    """
    share = tokens_per_ms / max(0.01, usual_tokens_per_ms)
    return max(MIN_SPEED_FRACTION, share) if share < SLOW_SPEED_FRACTION else 1.0


def estimate_limited_speed(
    *, limit_per_s: float, models: int, tokens_per_request: float, usual_tokens_per_ms: float
) -> float:
    """Return what a request limit leaves of an engine's prefill rate for each of its models.

    ``limit_per_s`` is in requests a second, which the models share; the result is a fraction of the
    usual engine's rate.
    """
    tokens_per_ms = limit_per_s * tokens_per_request / 1000.0
    return tokens_per_ms / max(1, models) / max(0.01, usual_tokens_per_ms)


def estimate_late_fraction(load: float, replicas: float) -> float:
    """Return the fraction of a model's requests that come late or are refused.

    ``load`` is the model's prefill work in units of one engine's prefill time; ``replicas`` counts
    each replica on a slow engine as a fraction. A replica above ``SATURATED_PREFILL_FRACTION``
    serves no fewer requests than at it, so a further replica always serves more.
    """
    if replicas <= 0:
        return 1.0
    share = load / replicas
    if share <= SATURATED_PREFILL_FRACTION:
        return (
            LATE_FRACTION_AT_SATURATION
            * max(0.0, share - MAX_UNQUEUED_PREFILL_FRACTION)
            / (SATURATED_PREFILL_FRACTION - MAX_UNQUEUED_PREFILL_FRACTION)
        )
    return 1.0 - (1.0 - LATE_FRACTION_AT_SATURATION) * SATURATED_PREFILL_FRACTION / share


class ReplicaTally:
    """Replicas by model; ``effective_count`` weights each with its engine's relative speed."""

    def __init__(self) -> None:
        self.count: Counter[str] = Counter()
        self.effective_count: defaultdict[str, float] = defaultdict(float)

    def add(self, engine: EngineState, *models: str) -> None:
        """Count an engine's replicas of these models."""
        for model in models:
            self.count[model] += 1
            self.effective_count[model] += engine.speed

    def remove(self, engine: EngineState, model: str) -> None:
        """Stop counting an engine's replica of a model."""
        self.count[model] -= 1
        self.effective_count[model] = (
            max(0.0, self.effective_count[model] - engine.speed) if self.count[model] else 0.0
        )
