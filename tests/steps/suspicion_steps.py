"""Steps on upstreams that fail, on the pure decision."""

from __future__ import annotations

import random

from typing import Any

from behave import given
from behave import then
from behave import when

from cactusshunt.routing.suspicion import Suspicion
from cactusshunt.routing.suspicion import note_failure
from cactusshunt.routing.suspicion import note_success


def count_rests(share: float, requests: int) -> int:
    draw = random.Random(7)
    suspicion, rests, now, sent = Suspicion(), 0, 0.0, 0
    while sent < requests:
        now += 0.05
        if suspicion.resting(now):
            continue
        sent += 1
        if draw.random() < share:
            suspicion = note_failure(suspicion, now, own_error=True)
            rests += suspicion.resting(now)
        else:
            suspicion = note_success(suspicion)
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
    suspicion, now = Suspicion(), 0.0
    for _ in range(8):
        suspicion = note_failure(suspicion, now, unreached=True)
        context.rests.append(suspicion.rests_until - now)
        now = suspicion.rests_until
    context.suspicion, context.now = suspicion, now


@then("its rests grow from {first:g} to {longest:g} seconds")
def check_growth(context: Any, first: float, longest: float) -> None:
    assert abs(context.rests[0] - first) < 1e-6
    assert abs(context.rests[-1] - longest) < 1e-6
    assert context.rests == sorted(context.rests)


@then("one good answer shortens the next rest")
def check_shorter(context: Any) -> None:
    calm = context.suspicion
    for _ in range(6):
        calm = note_success(calm)
    again = note_failure(calm, context.now, unreached=True)
    assert again.rests_until - context.now < context.rests[-1]
