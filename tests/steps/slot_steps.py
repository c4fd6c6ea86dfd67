"""Steps on the weight store's slots."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from behave import given
from behave import then
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import run_state_machine_as_test

from cactusshunt.decisions.weight_slots import choose_slot
from cactusshunt.decisions.weight_slots import release_slot
from cactusshunt.decisions.weight_slots import take_slot
from cactusshunt.schema.generated.settings import WeightStore

if TYPE_CHECKING:
    from cactusshunt.schema.generated.messages import SlotRecord


class SlotMachine(RuleBasedStateMachine):
    """Zones take slots by compare-and-swap, with copies of the slots that may be outdated."""

    limits = WeightStore(loads_per_second=2.5, loads_at_once=3)

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.stored: dict[int, tuple[SlotRecord, int]] = {}
        self.views: list[dict[int, tuple[SlotRecord, int]]] = [{}, {}, {}, {}]
        self.running: dict[str, int] = {}
        self.taken_at: list[float] = []

    @rule(zone=st.integers(0, 3), stale=st.booleans())
    def take(self, zone: int, stale: bool) -> None:
        if not stale:
            self.views[zone] = dict(self.stored)
        view = self.views[zone]
        number = choose_slot(
            {n: found[0] for n, found in view.items()},
            self.limits,
            availability_zone=str(zone),
            now=self.now,
            clock_error_s=0.0,
        )
        if number is None:
            return
        if self.stored.get(number, (None, 0))[1] != view.get(number, (None, 0))[1]:
            return
        order_id = f"order-{len(self.taken_at)}"
        slot = take_slot(
            self.limits,
            availability_zone=str(zone),
            engine="e",
            order_id=order_id,
            now=self.now,
        )
        self.stored[number] = (slot, len(self.taken_at) + 1000 * len(self.running) + 1)
        self.running[order_id] = number
        self.taken_at.append(self.now)

    @rule(index=st.integers(0, 2))
    def release(self, index: int) -> None:
        orders = sorted(self.running)
        if index < len(orders):
            number = self.running.pop(orders[index])
            slot, revision = self.stored[number]
            self.stored[number] = (release_slot(slot), revision + 1_000_000)

    @rule(seconds=st.sampled_from([0.01, 0.4, 1.2, 3.0]))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @invariant()
    def within_limits(self) -> None:
        assert len(self.running) <= self.limits.loads_at_once
        for index, first in enumerate(self.taken_at):
            for count, last in enumerate(self.taken_at[index:], start=1):
                allowed = self.limits.loads_per_second * (last - first)
                assert count <= allowed + self.limits.loads_at_once


@given("four zones that share a weight store of 2.5 loads a second and 3 at once")
def step_zones(context: Any) -> None:
    context.machine = SlotMachine


@then("no sequence of takes and releases exceeds 3 at once or 2.5 a second in the long run")
def step_limits(context: Any) -> None:
    run_state_machine_as_test(
        context.machine, settings=settings(max_examples=200, stateful_step_count=60)
    )
