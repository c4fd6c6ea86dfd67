"""Steps on how many replicas a plan gives a model, and on what it unloads."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from behave import given
from behave import then
from behave import when

from cactusshunt.placement.adapter_plan import plan_adapters
from cactusshunt.placement.fleet_state import Demand
from cactusshunt.placement.fleet_state import EngineState
from cactusshunt.placement.fleet_state import FleetState
from cactusshunt.placement.fleet_state import ModelFacts
from cactusshunt.placement.fleet_state import WeightSource
from cactusshunt.placement.late_fraction import estimate_limited_speed
from cactusshunt.placement.model_plan import plan_models
from cactusshunt.placement.replica_value import TOKENS_PER_REQUEST

NOW = 1_000.0
TOKENS_PER_MS = 20.0
LOAD_S = {WeightSource.MEMORY: 0.6, WeightSource.DISK: 0.8, WeightSource.STORE: 4.0}


@given("{engines:d} engines with a model on {replicas:d} of them and rare models on all")
def make_engines(context: Any, engines: int, replicas: int) -> None:
    context.engines = []
    names = {"hot"}
    for number in range(engines):
        held = {f"rare{number}-{slot}" for slot in range(3)}
        if number < replicas:
            held = {"hot", *sorted(held)[:2]}
        names |= held
        context.engines.append(
            EngineState(
                name=f"e{number}",
                availability_zone="xyz"[number % 3],
                capacity_mb=230.0,
                adapter_slots=5,
                sequence=0,
                busy=False,
                models=dict.fromkeys(held, frozenset()),
            )
        )
    context.facts = {
        name: ModelFacts(name=name, size_mb=70.0, adapter_mb=1.0, load_s=LOAD_S) for name in names
    }


@given("the first engine runs at {share:g} of the usual speed")
def slow_first_engine(context: Any, share: float) -> None:
    context.engines[0] = replace(context.engines[0], speed=share)


@given("the first engine takes {per_s:g} request a second")
def limit_first_engine(context: Any, per_s: float) -> None:
    speed = estimate_limited_speed(
        limit_per_s=per_s,
        models=len(context.engines[0].models),
        tokens_per_request=TOKENS_PER_REQUEST,
        usual_tokens_per_ms=TOKENS_PER_MS,
    )
    context.engines[0] = replace(context.engines[0], speed=speed, limited=True)


@given("2 engines with room for a model, the first with a request limit")
def make_empty_engines(context: Any) -> None:
    make_engines(context, 2, 0)
    context.engines = [replace(engine, models={}) for engine in context.engines]
    context.engines[0] = replace(context.engines[0], speed=0.05, limited=True)


@given("an engine with a request limit that holds an adapter, and one with its model")
def hold_adapter_at_limited_engine(context: Any) -> None:
    make_engines(context, 2, 2)
    limited, other = context.engines
    models = {**limited.models, "hot": frozenset({"a1"})}
    context.engines = [replace(limited, speed=0.05, limited=True, models=models), other]


@when("requests for the adapter arrive")
def request_adapter(context: Any) -> None:
    demand = Demand(tokens_per_ms=0.5, last_requested_at=NOW, usual_requests_per_s=0.3)
    state = FleetState(
        now=NOW,
        engines=tuple(context.engines),
        facts=context.facts,
        demand={"hot": demand},
        adapter_demand={("hot", "a1"): demand},
    )
    context.orders = plan_adapters(state, frozenset()).orders


@then("the adapter is ordered at the second engine")
def check_adapter_elsewhere(context: Any) -> None:
    found = [(order.engine, order.load, order.item) for order in context.orders]
    assert found == [("e1", True, "hot/a1")], found


@then("none at the first engine")
def check_not_at_first(context: Any) -> None:
    assert all(order.engine != "e0" for order in find_hot_model_orders(context)), context.orders


@when("requests for the model take the prefill time of {engines:g} engines")
def request_hot_model(context: Any, engines: float) -> None:
    demand = {
        name: Demand(tokens_per_ms=0.05, last_requested_at=NOW - 5.0, usual_requests_per_s=0.05)
        for name in context.facts
    }
    demand["hot"] = Demand(
        tokens_per_ms=engines * TOKENS_PER_MS,
        last_requested_at=NOW,
        usual_requests_per_s=engines * 8.0,
    )
    context.orders = plan_models(
        FleetState(
            now=NOW,
            engines=tuple(context.engines),
            facts=context.facts,
            demand=demand,
            weight_store_loads_allowed=2,
            tokens_per_ms=TOKENS_PER_MS,
        )
    ).orders


def find_hot_model_orders(context: Any) -> list[Any]:
    return [
        order
        for order in context.orders
        if order.frees_memory_for == "hot" or (order.load and order.model == "hot")
    ]


@then("a further replica of the model is ordered")
def check_further_replica(context: Any) -> None:
    assert find_hot_model_orders(context), context.orders


@then("no further replica of the model is ordered")
def check_no_further_replica(context: Any) -> None:
    assert not find_hot_model_orders(context), context.orders


@given("an engine with a model requested 0.2 s ago, also held elsewhere, and one requested 8 s ago")
def hold_two_models(context: Any) -> None:
    context.engines = [
        EngineState(
            name=f"e{number}",
            availability_zone="x",
            capacity_mb=150.0,
            adapter_slots=5,
            sequence=0,
            busy=number > 0,
            models=dict.fromkeys(models, frozenset()),
        )
        for number, models in enumerate((("running", "resting"), ("running",)))
    ]
    context.demand = {
        "running": Demand(tokens_per_ms=0.5, last_requested_at=NOW - 0.2, usual_requests_per_s=0.4),
        "resting": Demand(last_requested_at=NOW - 8.0, usual_requests_per_s=0.05),
        "third": Demand(
            tokens_per_ms=20.0, waiting=8, last_requested_at=NOW, usual_requests_per_s=8.0
        ),
    }


@when("callers request a third model that does not fit beside them")
def request_third_model(context: Any) -> None:
    facts = {
        name: ModelFacts(name=name, size_mb=70.0, adapter_mb=1.0, load_s=LOAD_S)
        for name in context.demand
    }
    context.orders = plan_models(
        FleetState(
            now=NOW,
            engines=tuple(context.engines),
            facts=facts,
            demand=context.demand,
            weight_store_loads_allowed=2,
        )
    ).orders


@then("the model requested 8 s ago is unloaded")
def check_resting_unloaded(context: Any) -> None:
    assert [(order.load, order.model) for order in context.orders] == [(False, "resting")]


@given("4 engines full of models requested 0.5 s ago, each held twice")
def fill_engines(context: Any) -> None:
    held_models = (("m0", "m1"), ("m1", "m2"), ("m2", "m3"), ("m3", "m0"))
    context.engines = [
        EngineState(
            name=f"e{number}",
            availability_zone="x",
            capacity_mb=150.0,
            adapter_slots=5,
            sequence=0,
            busy=False,
            models=dict.fromkeys(models, frozenset()),
        )
        for number, models in enumerate(held_models)
    ]
    context.demand = {
        f"m{number}": Demand(
            tokens_per_ms=0.5, last_requested_at=NOW - 0.5, usual_requests_per_s=0.3
        )
        for number in range(4)
    }


@when("a plan is made while no request waits")
def plan_without_waiting(context: Any) -> None:
    request_third_model(context)


@then("nothing is unloaded")
def check_nothing_unloaded(context: Any) -> None:
    assert not context.orders, context.orders
