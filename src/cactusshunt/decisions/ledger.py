"""Memory ledger of one engine: its worst-case memory use and the orders that are allowed.

Each record is written to the store by compare-and-swap before its pending order is sent. A
former holder of the zone's lease therefore cannot send an order that its successor does not count.
Recording the intent before its effect follows "Treat Agent Tool Calls as a Commit Protocol"
(section "Sequence model: intent before effect"); ``docs/design/memory.md`` has the measurement.

An order is pending until its outcome is known (settled), or it is replaced or withdrawn. Unless it
was never sent, it is then lingering while a copy of it may still arrive. Both are outstanding.
Fencing tokens of orders count up per engine. ``clock_error_s`` is the largest clock difference
between this VM and the platform.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result

from cactusshunt.decisions.names import base_item_of
from cactusshunt.decisions.names import is_adapter
from cactusshunt.exceptions import LedgerError
from cactusshunt.schema.generated.messages import EngineRecord
from cactusshunt.schema.generated.messages import EngineReport
from cactusshunt.schema.generated.messages import Order
from cactusshunt.schema.generated.messages import Resident

if TYPE_CHECKING:
    from collections.abc import Iterable


def create_record(report: EngineReport, availability_zone: str) -> EngineRecord:
    """Return the first record of an engine, built from the engine's report."""
    return EngineRecord(
        engine=report.engine,
        availability_zone=availability_zone,
        capacity_mib=report.capacity_mib,
        fence=report.highest_fence,
        incarnation=report.incarnation,
        resident=_collect_residents(report),
        reported_at=report.taken_at,
    )


def worst_case_memory_mib(record: EngineRecord) -> int:
    """Return the largest amount of memory in MiB that the engine may be using.

    Counts every resident item, including one that is being unloaded until the engine confirms
    the unload, and each ordered load that may still arrive.
    """
    possible = {resident.item: resident.memory_mib for resident in record.resident}
    for order in outstanding_orders(record):
        if order.action == "load":
            possible.setdefault(order.item, order.memory_mib)
    return sum(possible.values())


def free_memory_mib(record: EngineRecord) -> int:
    """Return the memory in MiB that neither resident items nor outstanding loads can use."""
    return record.capacity_mib - worst_case_memory_mib(record)


def outstanding_orders(record: EngineRecord) -> list[Order]:
    """Return the orders that may still reach the engine, as originals or as late copies."""
    pending = [record.pending] if record.pending is not None else []
    return [*pending, *record.lingering]


def resident_items(record: EngineRecord) -> set[str]:
    """Return the names of the items in the engine's memory, loading ones included."""
    return {resident.item for resident in record.resident}


def record_order(record: EngineRecord, order: Order) -> Result[EngineRecord, LedgerError]:
    """Return the record with ``order`` as the pending order; store it before sending the order."""
    reason = _find_refusal_reason(record, order)
    if reason is not None:
        return Error(LedgerError(reason=reason, remedy="Plan again from the newest record."))
    return Ok(replace(record, fence=order.fence, pending=order))


def replace_order(record: EngineRecord, order: Order) -> Result[EngineRecord, LedgerError]:
    """Return the record with an unacknowledged order replaced by one with a higher fencing token.

    Only useful for engines that check fencing tokens. They reject the old order once they accept
    the new one, so the zone need not wait until the old order can no longer arrive. The memory of
    both orders is counted.
    """
    if record.pending is None:
        return record_order(record, order)
    superseded = replace(record, pending=None, lingering=[*record.lingering, record.pending])
    return record_order(superseded, order)


def withdraw_order(record: EngineRecord, order_id: str, *, sent: bool) -> EngineRecord:
    """Return the record without a pending order that was refused or never sent.

    A refused order that was sent is kept as lingering, since a copy of it may still arrive.
    """
    pending = record.pending
    if pending is None or pending.order_id != order_id:
        return record
    lingering = [*record.lingering, pending] if sent else record.lingering
    return replace(record, pending=None, lingering=lingering)


def apply_report(
    record: EngineRecord, report: EngineReport, *, clock_error_s: float
) -> EngineRecord:
    """Return the record updated from an engine's report; an older report changes nothing.

    A pending order is settled when the engine acknowledges it, or by a report taken after the last
    moment at which the order could arrive. Until then a settled order is kept as lingering: a copy
    of it may still arrive, even at an engine that lost its fencing token in a restart.
    """
    if report.taken_at <= record.reported_at:
        return record
    pending = record.pending
    lingering = list(record.lingering)
    if pending is not None and _is_settled(pending, report, clock_error_s):
        lingering.append(pending)
        pending = None
    return replace(
        record,
        capacity_mib=report.capacity_mib,
        incarnation=report.incarnation,
        resident=_collect_residents(report),
        pending=pending,
        lingering=[
            order for order in lingering if not _cannot_arrive_after(order, report, clock_error_s)
        ],
        reported_at=report.taken_at,
    )


def _collect_residents(report: EngineReport) -> list[Resident]:
    held = {resident.item: resident for resident in (*report.loading, *report.resident)}
    return [held[item] for item in sorted(held)]


def _is_settled(order: Order, report: EngineReport, clock_error_s: float) -> bool:
    """Tell whether the report shows the final outcome of the order."""
    if order.order_id in report.settled_orders:
        return True
    if any(resident.item == order.item for resident in report.loading):
        return False
    return _cannot_arrive_after(order, report, clock_error_s)


def _cannot_arrive_after(order: Order, report: EngineReport, clock_error_s: float) -> bool:
    """Tell whether no copy of the order can arrive after the report was taken."""
    return report.taken_at > order.arrives_before + clock_error_s


def _find_refusal_reason(record: EngineRecord, order: Order) -> str | None:
    if record.pending is not None:
        return f"Order {record.pending.order_id} to {record.engine} is not settled."
    if order.fence <= record.fence:
        return f"Fencing token {order.fence} is not above the recorded {record.fence}."
    if any(_conflicts_with(lingering, order) for lingering in record.lingering):
        return f"An opposite order for {order.item} may still arrive at {record.engine}."
    if order.action == "load":
        return _find_load_refusal_reason(record, order)
    return _find_unload_refusal_reason(record, order)


def _conflicts_with(lingering: Order, order: Order) -> bool:
    return lingering.item == order.item and lingering.action != order.action


def _find_load_refusal_reason(record: EngineRecord, order: Order) -> str | None:
    if order.item in resident_items(record):
        return f"{order.item} is already in the memory of {record.engine}."
    if order.memory_mib > free_memory_mib(record):
        return (
            f"{order.item} needs {order.memory_mib} MiB but {record.engine} may have only "
            f"{free_memory_mib(record)} MiB free."
        )
    return None


def _find_unload_refusal_reason(record: EngineRecord, order: Order) -> str | None:
    if order.item not in resident_items(record):
        return f"{order.item} is not in the memory of {record.engine}."
    if is_adapter(order.item):
        return None
    if any(_depends_on(other, order.item) for other in _possible_items(record)):
        return f"Adapters of {order.item} are still in the memory of {record.engine}."
    return None


def _possible_items(record: EngineRecord) -> Iterable[str]:
    yield from resident_items(record)
    yield from (order.item for order in outstanding_orders(record) if order.action == "load")


def _depends_on(item: str, base_item: str) -> bool:
    return is_adapter(item) and base_item_of(item) == base_item
