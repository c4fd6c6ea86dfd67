"""Steps on attempts, refusals, retries and streams; they call the functions directly."""

from __future__ import annotations

import itertools

from typing import Any

from behave import given
from behave import then
from behave import when
from hypothesis import given as given_any
from hypothesis import strategies as st

from cactusshunt.requests.admission import check_placement_wait
from cactusshunt.requests.event_stream import EventSplitter
from cactusshunt.requests.outcome import NextStep
from cactusshunt.requests.outcome import Outcome
from cactusshunt.requests.outcome import decide_next
from cactusshunt.requests.outcome import may_have_run
from cactusshunt.requests.retry_allowance import RetryAllowance
from cactusshunt.requests.stopping import check_while_stopping

CERTAINLY_NOT_RUN = {Outcome.NOT_REACHED, Outcome.NOT_RUN, Outcome.ABSENT}


@given("every outcome of an attempt at an upstream")
def make_outcomes(context: Any) -> None:
    context.pairs = list(itertools.product(Outcome, (True, False)))


@then("a request that may have run is retried only if it is repeatable")
def check_retry_rule(context: Any) -> None:
    for outcome, repeatable in context.pairs:
        retried = decide_next(outcome, repeatable=repeatable) is NextStep.TRY_OTHER
        assert not (retried and may_have_run(outcome) and not repeatable), outcome


@then('only outcomes of attempts that certainly did not run count as "not run"')
def check_not_run(context: Any) -> None:
    assert {outcome for outcome in Outcome if not may_have_run(outcome)} == CERTAINLY_NOT_RUN


@given("a VM that was told to stop with a grace period of {grace_s:d} seconds")
def stop_vm(context: Any, grace_s: int) -> None:
    context.grace_s = float(grace_s)


def check_request(context: Any, after_s: float, *, streams: bool, lasts_s: float) -> Any:
    return check_while_stopping(
        now=100.0 + after_s,
        stopping_since=100.0,
        grace_s=context.grace_s,
        deadline=100.0 + after_s + lasts_s,
        streams=streams,
    )


@then("a stream that arrives after {after_s:g} seconds is refused at once")
def check_stream_refused(context: Any, after_s: float) -> None:
    refusal = check_request(context, after_s, streams=True, lasts_s=15.0)
    assert refusal is not None
    assert refusal.retry_after_s < 0.5


@then("a stream that arrives after {after_s:g} second is accepted")
def check_stream_accepted(context: Any, after_s: float) -> None:
    assert check_request(context, after_s, streams=True, lasts_s=15.0) is None


@then(
    "a request that arrives after {after_s:g} seconds is accepted "
    "only if its deadline lies before the end of serving"
)
def check_short_accepted(context: Any, after_s: float) -> None:
    assert check_request(context, after_s, streams=False, lasts_s=1.0) is None
    assert check_request(context, after_s, streams=False, lasts_s=5.0) is not None


@given(
    "{vms:d} VMs that may together retry {ratio:g} of their requests "
    "and {spare:d} more in any 10 seconds"
)
def make_allowances(context: Any, vms: int, spare: int, ratio: float) -> None:
    context.vms, context.spare, context.ratio = vms, spare, ratio
    context.now = 0.0
    context.requests = []
    context.retries = []
    start_allowances(context)


def start_allowances(context: Any) -> None:
    context.allowances = [
        RetryAllowance(
            ratio=context.ratio, window_s=10.0, spare=context.spare, started_at=context.now
        )
        for _ in range(context.vms)
    ]
    for allowance in context.allowances:
        allowance.set_vm_count(context.vms)


def fail_requests(context: Any, seconds: float, per_s: int) -> None:
    end = context.now + seconds
    while context.now < end:
        context.now += 1.0 / per_s
        for allowance in context.allowances:
            allowance.count_request("s", context.now)
            context.requests.append(context.now)
            for _ in range(3):
                if allowance.spend("s", context.now):
                    context.retries.append(context.now)


@when("every request fails for {seconds:d} seconds at {per_s:d} requests per second on each VM")
def fail_all(context: Any, seconds: int, per_s: int) -> None:
    context.per_s = per_s
    fail_requests(context, seconds, per_s)


@when("all VMs restart at once and every request still fails")
def restart_all(context: Any) -> None:
    start_allowances(context)
    fail_requests(context, 20, context.per_s)


@then("no window of 10 seconds holds more retries than the limit")
def check_retries(context: Any) -> None:
    for start in range(int(context.now) - 10):
        retries = sum(start <= at < start + 10 for at in context.retries)
        requests = sum(start <= at < start + 10 for at in context.requests)
        assert retries <= context.ratio * requests + context.spare, (start, retries, requests)


@then(
    "a request whose caller waits {timeout:g} seconds "
    "is refused if no load is ordered within {seconds:g} seconds"
)
def check_refused_without_order(context: Any, timeout: float, seconds: float) -> None:
    def check_at(now: float) -> Any:
        return check_placement_wait(
            now=now, waiting_since=0.0, left_ms=timeout * 1000.0, expected_at=None
        )

    assert check_at(seconds - 0.05) is None
    refusal = check_at(seconds + 0.05)
    assert refusal is not None
    assert refusal.retry_after_s > 0.0


@then("a request whose model loads in time waits for it")
def check_in_time(context: Any) -> None:
    assert check_placement_wait(now=0.9, waiting_since=0.0, left_ms=3000.0, expected_at=1.2) is None


@then("a request whose model loads too late is refused at once with a time to retry")
def check_too_late(context: Any) -> None:
    refusal = check_placement_wait(now=0.0, waiting_since=0.0, left_ms=1500.0, expected_at=1.5)
    assert refusal is not None
    assert 0.4 <= refusal.retry_after_s <= 0.5


@given("event streams divided at arbitrary places")
def make_streams(context: Any) -> None:
    context.events = st.lists(
        st.tuples(st.integers(0, 999), st.text("abc :\n", max_size=6)), min_size=1, max_size=8
    )


@then("what is forwarded always ends with a complete event and adds up to the stream")
def check_splitter(context: Any) -> None:
    @given_any(context.events, st.lists(st.integers(1, 12), max_size=40))
    def check(events: list[tuple[int, str]], sizes: list[int]) -> None:
        stream = b"".join(
            f"id: {number}\ndata: {text.replace(chr(10), '')}\n\n".encode()
            for number, text in events
        )
        splitter = EventSplitter()
        forwarded = b""
        rest = stream
        for size in [*sizes, len(stream)]:
            complete = splitter.add(rest[:size])
            rest = rest[size:]
            assert not complete or complete.endswith(b"\n\n")
            forwarded += complete
        assert forwarded == stream
        assert splitter.incomplete == b""
        assert splitter.last_id == str(events[-1][0]).encode()
        assert splitter.count == len(events)

    check()


@given("a window of {seconds:d} seconds for retries, in which none is sent")
def make_idle_allowance(context: Any, seconds: int) -> None:
    context.idle_allowance = RetryAllowance(
        ratio=0.2, window_s=float(seconds), spare=10.0, started_at=0.0
    )


@when("{rate:d} requests arrive each second for {seconds:d} seconds")
def count_requests(context: Any, rate: int, seconds: int) -> None:
    for number in range(rate * seconds):
        context.idle_allowance.count_request("engines", number / rate)


@then("no more than {count:d} of them are remembered")
def check_remembered(context: Any, count: int) -> None:
    remembered = len(context.idle_allowance._requests["engines"])
    assert remembered <= count, remembered
