"""Steps on attempts, refusals, repeats and streams, on the pure decisions."""

from __future__ import annotations

import itertools

from typing import Any

from behave import given
from behave import then
from behave import when
from hypothesis import given as given_any
from hypothesis import strategies as st

from cactusshunt.requests.admission import judge_placement_wait
from cactusshunt.requests.event_stream import EventSplitter
from cactusshunt.requests.outcome import Next
from cactusshunt.requests.outcome import Outcome
from cactusshunt.requests.outcome import decide_next
from cactusshunt.requests.outcome import may_have_run
from cactusshunt.requests.retry_allowance import RetryAllowance
from cactusshunt.requests.stopping import judge_while_stopping

CERTAINLY_NOT_RUN = {Outcome.NOT_REACHED, Outcome.NOT_RUN, Outcome.ABSENT}


@given("every history of attempts at upstreams")
def make_histories(context: Any) -> None:
    context.pairs = list(itertools.product(Outcome, (True, False)))


@then("a request is sent again after it may have run only if it may be repeated")
def check_repeats(context: Any) -> None:
    for outcome, repeatable in context.pairs:
        again = decide_next(outcome, repeatable=repeatable) is Next.TRY_OTHER
        assert not (again and may_have_run(outcome) and not repeatable), outcome


@then('only attempts that certainly did not run leave "not run" true')
def check_not_run(context: Any) -> None:
    assert {outcome for outcome in Outcome if not may_have_run(outcome)} == CERTAINLY_NOT_RUN


@given("a VM that was told to stop with {grace_s:d} seconds of grace")
def stop_vm(context: Any, grace_s: int) -> None:
    context.grace_s = float(grace_s)


def judge(context: Any, after_s: float, *, streams: bool, lasts_s: float) -> Any:
    return judge_while_stopping(
        now=100.0 + after_s,
        stopping_since=100.0,
        grace_s=context.grace_s,
        deadline=100.0 + after_s + lasts_s,
        streams=streams,
    )


@then("a stream that comes after {after_s:g} seconds is refused at once")
def check_stream_refused(context: Any, after_s: float) -> None:
    refusal = judge(context, after_s, streams=True, lasts_s=15.0)
    assert refusal is not None
    assert refusal.retry_after_s < 0.5


@then("a stream that comes after {after_s:g} second is taken")
def check_stream_taken(context: Any, after_s: float) -> None:
    assert judge(context, after_s, streams=True, lasts_s=15.0) is None


@then("a request that ends in time is taken after {after_s:g} seconds")
def check_short_taken(context: Any, after_s: float) -> None:
    assert judge(context, after_s, streams=False, lasts_s=1.0) is None
    assert judge(context, after_s, streams=False, lasts_s=5.0) is not None


@given("{vms:d} VMs that share {spare:d} spare repeats and a ratio of {ratio:g} in 10 seconds")
def make_allowances(context: Any, vms: int, spare: int, ratio: float) -> None:
    context.vms, context.spare, context.ratio = vms, spare, ratio
    context.now = 0.0
    context.requests = []
    context.repeats = []
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
                    context.repeats.append(context.now)


@when("every request fails for {seconds:d} seconds at {per_s:d} requests a second on each")
def fail_all(context: Any, seconds: int, per_s: int) -> None:
    context.per_s = per_s
    fail_requests(context, seconds, per_s)


@when("all VMs restart at once and every request goes on failing")
def restart_all(context: Any) -> None:
    start_allowances(context)
    fail_requests(context, 20, context.per_s)


@then("no window of 10 seconds holds more repeats than the budget")
def check_budget(context: Any) -> None:
    for start in range(int(context.now) - 10):
        repeats = sum(start <= at < start + 10 for at in context.repeats)
        requests = sum(start <= at < start + 10 for at in context.requests)
        assert repeats <= context.ratio * requests + context.spare, (start, repeats, requests)


@then(
    "a request whose caller waits {patience:g} seconds "
    "is refused after {seconds:g} seconds without an order"
)
def check_unordered(context: Any, patience: float, seconds: float) -> None:
    def judge_at(now: float) -> Any:
        return judge_placement_wait(now=now, began=0.0, left_ms=patience * 1000.0, expected_at=None)

    assert judge_at(seconds - 0.05) is None
    refusal = judge_at(seconds + 0.05)
    assert refusal is not None
    assert refusal.retry_after_s > 0.0


@then("one whose model comes in time waits for it")
def check_in_time(context: Any) -> None:
    assert judge_placement_wait(now=0.9, began=0.0, left_ms=3000.0, expected_at=1.2) is None


@then("one whose model comes too late is refused at once with the time to come back")
def check_too_late(context: Any) -> None:
    refusal = judge_placement_wait(now=0.0, began=0.0, left_ms=1500.0, expected_at=1.5)
    assert refusal is not None
    assert 0.4 <= refusal.retry_after_s <= 0.5


@given("streams of events cut at any places")
def make_streams(context: Any) -> None:
    context.events = st.lists(
        st.tuples(st.integers(0, 999), st.text("abc :\n", max_size=6)), min_size=1, max_size=8
    )


@then("what is handed on always ends with a whole event and joins to the stream")
def check_splitter(context: Any) -> None:
    @given_any(context.events, st.lists(st.integers(1, 12), max_size=40))
    def check(events: list[tuple[int, str]], sizes: list[int]) -> None:
        stream = b"".join(
            f"id: {number}\ndata: {text.replace(chr(10), '')}\n\n".encode()
            for number, text in events
        )
        splitter = EventSplitter()
        passed = b""
        rest = stream
        for size in [*sizes, len(stream)]:
            whole = splitter.add(rest[:size])
            rest = rest[size:]
            assert not whole or whole.endswith(b"\n\n")
            passed += whole
        assert passed == stream
        assert splitter.rest == b""
        assert splitter.last_id == str(events[-1][0]).encode()
        assert splitter.count == len(events)

    check()
