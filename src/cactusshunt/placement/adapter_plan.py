"""Decides which adapters each engine loads or unloads next.

Covers the load pattern "many adapters of few models, each requested now and then": adapters load
within milliseconds, but slots for them are few.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusshunt.placement.fleet_state import AdapterPlan
from cactusshunt.placement.fleet_state import Demand
from cactusshunt.placement.fleet_state import PlannedArrival
from cactusshunt.placement.fleet_state import PlannedOrder
from cactusshunt.placement.fleet_state import UnplacedReason

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cactusshunt.placement.fleet_state import EngineState
    from cactusshunt.placement.fleet_state import FleetState

USUAL_ADAPTER_LOAD_S = 0.1  # from a free engine to a loaded adapter, orders included
ADAPTER_IN_DEMAND_S = 2.0  # an adapter counts as in demand for this long after a request
REPLICA_TOKENS_PER_MS = 3.0  # demand that one replica of an adapter should serve
SPARE_ADAPTER_SLOTS_PER_ENGINE = 1  # kept so that a requested adapter can load at once


def plan_waiting_adapters(state: FleetState) -> AdapterPlan:
    """Return orders for adapters that requests wait for and that no engine holds.

    They come before model orders, at most one for each engine: an adapter loads within
    milliseconds, but an engine that loads a model accepts no other order for seconds.
    """
    held = {
        (model, adapter)
        for engine in state.engines
        for model, adapters in engine.models.items()
        for adapter in adapters
    }
    waiting = {
        pair: demand
        for pair, demand in state.adapter_demand.items()
        if demand.waiting and pair not in held
    }
    engines = {
        engine.name: engine
        for engine in state.engines
        if not engine.busy and engine.reserved_for is None
    }
    return _plan_requested(state, engines, waiting)


def plan_adapters(state: FleetState, engines_with_orders: frozenset[str]) -> AdapterPlan:
    """Return adapter orders, at most one for each engine without a model order in this plan.

    ``engines_with_orders`` names the engines that have one. An engine with reserved memory may not
    have completed the unload yet, so it gets no adapter.
    """
    engines = {
        engine.name: engine
        for engine in state.engines
        if engine.name not in engines_with_orders
        and not engine.busy
        and engine.reserved_for is None
    }
    plan = _plan_requested(state, engines, state.adapter_demand)
    orders = plan.orders + _plan_prefetches(state, engines)
    return AdapterPlan(orders=orders, arrivals=plan.arrivals, unplaced=plan.unplaced)


def _plan_requested(
    state: FleetState,
    engines: dict[str, EngineState],
    adapter_demand: Mapping[tuple[str, str], Demand],
) -> AdapterPlan:
    """Place adapters in demand; removes the engines used from ``engines``."""
    orders = []
    arrivals = []
    unplaced: dict[str, UnplacedReason] = {}
    wanted = sorted(
        adapter_demand.items(), key=lambda pair: (-pair[1].waiting, -pair[1].tokens_per_ms)
    )
    for (model, adapter), demand in wanted:
        holding = [engine for engine in state.engines if adapter in engine.models.get(model, ())]
        holders = len(holding)
        needed_replicas = 1 + int(demand.tokens_per_ms / REPLICA_TOKENS_PER_MS)
        in_demand = demand.waiting > 0 or state.now - demand.last_requested_at < ADAPTER_IN_DEMAND_S
        only_limited = bool(holding) and all(engine.limited for engine in holding)
        if not in_demand or (holders >= needed_replicas and not only_limited):
            continue
        may_unload = demand.waiting > 0 and not holders
        hosts = [
            engine
            for engine in engines.values()
            if _lacks(engine, model, adapter)
            and (may_unload or not _is_full(engine))
            and not (only_limited and engine.limited)
        ]
        if not hosts:
            if not holders:
                reason = _explain_missing_host(state, engines, model)
                unplaced[f"{model}/{adapter}"] = reason
                if reason is UnplacedReason.MODEL_ENGINES_BUSY:
                    arrivals += _expect_free_host(state, model, adapter)
            continue
        engine = min(
            hosts, key=lambda host: (_is_full(host), host.limited, host.running, host.name)
        )
        order = _plan_order(state, engine, model, adapter)
        if order is not None:
            orders.append(order)
            del engines[engine.name]
        elif not holders:
            unplaced[f"{model}/{adapter}"] = UnplacedReason.ADAPTER_SLOTS_IN_USE
    return AdapterPlan(orders=orders, arrivals=arrivals, unplaced=unplaced)


def _expect_free_host(state: FleetState, model: str, adapter: str) -> list[PlannedArrival]:
    """Return when an engine with the model should accept an order, if that is known."""
    free_in_s = [
        engine.free_in_s
        for engine in state.engines
        if model in engine.models and engine.free_in_s is not None
    ]
    if not free_in_s:
        return []
    ready_in_s = min(free_in_s) + USUAL_ADAPTER_LOAD_S
    return [PlannedArrival(item=f"{model}/{adapter}", ready_in_s=ready_in_s)]


def _explain_missing_host(
    state: FleetState, engines: dict[str, EngineState], model: str
) -> UnplacedReason:
    """Return why no engine can load an adapter of a model now."""
    if not any(model in engine.models for engine in state.engines):
        return UnplacedReason.MODEL_NOT_LOADED
    if not any(model in engine.models for engine in engines.values()):
        return UnplacedReason.MODEL_ENGINES_BUSY
    return UnplacedReason.ADAPTER_SLOTS_IN_USE


def _plan_prefetches(state: FleetState, engines: dict[str, EngineState]) -> list[PlannedOrder]:
    """Fill free slots with adapters that no engine holds, the most often requested ones first."""
    held = {
        (model, adapter)
        for engine in state.engines
        for model, adapters in engine.models.items()
        for adapter in adapters
    }
    orders = []
    for engine in engines.values():
        if engine.adapter_count() >= engine.adapter_slots - SPARE_ADAPTER_SLOTS_PER_ENGINE:
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
        best = max(missing, key=lambda pair: _rank_by_usual_demand(state, pair))
        order = _plan_order(state, engine, *best)
        if order is not None and order.load:
            held.add(best)
            orders.append(order)
    return orders


def _rank_by_usual_demand(state: FleetState, pair: tuple[str, str]) -> tuple[float, float]:
    """Return an adapter's usual requests a second and its model's demand, as a sort key."""
    own = state.adapter_demand.get(pair, Demand())
    model = state.demand.get(pair[0], Demand())
    return own.usual_requests_per_s, model.tokens_per_ms


def _lacks(engine: EngineState, model: str, adapter: str) -> bool:
    return model in engine.models and adapter not in engine.models[model]


def _is_full(engine: EngineState) -> bool:
    return engine.adapter_count() >= engine.adapter_slots


def _plan_order(
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
            reason="adapter demand",
        )
    held = [(name, found) for name, adapters in engine.models.items() for found in adapters]
    if not held:
        return None
    eviction_candidate = min(held, key=lambda pair: _get_last_requested_at(state, pair))
    candidate_demand = state.adapter_demand.get(eviction_candidate, Demand())
    if candidate_demand.waiting:
        return None
    return PlannedOrder(
        engine=engine.name,
        load=False,
        model=eviction_candidate[0],
        adapter=eviction_candidate[1],
        expected=engine.sequence,
        frees_memory_for=f"{model}/{adapter}",
        reason=f"slot for {model}/{adapter}",
    )


def _get_last_requested_at(state: FleetState, pair: tuple[str, str]) -> float:
    return state.adapter_demand.get(pair, Demand()).last_requested_at
