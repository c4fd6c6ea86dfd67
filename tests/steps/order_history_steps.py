"""Steps on an engine whose orders are lost, late or duplicated, on ledger and planner alone."""

from __future__ import annotations

import random

from typing import Any

from behave import given
from behave import then

from cactusshunt.placement.engine_ledger import EngineLedger
from cactusshunt.placement.fleet_state import Demand
from cactusshunt.placement.fleet_state import FleetState
from cactusshunt.placement.fleet_state import ModelFacts
from cactusshunt.placement.fleet_state import PlannedOrder
from cactusshunt.placement.fleet_state import WeightSource
from cactusshunt.placement.model_plan import plan_models
from cactusshunt.platform.documents import EngineReport
from cactusshunt.platform.documents import LoadedModel

CAPACITY_MB = 110.0
NOW = 1_000.0
SIZES_MB = {"a": 30.0, "b": 35.0, "c": 40.0, "d": 45.0, "e": 50.0, "f": 55.0, "g": 60.0, "h": 65.0}
MODELS = list(SIZES_MB)
LOAD_S = {WeightSource.MEMORY: 0.6, WeightSource.DISK: 0.8, WeightSource.STORE: 1.2}
FACTS = {
    name: ModelFacts(name=name, size_mb=size, adapter_mb=1.0, load_s=LOAD_S)
    for name, size in SIZES_MB.items()
}


def used_mb(models: dict[str, list[str]]) -> float:
    return sum(SIZES_MB[model] for model in models)


class FakeEngine:
    """An engine that carries out one order at a time; ``late`` orders arrive after a delay."""

    def __init__(self) -> None:
        self.sequence = 0
        self.born = 1
        self.models: dict[str, list[str]] = {}
        self.late: list[PlannedOrder] = []
        self.under_way: PlannedOrder | None = None

    def take(self, order: PlannedOrder) -> bool:
        if self.under_way is not None or order.expected != self.sequence:
            return False
        if order.load and order.model in self.models:
            return True
        self.sequence += 1
        self.under_way = order
        if order.load:
            assert used_mb(self.models) + SIZES_MB[order.model] <= CAPACITY_MB
        return True

    def finish(self) -> None:
        order, self.under_way = self.under_way, None
        if order is None:
            return
        if order.load:
            self.models[order.model] = []
        else:
            self.models.pop(order.model, None)

    def report(self) -> EngineReport:
        held = [LoadedModel(name=name) for name in self.models]
        return EngineReport(
            models=held,
            sequence=self.sequence,
            born=self.born,
            busy=self.under_way is not None,
        )


@given("engines that lose, delay and double orders and restart at any moment")
def make_faulty_engines(context: Any) -> None:
    context.seeds = range(150)


@then("in every history no engine holds more than fits")
def check_histories(context: Any) -> None:
    for seed in context.seeds:
        play_history(random.Random(seed))


def play_history(draw: random.Random) -> None:
    engine = FakeEngine()
    ledger = EngineLedger(name="e0", born=1)
    now = NOW
    for _ in range(80):
        now += draw.uniform(0.05, 1.0)
        ledger.expire_reservation(now)
        if draw.random() < 0.5:
            engine.finish()
        if ledger.confirm_due_at is not None and ledger.confirm_due_at <= now:
            confirm_load(engine, ledger, now)
        if engine.late and draw.random() < 0.3:
            engine.take(engine.late.pop(draw.randrange(len(engine.late))))
        if draw.random() < 0.5:
            ledger.apply_report(engine.report(), now)
        if not ledger.can_take_order(now):
            continue
        orders = plan_models(describe_fleet(ledger, draw, now)).orders
        for order in orders:
            send_order(engine, ledger, order, draw, now)


def describe_fleet(ledger: EngineLedger, draw: random.Random, now: float) -> FleetState:
    state = ledger.describe(
        availability_zone="x", capacity_mb=CAPACITY_MB, adapter_slots=8, running=0.0, now=now
    )
    demand = {
        model: Demand(tokens_per_ms=draw.uniform(0, 30), waiting=1, last_requested_at=now)
        for model in draw.sample(MODELS, 3)
    }
    return FleetState(
        now=now, engines=(state,), facts=FACTS, demand=demand, weight_store_loads_allowed=3
    )


def send_order(
    engine: FakeEngine,
    ledger: EngineLedger,
    order: PlannedOrder,
    draw: random.Random,
    now: float,
) -> None:
    fate = draw.random()
    if fate < 0.2:
        engine.late.append(order)
        ledger.report_due_at = now
    elif fate < 0.35:
        engine.take(order)
        ledger.report_due_at = now
    elif engine.take(order):
        ledger.apply_accepted_order(order, now, 0.0)
        if draw.random() < 0.2:
            engine.late.append(order)
    else:
        ledger.record_conflict(now)


def confirm_load(engine: FakeEngine, ledger: EngineLedger, now: float) -> None:
    assert ledger.loading is not None
    order = PlannedOrder(
        engine="e0", load=True, model=ledger.loading, expected=ledger.sequence, reason="again"
    )
    before = engine.sequence
    if engine.take(order) and engine.sequence == before:
        ledger.record_loaded()
    else:
        ledger.record_conflict(now)
