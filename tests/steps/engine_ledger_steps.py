"""Steps on the order holder's ledger of one engine."""

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


def accept_order(context: Any, order: PlannedOrder, load_s: float) -> None:
    context.ledger = EngineLedger(name="e0", born=1)
    report = EngineReport(models=[LoadedModel(name="old")], sequence=3, born=1)
    context.ledger.apply_report(report, NOW - 1.0)
    context.ledger.apply_accepted_order(order, NOW, load_s)


@given("an engine that accepted an unload to free memory for a load")
def accept_unload(context: Any) -> None:
    order = PlannedOrder(engine="e0", load=False, model="old", expected=3, frees_memory_for="new")
    accept_order(context, order, 2.0)


@then("the next order may be sent after at most {ms:d} ms")
def check_next_order(context: Any, ms: int) -> None:
    assert context.ledger.can_take_order(NOW + ms / 1000.0)


@then("an order that it refuses in the meantime is retried after at most {ms:d} ms")
def check_order_retry(context: Any, ms: int) -> None:
    context.ledger.record_conflict(NOW + 0.1)
    assert not context.ledger.can_take_order(NOW + 0.1)
    assert context.ledger.can_take_order(NOW + 0.1 + ms / 1000.0)


@then("after at most {seconds:d} second of refusals its report is read")
def check_report_read(context: Any, seconds: int) -> None:
    context.ledger.record_conflict(NOW + seconds)
    assert context.ledger.report_due_at is not None
    assert not context.ledger.can_take_order(NOW + seconds)


@given("an engine that accepted a load of {seconds:d} seconds")
def accept_load(context: Any, seconds: int) -> None:
    order = PlannedOrder(engine="e0", load=True, model="new", expected=3)
    accept_order(context, order, float(seconds))


@then("the load is ordered again after {seconds:d} seconds")
def check_load_confirmation(context: Any, seconds: int) -> None:
    assert context.ledger.confirm_due_at == NOW + seconds
    assert not context.ledger.can_take_order(NOW + seconds)


@when("the engine answers that it holds the model")
def answer_loaded(context: Any) -> None:
    context.ledger.record_loaded()


@then("the next order may be sent at once")
def check_next_order_at_once(context: Any) -> None:
    assert context.ledger.can_take_order(NOW + 2.0)
    assert "new" in context.ledger.models


def expected_loads_ms(context: Any, now: float) -> list[int]:
    return [round(left * 1000) for left in context.ledger.list_coming(now).values()]


@then("the model is expected in {ms:d} ms")
def check_expected_load(context: Any, ms: int) -> None:
    assert expected_loads_ms(context, NOW) == [ms]


@then("when it is {late:d} ms late, it is expected in {ms:d} ms, the retry interval")
def check_expected_late_load(context: Any, late: int, ms: int) -> None:
    assert expected_loads_ms(context, NOW + 2.0 + late / 1000.0) == [ms]


@then("no load is expected")
def check_no_expected_load(context: Any) -> None:
    assert expected_loads_ms(context, NOW + 2.0) == []


@when("the load that follows gets no answer")
def leave_unanswered(context: Any) -> None:
    context.ledger.record_unanswered_order(NOW + 0.2)


@then("its report is read and the unanswered order is recorded")
def check_unanswered_recorded(context: Any) -> None:
    assert context.ledger.report_due_at == NOW + 0.2
    state = context.ledger.describe(
        availability_zone="x", capacity_mb=100.0, adapter_slots=1, running=0.0, now=NOW + 0.5
    )
    assert state.since_unanswered_s < 1.0
    assert state.reserved_for is None


@when("its load is not ordered for {seconds:d} seconds, longer than a reservation")
def let_reservation_expire(context: Any, seconds: int) -> None:
    context.now = NOW + seconds
    context.ledger.expire_reservation(context.now)


@then("nothing is ordered before its report is read")
def check_report_before_order(context: Any) -> None:
    assert not context.ledger.can_take_order(context.now)
    report = EngineReport(models=[], sequence=4, born=1)
    context.ledger.apply_report(report, context.now)
    assert context.ledger.can_take_order(context.now)
