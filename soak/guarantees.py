"""Checks of what callers and upstreams observed against the guarantees."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from soak.callers import AT_MOST_ONCE_KINDS
from soak.customer_checks import find_customer_violations
from soak.notices import find_disregarded
from soak.orders import find_turns

if TYPE_CHECKING:
    from collections.abc import Sequence

    from soak.callers import RequestResult
    from soak.customer_checks import CustomerObservations
    from soak.notices import SaidNotice
    from soak.orders import OrderRecord
    from soak.schedule import Fault

NOT_RUN = (401, 408, 421, 429, 503)
DRAIN_NOTICE_S = 2.5  # 2 s, and 0.5 s in which the upstream's record reaches the nodes
SETTLE_S = 3.0  # after a fault, updates from the store may still be late
CONFIGURATION_S = 2.0  # configMs in the nodes' settings
LIMIT_WINDOW_S = 4.0
FIRST_LIMIT_WINDOW_S = 3.0  # after an upstream first named a limit
TOLD_S = 0.5  # a node knows a limit this long after its first request that was answered with it
CRASHES_ALLOWED = {"part": 5, "request": 3}  # under each cause, before requests with it count
LATE_DEADLY_ALLOWED = 3
CUT_SHARE = 2.0 / 3.0  # of the share that is served at the other nodes
MIN_RESULTS = 20
ALLOWED_FALLS = 2
CROSSED_S = 0.2  # from sending a request to the end of a connection that was closing
STOP_GRACE_S = 6.0  # graceS in the nodes' settings


@dataclass(frozen=True, kw_only=True)
class ExecutionRecord:
    """One request that an upstream started to run."""

    upstream: str
    request_id: str
    at: float


@dataclass(frozen=True, kw_only=True)
class LimitedArrival:
    """One request that arrived at an upstream while it named a limit (requests a second)."""

    upstream: str
    request_id: str
    at: float
    limit: float


@dataclass(frozen=True, kw_only=True)
class DeadlyEvent:
    """A request with a deadly cause that arrived at an upstream, or the crash under it."""

    kind: str  # "deadly" or "crash"
    cause: str  # "part" of prompts, or whole "request"
    request_id: str
    at: float


@dataclass(frozen=True, kw_only=True)
class ObservedVersion:
    """The configuration version that a node's process had in force at one moment."""

    node: str
    pid: int
    at: float
    version: int


@dataclass(frozen=True, kw_only=True)
class Observations:
    """What a soak test observed; all times, also those of faults, are in Unix seconds.

    ``overcommitted`` names upstreams that were ordered to load more than fits. ``configured`` holds
    when the operator had written which configuration version; ``falls`` when one of the
    ``instances`` of plain services fell over because it turned requests away. ``orders`` are those
    that engines got, none if nodes of an earlier build ran; ``customers`` is ``None`` without them.
    """

    results: Sequence[RequestResult]
    runs: Sequence[ExecutionRecord]
    faults: Sequence[Fault]
    versions: Sequence[ObservedVersion]
    overcommitted: Sequence[str]
    failed_processes: Sequence[str]
    configured: Sequence[tuple[float, int]] = ()
    limited: Sequence[LimitedArrival] = ()
    deadly: Sequence[DeadlyEvent] = ()
    falls: Sequence[float] = ()
    instances: int = 0
    notices: Sequence[SaidNotice] = ()
    nodes: Sequence[str] = ()
    orders: Sequence[OrderRecord] = ()
    customers: CustomerObservations | None = None


def find_violations(observations: Observations) -> list[str]:
    """Return one line for each violation of a guarantee."""
    return [
        *_check_answers(observations),
        *_check_runs(observations),
        *_check_drains(observations),
        *_check_stops(observations),
        *_check_versions(observations),
        *_check_limits(observations),
        *_check_deadly(observations),
        *_check_cuts(observations),
        *_check_falls(observations),
        *find_disregarded(
            observations.notices, observations.results, observations.faults, observations.nodes
        ),
        *find_customer_violations(observations.customers, observations.results),
        *find_turns(observations.orders, observations.faults),
        *(
            f"a stream, {found.request_id}, ended as whole before its last event"
            for found in observations.results
            if found.truncated
        ),
        *(f"memory of {name} was overcommitted" for name in observations.overcommitted),
        *(f"process {name} ended with an error" for name in observations.failed_processes),
    ]


def _check_answers(observations: Observations) -> list[str]:
    return [
        f"an answer to {found.request_id} ({found.kind}, {found.status}) belongs to another request"
        for found in observations.results
        if not found.own
    ]


def _check_runs(observations: Observations) -> list[str]:
    counts = Counter(run.request_id for run in observations.runs)
    violations = []
    for found in observations.results:
        if found.kind not in AT_MOST_ONCE_KINDS:
            continue
        count = counts[found.request_id]
        if count > 1:
            violations.append(f"{found.request_id} ({found.kind}) ran {count} times")
        if found.status in NOT_RUN and count:
            violations.append(
                f"{found.request_id} ({found.kind}) was answered {found.status} but ran"
            )
    return violations


def _check_drains(observations: Observations) -> list[str]:
    violations = []
    for drain in observations.faults:
        if drain.kind != "drain" or _has_other_fault(
            observations, drain.at - SETTLE_S, drain.ends_at
        ):
            continue
        for run in observations.runs:
            if run.upstream == drain.target and drain.at + DRAIN_NOTICE_S < run.at < drain.ends_at:
                late = run.at - drain.at
                violations.append(
                    f"{run.request_id} reached {run.upstream} {late:.1f} s after it began to drain"
                )
    return violations


def _check_stops(observations: Observations) -> list[str]:
    violations = []
    for stop in observations.faults:
        if stop.kind not in ("node_stop", "node_signals"):
            continue
        begins, ends = stop.at - SETTLE_S, stop.at + STOP_GRACE_S
        if _has_other_fault(observations, begins, ends, ignored=[stop]):
            continue
        for found in observations.results:
            cut = found.node == stop.target and not found.status
            # A request that is sent late may cross the end of its connection.
            took_s = found.ended_at - found.started_at
            taken = found.started_at < stop.at + 1.0 or took_s > CROSSED_S
            if cut and taken and stop.at < found.ended_at < ends:
                violations.append(
                    f"{found.request_id} ({found.kind}) was cut when {stop.target} stopped"
                )
    return violations


def _check_versions(observations: Observations) -> list[str]:
    violations = []
    newest: dict[tuple[str, int], int] = {}
    for found in observations.versions:
        before = newest.get((found.node, found.pid), 0)
        if found.version < before:
            violations.append(
                f"{found.node} went back from configuration {before} to {found.version}"
            )
        newest[(found.node, found.pid)] = max(before, found.version)
        due = [
            version
            for at, version in observations.configured
            if at + CONFIGURATION_S < found.at and version > found.version
        ]
        calm_since = found.at - CONFIGURATION_S
        if due and not _is_disturbed(observations, found.node, calm_since, found.at):
            violations.append(f"{found.node} had {found.version} in force instead of {max(due)}")
    return violations


def _check_limits(observations: Observations) -> list[str]:
    """Check each window that ends 3 s or more after an upstream began to name a limit.

    Requests count from nodes that got an answer with the limit half a second before.
    """
    node_of = {found.request_id: found.node for found in observations.results}
    violations = []
    for upstream in sorted({found.upstream for found in observations.limited}):
        begins = told_from = -LIMIT_WINDOW_S
        told: dict[str | None, float] = {}
        counted: list[LimitedArrival] = []
        for found in sorted(observations.limited, key=lambda arrival: arrival.at):
            if found.upstream != upstream:
                continue
            if found.at > told_from + LIMIT_WINDOW_S:  # else the limit is the same as before
                begins, told, counted = found.at, {}, []
            told_from = found.at
            if found.at < told.setdefault(node_of.get(found.request_id), found.at) + TOLD_S:
                continue
            counted = [at for at in counted if at.at > found.at - LIMIT_WINDOW_S] + [found]
            allowed = 1.5 * LIMIT_WINDOW_S * max(at.limit for at in counted) + 5.0
            if len(counted) > allowed and found.at >= begins + FIRST_LIMIT_WINDOW_S:
                violations.append(f"{upstream} got {len(counted)} requests in 4 s, not {allowed:g}")
    return violations


def _check_deadly(observations: Observations) -> list[str]:
    """Check that requests with a deadly cause stay away from upstreams after some crashes.

    Requests count from nodes that nothing has disturbed for 3 s.
    """
    node_of = {found.request_id: found.node for found in observations.results}
    violations = []
    for cause, allowed in CRASHES_ALLOWED.items():
        events = [found for found in observations.deadly if found.cause == cause]
        crashes = sorted(found.at for found in events if found.kind == "crash")
        if len(crashes) < allowed:
            continue
        late = [
            found
            for found in events
            if found.kind == "deadly"
            and found.at > crashes[allowed - 1] + SETTLE_S
            and not _is_disturbed(observations, node_of.get(found.request_id), found.at, found.at)
        ]
        if len(late) > LATE_DEADLY_ALLOWED:
            violations.append(
                f"{len(late)} requests with the deadly {cause} reached upstreams "
                f"after {len(crashes)} crashes"
            )
    return violations


def _check_cuts(observations: Observations) -> list[str]:
    """Check that nodes that are cut off from all upstreams serve their callers.

    Requests count from 3 s after a cut began, while nothing else disturbs any node, and if neither
    a quota nor a key that is not in force can be why they are refused.
    """
    cuts = [fault for fault in observations.faults if fault.kind.startswith("cut_")]
    served: dict[bool, list[bool]] = {True: [], False: []}
    for found in observations.results:
        current = [
            cut
            for cut in cuts
            if cut.at + SETTLE_S < found.started_at < found.ended_at < cut.ends_at
        ]
        begins = found.started_at - SETTLE_S
        if (
            current
            and found.is_ordinary
            and not _has_other_fault(observations, begins, found.ended_at, ignored=cuts)
        ):
            is_cut = any(cut.target == found.node for cut in current)
            served[is_cut].append(found.status == 200 and found.complete)
    there, others = served[True], served[False]
    if min(len(there), len(others)) < MIN_RESULTS:
        return []
    allowed = CUT_SHARE * sum(others) / len(others)
    failed = len(there) - sum(there)
    if sum(there) / len(there) >= allowed or failed <= 10 + (len(there) + len(others)) / 50:
        return []
    return [f"nodes that were cut off served {sum(there)} of {len(there)} requests"]


def _check_falls(observations: Observations) -> list[str]:
    """Check how often instances fell over, from 3 s after they said that they are brittle."""
    brittle = [fault for fault in observations.faults if fault.kind == "brittle"]
    falls = [
        at
        for at in observations.falls
        if any(fault.at + SETTLE_S < at < fault.ends_at for fault in brittle)
        and not _has_other_fault(observations, at - SETTLE_S, at)
    ]
    if len(falls) <= ALLOWED_FALLS + observations.instances / 10:
        return []
    return [f"brittle instances fell over {len(falls)} times"]


def _is_disturbed(observations: Observations, node: str | None, begins: float, ends: float) -> bool:
    """Return whether a fault of a node or of the store may affect the time span."""
    return any(
        fault.at < ends and begins < fault.ends_at + SETTLE_S
        for fault in observations.faults
        if fault.target in (node, "store") and fault.kind not in ("configuration", "drain")
    )


def _has_other_fault(
    observations: Observations, begins: float, ends: float, ignored: Sequence[Fault] = ()
) -> bool:
    """Return whether a fault other than planned work and ``ignored`` may affect the time span."""
    planned = (
        *("configuration", "key_change", "flood"),
        *("drain", "deadly", "deadly_path", "brittle", "odd_entry"),
    )
    return any(
        fault.at < ends and fault.ends_at + SETTLE_S > begins
        for fault in observations.faults
        if fault not in ignored and fault.kind not in planned
    )
