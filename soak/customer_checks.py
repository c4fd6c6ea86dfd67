"""Checks of what upstreams received and processes show against the rules on customers."""

from __future__ import annotations

import json

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from soak.customers import MEAN_TOKENS
from soak.customers import QUOTAS
from soak.customers import shows_key

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from soak.callers import RequestResult
    from soak.customers import KeyHistory
    from soak.customers import SoakQuota

KEY_BOUND_S = 9.0  # configMs (3 s) and maxStretchMs (6 s)
WINDOW_S = 8.0  # quotaWindowS
OVERAGE = 1.1  # quotaOverage
SLACK_TOKENS = 17_000.0  # quotaSlack
HIDDEN_HEADERS = ("authorization", "cactusshunt-customer")  # reach no upstream


@dataclass(frozen=True, kw_only=True)
class UpstreamArrival:
    """A request that arrived at an upstream, with the names of its headers in lower case."""

    upstream: str
    request_id: str
    at: float
    headers: dict[str, str]


@dataclass(frozen=True, kw_only=True)
class CustomerObservations:
    """What a soak test observed of customers.

    ``first_runs`` has the time when each request first ran at an upstream; ``shown`` names the
    logs, dumps and metrics that contained a key.
    """

    history: KeyHistory
    arrivals: Sequence[UpstreamArrival]
    first_runs: dict[str, float]
    shown: Sequence[str] = ()


def read_arrivals(upstream: str, log: str) -> Iterable[UpstreamArrival]:
    """Return the requests in an upstream's output, with their headers."""
    for line in log.splitlines():
        fields = line.split(" ", 3)
        if len(fields) == 4 and fields[0] == "headers":
            yield UpstreamArrival(
                upstream=upstream,
                request_id=fields[1],
                at=float(fields[2]),
                headers=json.loads(fields[3]),
            )


def find_customer_violations(
    observed: CustomerObservations | None, results: Sequence[RequestResult]
) -> list[str]:
    """Return one line for each violation of a rule on customers; none in runs without them."""
    if observed is None:
        return []
    by_id = {found.request_id: found for found in results}
    return [
        *_check_headers(observed.arrivals),
        *_check_names(observed, by_id),
        *_check_removed(observed, by_id),
        *_check_unauthorized(observed, results),
        *(f"the answer to {found.request_id} has a key" for found in results if found.shows_key),
        *(f"a key is in {place}" for place in observed.shown),
        *(
            line
            for customer, quota in QUOTAS.items()
            for line in _check_quota(observed, by_id, customer, quota)
        ),
    ]


def _check_headers(arrivals: Sequence[UpstreamArrival]) -> list[str]:
    violations = []
    for found in arrivals:
        where = f"{found.upstream} got {found.request_id} with"
        violations += [f"{where} {name}" for name in HIDDEN_HEADERS if name in found.headers]
        violations += [
            f"{where} a key in {name}"
            for name, value in found.headers.items()
            if name not in HIDDEN_HEADERS and shows_key(f"{name}: {value}")
        ]
    return violations


def _check_names(observed: CustomerObservations, by_id: dict[str, RequestResult]) -> list[str]:
    """Check ``X-Tenant``; a key that moved has its former customer for 9 s."""
    violations = []
    for found in observed.arrivals:
        sent = by_id.get(found.request_id)
        if sent is None:  # a health check, an order or a report
            continue
        name = found.headers.get("x-tenant")
        where = f"{found.upstream} got {found.request_id} with the customer {name}"
        if sent.is_public:
            violations += [f"{where} on a public route"] if name is not None else []
            continue
        owners = _find_owners(observed.history, sent, found.at)
        if owners and name not in owners:
            violations.append(f"{where}, not {' or '.join(sorted(owners))}")
    return violations


def _check_removed(observed: CustomerObservations, by_id: dict[str, RequestResult]) -> list[str]:
    return [
        f"{request_id} ran at {at:.3f}, sent through {sent.node} at {sent.started_at:.3f}, "
        "and its key was in no configuration for 9 s before"
        for request_id, at in observed.first_runs.items()
        if (sent := by_id.get(request_id)) is not None
        and not sent.is_public
        and not _find_owners(observed.history, sent, at)
    ]


def _check_unauthorized(
    observed: CustomerObservations, results: Sequence[RequestResult]
) -> list[str]:
    return [
        (
            f"{found.request_id} got 401 from {found.node} with a key that is in all configurations"
            if not found.is_public
            else f"{found.request_id} got 401 from {found.node} on a public route"
        )
        for found in results
        if found.status == 401 and (found.is_public or observed.history.is_lasting(found.key))
    ]


def describe_usage(observed: CustomerObservations, results: Sequence[RequestResult]) -> str:
    """Return how much of what each quota allows in 8 s was used, and how often keys were late."""
    by_id = {found.request_id: found for found in results}
    parts = [
        f"{customer} used {_find_fullest(observed, by_id, customer, quota)[0]}"
        f" of {_compute_allowed(quota):.0f}"
        for customer, quota in QUOTAS.items()
    ]
    late = [
        found
        for found in results
        if not found.is_public
        and observed.history.was_known(found.key, found.started_at)
        and not _find_owners(observed.history, found, found.started_at)
    ]
    return f"{', '.join(parts)}; {len(late)} requests with a key that was removed 9 s before"


def _check_quota(
    observed: CustomerObservations,
    by_id: dict[str, RequestResult],
    customer: str,
    quota: SoakQuota,
) -> list[str]:
    """Check what was sent and ran in 8 s; return the fullest window if it holds too much."""
    fullest, begins = _find_fullest(observed, by_id, customer, quota)
    allowed = _compute_allowed(quota)
    if fullest <= allowed:
        return []
    unit = "tokens" if quota.in_tokens else "requests"
    return [f"{fullest} {unit} of {customer} ran in 8 s from {begins:.3f}, not {allowed:.0f}"]


def _compute_allowed(quota: SoakQuota) -> float:
    slack = SLACK_TOKENS if quota.in_tokens else SLACK_TOKENS / MEAN_TOKENS
    return (quota.rate_per_s * WINDOW_S + quota.burst) * OVERAGE + slack


def _find_fullest(
    observed: CustomerObservations,
    by_id: dict[str, RequestResult],
    customer: str,
    quota: SoakQuota,
) -> tuple[int, float]:
    """Return the largest amount that was sent and ran in 8 s, and when these began."""
    names: defaultdict[str, set[str | None]] = defaultdict(set)
    for found in observed.arrivals:
        names[found.request_id].add(found.headers.get("x-tenant"))
    used = sorted(
        (sent.started_at, ran_at, sent.tokens if quota.in_tokens else 1)
        for request_id, ran_at in observed.first_runs.items()
        if customer in names[request_id] and (sent := by_id.get(request_id)) is not None
    )
    windows = [
        (
            sum(amount for sent_at, ran_at, amount in used[first:] if ran_at <= begins + WINDOW_S),
            begins,
        )
        for first, (begins, _, _) in enumerate(used)
    ]
    return max(windows, default=(0, 0.0))


def _find_owners(history: KeyHistory, sent: RequestResult, at: float) -> set[str]:
    return history.find_owners(sent.key, sent.started_at - KEY_BOUND_S, at)
