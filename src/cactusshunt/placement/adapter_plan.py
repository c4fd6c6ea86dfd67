"""Which adapters each engine takes or drops next.

Answers the load pattern "many adapters of few models, each asked for now and then": an adapter
takes milliseconds to load, places for adapters are few.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusshunt.placement.fleet_state import Demand
from cactusshunt.placement.fleet_state import PlannedOrder

if TYPE_CHECKING:
    from cactusshunt.placement.fleet_state import EngineState
    from cactusshunt.placement.fleet_state import FleetState

RECENT_S = 2.0  # an adapter asked for within this time is placed where room is free
REPLICA_TOKENS_PER_MS = 3.0  # demand that one replica of an adapter should take
PLACES_KEPT = 1  # left free on each engine, so that one that is waited for finds room at once


def plan_adapters(state: FleetState, taken: frozenset[str]) -> list[PlannedOrder]:
    """Return adapter orders, one for each engine that has no other order (``taken``) yet.

    An engine that makes room may still hold what it drops, so no adapter is counted into it.
    """
    engines = {
        engine.name: engine
        for engine in state.engines
        if engine.name not in taken and not engine.busy and engine.reserved_for is None
    }
    orders = _plan_asked(state, engines)
    orders += _plan_ahead(state, engines)
    return orders


def _plan_asked(state: FleetState, engines: dict[str, EngineState]) -> list[PlannedOrder]:
    """Place what callers ask for; takes the engines used out of ``engines``."""
    orders = []
    wanted = sorted(
        state.adapter_demand.items(), key=lambda pair: (-pair[1].waiting, -pair[1].tokens_per_ms)
    )
    for (model, adapter), demand in wanted:
        holders = sum(1 for engine in state.engines if adapter in engine.models.get(model, ()))
        enough = 1 + int(demand.tokens_per_ms / REPLICA_TOKENS_PER_MS)
        asked = demand.waiting > 0 or state.now - demand.last_requested_at < RECENT_S
        if not asked or holders >= enough:
            continue
        may_evict = demand.waiting > 0 and not holders
        hosts = [
            engine
            for engine in engines.values()
            if _lacks(engine, model, adapter) and (may_evict or not _is_full(engine))
        ]
        if not hosts:
            continue
        engine = min(hosts, key=lambda host: (_is_full(host), host.running, host.name))
        order = _plan_one(state, engine, model, adapter)
        if order is not None:
            orders.append(order)
            del engines[engine.name]
    return orders


def _plan_ahead(state: FleetState, engines: dict[str, EngineState]) -> list[PlannedOrder]:
    """Fill free places with adapters that no engine holds, those asked for most often first."""
    held = {
        (model, adapter)
        for engine in state.engines
        for model, adapters in engine.models.items()
        for adapter in adapters
    }
    orders = []
    for engine in engines.values():
        if engine.adapter_count() >= engine.adapter_slots - PLACES_KEPT:
            continue
        missing = [
            (model, adapter)
            for model in engine.models
            if model in state.facts
            for adapter in state.facts[model].adapters
            if (model, adapter) not in held
        ]
        if not missing:
            continue
        best = max(missing, key=lambda pair: _worth(state, pair))
        order = _plan_one(state, engine, *best)
        if order is not None and order.load:
            held.add(best)
            orders.append(order)
    return orders


def _worth(state: FleetState, pair: tuple[str, str]) -> tuple[float, float]:
    """Return how often an adapter is asked for, and how much its model is."""
    own = state.adapter_demand.get(pair, Demand())
    model = state.demand.get(pair[0], Demand())
    return own.usual_per_s, model.tokens_per_ms


def _lacks(engine: EngineState, model: str, adapter: str) -> bool:
    return model in engine.models and adapter not in engine.models[model]


def _is_full(engine: EngineState) -> bool:
    return engine.adapter_count() >= engine.adapter_slots


def _plan_one(
    state: FleetState, engine: EngineState, model: str, adapter: str
) -> PlannedOrder | None:
    fact = state.facts.get(model)
    if fact is None or engine.adapter_slots <= 0:
        return None
    free_mb = engine.capacity_mb - engine.used_mb(state.facts)
    if not _is_full(engine) and free_mb >= fact.adapter_mb:
        return PlannedOrder(
            engine=engine.name,
            load=True,
            model=model,
            adapter=adapter,
            expected=engine.sequence,
            reason="asked",
        )
    held = [(name, found) for name, adapters in engine.models.items() for found in adapters]
    if not held:
        return None
    victim = min(held, key=lambda pair: _last_asked(state, pair))
    victim_demand = state.adapter_demand.get(victim, Demand())
    if victim_demand.waiting:
        return None
    return PlannedOrder(
        engine=engine.name,
        load=False,
        model=victim[0],
        adapter=victim[1],
        expected=engine.sequence,
        reason=f"room for {model}/{adapter}",
    )


def _last_asked(state: FleetState, pair: tuple[str, str]) -> float:
    return state.adapter_demand.get(pair, Demand()).last_requested_at
