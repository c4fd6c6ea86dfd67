"""Gives orders to engines while this VM holds the right to, and tells all VMs what they hold."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from cactusshunt.exceptions import OrderNotSentError
from cactusshunt.exceptions import OrderOutcomeUnknownError
from cactusshunt.membership.messages import EngineItems
from cactusshunt.membership.messages import PlacementUpdate
from cactusshunt.node_log import log_event
from cactusshunt.placement.adapter_plan import plan_adapters
from cactusshunt.placement.engine_ledger import EngineLedger
from cactusshunt.placement.fleet_demand import DemandBoard
from cactusshunt.placement.fleet_view import describe_fleet
from cactusshunt.placement.load_rate import LoadRate
from cactusshunt.placement.model_plan import plan_models
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

CALL_TIMEOUT_S = 0.22  # engines answer within milliseconds, and later than their reports lag
PLAN_S = 0.2  # between two plans while nothing hurries
SHORTEST_PLAN_S = 0.03  # between two plans however much hurries; a plan takes milliseconds
REST_S = 0.4  # after an engine did not answer or refused an order
UNKNOWN = "UNKNOWN"  # outcome of an order without an answer: it may be carried out, also later
NOT_SENT = "NOT_SENT"
REPEAT_S = 0.15  # news is sent twice, since datagrams may be lost


class OrderTask:
    """Owns the ledgers of all engines for as long as the right lasts."""

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
    ) -> None:
        self._reactor = reactor
        self._vm = vm
        self._directory = directory
        self._calls = calls
        self._tenure = tenure
        self._may_order = may_order
        self._publish = publish
        self._services: list[Service] = []
        self._ledgers: dict[str, EngineLedger] = {}
        self._rates: dict[str, LoadRate] = {}
        self._token = 0
        self.fleet_demand = DemandBoard()
        self._planned_at = 0.0
        self._words = 0
        self._plan_wanted = True
        self.orders_given = 0

    def set_configuration(self, configuration: Configuration) -> None:
        """Take the services whose upstreams hold models."""
        self._services = [found for found in configuration.services if found.engine is not None]

    def tick(self) -> None:
        """Look at all engines once and give the orders that are due."""
        tenure = self._tenure()
        if not tenure.elected:
            self._ledgers.clear()
            self._token = 0
            return
        if tenure.token != self._token:
            self._begin(tenure)
        now = self._now()
        due = self._plan_wanted or now >= self._planned_at + PLAN_S
        due = due and now >= self._planned_at + SHORTEST_PLAN_S and self._may_order(now)
        for service in self._services:
            upstreams = self._directory.of_service(service.name)
            self._follow(upstreams, now)
            if due and service.engine is not None:
                self._plan(service, service.engine, upstreams, tenure.token, now)
        if due:
            self._planned_at = now
            self._plan_wanted = False
        self._announce(now)

    def plan_soon(self) -> None:
        """Plan at the next look, because requests wait or an engine's state changed."""
        self._plan_wanted = True

    def _begin(self, tenure: Tenure) -> None:
        self._token = tenure.token
        self._ledgers.clear()
        self._rates = {}

    def _follow(self, upstreams: list[Upstream], now: float) -> None:
        for upstream in upstreams:
            ledger = self._ledgers.get(upstream.name)
            if ledger is None:
                ledger = EngineLedger(name=upstream.name, born=upstream.entry.born)
                ledger.report_due_at = now
                self._ledgers[upstream.name] = ledger
            ledger.apply_store_entry(upstream.entry, now)
            ledger.expire_reservation(now)
            asks = ledger.report_due_at
            if asks is not None and asks <= now and not ledger.calling:
                ledger.calling = True
                start_coroutine(self._ask(upstream, ledger))
            confirm = ledger.confirm_due_at
            due = confirm is not None and confirm <= now and not ledger.calling
            if due and self._may_order(now):
                ledger.calling = True
                start_coroutine(self._confirm(upstream, ledger))

    async def _confirm(self, upstream: Upstream, ledger: EngineLedger) -> None:
        """Order a load that should be over once more: the engine tells whether it is."""
        model = ledger.loading
        assert model is not None
        outcome = await self._call(
            upstream,
            load=True,
            model=model,
            adapter="",
            expected=ledger.sequence,
            token=self._token,
        )
        ledger.calling = False
        now = self._now()
        if outcome == OrderAnswer.DONE.name:
            ledger.record_loaded()
            self._note_done(ledger, now)
        elif outcome == OrderAnswer.CONFLICT.name:
            ledger.record_conflict(now)
        else:
            ledger.confirm_due_at = None
            ledger.report_due_at = now
        if ledger.can_take_order(now):
            self.plan_soon()
            self.tick()

    async def _ask(self, upstream: Upstream, ledger: EngineLedger) -> None:
        report = await self._calls.read_report(
            upstream.address, upstream.name, deadline=self._now() + CALL_TIMEOUT_S
        )
        ledger.calling = False
        now = self._now()
        if report is None:
            ledger.report_due_at = now + REST_S
            return
        ledger.apply_report(report, now)
        if not ledger.busy:
            self._note_done(ledger, now)
        if ledger.can_take_order(now):
            self.plan_soon()
            self.tick()

    def _note_done(self, ledger: EngineLedger, now: float) -> None:
        began, ledger.busy_since = ledger.busy_since, None
        if began is None:
            return
        log_event(
            "order_done",
            upstream=ledger.name,
            took_ms=int((now - began) * 1000),
            expected_ms=int((ledger.busy_until - began) * 1000),
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
        rate = self._rates.setdefault(service.name, LoadRate(now=now))
        rate.set_rate(spec.loads_per_s)
        state = describe_fleet(
            now=now,
            service=service.name,
            spec=spec,
            upstreams=upstreams,
            ledgers=self._ledgers,
            board=self.fleet_demand,
            store_loads=rate.allowed(now),
        )
        plan = plan_models(state)
        orders = plan.orders
        self._note_arrivals(plan.arrivals, upstreams, now)
        taken = frozenset(order.engine for order in orders)
        orders += plan_adapters(state, taken)
        by_name = {upstream.name: upstream for upstream in upstreams}
        for order in orders:
            if order.loads_from_store:
                rate.spend()
            self._ledgers[order.engine].calling = True
            load_s = 0.0
            arriving = order.model if order.load else order.makes_room_for
            if not order.adapter and arriving is not None:
                load_s = state.facts[arriving].load_s[order.source]
            start_coroutine(self._give(by_name[order.engine], order, token, load_s))

    def _note_arrivals(
        self, arrivals: list[PlannedArrival], upstreams: list[Upstream], now: float
    ) -> None:
        """Tell when models that no engine loads yet should serve, so that their callers wait."""
        planned: dict[str, dict[str, float]] = {upstream.name: {} for upstream in upstreams}
        for arrival in arrivals:
            planned[arrival.engine][arrival.model] = now + arrival.in_s
        for name, found in planned.items():
            self._ledgers[name].record_planned_loads(found)

    async def _give(
        self, upstream: Upstream, order: PlannedOrder, token: int, load_s: float
    ) -> None:
        ledger = self._ledgers[order.engine]
        outcome = await self._call(
            upstream,
            load=order.load,
            model=order.model,
            adapter=order.adapter,
            expected=order.expected,
            token=token,
        )
        ledger.calling = False
        now = self._now()
        log_event(
            "order",
            upstream=order.engine,
            load=order.load,
            item=order.item,
            expected=order.expected,
            source=order.source.value,
            reason=order.reason,
            outcome=outcome,
        )
        self.plan_soon()
        if outcome == OrderAnswer.STARTED.name or (
            outcome == OrderAnswer.DONE.name and order.adapter
        ):
            ledger.apply_accepted_order(order, now, load_s)
            self._announce(now)
            return
        if outcome == OrderAnswer.CONFLICT.name:
            if order.loads_from_store:
                self._rates[upstream.entry.service].give_back()
            ledger.record_conflict(now)
            return
        if outcome == UNKNOWN:
            ledger.record_unanswered_order(now)
            return
        ledger.report_due_at = now
        if outcome != OrderAnswer.DONE.name:
            ledger.rests_until = now + REST_S

    async def _call(
        self, upstream: Upstream, *, load: bool, model: str, adapter: str, expected: int, token: int
    ) -> str:
        """Give an order and return the name of what came of it."""
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
            )
        except OrderNotSentError:
            return NOT_SENT
        except OrderOutcomeUnknownError:
            return UNKNOWN
        return answer.name

    def _announce(self, now: float) -> None:
        changed = [ledger for ledger in self._ledgers.values() if ledger.known and ledger.changed]
        if not changed:
            return
        holdings = []
        self._words += 1
        for ledger in changed:
            ledger.changed = False
            holdings.append(
                EngineItems(
                    upstream=ledger.name,
                    born=ledger.born,
                    update_number=self._words,
                    models=ledger.list_models(),
                    coming={
                        item: int(left * 1000) for item, left in ledger.list_coming(now).items()
                    },
                )
            )
        news = PlacementUpdate(vm=self._vm, token=self._token, engines=holdings)
        for found in holdings:
            self._directory.apply_engine_items(found, self._token)
        self._publish(news)
        reactor: Any = self._reactor
        reactor.callLater(REPEAT_S, self._publish, news)

    def _now(self) -> float:
        return self._reactor.seconds()
