"""Steps on simulated VMs that keep streams at the software version that began them."""

from __future__ import annotations

from functools import partial
from typing import Any

from behave import given
from behave import then
from behave import when
from simulated_streams import NEW
from simulated_streams import OLD
from simulated_streams import ROLLOUT
from simulated_streams import SimulatedStreams

from cactusshunt.platform.store import StoredItem
from cactusshunt.streams.stream_records import decode_streams
from cactusshunt.streams.stream_records import encode_streams
from cactusshunt.streams.version_rule import UNKNOWN_ORIGIN
from cactusshunt.streams.version_rule import find_origin

SECONDS = 50.0
SEED = 7
OUT_OF_STEP_S = 5.0


@given("{vms:d} simulated VMs and a service whose upstreams get a new software version")
def make_streams(context: Any, vms: int) -> None:
    context.fleet = SimulatedStreams(vms, SEED)


@when("all of them lose power three times and single ones end")
def lose_power(context: Any) -> None:
    context.fleet.run(SECONDS, power_lost_at=[11.0, 18.0, 24.3], killed_per_s=1.0)


@when("the store is silent for 3 seconds and all of them lose power when it is back")
def lose_power_after_silence(context: Any) -> None:
    context.fleet.clock.callLater(14.0, setattr, context.fleet.store, "down", True)
    context.fleet.clock.callLater(17.0, setattr, context.fleet.store, "down", False)
    context.fleet.run(SECONDS, power_lost_at=[17.1], killed_per_s=0.0)
    print("taken up", len(context.fleet.list_taken_up()))


@when("{vms:d} VMs are cut off from the store or stand still while a new version joins, 10 times")
def put_out_of_step(context: Any, vms: int) -> None:
    context.joined = 0
    for seed in range(10):
        fleet = SimulatedStreams(len(context.fleet.vms), seed)
        fleet.out_of_step = set(fleet.vms[:vms])
        for number, vm in enumerate(fleet.vms[:vms]):
            stands_still = number % 2 == 1
            step = partial(fleet.put_out_of_step, vm, OUT_OF_STEP_S, stands_still=stands_still)
            fleet.clock.callLater(ROLLOUT[0] - 0.5, step)
        fleet.run(ROLLOUT[0] + OUT_OF_STEP_S + 1.0, power_lost_at=[], killed_per_s=2.0)
        context.joined += fleet.joined


@when("the store turns {silent_s:g} s long a VM away that begins streams, which go on elsewhere")
def turn_away(context: Any, silent_s: float) -> None:
    context.joined = context.taken_up = 0
    for seed in range(10):
        fleet = SimulatedStreams(len(context.fleet.vms), seed)
        vm = fleet.vms[0]
        at = ROLLOUT[0] + 4.0
        fleet.clock.callLater(at, setattr, fleet, "only_vm", vm)
        fleet.clock.callLater(at, partial(fleet.put_out_of_step, vm, silent_s, stands_still=False))
        fleet.clock.callLater(at + 2.0, fleet.break_connections, vm)
        fleet.run(at + 5.0, power_lost_at=[], killed_per_s=0.0)
        context.joined += fleet.joined
        context.taken_up += sum(stream.taken_up for stream in fleet.all)
    print("taken up", context.taken_up, "joined", context.joined)


@when("a write of a VM that begins streams is carried out {late_s:g} s late, unanswered")
def write_late(context: Any, late_s: float) -> None:
    context.joined = context.taken_up = 0
    for seed in range(10):
        fleet = SimulatedStreams(len(context.fleet.vms), seed)
        vm = fleet.vms[0]
        at = ROLLOUT[0] + 4.0
        fleet.clock.callLater(at, setattr, fleet, "only_vm", vm)
        fleet.clock.callLater(at, setattr, fleet.running[vm].client, "late_s", late_s)
        fleet.clock.callLater(at + late_s, setattr, fleet.running[vm].client, "cut", True)
        fleet.clock.callLater(at + late_s + 0.5, fleet.break_connections, vm)
        fleet.run(at + late_s + 3.0, power_lost_at=[], killed_per_s=0.0)
        context.joined += fleet.joined
        context.taken_up += sum(stream.taken_up for stream in fleet.all)
    print("taken up", context.taken_up, "joined", context.joined)
    assert context.taken_up >= 12, context.taken_up


@then("no stream of these fleets has events of two software versions")
def check_joined_out_of_step(context: Any) -> None:
    assert context.joined == 0, context.joined


@then("no simulated stream has events of two software versions")
def check_joined(context: Any) -> None:
    assert context.fleet.joined == 0, context.fleet.joined


@then("nine tenths of those taken up while their version serves go on, or more")
def check_going_on(context: Any) -> None:
    taken_up = context.fleet.list_taken_up()
    went_on = sum(stream.went_on for stream in taken_up)
    print("taken up", len(taken_up), "went on", went_on, dict(context.fleet.calls))
    assert len(taken_up) >= 12, len(taken_up)
    assert went_on >= 0.9 * len(taken_up), f"{went_on} of {len(taken_up)}"


@then("the store gets one write a service before the new version, and fewer than streams after it")
def check_calls(context: Any) -> None:
    fleet = context.fleet
    assert fleet.writes_before_rollout <= len(fleet.vms), fleet.writes_before_rollout
    writes = fleet.calls["writes"] - fleet.writes_before_rollout
    assert writes <= len(fleet.all), f"{writes} writes for {len(fleet.all)} streams"


@given("records of two VMs that name different versions for a stream")
def make_records(context: Any) -> None:
    values = [encode_streams({"a": OLD}), encode_streams({"a": NEW}), b"no record"]
    items = [StoredItem(key=f"k{n}", value=value, revision=1) for n, value in enumerate(values)]
    context.records = decode_streams(items)


@then("the version that began it is not known")
def check_unknown(context: Any) -> None:
    origin = find_origin(
        attempt="a",
        records=context.records,
        settled=OLD,
        in_service={OLD, NEW},
        records_may_be_missing=False,
    )
    assert origin.version is None, origin
    other = find_origin(
        attempt="b", records=None, settled=OLD, in_service={OLD, NEW}, records_may_be_missing=False
    )
    assert other == UNKNOWN_ORIGIN


@given("a VM that knows one software version, and does not read which versions began streams")
def know_one_version(context: Any) -> None:
    context.origins = [
        find_origin(
            attempt=attempt,
            records=None,
            settled=settled,
            in_service={OLD},
            records_may_be_missing=False,
        )
        for attempt in ("a", "")
        for settled in (None, OLD)
    ]


@then("the version that began a stream which is taken up is not known")
def check_all_unknown(context: Any) -> None:
    assert all(origin == UNKNOWN_ORIGIN for origin in context.origins), context.origins
