"""Steps on placement: zones plan, and their orders take effect immediately."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

from behave import given
from behave import then
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from cactusshunt.decisions.catalogue import Item
from cactusshunt.decisions.ledger import record_order
from cactusshunt.decisions.ledger import worst_case_memory_mib
from cactusshunt.decisions.names import adapter_item
from cactusshunt.decisions.names import target_of
from cactusshunt.decisions.placement_input import EngineView
from cactusshunt.decisions.placement_input import PlacementInput
from cactusshunt.decisions.placement_input import Plan
from cactusshunt.decisions.placement_input import RemoteEngine
from cactusshunt.decisions.planner import make_plan
from cactusshunt.schema.generated.messages import EngineRecord
from cactusshunt.schema.generated.messages import Order
from cactusshunt.schema.generated.messages import Resident
from cactusshunt.schema.generated.settings import Objective

if TYPE_CHECKING:
    from collections.abc import Callable

OBJECTIVE = Objective(attainment_weight=1.0, move_weight=5.0)
TICK_S = 1.0
MAX_TICKS = 400


@dataclass
class Zones:
    """Zones with their engines; orders take effect immediately."""

    items: dict[str, Item]
    records: dict[str, EngineRecord]
    now: float = 0.0
    demand: dict[str, float] = field(default_factory=dict)
    unheld_since: dict[str, float] = field(default_factory=dict)
    refused: int = 0

    @property
    def names(self) -> list[str]:
        """Return the zone names."""
        return sorted({record.availability_zone for record in self.records.values()})

    def held(self) -> set[str]:
        """Return all items that any engine holds."""
        return {r.item for record in self.records.values() for r in record.resident}

    def plan(self, zone: str, records: dict[str, EngineRecord]) -> Plan:
        """Return a zone's plan from one view of all engines."""
        return make_plan(
            PlacementInput(
                availability_zone=zone,
                reachable_zones=frozenset(self.names),
                items=self.items,
                engines=tuple(
                    EngineView(record=record, slots=8)
                    for record in records.values()
                    if record.availability_zone == zone
                ),
                remote_engines=tuple(
                    RemoteEngine(
                        name=record.engine,
                        availability_zone=record.availability_zone,
                        slots=8,
                        items=frozenset(r.item for r in record.resident),
                    )
                    for record in records.values()
                    if record.availability_zone != zone
                ),
                objective=OBJECTIVE,
                now=self.now,
                demand=self.demand,
                unheld_since=self.unheld_since,
            )
        )

    def tick(self) -> int:
        """Let every zone plan from the same view and apply its orders; return their number."""
        self.now += TICK_S
        missing = {item.item for item in self.items.values()} - self.held()
        self.unheld_since = {i: self.unheld_since.get(i, self.now) for i in missing}
        view = dict(self.records)
        plans = [self.plan(zone, view) for zone in self.names]
        for plan in plans:
            for planned in plan.orders:
                self._carry_out(planned.engine, planned.action, planned.item, planned.memory_mib)
        return sum(len(plan.orders) for plan in plans)

    def _carry_out(self, engine: str, action: Any, item: str, memory_mib: int) -> None:
        record = self.records[engine]
        order = Order(
            order_id=f"{self.now}",
            action=action,
            item=item,
            memory_mib=memory_mib,
            fence=record.fence + 1,
            sent_before=self.now,
            arrives_before=self.now,
        )
        recorded = record_order(record, order)
        if recorded.is_error():
            self.refused += 1
            return
        kept = [r for r in record.resident if r.item != item]
        if action == "load":
            kept.append(Resident(item=item, memory_mib=memory_mib))
        self.records[engine] = replace(recorded.ok, pending=None, resident=kept)
        assert worst_case_memory_mib(self.records[engine]) <= record.capacity_mib

    def settle(self, watch: Callable[[], None] | None = None) -> int:
        """Tick until no zone plans an order; return the number of ticks."""
        for ticks in range(MAX_TICKS):
            if self.tick() == 0:
                return ticks
            if watch is not None:
                watch()
        raise AssertionError("the zones still planned orders after the last tick")


def declare(sizes: list[tuple[int, int, int]], version: str = "v1") -> dict[str, Item]:
    """Return models and adapters; ``sizes`` has memory, priority and adapter count of each."""
    items = {}
    for number, (memory_mib, priority, adapters) in enumerate(sizes):
        target = f"team/model-{number}"
        base = f"{target}@{version}"
        items[target] = Item(
            item=base, target=target, team="team", memory_mib=memory_mib, priority=priority
        )
        for count in range(adapters):
            name = f"{target}:adapter-{count}"
            items[name] = Item(
                item=adapter_item(name, version="v1", base_version=version),
                target=name,
                team="team",
                memory_mib=20,
                priority=priority,
                base_item=base,
            )
    return items


@st.composite
def zones_with_spare_memory(draw: Any) -> Zones:
    """Draw one to three zones of one to three engines, each with memory for all items twice."""
    sizes = draw(
        st.lists(
            st.tuples(st.sampled_from([100, 300, 500]), st.integers(3, 7), st.integers(0, 2)),
            min_size=1,
            max_size=6,
        )
    )
    items = declare(sizes)
    total = sum(item.memory_mib for item in items.values())
    records = {}
    for zone in "abc"[: draw(st.integers(1, 3))]:
        engines = draw(st.integers(1, 3))
        for number in range(engines):
            name = f"{zone}-{number}"
            records[name] = EngineRecord(
                engine=name,
                availability_zone=zone,
                capacity_mib=2 * total + 600,
                fence=0,
                incarnation="1",
                resident=[],
            )
    return Zones(items=items, records=records)


def check(test: Callable[[Zones], None]) -> None:
    """Run a test on many generated cases."""
    settings(max_examples=60)(for_all(zones_with_spare_memory())(test))()


@given("zones in which each engine has memory for all items twice")
def step_spare_memory(context: Any) -> None:
    del context


@then(
    "in every case all items become reachable, no order follows, "
    "and none is refused by the ledger"
)
def step_reachable(context: Any) -> None:
    del context

    def test(zones: Zones) -> None:
        zones.settle()
        assert zones.held() == {item.item for item in zones.items.values()}
        assert zones.refused == 0
        assert zones.tick() == 0

    check(test)


@then("in every case a new version of every model replaces the old one without a gap")
def step_versions(context: Any) -> None:
    del context

    def test(zones: Zones) -> None:
        zones.settle()
        targets = {item.target for item in zones.items.values()}
        zones.items = {
            target: replace(
                item,
                item=(
                    item.item.replace("@v1~v1", "@v1~v2").replace("@v1", "@v2", 1)
                    if item.base_item is None
                    else item.item.replace("~v1", "~v2")
                ),
                base_item=item.base_item and item.base_item.replace("@v1", "@v2"),
            )
            for target, item in zones.items.items()
        }

        def watch() -> None:
            assert {target_of(item) for item in zones.held()} == targets

        zones.settle(watch)
        assert zones.held() == {item.item for item in zones.items.values()}

    check(test)


@then("in every case all items become reachable again after an engine is lost")
def step_lost(context: Any) -> None:
    del context

    def test(zones: Zones) -> None:
        zones.settle()
        lost = sorted(zones.records)[0]
        if len(zones.records) == 1:
            return
        del zones.records[lost]
        zones.settle()
        assert zones.held() == {item.item for item in zones.items.values()}

    check(test)


@then("in every case every item keeps a holder in surges of demand with little free memory")
def step_surges(context: Any) -> None:
    del context

    def test(zones: Zones) -> None:
        zones.settle()
        names = {item.item for item in zones.items.values()}
        largest = max(item.memory_mib for item in zones.items.values())
        zones.records = {
            name: replace(record, capacity_mib=max(worst_case_memory_mib(record), largest) + 40)
            for name, record in zones.records.items()
        }
        for target in sorted(zones.items):
            zones.demand = {target: 60.0}
            for _ in range(20):
                zones.tick()
                assert names <= zones.held()

    check(test)


@given("one zone with memory for one of two models")
def step_short(context: Any) -> None:
    record = EngineRecord(
        engine="a-0",
        availability_zone="a",
        capacity_mib=600,
        fence=0,
        incarnation="1",
        resident=[Resident(item="team/model-0@v1", memory_mib=500)],
    )
    context.zones = Zones(items=declare([(500, 3, 0), (500, 7, 0)]), records={"a-0": record})


@then("the model of higher priority is resident and the other is reported as out of reach")
def step_precedence(context: Any) -> None:
    zones = context.zones
    for _ in range(4):
        zones.tick()
    assert zones.held() == {"team/model-1@v1"}
    assert zones.plan("a", zones.records).out_of_reach == ("team/model-0",)
