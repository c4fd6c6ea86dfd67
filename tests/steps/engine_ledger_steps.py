"""Steps on what the order holder knows of one engine."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import then
from behave import when

from cactusshunt.placement.engine_ledger import EngineLedger
from cactusshunt.placement.fleet_state import PlannedOrder
from cactusshunt.platform.documents import EngineReport
from cactusshunt.platform.documents import HeldModel

NOW = 1_000.0


def accept(context: Any, order: PlannedOrder, load_s: float) -> None:
    context.ledger = EngineLedger(name="e0", born=1)
    report = EngineReport(models=[HeldModel(name="old")], sequence=3, born=1)
    context.ledger.take_report(report, NOW - 1.0)
    context.ledger.take_accepted(order, NOW, load_s)


@given("an engine that accepted an unload that makes room")
def accept_unload(context: Any) -> None:
    order = PlannedOrder(engine="e0", load=False, model="old", expected=3, makes_room_for="new")
    accept(context, order, 2.0)


@then("the next order may be given {ms:d} ms later")
def check_next(context: Any, ms: int) -> None:
    assert context.ledger.can_take_order(NOW + ms / 1000.0)


@then("an order that it refuses meanwhile is tried again {ms:d} ms later")
def check_again(context: Any, ms: int) -> None:
    context.ledger.take_conflict(NOW + 0.1)
    assert not context.ledger.can_take_order(NOW + 0.1)
    assert context.ledger.can_take_order(NOW + 0.1 + ms / 1000.0)


@then("after {seconds:d} second of refusals its report is read")
def check_report(context: Any, seconds: int) -> None:
    context.ledger.take_conflict(NOW + seconds)
    assert context.ledger.report_due_at is not None
    assert not context.ledger.can_take_order(NOW + seconds)


@given("an engine that accepted a load of {seconds:d} seconds")
def accept_load(context: Any, seconds: int) -> None:
    order = PlannedOrder(engine="e0", load=True, model="new", expected=3)
    accept(context, order, float(seconds))


@then("the load is ordered once more after {seconds:d} seconds")
def check_confirm(context: Any, seconds: int) -> None:
    assert context.ledger.confirm_due_at == NOW + seconds
    assert not context.ledger.can_take_order(NOW + seconds)


@when("the engine answers that it holds the model")
def answer_held(context: Any) -> None:
    context.ledger.take_loaded()


@then("the next order may be given at once")
def check_free(context: Any) -> None:
    assert context.ledger.can_take_order(NOW + 2.0)
    assert "new" in context.ledger.models
