"""Which model each engine loads or drops next.

Answers the load patterns "demand moves to other models", "rare models are asked for at once" and
"engines that held models are lost": engines' memory is a cache of models with a limited fill.
"""

from __future__ import annotations

import math

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cactusshunt.placement.fleet_state import Demand
from cactusshunt.placement.fleet_state import PlannedOrder
from cactusshunt.placement.fleet_state import WeightSource

if TYPE_CHECKING:
    from cactusshunt.placement.fleet_state import EngineState
    from cactusshunt.placement.fleet_state import FleetState

TARGET_SHARE = 0.22  # of one engine's prefill time that one replica should take
RELEASE_SHARE = 0.12  # below it per replica a further one may be given up
RECENT_S = 6.0  # a model asked for within this time is in use
KEEP_RECENT_S = 1.5  # a last replica asked for within this time is not dropped for another


@dataclass(frozen=True, kw_only=True)
class _Need:
    model: str
    urgency: float
    absent: bool


def plan_models(state: FleetState) -> list[PlannedOrder]:
    """Return the next orders, at most one for each engine that is not busy."""
    planner = _Planner(state)
    for need in _find_needs(state, planner.replicas):
        planner.serve(need)
    return planner.orders


def _find_needs(state: FleetState, replicas: dict[str, int]) -> list[_Need]:
    needs = []
    for model, demand in state.demand.items():
        if model not in state.facts:
            continue
        held = replicas.get(model, 0)
        load = demand.tokens_per_ms / state.tokens_per_ms
        asked = demand.waiting > 0 or state.now - demand.last_asked_at < RECENT_S
        if held == 0 and asked:
            needs.append(_Need(model=model, urgency=1e6 + demand.waiting * 10 + load, absent=True))
        elif held and load / held > TARGET_SHARE * 1.3:
            needs.append(_Need(model=model, urgency=load / held, absent=False))
    return sorted(needs, key=lambda need: -need.urgency)


class _Planner:
    """Collects orders and keeps count of what they change."""

    def __init__(self, state: FleetState) -> None:
        self._state = state
        self.orders: list[PlannedOrder] = []
        self._engines = {engine.name: engine for engine in state.engines if not engine.busy}
        self._loads_left = state.store_loads_allowed
        self.replicas: dict[str, int] = {}
        for engine in state.engines:
            for model in engine.models:
                self.replicas[model] = self.replicas.get(model, 0) + 1

    def serve(self, need: _Need) -> None:
        """Load a model where there is room, else make room on the cheapest engine."""
        fact = self._state.facts[need.model]
        best: tuple[float, EngineState, str | None] | None = None
        for engine in self._engines.values():
            if need.model in engine.models:
                continue
            source = engine.source_of(need.model)
            if source is WeightSource.STORE and self._loads_left <= 0:
                continue
            free = engine.capacity_mb - engine.used_mb(self._state.facts)
            victim = None
            cost = fact.load_s[source] + 0.02 * engine.running
            if free < fact.size_mb:
                victim = self._find_victim(engine, need)
                if victim is None:
                    continue
                cost += 0.3 + 5.0 * self._value(victim)
            if best is None or cost < best[0]:
                best = (cost, engine, victim)
        if best is None:
            return
        _, engine, victim = best
        self._order(engine, need, victim)

    def _order(self, engine: EngineState, need: _Need, victim: str | None) -> None:
        del self._engines[engine.name]
        source = engine.source_of(need.model)
        if victim is not None:
            self.replicas[victim] -= 1
            self.orders.append(
                PlannedOrder(
                    engine=engine.name,
                    load=False,
                    model=victim,
                    expected=engine.sequence,
                    reason=f"room for {need.model}",
                )
            )
            return
        self.replicas[need.model] = self.replicas.get(need.model, 0) + 1
        if source is WeightSource.STORE:
            self._loads_left -= 1
        self.orders.append(
            PlannedOrder(
                engine=engine.name,
                load=True,
                model=need.model,
                expected=engine.sequence,
                source=source,
                reason="absent" if need.absent else "busy",
            )
        )

    def _find_victim(self, engine: EngineState, need: _Need) -> str | None:
        """Return the least valuable model of an engine that may go for a need."""
        candidates = [model for model in engine.models if self._may_drop(model, need)]
        if not candidates:
            return None
        return min(candidates, key=self._value)

    def _may_drop(self, model: str, need: _Need) -> bool:
        if model == need.model:
            return False
        demand = self._state.demand.get(model, Demand())
        held = self.replicas.get(model, 0)
        load = demand.tokens_per_ms / self._state.tokens_per_ms
        if held > 1:
            return load / (held - 1) <= TARGET_SHARE or (need.absent and load / (held - 1) < 0.5)
        if demand.waiting > 0:
            return False
        idle_s = self._state.now - demand.last_asked_at
        return idle_s > (KEEP_RECENT_S if need.absent else RECENT_S)

    def _value(self, model: str) -> float:
        """Return what dropping one replica of a model would cost, in engine shares."""
        demand = self._state.demand.get(model, Demand())
        held = max(1, self.replicas.get(model, 1))
        load = demand.tokens_per_ms / self._state.tokens_per_ms
        if held > 1:
            return load / held - load / (held + 4)
        age_s = max(0.0, self._state.now - demand.last_asked_at)
        return 0.15 * math.exp(-age_s / 8.0) + load
