"""Steps on the soak: short runs, and the checks of its promises."""

from __future__ import annotations

import subprocess
import sys

from dataclasses import replace
from itertools import pairwise
from typing import Any

from behave import given
from behave import then
from behave import when

from local.platform_deployment import ROOT
from soak.callers import Result
from soak.promises import Evidence
from soak.promises import Run
from soak.promises import find_broken
from soak.schedule import Fault
from soak.schedule import draw_faults

START = 1_000.0


@when("a soak of {seconds:d} seconds runs with seed {seed:d}")
def run_soak(context: Any, seconds: int, seed: int) -> None:
    command = [sys.executable, "-m", "soak", "--seed", str(seed), "--minutes", str(seconds / 60)]
    context.result = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, timeout=300, check=False
    )


@then("no promise was broken")
def check_soak(context: Any) -> None:
    assert context.result.returncode == 0, context.result.stdout + context.result.stderr


def result(number: int, **fields: Any) -> Result:
    found = Result(
        identity=f"r{number}",
        kind="once",
        node="n1",
        began=START + number,
        ended=START + number + 0.1,
        status=200,
        whole=True,
        own=True,
    )
    return replace(found, **fields)


@given("what callers and upstreams saw of a calm minute")
def see_calm(context: Any) -> None:
    results = [result(number) for number in range(60)]
    context.evidence = Evidence(
        results=results,
        runs=[Run(upstream="s1", identity=f.identity, at=f.began) for f in results],
        faults=[],
        versions=[("n1", 7, 3), ("n1", 7, 6), ("n1", 8, 6)],
        overcommitted=[],
        ended_badly=[],
    )


@then("no promise counts as broken")
def check_calm(context: Any) -> None:
    assert find_broken(context.evidence) == []


@then("each of these counts as broken")
def check_each(context: Any) -> None:
    calm = context.evidence
    drain = Fault(at=START + 20.0, kind="drain", target="e1", for_s=4.0)
    stop = Fault(at=START + 20.0, kind="node_stop", target="n1", for_s=1.0)
    late = Run(upstream="e1", identity="r90", at=START + 23.0)
    cut = result(20, began=START + 20.1, ended=START + 20.4, status=0)
    cases = {
        "an answer that belongs to another request": {"results": [result(1, own=False)]},
        "a request that may run once ran twice": {"runs": [*calm.runs, calm.runs[3]]},
        "a request that was answered 503 ran": {"results": [result(1, status=503)]},
        "an engine got a request 3 s after it drained": {"faults": [drain], "runs": [late]},
        "a request was cut at the stop of its node": {"faults": [stop], "results": [cut]},
        "a node went back to an older configuration": {"versions": [("n1", 7, 6), ("n1", 7, 3)]},
        "an engine was given more than fits": {"overcommitted": ["e1"]},
        "a node ended by itself": {"ended_badly": ["n1 (1)"]},
    }
    for row in context.table:
        changed: Any = cases.pop(row["what"])
        assert len(find_broken(replace(calm, **changed))) == 1, row["what"]
    assert not cases


@given("the faults of seed {seed:d} over {minutes:d} minutes")
def draw(context: Any, seed: int, minutes: int) -> None:
    context.arguments = (seed, minutes * 60.0, ["n1", "n2"], ["e1", "s1"])
    context.faults = draw_faults(*context.arguments)


@then("the same seed draws them again, and they overlap and come in series")
def check_draw(context: Any) -> None:
    faults = context.faults
    assert faults == draw_faults(*context.arguments)
    pairs = list(pairwise(faults))
    assert any(before.until > after.at for before, after in pairs)
    assert any(before.kind == after.kind and after.at - before.at < 0.6 for before, after in pairs)
