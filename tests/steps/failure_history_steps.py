"""Steps on upstreams that fail, on the pure decision."""

from __future__ import annotations

import random

from typing import Any

from behave import given
from behave import then
from behave import when

from cactusshunt.routing.failure_history import FailureHistory
from cactusshunt.routing.failure_history import note_failure
from cactusshunt.routing.failure_history import note_success


def count_rests(share: float, requests: int) -> int:
    draw = random.Random(7)
    failure_history, rests, now, sent = FailureHistory(), 0, 0.0, 0
    while sent < requests:
        now += 0.05
        if failure_history.resting(now):
            continue
        sent += 1
        if draw.random() < share:
            failure_history = note_failure(failure_history, now, own_error=True)
            rests += failure_history.resting(now)
        else:
            failure_history = note_success(failure_history)
    return rests


@given("an upstream that fails {failures:d} of 100 requests and says that it is well")
def make_grey(context: Any, failures: int) -> None:
    context.share = failures / 100.0


@when("{count:d} requests are sent to it, none while it rests")
def send_grey(context: Any, count: int) -> None:
    context.count = count
    context.rests = count_rests(context.share, count)


@then("it rested at least once")
def check_rested(context: Any) -> None:
    assert context.rests >= 1


@then("one that fails {failures:d} of 100 requests never rested")
def check_calm(context: Any, failures: int) -> None:
    assert count_rests(failures / 100.0, context.count) == 0


@given("an upstream that is not reached")
def make_unreached(context: Any) -> None:
    context.rests = []
    failure_history, now = FailureHistory(), 0.0
    for _ in range(8):
        failure_history = note_failure(failure_history, now, unreached=True)
        context.rests.append(failure_history.rests_until - now)
        now = failure_history.rests_until
    context.failure_history, context.now = failure_history, now


@then("its rests grow from {first:g} to {longest:g} seconds")
def check_growth(context: Any, first: float, longest: float) -> None:
    assert abs(context.rests[0] - first) < 1e-6
    assert abs(context.rests[-1] - longest) < 1e-6
    assert context.rests == sorted(context.rests)


@then("one good answer shortens the next rest")
def check_shorter(context: Any) -> None:
    calm = context.failure_history
    for _ in range(6):
        calm = note_success(calm)
    again = note_failure(calm, context.now, unreached=True)
    assert again.rests_until - context.now < context.rests[-1]
