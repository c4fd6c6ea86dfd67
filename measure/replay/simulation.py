"""Discrete-event simulation of arrivals, engines, delayed reports, orders and faults."""

from __future__ import annotations

import heapq
import itertools

from collections import defaultdict
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING

from cactusshunt.decisions.admission import Refusal
from cactusshunt.decisions.admission import Ticket
from cactusshunt.decisions.demand import DemandEstimates
from cactusshunt.decisions.dispatch import Assignment
from cactusshunt.decisions.dispatch import Dispatch
from cactusshunt.decisions.dispatch import DispatchRequest
from cactusshunt.decisions.ledger import record_order
from cactusshunt.decisions.names import is_adapter
from cactusshunt.decisions.placement_input import EngineView
from cactusshunt.decisions.placement_input import PlacementInput
from cactusshunt.decisions.placement_input import RemoteEngine
from cactusshunt.decisions.rendezvous import rank_nodes
from cactusshunt.decisions.router import Router
from cactusshunt.decisions.weight_slots import choose_slot
from cactusshunt.decisions.weight_slots import release_slot
from cactusshunt.decisions.weight_slots import take_slot
from cactusshunt.schema.generated.messages import EngineRecord
from cactusshunt.schema.generated.messages import ModelDemand
from cactusshunt.schema.generated.messages import Order
from cactusshunt.schema.generated.messages import Resident
from cactusshunt.schema.generated.messages import SlotRecord
from cactusshunt.schema.generated.messages import UpstreamState
from measure.replay.traces import TRACE_S
from measure.replay.traces import generate_arrivals

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactusshunt.decisions.catalogue import Item
    from measure.replay.deployments import ReplayDeployment
    from measure.replay.deployments import ReplayEngine
    from measure.replay.policies import Policy
    from measure.replay.traces import Arrival
    from measure.replay.traces import Trace

FIRST_TOKEN_TARGET_S = 1.6
QUEUE_WAIT_S = 1.5
REPORT_INTERVAL_S = 1.0
PLAN_INTERVAL_S = 1.0
QUEUE_CHECK_INTERVAL_S = 0.1
MODEL_LOAD_S = 4.0
ADAPTER_LOAD_S = 1.0
UNLOAD_S = 0.5
FAULT_AT_S = 1200.0
FAULT_END_S = 1800.0
DETECTION_S = 5.0
FAULTS = ("none", "engine lost", "zone cut", "store outage")


@dataclass(kw_only=True)
class SimulatedEngine:
    """An engine with request slots, a queue and the record of its memory."""

    spec: ReplayEngine
    record: EngineRecord
    running: int = 0
    queue: list[AssignedRequest] = field(default_factory=list)
    alive: bool = True
    unloading: set[str] = field(default_factory=set)


@dataclass(kw_only=True)
class AssignedRequest:
    """One request that an engine runs or has queued."""

    arrival: Arrival
    number: int
    engine: str


@dataclass(kw_only=True)
class Outcome:
    """Counts of a replay.

    ``attained`` counts requests that got a slot within ``FIRST_TOKEN_TARGET_S``, ``late`` those
    that got one later, ``refused`` those that admission refused, and ``lost`` those whose engine
    failed or could not be reached. ``longest_out_of_reach_s`` is the longest time in
    which no engine had some item loaded.
    """

    requests: int = 0
    attained: int = 0
    late: int = 0
    refused: int = 0
    lost: int = 0
    loads: int = 0
    unloads: int = 0
    overcommitted: int = 0
    longest_out_of_reach_s: float = 0.0


class Simulation:
    """Simulation of one trace under one policy with one fault."""

    def __init__(
        self,
        *,
        deployment: ReplayDeployment,
        trace: Trace,
        policy: Policy,
        fault: str,
        seed: int,
    ) -> None:
        self._deployment = deployment
        self._policy = policy
        self._fault = fault
        self._items = {item.target: item for item in deployment.items}
        self._now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._slots: dict[int, SlotRecord] = {}
        self._order_numbers = itertools.count()
        # By target: since when it is requested while no engine has its item loaded.
        self._requested_unheld_since: dict[str, float] = {}
        # By target: since when no engine at all has its item loaded.
        self._fleet_unheld_since: dict[str, float] = {}
        self._estimates = {zone: DemandEstimates() for zone in deployment.zones}
        # By zone and target: arrivals, finished requests and their busy seconds.
        self._counts: dict[str, dict[str, list[float]]] = {
            zone: defaultdict(lambda: [0.0, 0.0, 0.0]) for zone in deployment.zones
        }
        self._waiting: dict[str, Arrival] = {}
        # By zone and item: since when no engine that the zone reaches has it loaded.
        self._zone_unheld_since: dict[str, dict[str, float]] = {
            zone: {} for zone in deployment.zones
        }
        self.outcome = Outcome()
        self.engines = self._place_evenly()
        self._dispatches = {
            zone: Dispatch(
                router=Router(availability_zone=zone, seed=seed + number),
                weight_of=lambda team: 10,
            )
            for number, zone in enumerate(deployment.zones)
        }
        self._arrivals = generate_arrivals(trace, deployment, seed)

    def run(self) -> Outcome:
        """Run the trace to its end and return the counts."""
        for dispatch in self._dispatches.values():
            dispatch.router.set_entries(len(self._deployment.zones))
        self._refresh_routers()
        self._schedule(0.0, self._next_arrival)
        self._schedule(REPORT_INTERVAL_S, self._refresh_reports)
        self._schedule(PLAN_INTERVAL_S, self._plan_zones)
        self._schedule(QUEUE_CHECK_INTERVAL_S, self._process_queues)
        if self._fault == "engine lost":
            self._schedule(FAULT_AT_S, self._fail_engine)
        while self._events:
            self._now, _, event = heapq.heappop(self._events)
            if self._now > TRACE_S + 30.0:
                break
            event()
        for target in list(self._fleet_unheld_since):
            self._record_availability(target, True)
        return self.outcome

    def _schedule(self, at: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), event))

    def _place_evenly(self) -> dict[str, SimulatedEngine]:
        """Place each item on the engine with the most free memory.

        A second round adds a replica of each item while engines stay at most 85 % full.
        """
        engines = {
            spec.name: SimulatedEngine(
                spec=spec,
                record=EngineRecord(
                    engine=spec.name,
                    availability_zone=spec.availability_zone,
                    capacity_mib=spec.capacity_mib,
                    fence=0,
                    incarnation="1",
                    resident=[],
                ),
            )
            for spec in self._deployment.engines
        }
        order = sorted(self._items.values(), key=lambda item: item.base_item is not None)
        for round_number in range(2):
            for item in order:
                fill_fraction = 0.85 if round_number else 1.0
                hosts = [e for e in engines.values() if _fits(e.record, item, fill_fraction)]
                if hosts:
                    best = max(hosts, key=lambda e: (_free_mib(e.record), e.spec.name))
                    best.record = _with_resident(best.record, item.item, item.memory_mib)
        return engines

    def _is_cut(self, zone: str) -> bool:
        cut = self._fault == "zone cut" and FAULT_AT_S <= self._now < FAULT_END_S
        return cut and zone == self._deployment.zones[0]

    def _can_reach(self, zone: str, other: str) -> bool:
        return zone == other or not (self._is_cut(zone) or self._is_cut(other))

    def _can_order(self, zone: str) -> bool:
        outage = self._fault == "store outage" and FAULT_AT_S <= self._now < FAULT_END_S
        return not outage and not self._is_cut(zone)

    def _next_arrival(self) -> None:
        arrival = next(self._arrivals, None)
        if arrival is None:
            return
        self._schedule(arrival.at, lambda: self._handle_arrival(arrival))

    def _handle_arrival(self, arrival: Arrival) -> None:
        self._next_arrival()
        self.outcome.requests += 1
        self._counts[arrival.zone][arrival.target][0] += 1
        item = self._items[arrival.target]
        dispatch = self._dispatches[arrival.zone]
        router = dispatch.router
        if not router.holders(item.item):
            self._requested_unheld_since.setdefault(arrival.target, self._now)
        request_id = str(next(self._numbers))
        self._waiting[request_id] = arrival
        decision = dispatch.submit(
            DispatchRequest(
                ticket=Ticket(
                    request_id=request_id,
                    team=item.team,
                    item=item.item,
                    priority=item.priority,
                    wait_deadline=self._now + QUEUE_WAIT_S,
                ),
                candidates=lambda: router.holders(item.item),
            ),
            self._now,
        )
        if isinstance(decision, Assignment | Refusal):
            self._apply_decisions(arrival.zone, [decision])

    def _apply_decisions(self, zone: str, decisions: list[Assignment | Refusal]) -> None:
        del zone
        for decision in decisions:
            if isinstance(decision, Refusal):
                self._waiting.pop(decision.ticket.request_id)
                self.outcome.refused += 1
                continue
            arrival = self._waiting.pop(decision.request_id)
            run = AssignedRequest(
                arrival=arrival, number=next(self._numbers), engine=decision.upstream
            )
            engine = self.engines[decision.upstream]
            reachable = self._can_reach(arrival.zone, engine.spec.availability_zone)
            if not engine.alive or not reachable:
                self.outcome.lost += 1
                self._dispatches[arrival.zone].router.ejection.record_failure(
                    decision.upstream, self._now
                )
                self._release(run)
                continue
            engine.queue.append(run)
            self._start_queued(engine)

    def _start_queued(self, engine: SimulatedEngine) -> None:
        while engine.queue and engine.running < engine.spec.slots:
            run = engine.queue.pop(0)
            engine.running += 1
            waited = self._now - run.arrival.at
            end = self._now + run.arrival.service_s
            self._schedule(end, partial(self._complete_request, run, waited))

    def _complete_request(self, run: AssignedRequest, waited: float) -> None:
        engine = self.engines[run.engine]
        if not engine.alive:
            self.outcome.lost += 1
        elif waited <= FIRST_TOKEN_TARGET_S:
            self.outcome.attained += 1
        else:
            self.outcome.late += 1
        engine.running -= 1
        counts = self._counts[run.arrival.zone][run.arrival.target]
        counts[1] += 1
        counts[2] += run.arrival.service_s
        self._release(run)
        self._start_queued(engine)

    def _release(self, run: AssignedRequest) -> None:
        zone = run.arrival.zone
        dispatch = self._dispatches[zone]
        self._schedule(
            self._now, lambda: self._apply_decisions(zone, dispatch.release(run.engine, self._now))
        )

    def _process_queues(self) -> None:
        for zone, dispatch in self._dispatches.items():
            if dispatch.has_waiting:
                self._apply_decisions(zone, dispatch.process_queue(self._now))
        if self._now < TRACE_S:
            self._schedule(self._now + QUEUE_CHECK_INTERVAL_S, self._process_queues)

    def _refresh_reports(self) -> None:
        self._refresh_routers()
        if self._now < TRACE_S:
            self._schedule(self._now + REPORT_INTERVAL_S, self._refresh_reports)

    def _refresh_routers(self) -> None:
        for zone, dispatch in self._dispatches.items():
            states = [
                self._describe_engine(engine)
                for engine in self.engines.values()
                if engine.alive and self._can_reach(zone, engine.spec.availability_zone)
            ]
            dispatch.router.replace_upstreams(states, self._now)
        for target, item in self._items.items():
            held = any(
                engine.alive and _serves_item(engine, item.item) for engine in self.engines.values()
            )
            self._record_availability(target, held)

    def _record_availability(self, target: str, held: bool) -> None:
        if not held:
            self._fleet_unheld_since.setdefault(target, self._now)
            return
        self._requested_unheld_since.pop(target, None)
        since = self._fleet_unheld_since.pop(target, None)
        if since is not None:
            self.outcome.longest_out_of_reach_s = max(
                self.outcome.longest_out_of_reach_s, self._now - since
            )

    def _describe_engine(self, engine: SimulatedEngine) -> UpstreamState:
        work = engine.running + len(engine.queue)
        return UpstreamState(
            vm=engine.spec.name,
            role="engine",
            kind="fenced",
            address="",
            availability_zone=engine.spec.availability_zone,
            items=[r.item for r in engine.record.resident if _serves_item(engine, r.item)],
            load_level=work * 8 // engine.spec.slots,
            slots=engine.spec.slots,
        )

    def _fail_engine(self) -> None:
        engine = self.engines[self._deployment.engines[0].name]
        engine.alive = False
        for run in engine.queue:
            self.outcome.lost += 1
            self._release(run)
        engine.queue.clear()

    def _plan_zones(self) -> None:
        for zone in self._deployment.zones:
            self._update_demand(zone)
            if self._can_order(zone):
                self._plan_zone(zone)
        if self._now < TRACE_S:
            self._schedule(self._now + PLAN_INTERVAL_S, self._plan_zones)

    def _update_demand(self, zone: str) -> None:
        counts, self._counts[zone] = (
            self._counts[zone],
            defaultdict(lambda: [0.0, 0.0, 0.0]),
        )
        self._estimates[zone].add(
            ModelDemand(
                item=target,
                arrivals=int(found[0]),
                waiting=0,
                late=0,
                finished=int(found[1]),
                busy_s=found[2],
            )
            for target, found in counts.items()
        )
        self._estimates[zone].update(self._now)

    def _plan_zone(self, zone: str) -> None:
        reachable = [z for z in self._deployment.zones if self._can_reach(zone, z)]
        state = PlacementInput(
            availability_zone=zone,
            reachable_zones=frozenset(reachable),
            items=self._items,
            engines=tuple(
                EngineView(record=e.record, slots=e.spec.slots, available=self._appears_alive(e))
                for e in self.engines.values()
                if e.spec.availability_zone == zone
            ),
            objective=self._deployment.objective,
            now=self._now,
            demand=self._sum_demand(reachable),
            service_s=self._estimates[zone].service_s(),
            remote_engines=(remote := self._list_remote(zone, reachable)),
            unheld_since=self._record_unheld_items(zone, remote),
        )
        missed_since = {
            target: since
            for target, since in self._requested_unheld_since.items()
            if self._zone_for_missed(target) == zone or len(reachable) < len(self._deployment.zones)
        }
        for planned in self._policy.plan(state, missed_since).orders:
            engine = self.engines[planned.engine]
            self._send_order(engine, planned.action, planned.item, planned.memory_mib)

    def _zone_for_missed(self, target: str) -> str:
        """Return the one zone in which a baseline policy loads a missed target's item."""
        return rank_nodes(self._deployment.zones, target)[0]

    def _sum_demand(self, zones: list[str]) -> dict[str, float]:
        total: dict[str, float] = defaultdict(float)
        for zone in zones:
            for target, rate in self._estimates[zone].rates().items():
                total[target] += rate
        return total

    def _record_unheld_items(self, zone: str, remote: tuple[RemoteEngine, ...]) -> dict[str, float]:
        """Return the items that no engine reachable from a zone has loaded, with the time since."""
        known = self._zone_unheld_since[zone]
        held = {item for engine in remote for item in engine.items}
        for engine in self.engines.values():
            if engine.spec.availability_zone == zone and engine.alive:
                held.update(resident.item for resident in engine.record.resident)
        for item in self._items.values():
            if item.item in held:
                known.pop(item.item, None)
            else:
                known.setdefault(item.item, self._now)
        return known

    def _appears_alive(self, engine: SimulatedEngine) -> bool:
        return engine.alive or self._now < FAULT_AT_S + DETECTION_S

    def _list_remote(self, zone: str, reachable: list[str]) -> tuple[RemoteEngine, ...]:
        return tuple(
            RemoteEngine(
                name=engine.spec.name,
                availability_zone=engine.spec.availability_zone,
                slots=engine.spec.slots,
                items=frozenset(
                    r.item for r in engine.record.resident if _serves_item(engine, r.item)
                ),
            )
            for engine in self.engines.values()
            if engine.spec.availability_zone != zone
            and engine.spec.availability_zone in reachable
            and self._appears_alive(engine)
        )

    def _send_order(self, engine: SimulatedEngine, action: str, item: str, memory_mib: int) -> None:
        limits = self._deployment.weight_store
        slot = -1
        if action == "load":
            chosen = choose_slot(
                self._slots,
                limits,
                availability_zone=engine.spec.availability_zone,
                now=self._now,
                clock_error_s=0.0,
            )
            if chosen is None:
                return
            slot = chosen
        order = Order(
            order_id=str(next(self._order_numbers)),
            action="load" if action == "load" else "unload",
            item=item,
            memory_mib=memory_mib,
            fence=engine.record.fence + 1,
            sent_before=self._now,
            arrives_before=self._now,
            slot=slot,
        )
        recorded = record_order(engine.record, order)
        if recorded.is_error():
            return
        engine.record = recorded.ok
        if action == "load":
            self._slots[slot] = take_slot(
                limits,
                availability_zone=engine.spec.availability_zone,
                engine=engine.spec.name,
                order_id=order.order_id,
                now=self._now,
            )
            self.outcome.loads += 1
            duration = ADAPTER_LOAD_S if is_adapter(item) else MODEL_LOAD_S
        else:
            self.outcome.unloads += 1
            engine.unloading.add(item)
            duration = UNLOAD_S
        self._schedule(self._now + duration, lambda: self._finish_order(engine, order))

    def _finish_order(self, engine: SimulatedEngine, order: Order) -> None:
        engine.record = replace(engine.record, pending=None)
        if order.action == "load":
            self._slots[order.slot] = release_slot(self._slots[order.slot])
            engine.record = _with_resident(engine.record, order.item, order.memory_mib)
        else:
            engine.unloading.discard(order.item)
            kept = [r for r in engine.record.resident if r.item != order.item]
            engine.record = replace(engine.record, resident=kept)
        if _free_mib(engine.record) < 0:
            self.outcome.overcommitted += 1


def _free_mib(record: EngineRecord) -> int:
    return record.capacity_mib - sum(resident.memory_mib for resident in record.resident)


def _fits(record: EngineRecord, item: Item, fill_fraction: float) -> bool:
    names = {resident.item for resident in record.resident}
    used = record.capacity_mib - _free_mib(record)
    return (
        used + item.memory_mib <= record.capacity_mib * fill_fraction
        and item.item not in names
        and (item.base_item is None or item.base_item in names)
    )


def _with_resident(record: EngineRecord, item: str, memory_mib: int) -> EngineRecord:
    resident = Resident(item=item, memory_mib=memory_mib)
    return replace(record, resident=[*record.resident, resident])


def _serves_item(engine: SimulatedEngine, item: str) -> bool:
    return item not in engine.unloading and any(
        resident.item == item for resident in engine.record.resident
    )
