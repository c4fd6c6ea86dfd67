"""Placement in one zone: updates engine records from reports, plans, and sends orders.

Runs at every node, but plans and sends orders only while this node holds the zone's lease.
"""

from __future__ import annotations

import uuid

from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

from logbook import Logger
from twisted.internet.defer import Deferred
from twisted.internet.defer import DeferredList

from cactusshunt.decisions.catalogue import Catalogue
from cactusshunt.decisions.demand import DemandEstimates
from cactusshunt.decisions.ledger import apply_report
from cactusshunt.decisions.ledger import create_record
from cactusshunt.decisions.ledger import outstanding_orders
from cactusshunt.decisions.ledger import record_order
from cactusshunt.decisions.ledger import replace_order
from cactusshunt.decisions.ledger import resident_items
from cactusshunt.decisions.ledger import withdraw_order
from cactusshunt.decisions.placement_input import EngineView
from cactusshunt.decisions.placement_input import PlacementInput
from cactusshunt.decisions.placement_input import Plan
from cactusshunt.decisions.placement_input import RemoteEngine
from cactusshunt.decisions.planner import make_plan
from cactusshunt.exceptions import OrderNotSentError
from cactusshunt.exceptions import OrderRefusedError
from cactusshunt.schema.generated.messages import ItemRate
from cactusshunt.schema.generated.messages import Order
from cactusshunt.tasks.control_messages import DemandReported
from cactusshunt.tasks.control_messages import RatesEstimated
from cactusshunt.tasks.control_messages import SettingsAdopted
from cactusshunt.tasks.engine_records import EngineRecords
from cactusshunt.tasks.periodic import Periodic
from cactusshunt.tasks.periodic import start_coroutine

if TYPE_CHECKING:
    from expression import Result
    from twisted.internet.base import ReactorBase

    from cactusshunt.clients.engine import EngineControl
    from cactusshunt.clients.store import Store
    from cactusshunt.decisions.membership import Membership
    from cactusshunt.decisions.placement_input import PlannedOrder
    from cactusshunt.exceptions import LedgerError
    from cactusshunt.schema.generated.messages import EngineRecord
    from cactusshunt.schema.generated.messages import EngineReport
    from cactusshunt.schema.generated.messages import Vm
    from cactusshunt.schema.generated.process import ProcessSettings
    from cactusshunt.schema.generated.settings import UpstreamKind
    from cactusshunt.tasks.lease_task import LeaseTask
    from cactusshunt.tasks.message_bus import MessageBus
    from cactusshunt.tasks.routing_task import RoutingTask

log = Logger("placement")

PLANNING_INTERVAL_S = 1.0
REPORT_TIMEOUT_S = 1.0
ORDER_TIMEOUT_S = 2.0  # an order is sent within this time of being recorded, or not at all
REPORT_MAX_AGE_S = 10.0  # not used: planning allows twice IDLE_REPORT_INTERVAL_S
IDLE_REPORT_INTERVAL_S = 30.0  # between report requests to engines without outstanding orders
MAX_ORDERS_PER_ROUND = 16
ORDER_REPLACEMENT_DELAY_S = 3.0  # from sending an order to replacing it if unacknowledged


class PlacementTask:
    """Plans the zone and maintains its engine records while this node holds the lease."""

    def __init__(
        self,
        *,
        reactor: ReactorBase,
        bus: MessageBus,
        store: Store,
        engines: EngineControl,
        lease: LeaseTask,
        membership: Membership,
        routing: RoutingTask,
        settings: ProcessSettings,
    ) -> None:
        self._reactor = reactor
        self._bus = bus
        self._engines = engines
        self._lease = lease
        self._membership = membership
        self._routing = routing
        self._settings = settings
        self._clock_error_s = settings.clock_error_ms / 1000
        self._records = EngineRecords(
            store=store,
            availability_zone=settings.availability_zone,
            clock_error_s=self._clock_error_s,
        )
        self._catalogue = Catalogue()
        self._has_settings = False
        self._demand = DemandEstimates()
        self._reports: dict[str, EngineReport] = {}
        self._reported_at: dict[str, float] = {}
        self._other_zone_rates: dict[tuple[str, str], ItemRate] = {}
        self._unheld_since: dict[str, float] = {}
        self._records_lease_fence = 0
        self._plan = Plan()
        self.orders_sent = 0
        self._planning_rounds = Periodic(
            reactor=reactor, interval_s=PLANNING_INTERVAL_S, run=self._run_planning_round
        )
        bus.subscribe(SettingsAdopted, self._receive_settings)
        bus.subscribe(DemandReported, self._receive_demand)
        bus.subscribe(RatesEstimated, self._receive_rates)

    def start(self) -> None:
        """Start planning."""
        self._planning_rounds.start()

    def stop(self) -> None:
        """Stop planning and sending orders."""
        self._planning_rounds.stop()

    def dump(self) -> dict[str, Any]:
        """Return this task's state."""
        return {
            "records": list(self._records.records.values()),
            "out_of_reach": list(self._plan.out_of_reach),
            "planned": list(self._plan.orders),
            "orders_sent": self.orders_sent,
            "demand": self._demand.rates(),
        }

    def _receive_settings(self, message: SettingsAdopted) -> None:
        self._catalogue = message.catalogue
        self._has_settings = True

    def _receive_demand(self, message: DemandReported) -> None:
        self._demand.add(message.demand)

    def _receive_rates(self, message: RatesEstimated) -> None:
        for rate in message.rates:
            if rate.availability_zone != self._settings.availability_zone:
                self._other_zone_rates[(rate.availability_zone, rate.item)] = rate

    async def _run_planning_round(self) -> None:
        now = self._reactor.seconds()
        self._demand.update(now)
        self._publish_rates()
        if not self._lease.is_held() or not self._has_settings:
            return
        if self._records_lease_fence != self._lease.fence:
            self._records.invalidate()
            self._records_lease_fence = self._lease.fence
        if not self._records.is_current and not await self._records.load(now):
            return
        await self._read_reports(now)
        await self._apply_reports()
        await self._remove_unlisted_engines()
        await self._replace_lost_orders()
        await self._send_planned_orders()

    def _list_zone_engines(self) -> list[Vm]:
        return [
            vm
            for vm in self._membership.vms
            if vm.role == "engine" and vm.availability_zone == self._settings.availability_zone
        ]

    async def _read_reports(self, now: float) -> None:
        due = [vm for vm in self._list_zone_engines() if self._is_report_due(vm.vm, now)]
        await DeferredList([Deferred.fromCoroutine(self._read_report(vm)) for vm in due])

    def _is_report_due(self, engine: str, now: float) -> bool:
        record = self._records.records.get(engine)
        if record is None or outstanding_orders(record):
            return True
        state = self._routing.state_of(engine)
        report = self._reports.get(engine)
        if report is None or now - self._reported_at.get(engine, 0.0) > IDLE_REPORT_INTERVAL_S:
            return True
        items = sorted(resident.item for resident in report.resident)
        return state is not None and list(state.items) != items

    async def _read_report(self, vm: Vm) -> None:
        result = await self._engines.fetch_report(
            vm.address, deadline=self._reactor.seconds() + REPORT_TIMEOUT_S
        )
        if result.is_ok() and result.ok.engine == vm.vm:
            self._reports[vm.vm] = result.ok
            self._reported_at[vm.vm] = self._reactor.seconds()

    async def _apply_reports(self) -> None:
        for engine, report in list(self._reports.items()):
            record = self._records.records.get(engine)
            if record is None:
                await self._write_updated_record(
                    create_record(report, self._settings.availability_zone), None
                )
                continue
            settled = apply_report(record, report, clock_error_s=self._clock_error_s)
            if replace(settled, reported_at=record.reported_at) == record:
                continue
            released = record.pending if settled.pending is None else None
            await self._write_updated_record(settled, released)

    async def _write_updated_record(self, record: EngineRecord, released: Order | None) -> bool:
        return await self._records.write_updated(
            record, released=released, created=self._lease_condition(), now=self._reactor.seconds()
        )

    def _lease_condition(self) -> dict[str, int]:
        """Return the store condition that rejects writes after this node has lost the lease."""
        return {self._lease.key: self._lease.fence}

    async def _remove_unlisted_engines(self) -> None:
        listed = {vm.vm for vm in self._list_zone_engines()}
        if not listed:
            return
        for engine, record in list(self._records.records.items()):
            if engine not in listed and not outstanding_orders(record):
                self._reports.pop(engine, None)
                await self._records.remove(
                    engine, created=self._lease_condition(), now=self._reactor.seconds()
                )

    async def _replace_lost_orders(self) -> None:
        """Replace orders that a fence-checking engine has not acknowledged in time."""
        now = self._reactor.seconds()
        for engine, record in list(self._records.records.items()):
            pending = record.pending
            report = self._reports.get(engine)
            if pending is None or report is None or not self._get_kind(engine).checks_fence:
                continue
            sent_at = pending.sent_before - ORDER_TIMEOUT_S
            if report.highest_fence >= pending.fence or now < sent_at + ORDER_REPLACEMENT_DELAY_S:
                continue
            order = self._make_order(record, pending.action, pending.item, pending.memory_mib)
            order = replace(order, slot=pending.slot)
            await self._record_and_send(replace_order(record, order), order)

    async def _send_planned_orders(self) -> None:
        self._plan = make_plan(self._make_placement_input())
        if self._plan.out_of_reach:
            log.error("out of reach in this zone: {}", ", ".join(self._plan.out_of_reach))
        if any(order.action == "load" for order in self._plan.orders):
            await self._records.read_slots(self._reactor.seconds())
        for planned in self._plan.orders[:MAX_ORDERS_PER_ROUND]:
            if not self._lease.is_held() or not self._records.is_current:
                return
            await self._send_planned_order(planned)

    def _make_placement_input(self) -> PlacementInput:
        now = self._reactor.seconds()
        zones = self._membership.reachable_zones(now)
        remote = self._list_remote_engines(zones)
        leaving = {vm.vm for vm in self._list_zone_engines() if vm.leaving}
        listed = {vm.vm for vm in self._list_zone_engines()}
        return PlacementInput(
            availability_zone=self._settings.availability_zone,
            reachable_zones=frozenset(zones),
            items=self._catalogue.items,
            engines=tuple(
                self._make_engine_view(record, leaving)
                for engine, record in sorted(self._records.records.items())
                if engine in listed
            ),
            objective=self._catalogue.objective,
            now=now,
            demand=self._sum_reachable_rates(zones),
            service_s=self._demand.service_s(),
            remote_engines=remote,
            unheld_since=self._update_unheld(remote, now),
        )

    def _make_engine_view(self, record: EngineRecord, leaving: set[str]) -> EngineView:
        engine = record.engine
        report = self._reports.get(engine)
        state = self._routing.state_of(engine)
        leaving_or_stale = state is not None and (state.leaving or state.stale)
        silent = (
            self._reactor.seconds() - self._reported_at.get(engine, 0.0)
            > IDLE_REPORT_INTERVAL_S * 2
        )
        return EngineView(
            record=record,
            slots=report.slots if report is not None else 1,
            available=not (leaving_or_stale or silent or engine in leaving),
        )

    def _list_remote_engines(self, zones: set[str]) -> tuple[RemoteEngine, ...]:
        return tuple(
            RemoteEngine(
                name=state.vm,
                availability_zone=state.availability_zone,
                slots=state.slots,
                items=frozenset(state.items),
            )
            for state in self._routing.states.values()
            if state.role == "engine"
            and state.availability_zone != self._settings.availability_zone
            and state.availability_zone in zones
            and not state.leaving
            and not state.stale
        )

    def _sum_reachable_rates(self, zones: set[str]) -> dict[str, float]:
        """Return the expected arrivals per second by target, summed over the reachable zones.

        A target is an item's name without its version; the field ``item`` of a rate holds one.
        """
        total = dict(self._demand.rates())
        for (zone, item), rate in self._other_zone_rates.items():
            if zone in zones:
                total[item] = total.get(item, 0.0) + rate.rate
        return total

    def _update_unheld(self, remote: tuple[RemoteEngine, ...], now: float) -> dict[str, float]:
        """Return the Unix time since which no reachable engine is known to hold each item."""
        held = {item for engine in remote for item in engine.items}
        for record in self._records.records.values():
            held.update(resident_items(record))
        declared = {item.item for item in self._catalogue.items.values()}
        self._unheld_since = {item: self._unheld_since.get(item, now) for item in declared - held}
        return self._unheld_since

    def _publish_rates(self) -> None:
        service_s = self._demand.service_s()
        self._bus.publish(
            RatesEstimated(
                rates=tuple(
                    ItemRate(
                        availability_zone=self._settings.availability_zone,
                        item=item,
                        rate=rate,
                        service_s=service_s.get(item, 0.0),
                    )
                    for item, rate in self._demand.rates().items()
                )
            )
        )

    async def _send_planned_order(self, planned: PlannedOrder) -> None:
        record = self._records.records[planned.engine]
        order = self._make_order(record, planned.action, planned.item, planned.memory_mib)
        if planned.action == "load":
            slot = self._records.choose_slot(self._catalogue.weight_store, self._reactor.seconds())
            if slot is None:
                return
            order = replace(order, slot=slot)
        await self._record_and_send(record_order(record, order), order)

    def _make_order(self, record: EngineRecord, action: str, item: str, memory_mib: int) -> Order:
        """Return an order; its fence counts the orders of one engine, apart from the lease's."""
        now = self._reactor.seconds()
        arrival_limit_s = self._get_kind(record.engine).order_arrival_limit_ms / 1000
        sent_before = now + ORDER_TIMEOUT_S
        return Order(
            order_id=uuid.uuid4().hex,
            action="load" if action == "load" else "unload",
            item=item,
            memory_mib=memory_mib,
            fence=record.fence + 1,
            sent_before=sent_before,
            arrives_before=sent_before + arrival_limit_s,
        )

    def _get_kind(self, engine: str) -> UpstreamKind:
        """Return an engine's kind, which says what it guarantees: nothing if it is not listed."""
        kinds = {vm.vm: vm.kind for vm in self._list_zone_engines()}
        return self._catalogue.kind_of(kinds.get(engine, ""))

    async def _record_and_send(
        self, recorded: Result[EngineRecord, LedgerError], order: Order
    ) -> None:
        if recorded.is_error():
            log.info("order {} {} not sent: {}", order.action, order.item, recorded.error)
            return
        record = recorded.ok
        written = await self._records.write_order(
            record,
            order,
            limits=self._catalogue.weight_store,
            created=self._lease_condition(),
            now=self._reactor.seconds(),
        )
        if written:
            start_coroutine(self._send_recorded_order(record, order))

    async def _send_recorded_order(self, record: EngineRecord, order: Order) -> None:
        """Send a recorded order, unless its send deadline has passed or the lease was lost."""
        addresses = {vm.vm: vm.address for vm in self._list_zone_engines()}
        address = addresses.get(record.engine)
        late = self._reactor.seconds() >= order.sent_before or not self._lease.is_held()
        if address is None or late:
            return
        self.orders_sent += 1
        log.info(
            "sending {} {} to {}, order fence {}",
            order.action,
            order.item,
            record.engine,
            order.fence,
        )
        result = await self._engines.send_order(address, order, deadline=order.sent_before)
        if result.is_ok():
            return
        log.warning("order {} to {} failed: {}", order.order_id, record.engine, result.error)
        refused = isinstance(result.error, OrderRefusedError)
        if refused or isinstance(result.error, OrderNotSentError):
            await self._withdraw(record.engine, order, sent=refused)

    async def _withdraw(self, engine: str, order: Order, *, sent: bool) -> None:
        record = self._records.records.get(engine)
        if record is None or record.pending is None or not self._lease.is_held():
            return
        if record.pending.order_id == order.order_id:
            await self._write_updated_record(
                withdraw_order(record, order.order_id, sent=sent), order
            )
