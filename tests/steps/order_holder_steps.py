"""Steps on the order holder of a large fleet."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from behave import given
from behave import then
from behave import when
from twisted.internet.defer import Deferred

from cactusshunt.membership.messages import ItemDemand
from cactusshunt.membership.tenure import Tenure
from cactusshunt.placement.adapter_plan import plan_adapters
from cactusshunt.placement.fleet_state import Demand
from cactusshunt.placement.fleet_state import EngineState
from cactusshunt.placement.fleet_state import FleetState
from cactusshunt.placement.fleet_state import ModelFacts
from cactusshunt.placement.fleet_state import WeightSource
from cactusshunt.platform.engine_calls import EngineCalls
from tests.steps.quiet_notices import make_notices
from tests.steps.simulated_fleet import HOLDER
from tests.steps.simulated_fleet import SERVICE
from tests.steps.simulated_fleet import SimulatedFleet

TICK_S = 0.1
UNLOADS_BEGIN_S = 15.0
ADAPTER_FRACTION = 0.2  # of requests for busy models


@given("{vms:d} VMs, {engines:d} engines, {busy:d} busy models and {rare:d} rare ones")
def make_fleet(context: Any, vms: int, engines: int, busy: int, rare: int) -> None:
    context.vms = vms
    context.busy = [f"busy{number:04}" for number in range(busy)]
    context.rare = [f"rare{number:04}" for number in range(rare)]
    context.fleet = SimulatedFleet(
        vms=vms, zones=5, models=context.busy + context.rare, engines=engines, load_s=4.0
    )


@when("callers send {rate:d} requests a second for {seconds:d} seconds, {share:d}% for rare models")
def send_requests(context: Any, rate: int, seconds: int, share: int) -> None:
    fleet = context.fleet
    for _ in range(round(seconds / TICK_S)):
        for _ in range(round(rate * TICK_S)):
            if fleet.random.random() < share / 100.0:
                item = fleet.random.choice(context.rare)
            else:
                item = fleet.random.choice(context.busy)
                if fleet.random.random() < ADAPTER_FRACTION:
                    item += fleet.random.choice(("/a1", "/a2"))
            fleet.request(f"vm{fleet.random.randrange(context.vms)}", item)
        fleet.advance(TICK_S)
    context.seconds = seconds


@then("the order holder sends and receives at most {mbit:g} Mbit a second")
def check_traffic(context: Any, mbit: float) -> None:
    sent = context.fleet.bytes_sent[HOLDER] * 8e-6 / context.seconds
    received = context.fleet.bytes_received[HOLDER] * 8e-6 / context.seconds
    assert max(sent, received) <= mbit, f"sent {sent:.2f}, received {received:.2f} Mbit/s"


@when("a request for the rare model and one for an adapter of a busy model arrive")
def send_two_requests(context: Any) -> None:
    # Unloads begin some time after the first demand.
    context.fleet.request("vm0", context.busy[0])
    context.fleet.advance(UNLOADS_BEGIN_S)
    context.fleet.request("vm0", context.rare[0])
    adapters = [f"{model}/{name}" for model in context.busy for name in ("a1", "a2")]
    context.adapter = next(item for item in adapters if not context.fleet.holds(item))
    context.fleet.request("vm0", context.adapter)


@then("the adapter is loaded within {seconds:g} s")
def check_adapter_loaded(context: Any, seconds: float) -> None:
    context.fleet.advance(seconds)
    assert context.fleet.holds(context.adapter)


@then("the rare model is loaded within {seconds:g} s")
def check_model_loaded(context: Any, seconds: float) -> None:
    context.fleet.advance(seconds)
    assert context.fleet.holds(context.rare[0])


@given("an engine that holds a model and accepts orders in {seconds:g} s")
def make_busy_engine(context: Any, seconds: float) -> None:
    context.engine = EngineState(
        name="e0",
        availability_zone="x",
        capacity_mb=230.0,
        adapter_slots=5,
        sequence=0,
        busy=True,
        free_in_s=seconds,
        models={"m0": frozenset()},
    )


@when("a request waits for an adapter of the model")
def wait_for_adapter(context: Any) -> None:
    load_s = dict.fromkeys(WeightSource, 4.0)
    fact = ModelFacts(name="m0", size_mb=70.0, adapter_mb=1.0, load_s=load_s, adapters=("a1",))
    demand = Demand(tokens_per_ms=1.0, waiting=1, last_requested_at=100.0)
    context.plan = plan_adapters(
        FleetState(
            now=100.0,
            engines=(context.engine,),
            facts={"m0": fact},
            adapter_demand={("m0", "a1"): demand},
        ),
        frozenset(),
    )


@then("the adapter is expected in {seconds:g} s")
def check_expected(context: Any, seconds: float) -> None:
    found = [(arrival.item, round(arrival.ready_in_s, 3)) for arrival in context.plan.arrivals]
    assert found == [("m0/a1", seconds)], found


class _SlowPool:
    """Connection pool whose connections open when ``open`` is called; records what is written."""

    def __init__(self) -> None:
        self.opening: list[Deferred[Any]] = []
        self.written: list[bytes] = []

    def acquire(self, address: Any) -> Deferred[Any]:
        self.opening.append(Deferred())
        return self.opening[-1]

    def release(self, address: Any, connection: Any) -> None:
        pass

    def open(self) -> None:
        connection = SimpleNamespace(exchange=self._exchange, cancel=lambda: None)
        self.opening.pop().callback(connection)

    def _exchange(self, method: bytes, target: bytes, *_: Any) -> Deferred[Any]:
        self.written.append(target)
        return Deferred()


@given("an order holder whose connections to engines take a while to open")
def make_slow_holder(context: Any) -> None:
    models = ["m0", "m1", "m2", "m3"]
    fleet = context.fleet = SimulatedFleet(vms=1, zones=1, models=models, engines=1, load_s=1.0)
    pool: Any = _SlowPool()
    reactor: Any = fleet.clock
    calls = EngineCalls(reactor=reactor, pool=pool, notices=make_notices(reactor))

    async def read_report(address: Any, name: str, **_: Any) -> Any:
        return fleet.engines[name].report(fleet.clock.seconds())

    calls.read_report = read_report  # type: ignore[method-assign, assignment]
    context.pool = pool
    context.tenure = Tenure(token=1, begins_at=0.0, ends_at=1e9)
    context.orders = fleet.make_order_task(calls, lambda: context.tenure)
    waiting = ItemDemand(service=SERVICE, item="m3", tokens_per_ms=1.0, waiting=9, total_requests=9)
    context.orders.fleet_demand.apply_report("vm0", [waiting], fleet.clock.seconds())


@when("its right ends while the connection for an order opens")
def end_right(context: Any) -> None:
    for _ in range(3):
        context.fleet.clock.advance(0.1)
        context.orders.tick()
    assert context.pool.opening, "no order was planned"
    context.tenure = Tenure()
    context.pool.open()


@then("no order is written to the connection")
def check_no_order(context: Any) -> None:
    assert not context.pool.written, context.pool.written
