"""Steps on quotas that change while requests wait for credit."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from behave import given
from behave import then
from behave import when
from twisted.internet.defer import Deferred

from cactusshunt.customers.customer import Customer
from cactusshunt.customers.customer import Quota
from cactusshunt.customers.customer import QuotaUnit
from cactusshunt.customers.customer_usage import QuotaRefusal
from cactusshunt.customers.customer_usage import choose_group
from cactusshunt.membership.messages import QuotaDoubt
from cactusshunt.permits.permit_pool import Permit
from tests.steps.quota_steps import EXCHANGE
from tests.steps.quota_steps import RATES
from tests.steps.quota_steps import find_issuer
from tests.steps.quota_steps import make_arrived
from tests.steps.simulated_quotas import SimulatedQuotas
from tests.steps.simulated_quotas import make_customers


def choose_other_vm(fleet: SimulatedQuotas, customer: str) -> str:
    """Return a VM that does not issue a customer's credit."""
    issuer = find_issuer(fleet, customer)
    return next(name for name in fleet.vms if name != issuer)


@when("a request waits for credit of a customer that the issuer's configuration removes")
def remove_while_waiting(context: Any) -> None:
    fleet: SimulatedQuotas = context.fleet
    vm = fleet.vms[choose_other_vm(fleet, "c1")]
    customer = fleet.customers[1]  # type: ignore[index]
    for _ in range(4):  # twice the burst, so that the last ones wait
        vm.request(customer, int(RATES[1]))
    fleet.clock.advance(0.1)
    context.admitted_before = len(fleet.admitted["c1"])
    vm.request(customer, 500)
    fleet.clock.advance(0.01)
    fleet.vms[find_issuer(fleet, "c1")].quotas.set_customers(
        [found for found in fleet.customers or () if found.name != "c1"]
    )
    fleet.clock.advance(0.3)


@then("the request is admitted")
def check_admitted(context: Any) -> None:
    assert len(context.fleet.admitted["c1"]) > context.admitted_before


@when(
    "credit of 1000 goes to two waiting requests of 500 that end at once without having been sent"
)
def return_credit(context: Any) -> None:
    fleet: SimulatedQuotas = context.fleet
    context.vm = vm = fleet.vms[choose_other_vm(fleet, "c1")]
    quotas: Any = vm.quotas
    for _ in range(2):
        job: Any = SimpleNamespace(
            customer=fleet.customers[1],  # type: ignore[index]
            route=SimpleNamespace(priority=5, target_latency_ms=1_500.0),
            deadline=vm.seconds() + 8.0,
            request=SimpleNamespace(headers=[(b"X-Token-Count", b"400, 100")]),
            quota_permit=None,
        )
        admitting = Deferred.fromCoroutine(quotas.admit(job))
        admitting.addCallback(lambda _, job=job: quotas.give_back(job))
    permit = Permit(name="c1", ends_at=vm.seconds() + 0.4, amount=1_000.0)
    quotas.give_back(SimpleNamespace(quota_permit=permit))


@then("this VM has credit of 1000 at hand")
def check_at_hand(context: Any) -> None:
    usage = context.vm.quotas.list_all()["c1"]
    assert usage.pool.measure_amount(context.vm.seconds()) == 1_000.0
    assert not usage.waiting


@when("the quota of a customer becomes 10 requests a second, and a late VM asks for 2400 tokens")
def change_unit(context: Any) -> None:
    fleet: SimulatedQuotas = context.fleet
    late = choose_other_vm(fleet, "c1")
    quota = Quota(rate_per_s=10.0, burst=20.0, unit=QuotaUnit.REQUESTS, plain_amount=1)
    changed = Customer(name="c1", quota=quota)
    others = [found for found in fleet.customers or () if found.name != "c1"]
    for name, vm in fleet.vms.items():
        if name != late:
            vm.quotas.set_customers([changed, *others])
    fleet.clock.advance(4.0)
    fleet.vms[late].request(fleet.customers[1], 2_400)  # type: ignore[index]
    fleet.clock.advance(0.5)
    fleet.admitted["c1"].clear()
    for vm in [vm for name, vm in fleet.vms.items() if name != late][:5]:
        vm.request(changed, 2_400)
    fleet.clock.advance(0.5)


@then("the customer's next requests are admitted")
def check_next_admitted(context: Any) -> None:
    assert len(context.fleet.admitted["c1"]) == 5


@given("8 VMs and two customers of one group")
def start_two(context: Any) -> None:
    names = [name for name in map(str, range(100)) if choose_group(name) == choose_group("0")]
    quota = make_customers(1, rate_per_s=4_200.0)[0].quota
    customers = [Customer(name=name, quota=quota) for name in names[:2]]
    context.fleet = SimulatedQuotas(vms=8, customers=customers)


@when("75 small requests of one wait at a VM for credit, and the other sends a request there")
def fill_message(context: Any) -> None:
    fleet: SimulatedQuotas = context.fleet
    customers = fleet.customers or []
    context.vm = vm = fleet.vms[choose_other_vm(fleet, customers[0].name)]
    for _ in range(2):
        vm.request(customers[0], 4_200)  # the whole burst
    fleet.clock.advance(0.02)
    for _ in range(75):
        vm.request(customers[0], 20)
    fleet.clock.advance(0.02)
    assert len(vm.quotas.list_all()[customers[0].name].waiting) > 50
    vm.request(customers[1], 500)
    fleet.clock.advance(0.5)


@then("the request of the other is admitted within {seconds:g} seconds")
def check_other(context: Any, seconds: float) -> None:
    customers = context.fleet.customers
    [(sent_at, admitted_at, _)] = context.fleet.admitted[customers[1].name]
    assert admitted_at - sent_at <= seconds, admitted_at - sent_at


@when("100 small requests of one arrive at a VM at once")
def send_at_once(context: Any) -> None:
    fleet: SimulatedQuotas = context.fleet
    customer = (fleet.customers or [])[0]
    vm = fleet.vms[choose_other_vm(fleet, customer.name)]
    for _ in range(100):
        vm.request(customer, 20)
    fleet.clock.advance(0.5)


@then("all of them are admitted within {seconds:g} seconds")
def check_all_admitted(context: Any, seconds: float) -> None:
    fleet = context.fleet
    found = fleet.admitted[fleet.customers[0].name]
    assert len(found) == 100, len(found)
    assert max(admitted_at - sent_at for sent_at, admitted_at, _ in found) <= seconds


@given("8 VMs and two customers of two groups with different issuers")
def start_two_groups(context: Any) -> None:
    for second in range(1, 100):
        quota = make_customers(1, rate_per_s=4_200.0)[0].quota
        customers = [Customer(name=name, quota=quota) for name in ("0", str(second))]
        context.fleet = SimulatedQuotas(vms=8, customers=customers)
        if find_issuer(context.fleet, "0") != find_issuer(context.fleet, str(second)):
            return
    raise AssertionError("all groups have the same issuer")


@when("a quota is removed while its issuer leaves a request unanswered")
def remove_unanswered(context: Any) -> None:
    fleet: SimulatedQuotas = context.fleet
    removed, kept = fleet.customers or []
    issuer = find_issuer(fleet, removed.name)
    vm = next(
        vm for name, vm in fleet.vms.items() if name not in (issuer, find_issuer(fleet, kept.name))
    )
    fleet.cut([issuer], 0.4, store=False)
    vm.request(removed, 500)
    fleet.clock.advance(0.1)
    for other in fleet.vms.values():
        other.quotas.set_customers([kept])
    fleet.clock.advance(0.4)
    context.doubts = []
    send = vm.send

    def record(message: Any, recipients: list[str]) -> None:
        if isinstance(message, QuotaDoubt):
            context.doubts.append(message)
        send(message, recipients)

    vm.send = record  # type: ignore[method-assign]
    fleet.clock.advance(10.0)


@then("no VM is told of a doubt in the 10 seconds that follow")
def check_no_doubts(context: Any) -> None:
    assert not context.doubts, context.doubts


@when("a customer's request arrives and its refusal fails")
def fail_refusal(context: Any) -> None:
    connection = SimpleNamespace(
        disconnected=False, answer=lambda *answer: context.answers.append(answer), **EXCHANGE
    )
    job = make_arrived(b"r0", connection, make_customers(1, rate_per_s=10.0)[0], False)
    running = Deferred.fromCoroutine(context.callers._run(job))
    [(_, settled)] = context.quotas.asked
    unwritable: Any = None
    settled.callback(QuotaRefusal(reason="quota", retry_after_s=unwritable))
    running.addErrback(lambda failure: failure.trap(TypeError))


@when(
    "the bursts change twice a second while one customer sends 7 times its quota for 20 seconds, "
    "in requests of {least:d} tokens or more"
)
def change_bursts(context: Any, least: int) -> None:
    fleet: SimulatedQuotas = context.fleet
    names = [found.name for found in fleet.customers or ()]
    vms = list(fleet.vms)
    fleet.send(0, amount_per_s=7.0 * 4_200.0, seconds=20.0, vms=vms, least=least)
    for number in range(40):
        quota = make_customers(1, rate_per_s=4_200.0, burst_s=0.01 * (number % 2))[0].quota
        fleet.set_customers([Customer(name=name, quota=quota) for name in names])
        fleet.clock.advance(0.5)


@when(
    "the rate changes between {high:d} and {low:d} every {seconds:g} seconds "
    "while the customer sends 7 times its quota"
)
def change_rates(context: Any, high: int, low: int, seconds: float) -> None:
    fleet: SimulatedQuotas = context.fleet
    fleet.send(0, amount_per_s=7.0 * high, seconds=24.0, vms=list(fleet.vms), least=7_000)
    for number in range(int(24.0 / seconds)):
        fleet.set_customers(make_customers(1, rate_per_s=(high, low)[number % 2], burst_s=0.0))
        fleet.clock.advance(seconds)


@given("8 VMs and a customer with a quota of {rate:g} tokens a second")
def start_one(context: Any, rate: float) -> None:
    customers = make_customers(1, rate_per_s=rate, burst_s=0.0)
    context.fleet = SimulatedQuotas(vms=8, customers=customers)


@when("a caller sends a request with a token count of 30 digits, and one of 500 tokens")
def send_digits(context: Any) -> None:
    fleet: SimulatedQuotas = context.fleet
    for amount in (10**30, 500):
        fleet.vms["vm0"].request((fleet.customers or [])[0], amount)
    fleet.clock.advance(0.1)


@then("the first is refused, and the second is admitted")
def check_digits(context: Any) -> None:
    fleet = context.fleet
    assert [amount for _, amount, _ in fleet.refused["c0"]] == [10**30]
    assert [amount for _, _, amount in fleet.admitted["c0"]] == [500]


@when(
    "{count:d} requests of {amount:d} tokens arrive, then the quota is raised to {rate:d} "
    "and {more:d} more arrive"
)
def raise_quota(context: Any, count: int, amount: int, rate: int, more: int) -> None:
    fleet: SimulatedQuotas = context.fleet
    for _ in range(count):
        fleet.vms["vm0"].request((fleet.customers or [])[0], amount)
    fleet.clock.advance(1.0)
    fleet.set_customers(make_customers(1, rate_per_s=rate, burst_s=0.0))
    fleet.clock.advance(1.0)
    fleet.refused["c0"].clear()
    for _ in range(more):
        fleet.vms["vm0"].request((fleet.customers or [])[0], amount)
    fleet.clock.advance(1.0)


@then("the first of those that are refused is told to return within {seconds:g} seconds")
def check_first_return(context: Any, seconds: float) -> None:
    times = [refusal.retry_after_s for _, _, refusal in context.fleet.refused["c0"]]
    assert len(times) > 10, times
    assert min(times) <= seconds, min(times)
