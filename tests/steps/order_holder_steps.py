"""Steps on the order holder of a large fleet."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import then
from behave import when

from tests.steps.simulated_fleet import HOLDER
from tests.steps.simulated_fleet import SimulatedFleet

TICK_S = 0.1
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
