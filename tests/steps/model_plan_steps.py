"""Steps on placement plans: models, adapters and the rate of loads from the weight store."""

from __future__ import annotations

import random

from typing import Any

from behave import given
from behave import then
from behave import when
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies as st

from cactusshunt.placement.adapter_plan import plan_adapters
from cactusshunt.placement.fleet_state import Demand
from cactusshunt.placement.fleet_state import EngineState
from cactusshunt.placement.fleet_state import FleetState
from cactusshunt.placement.fleet_state import ModelFacts
from cactusshunt.placement.fleet_state import PlannedOrder
from cactusshunt.placement.fleet_state import WeightSource
from cactusshunt.placement.load_rate import LoadRateLimiter
from cactusshunt.placement.model_plan import plan_models

MODELS = [f"m{number}" for number in range(12)]
SIZES_MB = {model: 30.0 + 5.0 * (number % 4) for number, model in enumerate(MODELS)}
FACTS = {
    model: ModelFacts(
        name=model,
        size_mb=size,
        adapter_mb=1.0,
        load_s={WeightSource.MEMORY: 0.6, WeightSource.DISK: 0.8, WeightSource.STORE: 1.2},
    )
    for model, size in SIZES_MB.items()
}
CAPACITY_MB = 110.0
NOW = 1_000.0


def used_mb(models: dict[str, Any]) -> float:
    return sum(SIZES_MB[model] + len(adapters) for model, adapters in models.items())


@st.composite
def fleets(draw: Any) -> FleetState:
    engines = []
    for number in range(draw(st.integers(1, 6))):
        held: dict[str, frozenset[str]] = {}
        for model in draw(st.lists(st.sampled_from(MODELS), unique=True, max_size=3)):
            if used_mb(held) + SIZES_MB[model] <= CAPACITY_MB:
                held[model] = frozenset()
        reserved = draw(st.one_of(st.none(), st.sampled_from(MODELS)))
        engines.append(
            EngineState(
                name=f"e{number}",
                availability_zone=draw(st.sampled_from(("x", "y"))),
                capacity_mb=CAPACITY_MB,
                adapter_slots=8,
                sequence=number,
                busy=draw(st.booleans()),
                models=held,
                reserved_for=reserved,
                on_disk=frozenset(draw(st.lists(st.sampled_from(MODELS), max_size=4))),
            )
        )
    demand = {}
    for model in draw(st.lists(st.sampled_from(MODELS), unique=True)):
        demand[model] = Demand(
            tokens_per_ms=draw(st.floats(0.0, 60.0)),
            waiting=draw(st.integers(0, 3)),
            last_requested_at=NOW - draw(st.floats(0.0, 30.0)),
            usual_requests_per_s=draw(st.floats(0.0, 5.0)),
        )
    return FleetState(
        now=NOW,
        observed_s=draw(st.floats(0.0, 100.0)),
        engines=tuple(engines),
        facts=FACTS,
        demand=demand,
        weight_store_loads_allowed=draw(st.integers(0, 3)),
    )


def check_any_plan(check: Any) -> None:
    @given_any(fleets())
    @settings(max_examples=400)
    def run(state: FleetState) -> None:
        check(state, plan_models(state).orders)

    run()


@given("arbitrary fleets, demands and states")
def make_fleets(context: Any) -> None:
    context.check = check_any_plan


@then("every planned load fits its engine")
def check_loads_fit(context: Any) -> None:
    def check(state: FleetState, orders: list[PlannedOrder]) -> None:
        by_name = {engine.name: engine for engine in state.engines}
        for order in orders:
            engine = by_name[order.engine]
            assert not engine.busy
            assert order.expected == engine.sequence
            if order.load:
                assert order.model not in engine.models
                assert used_mb(dict(engine.models)) + SIZES_MB[order.model] <= CAPACITY_MB
            else:
                assert order.model in engine.models

    context.check(check)


@then("no last replica that requests wait for is unloaded")
def check_requested_kept(context: Any) -> None:
    def check(state: FleetState, orders: list[PlannedOrder]) -> None:
        for model, demand in state.demand.items():
            unloaded = sum(not order.load and order.model == model for order in orders)
            held = sum(model in engine.models for engine in state.engines)
            if demand.waiting and unloaded and state.now - demand.last_requested_at < 1.0:
                assert held > unloaded, (model, held, unloaded)

    context.check(check)


@then("no engine gets two orders at once")
def check_one_order_each(context: Any) -> None:
    def check(state: FleetState, orders: list[PlannedOrder]) -> None:
        names = [order.engine for order in orders]
        assert len(names) == len(set(names))

    context.check(check)


@given("{engines:d} engines of 3 slots, {busy:d} busy models and {rare:d} rare ones")
def make_busy_fleet(context: Any, engines: int, busy: int, rare: int) -> None:
    names = [f"b{n}" for n in range(busy)] + [f"r{n}" for n in range(rare)]
    context.facts = {
        name: ModelFacts(name=name, size_mb=70.0, adapter_mb=1.0, load_s=FACTS["m0"].load_s)
        for name in names
    }
    slots = names[: engines * 3]
    context.busy = names[:busy]
    context.rare = names[busy:]
    context.held = {f"e{n}": set(slots[n::engines]) for n in range(engines)}
    context.random = random.Random(3)


@when("rare models are requested one after the other for {seconds:d} seconds")
def request_rare(context: Any, seconds: int) -> None:
    requested = dict.fromkeys(context.rare[:8], (NOW - 1.0, 0.18))
    context.lost_replicas = []
    for tick in range(seconds * 4):
        now = NOW + tick * 0.25
        rare = context.random.choice(context.rare)
        requested[rare] = (now, 0.18)
        demand = {
            name: Demand(tokens_per_ms=8.0, last_requested_at=now, usual_requests_per_s=4.0)
            for name in context.busy
        }
        for name, (at, usual) in requested.items():
            waiting = int(name == rare and not any(name in m for m in context.held.values()))
            demand[name] = Demand(
                tokens_per_ms=0.3, waiting=waiting, last_requested_at=at, usual_requests_per_s=usual
            )
        state = FleetState(
            now=now,
            engines=tuple(
                EngineState(
                    name=name,
                    availability_zone="x",
                    capacity_mb=230.0,
                    adapter_slots=8,
                    sequence=0,
                    busy=False,
                    models=dict.fromkeys(held, frozenset()),
                )
                for name, held in context.held.items()
            ),
            facts=context.facts,
            demand=demand,
            weight_store_loads_allowed=2,
            observed_s=now - NOW + 30.0,
        )
        for order in plan_models(state).orders:
            held = context.held[order.engine]
            held.discard(order.model) if not order.load else held.add(order.model)
        for name in context.busy:
            if not any(name in held for held in context.held.values()):
                context.lost_replicas.append((now, name))


@then("every busy model keeps a replica")
def check_busy_kept(context: Any) -> None:
    assert not context.lost_replicas, context.lost_replicas[:3]


@given("a weight store that allows {rate:g} loads a second")
def make_weight_store(context: Any, rate: float) -> None:
    context.rate = rate


@when("the order holder changes every {seconds:d} seconds and each starts as many loads as allowed")
def change_holders(context: Any, seconds: int) -> None:
    context.loads = []
    for number in range(20):
        limiter = LoadRateLimiter(now=number * float(seconds))
        limiter.set_rate(context.rate)
        for tick in range(seconds * 50):
            now = number * seconds + tick * 0.02
            for _ in range(limiter.count_allowed(now)):
                limiter.spend()
                context.loads.append(now)


@then("no 5 seconds contain more than {most:d} loads: the rate, a tenth of it and 3 loads")
def check_load_rate(context: Any, most: int) -> None:
    for start in context.loads:
        assert sum(start <= at < start + 5.0 for at in context.loads) <= most


@given("an engine whose 8 adapter slots are full")
def fill_adapter_slots(context: Any) -> None:
    context.engine = EngineState(
        name="e0",
        availability_zone="x",
        capacity_mb=CAPACITY_MB,
        adapter_slots=8,
        sequence=5,
        busy=False,
        models={"m0": frozenset(f"a{n}" for n in range(8))},
    )


def plan_ninth_adapter(context: Any, waiting: int) -> list[PlannedOrder]:
    demand = {
        ("m0", f"a{n}"): Demand(tokens_per_ms=0.1, last_requested_at=NOW - n) for n in range(8)
    }
    demand[("m0", "a9")] = Demand(tokens_per_ms=1.0, waiting=waiting, last_requested_at=NOW)
    state = FleetState(now=NOW, engines=(context.engine,), facts=FACTS, adapter_demand=demand)
    return plan_adapters(state, frozenset()).orders


@when("a request waits for a ninth adapter")
def request_ninth_adapter(context: Any) -> None:
    context.orders = plan_ninth_adapter(context, 1)


@then("the least recently requested adapter is unloaded")
def check_oldest_unloaded(context: Any) -> None:
    assert [(order.load, order.adapter) for order in context.orders] == [(False, "a7")]


@then("nothing is unloaded for an adapter that no request waits for")
def check_nothing_unloaded(context: Any) -> None:
    assert plan_ninth_adapter(context, 0) == []


def plan_for_rare_model(context: Any, engines: list[dict[str, Any]], refused: int) -> None:
    """Plan while a request waits for the model ``rare``, and others as in ``context.demand``."""
    context.demand["rare"] = Demand(
        tokens_per_ms=0.5, waiting=1, last_requested_at=NOW, unserved_requests=refused
    )
    load_s = FACTS["m0"].load_s
    facts = {
        name: ModelFacts(name=name, size_mb=70.0, adapter_mb=1.0, load_s=load_s)
        for name in context.demand
    }
    context.orders = plan_models(
        FleetState(
            now=NOW,
            engines=tuple(
                EngineState(
                    name=f"e{number}",
                    availability_zone="x",
                    adapter_slots=8,
                    sequence=0,
                    busy=False,
                    **fields,
                )
                for number, fields in enumerate(engines)
            ),
            facts=facts,
            demand=context.demand,
            weight_store_loads_allowed=100,
        )
    ).orders


@given("{engines:d} engines without models, and {busy:d} busy models that need replicas")
def make_empty_engines(context: Any, engines: int, busy: int) -> None:
    context.engines = [{"capacity_mb": 230.0, "models": {}}] * engines
    context.demand = {
        f"b{number}": Demand(tokens_per_ms=30.0, last_requested_at=NOW, usual_requests_per_s=15.0)
        for number in range(busy)
    }


@given("an engine for one more model, and a busy model that needs a second replica")
def make_one_slot(context: Any) -> None:
    context.engines = [
        {"capacity_mb": 80.0, "models": {"busy": frozenset()}},
        {"capacity_mb": 80.0, "models": {}},
    ]
    context.demand = {
        "busy": Demand(tokens_per_ms=20.0, last_requested_at=NOW, usual_requests_per_s=10.0)
    }


@when("a request waits for a rare model")
def request_rare_model(context: Any) -> None:
    plan_for_rare_model(context, context.engines, 0)


@when("a request waits for a rare model after {refused:d} refused ones")
def request_refused_model(context: Any, refused: int) -> None:
    plan_for_rare_model(context, context.engines, refused)


@then("the plan loads the {model} model")
def check_model_loaded(context: Any, model: str) -> None:
    assert any(order.load and order.model == model for order in context.orders), context.orders
