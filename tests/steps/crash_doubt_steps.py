"""Steps on crashes that are doubted because the run of the engine answers again."""

from __future__ import annotations

import json
import random

from types import SimpleNamespace
from typing import Any

from behave import given
from behave import then
from behave import when
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.task import Clock

from cactusshunt.exceptions import UpstreamNotReachedError
from cactusshunt.platform.store import StoredItem
from cactusshunt.quarantine.crash_evidence import Crash
from cactusshunt.quarantine.crash_evidence import CrashEvidence
from cactusshunt.quarantine.engine_crashes import ENTRY_LAG_S
from cactusshunt.quarantine.engine_crashes import EngineCrashes
from cactusshunt.quarantine.subject import Subject
from cactusshunt.routing.upstream_directory import UpstreamDirectory

BORN = 7
CRASH = Crash(upstream="e1", born=BORN, version="1")


def make_directory(clock: Any) -> UpstreamDirectory:
    directory = UpstreamDirectory(drain_s=2.0, clock=clock.seconds)
    write_entry(directory, "e1", BORN)
    return directory


def write_entry(directory: UpstreamDirectory, name: str, born: int, state: str = "ready") -> None:
    entry = {"service": "s", "address": "10.0.0.1:80", "zone": "z", "state": state, "born": born}
    directory.apply_stored_entry(
        StoredItem(key=f"servers/{name}", value=json.dumps(entry).encode(), revision=1)
    )


def is_known(context: Any) -> bool:
    return CRASH.run in context.crashes._crashed_runs


def answer(context: Any) -> None:
    """Let the run answer a request that was sent just now."""
    job = SimpleNamespace(service="s", last_sent_at=context.clock.seconds())
    context.crashes.record_answer(CRASH.run, job)


def make_crashes(context: Any, pool: Any) -> None:
    clock: Any = Clock()
    context.clock = clock
    context.directory = make_directory(clock)
    context.evidence = CrashEvidence()
    context.reports = []
    context.crashes = EngineCrashes(
        reactor=clock,
        vm="n1",
        pool=pool,
        directory=context.directory,
        evidence=context.evidence,
        rng=random.Random(1),
        broadcast=context.reports.append,
        measure_store_silence_s=lambda: 0.0,
        accuse=lambda subjects: None,
        on_crash=lambda upstream: None,
        on_change=lambda: None,
        ask=lambda question: None,
    )


@given("a run of an engine that was taken for crashed")
def take_for_crashed(context: Any) -> None:
    make_crashes(context, pool=None)
    context.crashes.record(CRASH, [], context.clock.seconds())
    context.clock.advance(1.0)


class RefusedPool:
    """Pool of a VM whose links are cut: all new connections are refused."""

    async def open(self, address: Any) -> Any:
        error = UpstreamNotReachedError(reason="Refused.", remedy="")
        raise error from ConnectionRefusedError()


@given("an engine whose connection broke under a request while its VM got no new connections")
def break_connection(context: Any) -> None:
    make_crashes(context, pool=RefusedPool())
    write_entry(context.directory, "e2", BORN)  # to compare with, not reached either
    context.job = SimpleNamespace(service="s", generation=None, digest="d")
    context.subject = Subject(service="s", name="request:d")
    found = context.directory.find("e1")
    context.crashes.check(found, CRASH.run, context.job, [])
    for _ in range(10):
        context.clock.advance(0.05)
    assert not context.reports
    assert context.evidence.is_empty


@when("{what}, and its entry shows the next start {seconds:g} seconds later")
def start_again(context: Any, what: str, seconds: float) -> None:
    if what == "it says that it leaves":
        write_entry(context.directory, "e1", BORN, state="draining")
        context.crashes.report_next_starts()
    elif what == "the request is answered elsewhere":
        context.evidence.record_completion(context.subject, context.clock.seconds())
    else:
        assert what == "nothing else is known"
    waited_s = 0.0
    while waited_s < seconds:
        context.clock.advance(1.0)
        waited_s += 1.0
        context.crashes.report_next_starts()
    write_entry(context.directory, "e1", BORN + 1)
    context.crashes.report_next_starts()


@then("its crash under the request {verdict}")
def check_verdict(context: Any, verdict: str) -> None:
    is_suspected = context.evidence.is_accused(context.subject)
    assert is_suspected == (verdict == "is reported, at the time of the break"), verdict
    if is_suspected:
        ages_ms = [report.age_ms for report in context.reports]
        assert next(report.parts for report in context.reports) == ["request:d"]
        assert ages_ms[0] >= 2_000, ages_ms


@when("it answers a request that was sent later")
def answer_later(context: Any) -> None:
    answer(context)
    assert is_known(context)


@when("another VM takes the crash back, and the run really crashes before 4 seconds are over")
def crash_again(context: Any) -> None:
    context.clock.advance(ENTRY_LAG_S - 0.4)
    context.crashes.void(CRASH)
    context.clock.advance(0.2)
    context.crashes.record(CRASH, [], context.clock.seconds())


@then("the crash is forgotten 4 seconds after the answer")
def check_forgotten(context: Any) -> None:
    context.clock.advance(ENTRY_LAG_S - 0.1)
    assert is_known(context)
    context.clock.advance(0.2)
    assert not is_known(context)


@then("the later crash still counts 4 seconds after the answer")
def check_counts(context: Any) -> None:
    context.clock.advance(0.4)
    assert is_known(context)


@then("it is forgotten 4 seconds after an answer to a request that was sent after it")
def check_forgotten_later(context: Any) -> None:
    answer(context)
    check_forgotten(context)
