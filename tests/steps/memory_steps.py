"""Steps on the memory ledger."""

from __future__ import annotations

import uuid

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import Any

from behave import given
from behave import then
from behave import when
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import run_state_machine_as_test

from cactusshunt.decisions.ledger import apply_report
from cactusshunt.decisions.ledger import create_record
from cactusshunt.decisions.ledger import record_order
from cactusshunt.decisions.ledger import replace_order
from cactusshunt.decisions.ledger import withdraw_order
from cactusshunt.schema.generated.messages import EngineRecord
from cactusshunt.schema.generated.messages import EngineReport
from cactusshunt.schema.generated.messages import Order
from cactusshunt.schema.generated.messages import Resident
from stand_ins.engine_memory import EngineMemory

CAPACITY_MIB = 1000
SIZES_MIB = {"a/x@1": 300, "a/y@1": 600, "b/x@1": 700}
ITEMS = sorted(SIZES_MIB)
SEND_LIMIT_S = 2.0
ARRIVAL_LIMIT_S = 5.0
CLOCK_ERROR_S = 0.5


@dataclass
class Holder:
    """A lease holder with its own copy of the record, which may be outdated."""

    record: EngineRecord | None = None
    revision: int = -1
    unsent: list[Order] = field(default_factory=list)


class MemoryMachine(RuleBasedStateMachine):
    """Two lease holders, one engine, and a network that loses, delays and duplicates orders."""

    checks_fence = True

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.loads: list[Any] = []
        self.engine = self._make_engine()
        self.reports = [self._report()]
        self.stored = create_record(self.reports[0], "east")
        self.stored_revision = 1
        self.holders = [Holder(), Holder()]
        self.in_network: list[Order] = []

    def _make_engine(self) -> EngineMemory:
        return EngineMemory(
            capacity_mib=CAPACITY_MIB,
            checks_fence=self.checks_fence,
            fetch_weights=lambda item, done: self.loads.append(done),
        )

    def _report(self) -> EngineReport:
        memory = self.engine
        return EngineReport(
            engine="engine-1",
            incarnation="1",
            capacity_mib=CAPACITY_MIB,
            resident=[Resident(item=i, memory_mib=m) for i, m in memory.resident.items()],
            loading=[Resident(item=i, memory_mib=m) for i, m in memory.loading.items()],
            settled_orders=list(memory.settled),
            highest_fence=memory.highest_fence,
            taken_at=self.now,
        )

    def _write(self, holder: Holder, record: EngineRecord) -> bool:
        if holder.revision != self.stored_revision:
            return False
        self.stored = record
        self.stored_revision += 1
        holder.record, holder.revision = record, self.stored_revision
        return True

    def _read(self, which: int, stale: bool) -> Holder:
        """Return a holder after it read the newest record, unless it acts on an outdated one."""
        holder = self.holders[which]
        if not stale or holder.record is None:
            holder.record, holder.revision = self.stored, self.stored_revision
        return holder

    @rule(
        which=st.integers(0, 1),
        stale=st.booleans(),
        action=st.sampled_from(["load", "unload"]),
        item=st.sampled_from(ITEMS),
        superseding=st.booleans(),
        fate=st.sampled_from(["arrives", "arrives_twice", "delayed", "lost", "unsent"]),
    )
    def order(
        self, which: int, stale: bool, action: Any, item: str, superseding: bool, fate: str
    ) -> None:
        """A holder records an order and sends it; ``fate`` is what the network does to it."""
        holder = self._read(which, stale)
        assert holder.record is not None
        order = Order(
            order_id=uuid.UUID(int=self.stored_revision * 2 + which).hex,
            action=action,
            item=item,
            memory_mib=SIZES_MIB[item],
            fence=holder.record.fence + 1,
            sent_before=self.now + SEND_LIMIT_S,
            arrives_before=self.now + SEND_LIMIT_S + ARRIVAL_LIMIT_S,
        )
        recorder = replace_order if superseding and self.checks_fence else record_order
        recorded = recorder(holder.record, order)
        if recorded.is_error() or not self._write(holder, recorded.ok):
            return
        if fate == "unsent":
            holder.unsent.append(order)
        if fate in ("arrives", "arrives_twice"):
            self._deliver(order)
        if fate in ("arrives_twice", "delayed"):
            self.in_network.append(order)

    @rule(which=st.integers(0, 1))
    def resume_holder(self, which: int) -> None:
        """A paused holder sends its unsent orders that may still be sent."""
        holder = self.holders[which]
        self.in_network += [order for order in holder.unsent if self.now < order.sent_before]
        holder.unsent.clear()

    @rule(index=st.integers(0, 2))
    def arrive(self, index: int) -> None:
        self.in_network = [o for o in self.in_network if self.now < o.arrives_before]
        if index < len(self.in_network):
            self._deliver(self.in_network.pop(index))

    def _deliver(self, order: Order) -> None:
        parameters = {
            "fence": order.fence,
            "order_id": order.order_id,
            "memory_mib": order.memory_mib,
        }
        self.engine.apply_order(order.action, order.item, parameters)

    @rule(which=st.integers(0, 1))
    def withdraw_refused(self, which: int) -> None:
        """A holder that receives a refusal withdraws its order."""
        holder = self.holders[which]
        if holder.record is not None and holder.record.pending is not None:
            order_id = holder.record.pending.order_id
            if all(order.order_id != order_id for order in holder.unsent):
                self._write(holder, withdraw_order(holder.record, order_id, sent=True))

    @rule(which=st.integers(0, 1), stale=st.booleans(), reports_back=st.integers(0, 2))
    def apply_stored_report(self, which: int, stale: bool, reports_back: int) -> None:
        """A holder applies a report, possibly an old one; running loads may finish first."""
        if reports_back == 0:
            while self.loads:
                self.loads.pop(0)(True)
        self.reports.append(self._report())
        holder = self._read(which, stale)
        assert holder.record is not None
        report = self.reports[max(0, len(self.reports) - 1 - reports_back)]
        settled = apply_report(holder.record, report, clock_error_s=CLOCK_ERROR_S)
        if settled != holder.record:
            self._write(holder, settled)

    @rule(seconds=st.sampled_from([0.1, 1.0, 4.0, 9.0]))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @rule()
    def restart_engine(self) -> None:
        overcommitted = self.engine.overcommitted
        self.now += 0.1
        self.loads.clear()
        self.engine = self._make_engine()
        self.engine.overcommitted = overcommitted

    @invariant()
    def within_capacity(self) -> None:
        assert self.engine.overcommitted == 0
        assert self.engine.used_mib() <= CAPACITY_MIB


class UnfencedMemoryMachine(MemoryMachine):
    """As ``MemoryMachine``, with an engine that ignores fencing tokens."""

    checks_fence = False


@given("engines of which some check fencing tokens and some ignore them")
def step_engines(context: Any) -> None:
    context.machines = (MemoryMachine, UnfencedMemoryMachine)


@then("no sequence of orders, reports, restarts and pauses overcommits an engine")
def step_no_overcommitment(context: Any) -> None:
    for machine in context.machines:
        run_state_machine_as_test(
            machine, settings=settings(max_examples=400, stateful_step_count=60)
        )


def make_order(item: str, memory_mib: int, fence: int) -> Order:
    """Return a load order."""
    return Order(
        order_id=f"{item}-{fence}",
        action="load",
        item=item,
        memory_mib=memory_mib,
        fence=fence,
        sent_before=102.0,
        arrives_before=107.0,
    )


def make_report(taken_at: float, resident: dict[str, int]) -> EngineReport:
    """Return a report of an engine of 1000 MiB."""
    return EngineReport(
        engine="engine-1",
        incarnation="1",
        capacity_mib=CAPACITY_MIB,
        resident=[Resident(item=item, memory_mib=mib) for item, mib in resident.items()],
        taken_at=taken_at,
    )


@given("an engine of 1000 MiB with a load of {memory:d} MiB that was not acknowledged")
def step_unacknowledged(context: Any, memory: int) -> None:
    record = create_record(make_report(100.0, {}), "east")
    context.record = record_order(record, make_order("a/x@1", memory, 1)).ok
    still_empty = make_report(103.0, {})
    context.record = apply_report(context.record, still_empty, clock_error_s=CLOCK_ERROR_S)


@given("an engine of 1000 MiB whose report shows an unknown item of {memory:d} MiB")
def step_unknown_item(context: Any, memory: int) -> None:
    record = create_record(make_report(100.0, {}), "east")
    report = make_report(101.0, {"c/unknown@1": memory})
    context.record = apply_report(record, report, clock_error_s=CLOCK_ERROR_S)


@when("a report taken after the last possible arrival shows the engine empty")
def step_late_report(context: Any) -> None:
    report = make_report(107.0 + 2 * CLOCK_ERROR_S, {})
    context.record = apply_report(context.record, report, clock_error_s=CLOCK_ERROR_S)


@then("a load of {memory:d} MiB is {verdict} by the ledger")
def step_verdict(context: Any, memory: int, verdict: str) -> None:
    record = replace(context.record, pending=None, lingering=_all_orders(context.record))
    result = record_order(record, make_order("a/y@1", memory, record.fence + 1))
    assert result.is_ok() == (verdict == "accepted"), result


def _all_orders(record: EngineRecord) -> list[Order]:
    pending = [record.pending] if record.pending else []
    return [*pending, *record.lingering]


@given("an engine that ignores fencing tokens and two lease holders")
def step_one_holder(context: Any) -> None:
    context.machine = UnfencedMemoryMachine()


def send_order(
    context: Any, action: str, item: str, *, which: int = 0, fate: str = "arrives"
) -> None:
    """Let a holder that has read the newest record send an order."""
    context.machine.order(
        which=which, stale=False, action=action, item=item, superseding=False, fate=fate
    )


@when('a load of "{item}" arrives and a delayed copy stays in the network')
def step_arrives_twice(context: Any, item: str) -> None:
    send_order(context, "load", item, fate="arrives_twice")


@when("the first holder applies a new report")
def step_new_report(context: Any) -> None:
    context.machine.now += 0.5
    context.machine.apply_stored_report(which=0, stale=False, reports_back=0)


@when("the first holder applies an old report")
def step_old_report(context: Any) -> None:
    context.machine.apply_stored_report(which=0, stale=False, reports_back=2)


@when('the first holder {action}s "{item}" if the ledger allows it')
def step_give(context: Any, action: str, item: str) -> None:
    send_order(context, action, item)


@when('another holder loads "{item}" if the ledger allows it')
def step_give_other(context: Any, item: str) -> None:
    send_order(context, "load", item, which=1)


@when('the first holder records a load of "{item}" and is paused before it sends it')
def step_paused(context: Any, item: str) -> None:
    send_order(context, "load", item, fate="unsent")


@when("the first holder resumes and its order arrives")
def step_wakes(context: Any) -> None:
    context.machine.resume_holder(which=0)
    context.machine.arrive(index=0)


@when("no earlier order can arrive any more")
def step_long_arrived(context: Any) -> None:
    context.machine.now += SEND_LIMIT_S + ARRIVAL_LIMIT_S + 2 * CLOCK_ERROR_S


@when("the copy arrives")
def step_copy(context: Any) -> None:
    context.machine.arrive(index=0)


@then("the engine does not exceed its memory")
def step_within(context: Any) -> None:
    context.machine.within_capacity()
