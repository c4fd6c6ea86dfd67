"""Steps on upstreams that fail; they call the failure history directly."""

from __future__ import annotations

import random

from typing import Any

from behave import given
from behave import then
from behave import when

from cactusshunt.routing.failure_history import FailureHistory
from cactusshunt.routing.failure_history import record_failure
from cactusshunt.routing.failure_history import record_success


def count_rests(share: float, requests: int) -> int:
    rng = random.Random(7)
    history, rests, now, sent = FailureHistory(), 0, 0.0, 0
    while sent < requests:
        now += 0.05
        if history.resting(now):
            continue
        sent += 1
        if rng.random() < share:
            history = record_failure(history, now, error_answer=True)
            rests += history.resting(now)
        else:
            history = record_success(history)
    return rests


@given("an upstream that fails {failures:d} of 100 requests and reports itself healthy")
def make_failing(context: Any, failures: int) -> None:
    context.share = failures / 100.0


@when("{count:d} requests are sent to it, none while it rests")
def send_requests(context: Any, count: int) -> None:
    context.count = count
    context.rests = count_rests(context.share, count)


@then("it rested at least once")
def check_rested(context: Any) -> None:
    assert context.rests >= 1


@then("an upstream that fails {failures:d} of 100 requests never rested")
def check_never_rested(context: Any, failures: int) -> None:
    assert count_rests(failures / 100.0, context.count) == 0


@given("an upstream that is not reached")
def make_unreached(context: Any) -> None:
    context.rests = []
    history, now = FailureHistory(), 0.0
    for _ in range(8):
        history = record_failure(history, now, unreached=True)
        context.rests.append(history.resting_until - now)
        now = history.resting_until
    context.history, context.now = history, now


@then("its rests grow from {first:g} to {longest:g} seconds")
def check_growth(context: Any, first: float, longest: float) -> None:
    assert abs(context.rests[0] - first) < 1e-6
    assert abs(context.rests[-1] - longest) < 1e-6
    assert context.rests == sorted(context.rests)


@then("successful answers shorten the next rest")
def check_shorter_rest(context: Any) -> None:
    recovered = context.history
    for _ in range(6):
        recovered = record_success(recovered)
    again = record_failure(recovered, context.now, unreached=True)
    assert again.resting_until - context.now < context.rests[-1]
