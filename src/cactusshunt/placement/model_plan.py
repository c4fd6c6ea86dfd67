"""Which model each engine loads or drops next.

Answers the load patterns "demand moves to other models", "rare models are asked for at once" and
"engines that held models are lost": engines' memory is a cache of models with a limited fill.
"""

from __future__ import annotations

import math

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cactusshunt.placement.fleet_state import Demand
from cactusshunt.placement.fleet_state import PlannedOrder
from cactusshunt.placement.fleet_state import WeightSource

if TYPE_CHECKING:
    from cactusshunt.placement.fleet_state import EngineState
    from cactusshunt.placement.fleet_state import FleetState

REPLICA_SHARE = 0.3  # of one engine's prefill time that one replica should take
GROW_MARGIN = 1.25  # times that share before a further replica is placed
RECENT_S = 6.0  # a model asked for within this time is in use
KEEP_S = 1.5  # a last replica asked for within this time is not dropped for another model
UNLOAD_S = 0.3  # usual time from the order to the answer that room was made
STORE_PENALTY_S = 1.0  # loads from the weight store are limited and serve all engines
SAME_ZONE_S = 0.6  # replicas are spread over zones, since bytes between zones are dear
NEEDED_VALUE = 2.0  # value of a replica that its model's load needs, in loads


@dataclass(frozen=True, kw_only=True)
class _Need:
    model: str
    urgency: float
    absent: bool


def plan_models(state: FleetState) -> list[PlannedOrder]:
    """Return the next orders, at most one for each engine that is not busy."""
    planner = _Planner(state)
    planner.fill_reserved()
    for need in _find_needs(state, planner.expected):
        planner.serve(need)
    return planner.orders


def _find_needs(state: FleetState, expected: Counter[str]) -> list[_Need]:
    needs = []
    for model, demand in state.demand.items():
        if model not in state.facts:
            continue
        held = expected[model]
        load = demand.tokens_per_ms / state.tokens_per_ms
        asked = demand.waiting > 0 or state.now - demand.last_asked_at < KEEP_S
        if held == 0 and asked:
            needs.append(_Need(model=model, urgency=1e6 + demand.waiting * 10 + load, absent=True))
        elif held and load / held > REPLICA_SHARE * GROW_MARGIN:
            needs.append(_Need(model=model, urgency=load / held, absent=False))
    return sorted(needs, key=lambda need: -need.urgency)


class _Planner:
    """Collects orders and keeps count of what they change.

    ``present`` counts replicas that serve, ``expected`` those and the ones under way.
    """

    def __init__(self, state: FleetState) -> None:
        self._state = state
        self.orders: list[PlannedOrder] = []
        self._engines = {engine.name: engine for engine in state.engines if not engine.busy}
        self._loads_left = state.store_loads_allowed
        self.present: Counter[str] = Counter()
        self.expected: Counter[str] = Counter()
        self._zones: set[tuple[str, str]] = set()
        for engine in state.engines:
            under_way = {*engine.coming}
            if engine.reserved_for is not None:
                under_way.add(engine.reserved_for)
            self.present.update(engine.models.keys() - under_way)
            held = engine.models.keys() | under_way
            self.expected.update(held)
            self._zones.update((model, engine.availability_zone) for model in held)

    def fill_reserved(self) -> None:
        """Load the models for which room was made."""
        for engine in list(self._engines.values()):
            model = engine.reserved_for
            fact = self._state.facts.get(model) if model is not None else None
            if model is None or fact is None or model in engine.models:
                continue
            if engine.capacity_mb - engine.used_mb(self._state.facts) < fact.size_mb:
                continue
            if engine.source_of(model) is WeightSource.STORE and self._loads_left <= 0:
                del self._engines[engine.name]
                continue
            self.expected[model] -= 1
            self._order(engine, model, None, "room was made")

    def serve(self, need: _Need) -> None:
        """Load a model where there is room, else make room on the cheapest engine."""
        best: tuple[float, EngineState, str | None] | None = None
        for engine in self._engines.values():
            if need.model in engine.models or engine.reserved_for is not None:
                continue
            found = self._price(engine, need)
            if found is not None and (best is None or found[0] < best[0]):
                best = (found[0], engine, found[1])
        if best is None:
            return
        _, engine, victim = best
        self._order(engine, need.model, victim, "absent" if need.absent else "busy")

    def _price(self, engine: EngineState, need: _Need) -> tuple[float, str | None] | None:
        """Return the price of a load here in seconds, and the model that goes for it."""
        fact = self._state.facts[need.model]
        source = engine.source_of(need.model)
        price = fact.load_s[source] + 0.02 * engine.running
        if (need.model, engine.availability_zone) in self._zones:
            price += SAME_ZONE_S
        if source is WeightSource.STORE:
            if self._loads_left <= 0:
                return None
            price += STORE_PENALTY_S
        if engine.capacity_mb - engine.used_mb(self._state.facts) >= fact.size_mb:
            return price, None
        candidates = [model for model in engine.models if self._may_drop(model, need)]
        if not candidates:
            return None
        victim = min(candidates, key=self._value)
        return price + UNLOAD_S + 4.0 * self._value(victim), victim

    def _order(self, engine: EngineState, model: str, victim: str | None, reason: str) -> None:
        del self._engines[engine.name]
        self.expected[model] += 1
        if victim is not None:
            self.expected[victim] -= 1
            self.present[victim] -= 1
            self.orders.append(
                PlannedOrder(
                    engine=engine.name,
                    load=False,
                    model=victim,
                    expected=engine.sequence,
                    makes_room_for=model,
                    reason=f"{reason}: {model}",
                )
            )
            return
        source = engine.source_of(model)
        if source is WeightSource.STORE:
            self._loads_left -= 1
        self.orders.append(
            PlannedOrder(
                engine=engine.name,
                load=True,
                model=model,
                expected=engine.sequence,
                source=source,
                reason=reason,
            )
        )

    def _load(self, model: str) -> float:
        demand = self._state.demand.get(model, Demand())
        return demand.tokens_per_ms / self._state.tokens_per_ms

    def _needed(self, model: str) -> int:
        """Return how many replicas a model's load needs."""
        return math.ceil(self._load(model) / REPLICA_SHARE - 0.1)

    def _may_drop(self, model: str, need: _Need) -> bool:
        if model == need.model:
            return False
        present = self.present[model]
        if present > max(1, self._needed(model)):
            return True
        demand = self._state.demand.get(model, Demand())
        idle_s = self._state.now - demand.last_asked_at
        if present > 1:
            return need.absent and self._load(model) / (present - 1) < 2 * REPLICA_SHARE
        if demand.waiting > 0:
            return False
        return idle_s > (KEEP_S if need.absent else RECENT_S)

    def _value(self, model: str) -> float:
        """Return what dropping one replica costs, in loads that it makes likely."""
        demand = self._state.demand.get(model, Demand())
        present = self.present[model]
        if present > max(1, self._needed(model)):
            return 0.1 + self._load(model) / present
        if present > 1:
            return NEEDED_VALUE + self._load(model)
        age_s = max(0.0, self._state.now - demand.last_asked_at)
        return 0.3 * math.exp(-age_s / 8.0) + self._load(model)
