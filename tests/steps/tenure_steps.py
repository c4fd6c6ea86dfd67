"""Steps on the rules of the order holder's tenure."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import then
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import rule
from hypothesis.stateful import run_state_machine_as_test

from cactusshunt.membership.tenure import StoreReport
from cactusshunt.membership.tenure import Tenure
from cactusshunt.membership.tenure import begin_tenure
from cactusshunt.membership.tenure import confirm_outage
from cactusshunt.membership.tenure import extend_tenure

LEASE_S = 1.6
REELECTION_DELAY_S = 3.0
VMS = ("a", "b", "c")


class Elections(RuleBasedStateMachine):
    """A store with one holder key, and VMs that learn of changes late and order when they may."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.token = 0
        self.key: str | None = None
        self.key_lapses_at = 0.0
        self.former: list[str] = []
        self.tenures = {vm: Tenure() for vm in VMS}
        self.last_tenures = {vm: Tenure() for vm in VMS}
        self.orders: list[tuple[float, str, int]] = []

    @rule(step_s=st.floats(0.05, 0.9))
    def pass_time(self, step_s: float) -> None:
        end = self.now + step_s
        while self.now < end:
            self.now = min(end, self.now + 0.05)
            if self.key is not None and self.now >= self.key_lapses_at:
                self.key = None
            for vm, tenure in self.tenures.items():
                if tenure.is_valid(self.now):
                    self.order(vm, tenure.token)

    @rule(vm=st.sampled_from(VMS))
    def renew(self, vm: str) -> None:
        if self.key == vm and self.tenures[vm].elected:
            self.key_lapses_at = self.now + LEASE_S
            self.tenures[vm] = extend_tenure(
                self.tenures[vm], renewal_sent_at=self.now, lease_s=LEASE_S
            )

    @rule()
    def revoke(self) -> None:
        self.key = None

    @rule(vm=st.sampled_from(VMS))
    def stand_for_election(self, vm: str) -> None:
        if self.key is not None:
            return
        self.token += 1
        self.key, self.key_lapses_at = vm, self.now + LEASE_S
        self.tenures[vm] = begin_tenure(
            token=self.token,
            now=self.now,
            renewal_sent_at=self.now,
            lease_s=LEASE_S,
            reelection_delay_s=REELECTION_DELAY_S,
            vm=vm,
            former=self.former,
            previous=self.last_tenures[vm],
        )
        self.last_tenures[vm] = self.tenures[vm]
        self.former = [*self.former[-3:], vm]

    @rule(vm=st.sampled_from(VMS))
    def restart(self, vm: str) -> None:
        self.tenures[vm] = Tenure()
        self.last_tenures[vm] = Tenure()

    def order(self, vm: str, token: int) -> None:
        for _, other, other_token in self.orders:
            assert other_token < token or (other_token == token and other == vm)
        own_orders = [at for at, other, _ in self.orders if other == vm]
        other_orders = [at for at, other, _ in self.orders if other != vm]
        if own_orders and other_orders and other_orders[-1] > own_orders[-1]:
            assert self.now - own_orders[-1] >= REELECTION_DELAY_S, (vm, self.now, own_orders[-1])
        self.orders = [*self.orders[-60:], (self.now, vm, token)]


@given("a store that elects order holders by leases and may remove the holder key at any moment")
def make_elections(context: Any) -> None:
    context.machine = Elections


@then(
    "no VM sends an order with an older token than an earlier order, "
    "and a VM that was replaced sends none for the re-election delay"
)
def run_elections(context: Any) -> None:
    run_state_machine_as_test(
        context.machine, settings=settings(max_examples=150, stateful_step_count=40)
    )


@given("{peers:d} other VMs in {zones:d} zones")
def make_peers(context: Any, peers: int, zones: int) -> None:
    context.zones = [f"z{number % zones}" for number in range(peers + 1)]
    context.own_zone, *context.peer_zones = context.zones


def confirm(context: Any, reports: list[StoreReport], own_silent_s: float = 2.0) -> bool:
    return confirm_outage(
        now=50.0,
        own_zone=context.own_zone,
        own_silent_s=own_silent_s,
        reports=reports,
        zones_of_vms=context.zones,
    )


def report_silence(context: Any, count: int, received_at: float = 49.8) -> list[StoreReport]:
    return [
        StoreReport(availability_zone=zone, received_at=received_at, silent_s=2.0)
        for zone in context.peer_zones[:count]
    ]


@then("an order holder keeps sending orders when all of them report a silent store")
def check_all(context: Any) -> None:
    reports = report_silence(context, len(context.peer_zones))
    assert confirm(context, reports)
    assert not confirm(context, reports, own_silent_s=0.1)


@then(
    "an order holder keeps sending orders when {reporting:d} of them report a silent store "
    "and 3 report nothing"
)
def check_majority(context: Any, reporting: int) -> None:
    assert confirm(context, report_silence(context, reporting))


@then("an order holder stops when only {reporting:d} of them report a silent store")
def check_minority(context: Any, reporting: int) -> None:
    assert not confirm(context, report_silence(context, reporting))


@then("an order holder stops when one of them reaches the store")
def check_contradiction(context: Any) -> None:
    report = StoreReport(availability_zone="z0", received_at=49.5, silent_s=0.1)
    assert not confirm(context, [*report_silence(context, 6), report])


@then("an order holder stops when the reports are too old")
def check_old(context: Any) -> None:
    assert not confirm(context, report_silence(context, len(context.peer_zones), received_at=49.0))


@then("an order holder stops when only VMs of its own zone report a silent store, even a majority")
def check_own_zone(context: Any) -> None:
    context.zones = ["z0"] * 6 + ["z1"] * 2
    context.own_zone, *context.peer_zones = context.zones
    assert not confirm(context, report_silence(context, 5))
    assert confirm(context, report_silence(context, 6))
