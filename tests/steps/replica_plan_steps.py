"""Steps on how many replicas a plan gives a model, and on what it unloads."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from behave import given
from behave import then
from behave import when

from cactusshunt.placement.fleet_state import Demand
from cactusshunt.placement.fleet_state import EngineState
from cactusshunt.placement.fleet_state import FleetState
from cactusshunt.placement.fleet_state import ModelFacts
from cactusshunt.placement.fleet_state import WeightSource
from cactusshunt.placement.model_plan import plan_models

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
