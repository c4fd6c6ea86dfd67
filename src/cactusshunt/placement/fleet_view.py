"""Builds the input of placement plans."""

from __future__ import annotations

from statistics import median
from typing import TYPE_CHECKING

from cactusshunt.placement.fleet_state import FleetState
from cactusshunt.placement.fleet_state import ModelFacts
from cactusshunt.placement.fleet_state import WeightSource
from cactusshunt.placement.late_fraction import estimate_limited_speed
from cactusshunt.placement.late_fraction import estimate_relative_speed
from cactusshunt.placement.replica_value import TOKENS_PER_REQUEST
from cactusshunt.routing.queued_work import DEFAULT_TOKENS_PER_MS

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from cactusshunt.placement.engine_ledger import EngineLedger
    from cactusshunt.placement.fleet_demand import FleetDemand
    from cactusshunt.platform.documents import EngineSpec
    from cactusshunt.routing.upstream import Upstream

LONG_PAUSE_S = 2.0  # left of a pause; most loads elsewhere take less


def describe_fleet(
    *,
    now: float,
    service: str,
    spec: EngineSpec,
    upstreams: Sequence[Upstream],
    ledgers: Mapping[str, EngineLedger],
    fleet_demand: FleetDemand,
    weight_store_loads: int,
) -> FleetState:
    """Return the state of a service's ready engines, and the demand reported by all VMs.

    An engine that wants a pause gets no orders, and in a long one its items count as absent.
    """
    ready = [
        upstream
        for upstream in upstreams
        if upstream.ready and upstream.paused_until < now + LONG_PAUSE_S
    ]
    usual_tokens_per_ms = (
        median(upstream.rate for upstream in ready) if ready else DEFAULT_TOKENS_PER_MS
    )
    engines = tuple(
        ledgers[upstream.name].describe(
            availability_zone=upstream.entry.zone,
            capacity_mb=spec.weights_size_mb,  # of all weights that fit one engine
            adapter_slots=spec.max_adapters,
            running=upstream.total_running(now),
            speed=_estimate_speed(
                upstream, len(ledgers[upstream.name].models), usual_tokens_per_ms
            ),
            limited=upstream.request_limit_per_s is not None,
            paused_s=max(0.0, upstream.paused_until - now),
            now=now,
        )
        for upstream in ready
    )
    fleet_demand.record_held(
        service,
        (
            item
            for engine in engines
            for model, adapters in engine.models.items()
            if model not in engine.coming
            for item in (model, *(f"{model}/{adapter}" for adapter in adapters))
        ),
    )
    demand = fleet_demand.read(service, now)
    return FleetState(
        now=now,
        observed_s=fleet_demand.get_observation_s(now),
        engines=engines,
        facts=_read_facts(spec),
        demand={item: found for item, found in demand.items() if "/" not in item},
        adapter_demand={
            (item.partition("/")[0], item.partition("/")[2]): found
            for item, found in demand.items()
            if "/" in item
        },
        weight_store_loads_allowed=weight_store_loads,
        weight_store_loads_per_s=spec.loads_per_s,
        tokens_per_ms=usual_tokens_per_ms,
    )


def _estimate_speed(upstream: Upstream, models: int, usual_tokens_per_ms: float) -> float:
    """Return an engine's speed relative to the usual one, within its request limit."""
    speed = estimate_relative_speed(upstream.rate, usual_tokens_per_ms)
    if upstream.request_limit_per_s is None:
        return speed
    limited_speed = estimate_limited_speed(
        limit_per_s=upstream.request_limit_per_s,
        models=models,
        tokens_per_request=TOKENS_PER_REQUEST,
        usual_tokens_per_ms=usual_tokens_per_ms,
    )
    return min(speed, limited_speed)


def _read_facts(spec: EngineSpec) -> dict[str, ModelFacts]:
    return {
        model.name: ModelFacts(
            name=model.name,
            size_mb=model.weights_size_mb,
            adapter_mb=model.adapter_mb,
            adapters=model.adapter_names,
            load_s={
                WeightSource.MEMORY: model.warm_s or model.load_s,
                WeightSource.DISK: model.disk_s or model.load_s,
                WeightSource.STORE: model.load_s,
            },
        )
        for model in spec.models
    }
