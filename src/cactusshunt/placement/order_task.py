"""Sends orders to engines while this VM is the order holder, and reports their items to all VMs."""

from __future__ import annotations

from traceback import format_exc
from typing import TYPE_CHECKING
from typing import Any

from cactusshunt.exceptions import OrderNotSentError
from cactusshunt.exceptions import OrderOutcomeUnknownError
from cactusshunt.membership.messages import EngineItems
from cactusshunt.membership.messages import PlacementUpdate
from cactusshunt.membership.messages import PlannedLoads
from cactusshunt.node_log import log_event
from cactusshunt.placement.adapter_plan import plan_adapters
from cactusshunt.placement.adapter_plan import plan_waiting_adapters
from cactusshunt.placement.engine_ledger import EngineLedger
from cactusshunt.placement.fleet_demand import FleetDemand
from cactusshunt.placement.fleet_state import mark_ordered
from cactusshunt.placement.fleet_view import describe_fleet
from cactusshunt.placement.load_rate import LoadRateLimiter
from cactusshunt.placement.model_plan import plan_models
from cactusshunt.placement.unplaced_items import UnplacedItems
from cactusshunt.platform.engine_calls import OrderAnswer
from cactusshunt.tasks.periodic import start_coroutine

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.base import ReactorBase

    from cactusshunt.membership.tenure import Tenure
    from cactusshunt.placement.fleet_state import PlannedArrival
    from cactusshunt.placement.fleet_state import PlannedOrder
    from cactusshunt.platform.documents import Configuration
    from cactusshunt.platform.documents import EngineSpec
    from cactusshunt.platform.documents import Service
    from cactusshunt.platform.engine_calls import EngineCalls
    from cactusshunt.routing.upstream import Upstream
    from cactusshunt.routing.upstream_directory import UpstreamDirectory

# Engines usually answer within milliseconds. Above REPORT_LAG_S, a report that is read after a
# timeout shows a state from after the order.
CALL_TIMEOUT_S = 0.22
PLAN_INTERVAL_S = 0.2  # between two plans while none is requested
MIN_PLAN_INTERVAL_S = 0.03  # between two plans in any case; a plan takes milliseconds
FAILED_CALL_PAUSE_S = 0.4  # after an engine did not answer or refused an order
UNKNOWN = "UNKNOWN"  # outcome of an order without an answer: it may be carried out, now or later
NOT_SENT = "NOT_SENT"
MAX_UNREPORTED_SHIFT_S = 0.5  # of a planned load's expected time
LARGE_FLEET_GATHER_S = 0.1  # between two updates, whose bytes grow with the number of VMs
UPDATE_REPEAT_S = 0.15  # updates are sent twice, because datagrams may be lost


class OrderTask:
    """Owns the ledgers of all engines while this VM is the order holder."""

    def __init__(
        self,
        *,
        reactor: ReactorBase,
        vm: str,
        directory: UpstreamDirectory,
        calls: EngineCalls,
        tenure: Callable[[], Tenure],
        may_order: Callable[[float], bool],
        publish: Callable[[PlacementUpdate], None],
        is_large_fleet: Callable[[], bool],
    ) -> None:
        self._reactor = reactor
        self._vm = vm
        self._directory = directory
        self._calls = calls
        self._tenure = tenure
        self._may_order = may_order
        self._publish = publish
        self._is_large_fleet = is_large_fleet
        self._services: list[Service] = []
        self._ledgers: dict[str, EngineLedger] = {}
        self._load_limiters: dict[str, LoadRateLimiter] = {}
        self._token = 0
        self.fleet_demand = FleetDemand()
        self._planned_at = 0.0
        self._planned_loads: dict[str, dict[str, float]] = {}
        self._unreported_plans: set[str] = set()
        self._publish_due_at = 0.0
        self._unplaced = UnplacedItems()
        self._update_number = 0
        self._plan_requested = True
        self.orders_given = 0

    def set_configuration(self, configuration: Configuration) -> None:
        """Set the services; only those whose upstreams hold models are kept."""
        self._services = [found for found in configuration.services if found.engine is not None]

    def tick(self) -> None:
        """Check all engines once and send the orders that are due."""
        tenure = self._tenure()
        if not tenure.elected:
            self._ledgers.clear()
            self._token = 0
            return
        if tenure.token != self._token:
            self._begin_tenure(tenure)
        now = self._now()
        plan_due = self._plan_requested or now >= self._planned_at + PLAN_INTERVAL_S
        plan_due = (
            plan_due and now >= self._planned_at + MIN_PLAN_INTERVAL_S and self._may_order(now)
        )
        for service in self._services:
            upstreams = self._directory.of_service(service.name)
            self._check_engines(upstreams, now)
            if plan_due and service.engine is not None:
                self._plan(service, service.engine, upstreams, tenure.token, now)
        if plan_due:
            self._planned_at = now
            self._plan_requested = False
        self._publish_changes(now)

    def plan_soon(self) -> None:
        """Plan at the next tick, because requests wait or an engine's state changed."""
        self._plan_requested = True

    def _begin_tenure(self, tenure: Tenure) -> None:
        self._token = tenure.token
        self._ledgers.clear()
        self._load_limiters = {}
        self._planned_loads = {}
        self._unreported_plans = set()

    def _check_engines(self, upstreams: list[Upstream], now: float) -> None:
        for upstream in upstreams:
            ledger = self._ledgers.get(upstream.name)
            if ledger is None:
                ledger = EngineLedger(name=upstream.name, born=upstream.entry.born)
                ledger.report_due_at = now
                self._ledgers[upstream.name] = ledger
            ledger.apply_engine_entry(upstream.entry, now)
            ledger.expire_reservation(now)
            if upstream.leaving:
                continue
            report_due_at = ledger.report_due_at
            if report_due_at is not None and report_due_at <= now and not ledger.call_open:
                ledger.call_open = True
                start_coroutine(self._read_report(upstream, ledger))
            confirm_due_at = ledger.confirm_due_at
            confirmation_due = (
                confirm_due_at is not None and confirm_due_at <= now and not ledger.call_open
            )
            if confirmation_due and self._may_order(now):
                ledger.call_open = True
                start_coroutine(self._confirm_load(upstream, ledger))

    async def _confirm_load(self, upstream: Upstream, ledger: EngineLedger) -> None:
        """Repeat the order of a load that should have ended: the answer shows whether it has."""
        model = ledger.loading
        assert model is not None
        outcome = await self._send_order(
            upstream,
            load=True,
            model=model,
            adapter="",
            expected=ledger.sequence,
            token=self._token,
        )
        ledger.call_open = False
        now = self._now()
        if outcome == OrderAnswer.DONE.name:
            ledger.record_loaded()
            self._log_order_done(ledger, now, model)
        elif outcome == OrderAnswer.CONFLICT.name:
            ledger.record_conflict(now)
        else:
            ledger.confirm_due_at = None
            ledger.report_due_at = now
        if ledger.can_take_order(now):
            self.plan_soon()
            self.tick()

    async def _read_report(self, upstream: Upstream, ledger: EngineLedger) -> None:
        deadline = self._now() + CALL_TIMEOUT_S
        try:
            report = await self._calls.read_report(
                upstream.address, upstream.name, deadline=deadline
            )
        except Exception:  # the engine's ledger must not wait for ever for the call's end
            log_event("task_failed", reason=format_exc(limit=-4))
            report = None
        ledger.call_open = False
        now = self._now()
        if report is None:
            ledger.report_due_at = now + FAILED_CALL_PAUSE_S
            return
        loading = ledger.loading
        ledger.apply_report(report, now)
        if not ledger.busy:
            self._log_order_done(ledger, now, loading if loading in ledger.models else None)
        if ledger.can_take_order(now):
            self.plan_soon()
            self.tick()

    def _log_order_done(self, ledger: EngineLedger, now: float, loaded: str | None) -> None:
        started_at, ledger.busy_since = ledger.busy_since, None
        if started_at is None:
            return
        log_event(
            "order_done",
            upstream=ledger.name,
            item=loaded,
            took_ms=int((now - started_at) * 1000),
            expected_ms=int((ledger.busy_until - started_at) * 1000),
            under_way=sum(1 for other in self._ledgers.values() if other.busy),
        )

    def _plan(
        self,
        service: Service,
        spec: EngineSpec,
        upstreams: list[Upstream],
        token: int,
        now: float,
    ) -> None:
        rate = self._load_limiters.setdefault(service.name, LoadRateLimiter(now=now))
        rate.set_rate(spec.loads_per_s)
        state = describe_fleet(
            now=now,
            service=service.name,
            spec=spec,
            upstreams=upstreams,
            ledgers=self._ledgers,
            fleet_demand=self.fleet_demand,
            weight_store_loads=rate.count_allowed(now),
        )
        waiting_plan = plan_waiting_adapters(state)
        state = mark_ordered(state, frozenset(order.engine for order in waiting_plan.orders))
        plan = plan_models(state)
        adapter_plan = plan_adapters(state, frozenset(order.engine for order in plan.orders))
        orders = waiting_plan.orders + plan.orders + adapter_plan.orders
        self._record_arrivals(service.name, plan.arrivals + adapter_plan.arrivals, now)
        self._unplaced.record(plan.unplaced | adapter_plan.unplaced, now)
        by_name = {upstream.name: upstream for upstream in upstreams}
        for order in orders:
            if order.loads_from_weight_store:
                rate.spend()
            self._ledgers[order.engine].call_open = True
            load_s = 0.0
            model_to_load = order.model if order.load else order.frees_memory_for
            if not order.adapter and model_to_load is not None:
                load_s = state.facts[model_to_load].load_s[order.source]
            start_coroutine(self._send_planned_order(by_name[order.engine], order, token, load_s))

    def _record_arrivals(self, service: str, arrivals: list[PlannedArrival], now: float) -> None:
        """Record when items to be ordered later should be ready, so that their callers wait.

        At which engine is left out: it changes from plan to plan, and callers need not know.
        """
        planned = {arrival.item: now + arrival.ready_in_s for arrival in arrivals}
        known = self._planned_loads.get(service, {})
        if planned.keys() == known.keys() and all(
            abs(known[item] - at) < MAX_UNREPORTED_SHIFT_S for item, at in planned.items()
        ):
            return
        self._planned_loads[service] = planned
        self._unreported_plans.add(service)

    async def _send_planned_order(
        self, upstream: Upstream, order: PlannedOrder, token: int, load_s: float
    ) -> None:
        ledger = self._ledgers[order.engine]
        sent_at = self._now()
        outcome = await self._send_order(
            upstream,
            load=order.load,
            model=order.model,
            adapter=order.adapter,
            expected=order.expected,
            token=token,
        )
        ledger.call_open = False
        now = self._now()
        log_event(
            "order",
            upstream=order.engine,
            load=order.load,
            item=order.item,
            expected=order.expected,
            source=order.source.value,
            reason=order.reason,
            frees_memory_for=order.frees_memory_for,
            outcome=outcome,
            took_ms=int((now - sent_at) * 1000),
        )
        self.plan_soon()
        if outcome == OrderAnswer.STARTED.name or (
            outcome == OrderAnswer.DONE.name and order.adapter
        ):
            ledger.apply_accepted_order(order, now, load_s)
            self._publish_changes(now)
            return
        if outcome == OrderAnswer.CONFLICT.name:
            if order.loads_from_weight_store:
                self._load_limiters[upstream.entry.service].refund()
            ledger.record_conflict(now)
            return
        if outcome == UNKNOWN:
            ledger.record_unanswered_order(now)
            return
        ledger.report_due_at = now
        if outcome != OrderAnswer.DONE.name:
            ledger.orders_paused_until = now + FAILED_CALL_PAUSE_S

    async def _send_order(
        self, upstream: Upstream, *, load: bool, model: str, adapter: str, expected: int, token: int
    ) -> str:
        """Send an order and return the name of its outcome."""
        self.orders_given += 1
        try:
            answer = await self._calls.send_order(
                upstream.address,
                upstream.name,
                load=load,
                model=model,
                adapter=adapter,
                owner=self._vm,
                token=token,
                expected=expected,
                deadline=self._now() + CALL_TIMEOUT_S,
                may_send=lambda: self._tenure().token == token and self._may_order(self._now()),
            )
        except OrderNotSentError:
            return NOT_SENT
        except OrderOutcomeUnknownError:
            return UNKNOWN
        except Exception:  # the engine's ledger must not wait for ever for the call's end
            log_event("task_failed", reason=format_exc(limit=-4))
            return UNKNOWN
        return answer.name

    def _publish_changes(self, now: float) -> None:
        changed = [
            ledger for ledger in self._ledgers.values() if ledger.state_known and ledger.changed
        ]
        if (not changed and not self._unreported_plans) or now < self._publish_due_at:
            return
        if self._is_large_fleet():
            self._publish_due_at = now + LARGE_FLEET_GATHER_S
        engine_items = []
        self._update_number += 1
        for ledger in changed:
            ledger.changed = False
            engine_items.append(
                EngineItems(
                    upstream=ledger.name,
                    born=ledger.born,
                    update_number=self._update_number,
                    models=ledger.list_models(),
                    coming={
                        item: int(left * 1000) for item, left in ledger.list_coming(now).items()
                    },
                )
            )
        planned_loads = [
            PlannedLoads(
                service=service,
                update_number=self._update_number,
                ready_in_ms={
                    item: int((at - now) * 1000)
                    for item, at in self._planned_loads[service].items()
                },
            )
            for service in sorted(self._unreported_plans)
        ]
        self._unreported_plans.clear()
        update = PlacementUpdate(
            vm=self._vm, token=self._token, engines=engine_items, planned_loads=planned_loads
        )
        for found in engine_items:
            self._directory.apply_engine_items(found, self._token)
        for loads in planned_loads:
            self._directory.apply_planned_loads(loads, self._token)
        self._publish(update)
        reactor: Any = self._reactor
        reactor.callLater(UPDATE_REPEAT_S, self._publish, update)

    def _now(self) -> float:
        return self._reactor.seconds()
