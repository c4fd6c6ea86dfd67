"""Steps on the quotas of simulated VMs."""

from __future__ import annotations

import random

from types import SimpleNamespace
from typing import Any

from behave import given
from behave import then
from behave import when
from twisted.internet.defer import Deferred

from cactusshunt.console.quota_report import format_quotas
from cactusshunt.console.quota_report import summarize_quotas
from cactusshunt.customers.customer import Customer
from cactusshunt.customers.customer import Quota
from cactusshunt.customers.customer import QuotaUnit
from cactusshunt.customers.customer_usage import QuotaRefusal
from cactusshunt.customers.quota_amount import compute_amount
from cactusshunt.customers.quota_service import RETURN_HORIZON_S
from cactusshunt.permits.permit_pool import Permit
from cactusshunt.placement.demand_meter import DemandMeter
from cactusshunt.requests.caller_requests import CallerRequests
from tests.steps.simulated_quotas import ZONES
from tests.steps.simulated_quotas import SimulatedQuotas
from tests.steps.simulated_quotas import make_customers

FAULT_SECONDS = 25
RATES = (100_000.0, 4_200.0, 4_200.0, 30_000.0)


def make_fleet(vms: int, seed: int = 1) -> SimulatedQuotas:
    customers = [
        Customer(name=f"c{number}", quota=make_customers(1, rate_per_s=rate)[0].quota)
        for number, rate in enumerate(RATES)
    ]
    return SimulatedQuotas(vms=vms, customers=customers, seed=seed)


def list_zone(fleet: SimulatedQuotas, zone: int) -> list[str]:
    return [name for name, vm in fleet.vms.items() if vm.zone == zone]


def find_issuer(fleet: SimulatedQuotas, customer: str) -> str:
    quotas = fleet.vms["vm0"].quotas
    issuer = quotas.find_issuer(quotas.list_all()[customer])
    assert issuer is not None
    return issuer


@given("{vms:d} VMs and 4 customers with quotas")
def start_fleet(context: Any, vms: int) -> None:
    context.vms = vms
    context.fleet = make_fleet(vms)
    context.began_at = context.fleet.clock.seconds()


@when(
    "one customer sends 7.5 times its quota at one zone and the others half of theirs "
    "for {seconds:d} seconds"
)
def send_hot(context: Any, seconds: int) -> None:
    fleet = context.fleet
    context.seconds = seconds
    for number, rate in enumerate(RATES):
        vms = list_zone(fleet, 1) if number == 0 else list(fleet.vms)
        factor = 7.5 if number == 0 else 0.5
        fleet.send(number, amount_per_s=factor * rate, seconds=seconds, vms=vms)
    fleet.clock.advance(seconds + 1.0)


@when(
    "all customers send 0.6 times their quotas at a zone that changes every second "
    "for {seconds:d} seconds"
)
def send_moving(context: Any, seconds: int) -> None:
    fleet = context.fleet
    for second in range(seconds):
        for number, rate in enumerate(RATES):
            vms = list_zone(fleet, second % ZONES)
            fleet.send(number, amount_per_s=0.6 * rate, seconds=1.0, vms=vms)
        fleet.clock.advance(1.0)
    fleet.clock.advance(1.0)


@when("all customers send {factor:g} times their quotas at all VMs for {seconds:d} seconds")
def send_above(context: Any, factor: float, seconds: int) -> None:
    fleet = context.fleet
    for number, rate in enumerate(RATES):
        fleet.send(number, amount_per_s=factor * rate, seconds=seconds, vms=list(fleet.vms))
    fleet.clock.advance(seconds + 1.0)


@when(
    "a zone is cut off for {seconds:d} seconds while customers send {factor:g} times their quotas"
)
def cut_zone(context: Any, seconds: int, factor: float) -> None:
    fleet = context.fleet
    for number, rate in enumerate(RATES):
        fleet.send(number, amount_per_s=factor * rate, seconds=seconds + 10.0, vms=list(fleet.vms))
    fleet.clock.advance(3.0)
    fleet.cut(list_zone(fleet, 2), seconds, store=False)
    fleet.clock.advance(seconds + 8.0)


@when("the issuer of a customer dies while it sends half of its quota")
def kill_issuer(context: Any) -> None:
    kill_issuer_of(context, "c3", 9.0)


@when(
    "the issuer of customer {customer} dies, and {seconds:g} seconds pass "
    "while it sends half of its quota"
)
def kill_issuer_of(context: Any, customer: str, seconds: float) -> None:
    fleet = context.fleet
    issuer = find_issuer(fleet, customer)
    others = [name for name in fleet.vms if name != issuer]
    number = int(customer[1:])
    fleet.send(number, amount_per_s=0.5 * RATES[number], seconds=12.0, vms=others)
    fleet.clock.advance(4.0)
    context.died_at = fleet.clock.seconds()
    context.customer, context.others = customer, others
    fleet.restart(issuer, 6.0)
    fleet.clock.advance(seconds)


@then("the other VMs issue at least {part:g} of its quota")
def check_issued_by_others(context: Any, part: float) -> None:
    fleet, customer = context.fleet, context.customer
    issued = [fleet.vms[name].quotas.list_issued().get(customer, 0.0) for name in context.others]
    assert sum(issued) >= part * RATES[int(customer[1:])], sum(issued)


@then("its requests are admitted again within {seconds:g} seconds")
def check_admitted_again(context: Any, seconds: float) -> None:
    fleet, since = context.fleet, context.died_at + seconds
    share = fleet.measure_share(["c3"], since, since + 3.0)
    assert share >= 0.98, share


def play_faults(vms: int, seed: int) -> SimulatedQuotas:
    chance = random.Random(seed)
    fleet = make_fleet(vms, seed)
    fleet.unsent_share, fleet.absurd_share = 0.05, 0.02
    names = list(fleet.vms)

    def later(at: float, run: Any, *arguments: Any, **options: Any) -> None:
        fleet.clock.call_later(at, lambda: run(*arguments, **options))

    for _ in range(max(8, vms // 4)):
        vm, at = chance.choice(names), chance.uniform(0.5, FAULT_SECONDS - 8.0)
        if chance.random() < 0.3:
            vm = find_issuer(fleet, chance.choice(("c0", "c1", "c3")))
        lasts_s = chance.choice((0.2, 0.5, 0.9, 1.5, 3.0, 6.0))
        match chance.choice(("freeze", "restart", "cut", "zone", "join")):
            case "freeze":
                later(at, fleet.freeze, vm, lasts_s)
            case "restart":
                later(at, fleet.restart, vm, min(2.0, lasts_s))
            case "cut":
                later(at, fleet.cut, [vm], lasts_s, store=chance.random() < 0.5)
            case "zone":
                zone = list_zone(fleet, fleet.vms[vm].zone)
                later(at, fleet.cut, zone, lasts_s, store=chance.random() < 0.3)
            case "join":
                later(at, fleet.join, f"vm{vms + len(fleet.vms) + chance.randrange(10_000)}")
    lowered = [
        Customer(name=f"c{number}", quota=make_customers(1, rate_per_s=rate / factor)[0].quota)
        for number, (rate, factor) in enumerate(zip(RATES, (8.0, 1.0, 1.0, 4.0), strict=True))
    ]
    later(chance.uniform(8.0, 12.0), fleet.set_customers, lowered)
    for number, rate in enumerate(RATES):
        factor = chance.choice((0.9, 2.0, 4.0))
        fleet.send(number, amount_per_s=factor * rate, seconds=FAULT_SECONDS, vms=names)
    fleet.clock.advance(FAULT_SECONDS + 1.0)
    return fleet


@when(
    "VMs join, freeze, restart and are cut off, and quotas are lowered, "
    "with seeds {first:d} to {last:d}"
)
def play_seeds(context: Any, first: int, last: int) -> None:
    context.fleets = {seed: play_faults(context.vms, seed) for seed in range(first, last + 1)}


@then("no 8 seconds hold more than the rule allows in any of these runs")
def check_all_windows(context: Any) -> None:
    for seed, fleet in context.fleets.items():
        check_windows_of(fleet, seed)


@then("no 8 seconds hold more than the rule allows")
def check_windows(context: Any) -> None:
    check_windows_of(context.fleet, 1)


def check_windows_of(fleet: SimulatedQuotas, seed: int) -> None:
    for customer in fleet.quotas:
        begin, used, allowed = fleet.find_worst_window(customer)
        assert used <= allowed, (seed, customer, begin, used, allowed)


@then("of what the hot customer's quota allows at least {part:g} is admitted")
def check_hot(context: Any, part: float) -> None:
    share = context.fleet.measure_share(["c0"], context.began_at)
    assert share >= part, share


@then("of what the {who} ask for within their quotas at least {part:g} is admitted")
def check_shares(context: Any, who: str, part: float) -> None:
    names = ("c1", "c2", "c3") if who == "other customers" else ("c0", "c1", "c2", "c3")
    share = context.fleet.measure_share(names, context.began_at)
    assert share >= part, share


@then("of what each customer's quota allows at least {part:g} is admitted")
def check_each(context: Any, part: float) -> None:
    fleet = context.fleet
    shares = {name: fleet.measure_share([name], context.began_at) for name in fleet.quotas}
    assert min(shares.values()) >= part, shares


@then("no VM sends more than {most:d} bytes a second")
def check_bytes(context: Any, most: int) -> None:
    found = max(context.fleet.bytes_sent.values()) / context.seconds
    assert found <= most, found


@then("the times at which the hot customer's callers should return fit its quota")
def check_returns(context: Any) -> None:
    returns = sorted(
        (sent_at + refusal.retry_after_s, amount)
        for sent_at, amount, refusal in context.fleet.refused["c0"]
        if refusal.reason == "quota" and refusal.retry_after_s < RETURN_HORIZON_S
    )
    most = max(
        sum(amount for at, amount in returns if first <= at < first + 1.0) for first, _ in returns
    )
    assert len(returns) > 100
    assert most <= 1.5 * RATES[0], most


@when("the issuer of a customer is frozen for 3 seconds")
def freeze_issuer(context: Any) -> None:
    fleet = context.fleet
    context.issuer = find_issuer(fleet, "c0")
    assert fleet.vms[context.issuer].quotas.list_issued()["c0"] > 0.0
    fleet.freeze(context.issuer, 3.0)
    fleet.clock.advance(3.1)


@then("it issues only for its own share when it goes on")
def check_issues_own(context: Any) -> None:
    issued = context.fleet.vms[context.issuer].quotas.list_issued()["c0"]
    assert issued < 1.5 * RATES[0] / context.vms, issued


@when("a VM is frozen for 0.7 seconds while a request waits for credit")
def freeze_waiting(context: Any) -> None:
    fleet = context.fleet
    issuer = find_issuer(fleet, "c3")
    vm = next(name for name in fleet.vms if name != issuer)
    fleet.vms[vm].request(fleet.customers[3], 500)
    fleet.clock.advance(0.0021)
    fleet.freeze(vm, 0.7)
    fleet.clock.advance(1.5)


@then("the request is not admitted")
def check_not_admitted(context: Any) -> None:
    assert not context.fleet.admitted["c3"]
    assert len(context.fleet.refused["c3"]) == 1


@given("a quota in {unit} where a request without a size counts {amount:d}")
def make_quota(context: Any, unit: str, amount: int) -> None:
    context.quota = Quota(rate_per_s=1.0, burst=1.0, unit=QuotaUnit(unit), plain_amount=amount)


@then('a request with the token count "{header}" counts {amount:g}')
def check_amount(context: Any, header: str, amount: float) -> None:
    values = [] if header == "(none)" else header.encode().split(b" and ")
    headers = [(b"X-Token-Count", value) for value in values]
    assert compute_amount(context.quota, headers) == amount


@when("a caller sends a request of {amount:d} tokens")
def send_absurd(context: Any, amount: int) -> None:
    fleet = context.fleet
    fleet.vms["vm0"].request(fleet.customers[1], amount)


@then("it is refused at once, and later requests are admitted")
def check_refused_at_once(context: Any) -> None:
    fleet = context.fleet
    assert len(fleet.refused["c1"]) == 1
    fleet.vms["vm0"].request(fleet.customers[1], 500)
    fleet.clock.advance(0.2)
    assert len(fleet.admitted["c1"]) == 1


@when("a request that has credit ends without having been sent")
def end_unsent(context: Any) -> None:
    fleet = context.fleet
    fleet.unsent_share, fleet.unsent_after_s = 1.0, (0.001,)
    fleet.vms["vm0"].request(fleet.customers[1], 500)
    fleet.clock.advance(0.1)
    fleet.unsent_share = 0.0


@then("the next request of that customer at this VM needs no other VM")
def check_credit_reused(context: Any) -> None:
    fleet = context.fleet
    fleet.cut(["vm0"], 5.0, store=False)
    fleet.vms["vm0"].request(fleet.customers[1], 500)
    [(sent_at, admitted_at, _)] = fleet.admitted["c1"]
    assert sent_at == admitted_at


@given("{vms:d} VMs and a customer that may send a request in 20 seconds")
def start_slow(context: Any, vms: int) -> None:
    quota = Quota(rate_per_s=0.05, burst=0.0, unit=QuotaUnit.REQUESTS, plain_amount=0)
    context.fleet = SimulatedQuotas(vms=vms, customers=[Customer(name="c0", quota=quota)])


@when("a caller sends a request, and another one 5 seconds later")
def send_two(context: Any) -> None:
    fleet = context.fleet
    for seconds, vm in ((5.0, "vm1"), (1.0, "vm4")):
        fleet.vms[vm].request(fleet.customers[0], 2_400)
        fleet.clock.advance(seconds)


@then("the first is admitted, and the second is told to return in 15 seconds")
def check_second_refused(context: Any) -> None:
    assert len(context.fleet.admitted["c0"]) == 1
    [(_, _, refusal)] = context.fleet.refused["c0"]
    assert 14.5 <= refusal.retry_after_s <= 15.5, refusal


@given("log lines of two VMs on the usage of a customer")
def make_lines(context: Any) -> None:
    counts = ({"admitted": 2, "refused": 0}, {"admitted": 3, "refused": 3})
    context.lines = [
        {"event": "quota_usage", "at": 1.0 + vm, "customer": "c0", "rate_per_s": 10.0, **found}
        for vm, found in enumerate(counts)
    ]


@then("the report has one row of it with 5 requests admitted and 3 refused")
def check_report(context: Any) -> None:
    rows = format_quotas(summarize_quotas(context.lines, 2.0), 2.0)
    assert rows[-1].split() == ["0.0", "10", "5", "0", "3", "0", "c0"], rows
    assert len(rows) == 3


@given("{vms:d} VMs and customers without quotas")
def start_unlimited(context: Any, vms: int) -> None:
    context.fleet = SimulatedQuotas(vms=vms, customers=[])
    context.fleet.customers = [Customer(name="c0")]
    for vm in context.fleet.vms.values():
        vm.quotas.set_customers(context.fleet.customers)


@when("callers send for 3 seconds")
def send_unlimited(context: Any) -> None:
    fleet = context.fleet
    fleet.send(0, amount_per_s=100_000.0, seconds=3.0, vms=list(fleet.vms))
    fleet.clock.advance(4.0)


@then("VMs sent nothing, no timer is left, and every request is admitted at once")
def check_unlimited(context: Any) -> None:
    fleet = context.fleet
    assert not fleet.datagrams
    assert not fleet.clock.has_timers()
    assert len(fleet.admitted["c0"]) == len(fleet.offered["c0"]) > 10
    assert all(sent_at == admitted_at for sent_at, admitted_at, _ in fleet.admitted["c0"])


class _Quotas:
    """Answers when the steps say so, and keeps what is given back."""

    def __init__(self) -> None:
        self.asked: list[tuple[Any, Deferred[QuotaRefusal | None]]] = []
        self.given_back: list[Any] = []

    async def admit(self, job: Any) -> QuotaRefusal | None:
        self.asked.append((job, Deferred()))
        return await self.asked[-1][1]

    def give_back(self, job: Any) -> None:
        self.given_back.append(job)


@given("a VM that handles callers' requests, whose issuer admits them")
@given("a VM that handles callers' requests, whose issuer refuses them for 1.5 seconds")
def start_callers(context: Any) -> None:
    context.quotas, context.relayed, context.answers = _Quotas(), [], []

    async def relay(job: Any) -> None:
        context.relayed.append(job.request_id)
        job.last_sent_at = 1.0 if job.request_id == b"sent" else None

    reactor: Any = SimpleNamespace(seconds=lambda: 1.0)
    context.callers = CallerRequests(
        reactor=reactor,
        relay=SimpleNamespace(run=relay),  # type: ignore[arg-type]
        meter=DemandMeter(),
        grace_s=5.0,
        quotas=context.quotas,
    )


@when(
    "a customer's request arrives, one of a customer without a quota, and one that a VM passed on"
)
def send_to_callers(context: Any) -> None:
    limited = make_customers(1, rate_per_s=10.0)[0]
    for number, customer in enumerate((limited, Customer(name="free"), limited)):
        connection = SimpleNamespace(
            budget=None,
            disconnected=False,
            **EXCHANGE,
            answer=lambda *answer: context.answers.append(answer),
        )
        job = make_arrived(f"r{number}".encode(), connection, customer, number == 2)
        context.running = Deferred.fromCoroutine(context.callers._run(job))
    for _, settled in context.quotas.asked:
        settled.callback(QuotaRefusal(reason="quota", retry_after_s=1.5))


class _Arrived(SimpleNamespace):
    __hash__ = object.__hash__


# What the end of a request's handling asks its connection for.
EXCHANGE: dict[str, Any] = {"exchange_number": 1, "end_unanswered": lambda number: None}


def make_arrived(request_id: bytes, connection: Any, customer: Customer, is_detour: bool) -> Any:
    found = _Arrived()
    found.__dict__.update(
        request=SimpleNamespace(arrived_at=0.0),
        request_id=request_id,
        connection=connection,
        customer=customer,
        customer_name=customer.name,
        is_detour=is_detour,
        quota_permit=None,
        last_sent_at=None,
        done=False,
        generation=None,
        kind="idempotent",
        item="",
        outcomes=[],
        route=SimpleNamespace(name="r"),
        sink=SimpleNamespace(
            release_memory=lambda: None, forwarding_started=False, holds_events=False
        ),
    )
    return found


@then("the first is answered 429 with Retry-After 1.50 and its ID, and is not relayed")
def check_answer(context: Any) -> None:
    [(status, headers, body)] = context.answers
    assert status == 429
    assert (b"Retry-After", b"1.50") in headers
    assert (b"X-Request-Id", b"r0") in headers
    assert b'"ran":"no"' in body


@then("the others are relayed without waiting")
def check_relayed(context: Any) -> None:
    assert context.relayed == [b"r1", b"r2"]
    assert len(context.quotas.asked) == 1


@when("a customer's request ends without having been sent, and another was sent")
def end_both(context: Any) -> None:
    connection = SimpleNamespace(disconnected=False, **EXCHANGE)
    customer = make_customers(1, rate_per_s=10.0)[0]
    for request_id in (b"unsent", b"sent"):
        job = make_arrived(request_id, connection, customer, False)
        job.quota_permit = Permit(name=customer.name, ends_at=9.0)
        context.running = Deferred.fromCoroutine(context.callers._run(job))
    for _, settled in context.quotas.asked:
        settled.callback(None)


@then("the credit of the first is given back")
def check_given_back(context: Any) -> None:
    assert [job.request_id for job in context.quotas.given_back] == [b"unsent"]


@when("a customer's request arrives and its admission fails")
def fail_admission(context: Any) -> None:
    connection = SimpleNamespace(
        disconnected=False, answer=lambda *answer: context.answers.append(answer), **EXCHANGE
    )
    job = make_arrived(b"r0", connection, make_customers(1, rate_per_s=10.0)[0], False)
    running = Deferred.fromCoroutine(context.callers._run(job))
    [(_, settled)] = context.quotas.asked
    settled.errback(OSError("made by the test"))
    running.addErrback(lambda failure: failure.trap(OSError))


@then("it is answered 503 as not run, and is not relayed")
def check_failed_admission(context: Any) -> None:
    [(status, headers, body)] = context.answers
    assert status == 503
    assert (b"X-Request-Id", b"r0") in headers
    assert b'"ran":"no"' in body
    assert not context.relayed
    assert not context.callers.in_flight
