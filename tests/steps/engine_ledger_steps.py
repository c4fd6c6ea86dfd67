"""Steps on what the order holder knows of one engine."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import then
from behave import when

from cactusshunt.placement.engine_ledger import EngineLedger
from cactusshunt.placement.fleet_state import PlannedOrder
from cactusshunt.platform.documents import EngineReport
from cactusshunt.platform.documents import LoadedModel

NOW = 1_000.0


def accept(context: Any, order: PlannedOrder, load_s: float) -> None:
    context.ledger = EngineLedger(name="e0", born=1)
    report = EngineReport(models=[LoadedModel(name="old")], sequence=3, born=1)
    context.ledger.apply_report(report, NOW - 1.0)
    context.ledger.apply_accepted_order(order, NOW, load_s)


@given("an engine that accepted an unload that makes room")
def accept_unload(context: Any) -> None:
    order = PlannedOrder(engine="e0", load=False, model="old", expected=3, makes_room_for="new")
    accept(context, order, 2.0)


@then("the next order may be given {ms:d} ms later")
def check_next(context: Any, ms: int) -> None:
    assert context.ledger.can_take_order(NOW + ms / 1000.0)


@then("an order that it refuses meanwhile is tried again {ms:d} ms later")
def check_again(context: Any, ms: int) -> None:
    context.ledger.record_conflict(NOW + 0.1)
    assert not context.ledger.can_take_order(NOW + 0.1)
    assert context.ledger.can_take_order(NOW + 0.1 + ms / 1000.0)


@then("after {seconds:d} second of refusals its report is read")
def check_report(context: Any, seconds: int) -> None:
    context.ledger.record_conflict(NOW + seconds)
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
    context.ledger.record_loaded()


@then("the next order may be given at once")
def check_free(context: Any) -> None:
    assert context.ledger.can_take_order(NOW + 2.0)
    assert "new" in context.ledger.models


def told_ms(context: Any, now: float) -> list[int]:
    return [round(left * 1000) for left in context.ledger.list_coming(now).values()]


@then("callers are told that it comes in {ms:d} ms")
def check_told(context: Any, ms: int) -> None:
    assert told_ms(context, NOW) == [ms]


@then("{late:d} ms after its time they are told that it comes in {ms:d} ms")
def check_told_late(context: Any, late: int, ms: int) -> None:
    assert told_ms(context, NOW + 2.0 + late / 1000.0) == [ms]


@then("callers are told of no load")
def check_told_none(context: Any) -> None:
    assert told_ms(context, NOW + 2.0) == []


@when("the load that follows gets no answer")
def leave_unanswered(context: Any) -> None:
    context.ledger.record_unanswered_order(NOW + 0.2)


@then("its report is read and the engine is in doubt")
def check_doubt(context: Any) -> None:
    assert context.ledger.report_due_at == NOW + 0.2
    state = context.ledger.describe(
        availability_zone="x", capacity_mb=100.0, adapter_limit=1, running=0.0, now=NOW + 0.5
    )
    assert state.unanswered_s < 1.0
    assert state.reserved_for is None


@when("its load is not given for {seconds:d} seconds")
def let_expire(context: Any, seconds: int) -> None:
    context.now = NOW + seconds
    context.ledger.expire_reservation(context.now)


@then("nothing is ordered before its report is read")
def check_asked(context: Any) -> None:
    assert not context.ledger.can_take_order(context.now)
    report = EngineReport(models=[], sequence=4, born=1)
    context.ledger.apply_report(report, context.now)
    assert context.ledger.can_take_order(context.now)
