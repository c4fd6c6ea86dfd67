"""Seeded arrival traces.

A surge of three models, a threefold rise of all, tenfold variation, and low demand.
"""

from __future__ import annotations

import math
import random

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from measure.replay.deployments import ReplayDeployment

TRACE_S = 3600.0
BASE_LOAD = 0.25  # fraction of all slots that all targets together occupy


@dataclass(frozen=True, kw_only=True)
class Arrival:
    """One request; ``at`` is in seconds from the start of the trace."""

    at: float
    zone: str
    target: str
    service_s: float


@dataclass(frozen=True, kw_only=True)
class Trace:
    """Arrivals per second by target, as a function of time; ``highest_rate`` bounds their sum."""

    name: str
    rates: Callable[[float], dict[str, float]]
    highest_rate: float


def make_traces(deployment: ReplayDeployment, seed: int) -> list[Trace]:
    """Return the four traces of a deployment."""
    rng = random.Random(f"traces {seed}")
    base = _base_rates(deployment, rng)
    targets = [item.target for item in deployment.items if item.base_item is None]
    surging = rng.sample(targets, 3)
    total = sum(base.values())

    def surge(at: float) -> dict[str, float]:
        """The demand of three models rises within a minute and stays high for most of the hour."""
        share = _ramp(at, 600.0, 60.0) * (1.0 - _ramp(at, 3000.0, 120.0))
        return {**base, **{name: base[name] + share * total * 0.7 for name in surging}}

    def threefold(at: float) -> dict[str, float]:
        """The demand of all models rises threefold within two minutes, for half an hour."""
        factor = 1.0 + 2.0 * _ramp(at, 900.0, 120.0) * (1.0 - _ramp(at, 2700.0, 300.0))
        return {name: rate * factor for name, rate in base.items()}

    def tenfold(at: float) -> dict[str, float]:
        """Each model's demand varies tenfold in a sine wave of an hour with a random phase."""
        return {
            name: rate * 10.0 ** (0.5 * math.sin(2 * math.pi * (at / TRACE_S + phase)))
            for (name, rate), phase in zip(base.items(), phases, strict=True)
        }

    def low_demand(at: float) -> dict[str, float]:
        """All models have a tenth of their demand."""
        del at
        return {name: rate * 0.1 for name, rate in base.items()}

    phases = [rng.random() for _ in base]
    return [
        Trace(name="caption surge", rates=surge, highest_rate=total * 3.2),  # at most 1 + 3 * 0.7
        Trace(name="regional storm", rates=threefold, highest_rate=total * 3.0),
        Trace(name="tenfold", rates=tenfold, highest_rate=total * 3.2),  # at most 10 ** 0.5
        Trace(name="quiet night", rates=low_demand, highest_rate=total * 0.1),
    ]


def generate_arrivals(trace: Trace, deployment: ReplayDeployment, seed: int) -> Iterator[Arrival]:
    """Yield arrivals of a Poisson process with the trace's rates, by thinning."""
    rng = random.Random(f"{trace.name} {deployment.name} {seed}")
    at = 0.0
    while True:
        at += rng.expovariate(trace.highest_rate)
        if at >= TRACE_S:
            return
        rates = trace.rates(at)
        if rng.random() * trace.highest_rate >= sum(rates.values()):
            continue
        target = rng.choices(list(rates), weights=list(rates.values()))[0]
        yield Arrival(
            at=at,
            zone=rng.choice(deployment.zones),
            target=target,
            service_s=rng.expovariate(1.0 / deployment.mean_service_s),
        )


def _base_rates(deployment: ReplayDeployment, rng: random.Random) -> dict[str, float]:
    """Distribute the base load over models and adapters by a Pareto distribution."""
    weights = {
        item.target: rng.paretovariate(1.2) * (0.3 if item.base_item else 1.0)
        for item in deployment.items
    }
    slots = sum(engine.slots for engine in deployment.engines)
    scale = slots * BASE_LOAD / deployment.mean_service_s / sum(weights.values())
    return {target: weight * scale for target, weight in weights.items()}


def _ramp(at: float, begin: float, length: float) -> float:
    return min(1.0, max(0.0, (at - begin) / length))
