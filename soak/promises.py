"""What callers and upstreams saw, held against the promises."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from soak.callers import RUN_ONCE

if TYPE_CHECKING:
    from collections.abc import Sequence

    from soak.callers import Result
    from soak.schedule import Fault

NOT_RUN = (408, 421, 429, 503)
DRAIN_S = 2.5  # two seconds and the time in which the entry reaches the nodes
SETTLE_S = 3.0  # after a fault, in which the store's word may still be late
STOP_S = 6.0  # grace of a stop


@dataclass(frozen=True, kw_only=True)
class Run:
    """One request that an upstream began."""

    upstream: str
    identity: str
    at: float


@dataclass(frozen=True, kw_only=True)
class Evidence:
    """All that a soak saw; times are s since 1970, of faults too."""

    results: Sequence[Result]
    runs: Sequence[Run]
    faults: Sequence[Fault]
    versions: Sequence[tuple[str, int, int]]
    overcommitted: Sequence[str]
    ended_badly: Sequence[str]


def find_broken(evidence: Evidence) -> list[str]:
    """Return a line for each broken promise."""
    return [
        *_check_answers(evidence),
        *_check_runs(evidence),
        *_check_leaving(evidence),
        *_check_stops(evidence),
        *_check_versions(evidence),
        *(f"memory overcommitted at {name}" for name in evidence.overcommitted),
        *(f"{name} ended with a failure" for name in evidence.ended_badly),
    ]


def _check_answers(evidence: Evidence) -> list[str]:
    return [
        f"an answer to {found.identity} ({found.kind}, {found.status}) is not its own"
        for found in evidence.results
        if not found.own
    ]


def _check_runs(evidence: Evidence) -> list[str]:
    counts = Counter(run.identity for run in evidence.runs)
    broken = []
    for found in evidence.results:
        if found.kind not in RUN_ONCE:
            continue
        count = counts[found.identity]
        if count > 1:
            broken.append(f"{found.identity} ({found.kind}) ran {count} times")
        if found.status in NOT_RUN and count:
            broken.append(f"{found.identity} ({found.kind}) was answered {found.status} and ran")
    return broken


def _check_leaving(evidence: Evidence) -> list[str]:
    broken = []
    for drain in evidence.faults:
        if drain.kind != "drain" or _disturbed(evidence, drain.at - SETTLE_S, drain.until):
            continue
        for run in evidence.runs:
            if run.upstream == drain.target and drain.at + DRAIN_S < run.at < drain.until:
                late = run.at - drain.at
                broken.append(
                    f"{run.identity} reached {run.upstream} {late:.1f} s after it drained"
                )
    return broken


def _check_stops(evidence: Evidence) -> list[str]:
    broken = []
    for stop in evidence.faults:
        if stop.kind != "node_stop":
            continue
        begins, ends = stop.at - SETTLE_S, stop.at + STOP_S
        if _disturbed(evidence, begins, ends, but=stop):
            continue
        for found in evidence.results:
            cut = found.node == stop.target and not found.status
            if cut and found.began < stop.at + 1.0 and stop.at < found.ended < ends:
                broken.append(
                    f"{found.identity} ({found.kind}) was cut at the stop of {stop.target}"
                )
    return broken


def _check_versions(evidence: Evidence) -> list[str]:
    broken = []
    newest: dict[tuple[str, int], int] = {}
    for node, process, version in evidence.versions:
        before = newest.get((node, process), 0)
        if version < before:
            broken.append(f"{node} went back from version {before} to {version}")
        newest[(node, process)] = max(before, version)
    return broken


def _disturbed(evidence: Evidence, begins: float, ends: float, but: Fault | None = None) -> bool:
    """Tell whether a fault other than planned work bears on a time."""
    planned = ("configuration", "drain")
    return any(
        fault.at < ends and fault.until + SETTLE_S > begins
        for fault in evidence.faults
        if fault is not but and fault.kind not in planned
    )
