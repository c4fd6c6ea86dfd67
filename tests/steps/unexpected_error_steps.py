"""Steps on coroutines that run as long as the process, and get an unexpected error."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import then
from behave import when
from simulated_store import CONFIG_BOUND_S
from simulated_store import SimulatedStore
from simulated_store import SimulatedVm
from simulated_store_steps import OrderingVm
from simulated_streams import ROLLOUT
from simulated_streams import SimulatedStreams
from twisted.internet.task import Clock

from cactusshunt.membership.tenure import Tenure
from cactusshunt.platform.engine_calls import OrderAnswer
from cactusshunt.streams.shared_read import SharedRead
from tests.steps.simulated_fleet import SimulatedFleet

STEP_S = 0.02
UNEXPECTED = RuntimeError("unexpected")


class FailingOnce:
    """Makes the next call of each of an object's coroutine methods raise."""

    def __init__(self, target: Any, *names: str) -> None:
        self.failed = 0
        for name in names:
            setattr(target, name, self._wrap(getattr(target, name)))

    def _wrap(self, run: Any) -> Any:
        fails = True

        async def call(*args: Any, **kwargs: Any) -> Any:
            nonlocal fails
            if fails:
                fails = False
                self.failed += 1
                raise UNEXPECTED
            return await run(*args, **kwargs)

        return call


def advance(clock: Clock, seconds: float) -> None:
    """Let time pass in steps."""
    clock.pump([STEP_S] * round(seconds / STEP_S))


@given("a shared read that fails once with an unexpected error")
def make_shared_read(context: Any) -> None:
    results: list[Any] = [UNEXPECTED, "read"]

    async def read() -> str:
        result = results.pop(0)
        if isinstance(result, Exception):
            raise result
        return str(result)

    context.shared = SharedRead(read=read)


@then("those who wait for it get nothing, and the next ones get its result")
def check_shared_read(context: Any) -> None:
    found: list[str | None] = []
    for _ in range(2):
        context.shared.request().addCallback(found.append)
    assert found == [None, "read"], found


@given(
    "a VM whose next call to the store fails with an unexpected error, and which begins a stream"
)
def fail_record(context: Any) -> None:
    context.streams = SimulatedStreams(1, 1)
    context.streams.run(ROLLOUT[0] + 4.0, power_lost_at=[], killed_per_s=0.0)
    vm = context.streams.running["vm0"]
    context.failing = FailingOnce(vm.client, "commit")
    context.before = len(context.streams.all)
    context.streams.run(ROLLOUT[0] + 5.5, power_lost_at=[], killed_per_s=0.0)


@then("the stream's record is written after that, and its event is passed on")
def check_record(context: Any) -> None:
    assert context.failing.failed == 1
    begun = context.streams.all[context.before :][:10]
    assert len(begun) == 10, len(begun)
    assert all(stream.versions for stream in begun), begun


@given("a VM's view of the store, whose next call fails with an unexpected error")
def fail_view(context: Any) -> None:
    context.clock = Clock()
    context.store = SimulatedStore(context.clock)
    context.store.write("op/config", b"1")
    context.vm = SimulatedVm(context.store)
    advance(context.clock, 3.0)
    context.failing = FailingOnce(context.vm.client, "wait_for_changes")
    advance(context.clock, 3.0)


@when("the operator writes a new configuration")
def write_configuration(context: Any) -> None:
    context.store.write("op/config", b"3")


@then("the VM has it within the bound")
def check_view(context: Any) -> None:
    advance(context.clock, CONFIG_BOUND_S)
    assert context.failing.failed == 1
    assert context.vm.version == 3, context.vm.versions


@given("a VM that may send orders, whose next call to the store fails with an unexpected error")
def fail_renewal(context: Any) -> None:
    context.clock = Clock()
    context.store = SimulatedStore(context.clock)
    context.vm = OrderingVm(context.store, "vm0")
    advance_store(context, 10.0)
    assert context.vm.membership.tenure.is_valid(context.clock.seconds())
    context.failing = FailingOnce(context.vm.vm.client, "renew_lease")


def advance_store(context: Any, seconds: float) -> None:
    """Let time pass at a store whose leases end."""
    for _ in range(round(seconds / STEP_S)):
        context.clock.advance(STEP_S)
        context.store.end_leases()


@then("it may send orders again within {seconds:d} s")
def check_renewal(context: Any, seconds: int) -> None:
    advance_store(context, float(seconds))
    assert context.failing.failed == 1
    assert context.vm.membership.tenure.is_valid(context.clock.seconds())


class FailingCalls:
    """Calls to engines that fail, or accept everything."""

    def __init__(self) -> None:
        self.fail = True
        self.failed = 0
        self.orders = 0

    async def read_report(self, *args: Any, **kwargs: Any) -> None:
        """Fail, or return no report."""
        self._count()

    async def send_order(self, *args: Any, **kwargs: Any) -> OrderAnswer:
        """Fail, or accept an order."""
        self._count()
        self.orders += 1
        return OrderAnswer.STARTED

    def _count(self) -> None:
        if self.fail:
            self.failed += 1
            raise UNEXPECTED


@given("an order holder whose calls to engines fail with an unexpected error")
def fail_orders(context: Any) -> None:
    context.fleet = SimulatedFleet(vms=1, zones=1, models=["m0", "m1"], engines=1, load_s=4.0)
    context.calls = FailingCalls()
    tenure = Tenure(token=1, begins_at=0.0, ends_at=1e9)
    context.orders = context.fleet.make_order_task(context.calls, lambda: tenure)


@when("an adapter is asked for, and its calls succeed again")
def ask_for_adapter(context: Any) -> None:
    fleet = context.fleet
    for second in range(20):
        context.calls.fail = second < 10
        fleet.request("vm0", "m0/a1")
        fleet.meters["vm0"].record_request(("engines", "m0/a1"), 100.0, fleet.clock.seconds())
        context.orders.plan_soon()
        for _ in range(10):
            context.orders.tick()
            fleet.clock.advance(0.1)


@then("no engine waits for the end of a failed call")
def check_orders(context: Any) -> None:
    assert context.calls.failed > 1, context.calls.failed
    assert not context.orders._ledgers["e0"].call_open
