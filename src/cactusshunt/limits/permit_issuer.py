"""Issues permits for one upstream, at most as many as its limit allows to the VMs that ask here.

Each VM has an equal share of a limit, which it delegates to one issuer at a time. Whatever VMs
know of each other, the shares at all issuers never add up to more than the limit.

With a limit of L requests a second, permits that end within PERMIT_LIFETIME_S = 1 s, and a part f
of the shares at an issuer, the requests in any 4 s are those of the permits of 5 s: at most 5 f L,
and those saved up before, at most f (L + 5). Over all issuers this is 6 L + 5, which upstreams
accept in such a window.
"""

from __future__ import annotations

import heapq

from collections import Counter
from collections.abc import Mapping  # noqa: TC003
from dataclasses import dataclass

PERMIT_LIFETIME_S = 1.0  # from when its VM sent the demand
DELEGATION_LIFETIME_S = 1.5  # a report of a VM may be lost before its share ends
ASKING_VM_RETENTION_S = 3.0  # a VM with demand that it refuses asks again sooner
DEMAND_LIFETIME_S = 0.5  # demand is repeated before; a permit for older demand would end too soon
EXPIRY_INTERVAL_S = 0.05  # between two searches for shares and demand that have ended
SAVED_PERMITS_SPARE = 5.0  # what an upstream accepts beyond its limit in a window
SAVED_PERMITS_S = 0.25  # of the limit, for bursts; below the spare and the rest of the window
SAVED_PERMITS = 2.0


@dataclass(frozen=True, kw_only=True)
class PermitDemand:
    """A VM's requests that wait for permits, by priority, as of ``received_at``.

    ``request_number`` is the VM's number for the message, with which the permits are sent.
    """

    request_number: int
    waiting: Mapping[int, int]
    received_at: float


@dataclass(frozen=True, kw_only=True)
class IssueRate:
    """Permits a second that an issuer may issue, and how many it may have saved up."""

    per_s: float
    most_saved: float


def compute_issue_rate(*, limit_per_s: float, delegations: int, vms: int) -> IssueRate:
    """Return the rate at which an issuer with so many of all VMs' shares issues permits.

    An issuer whose shares allow less than one saved permit issues none: many such issuers that
    begin at the same time would together exceed the limit.
    """
    part = delegations / max(1, vms, delegations)
    most_saved = 0.0
    if part * (limit_per_s + SAVED_PERMITS_SPARE) >= 1.0:
        most_saved = max(1.0, part * (SAVED_PERMITS + SAVED_PERMITS_S * limit_per_s))
    return IssueRate(per_s=part * limit_per_s if most_saved else 0.0, most_saved=most_saved)


@dataclass(kw_only=True)
class _WaitingVm:
    """The demand of one VM; ``since`` lists, by priority, when each request began to wait here."""

    request_number: int
    received_at: float
    since: dict[int, list[float]]


class PermitIssuer:
    """Delegated shares, demand and saved permits of one upstream; all times are reactor time."""

    def __init__(self, *, now: float) -> None:
        self._saved = 0.0
        self._updated_at = now
        self._expiry_due_at = now
        self._delegated_until: dict[str, float] = {}
        self._waiting: dict[str, _WaitingVm] = {}
        self._asked_at: dict[str, float] = {}
        self.rate = IssueRate(per_s=0.0, most_saved=0.0)

    @property
    def saved(self) -> float:
        """Return the permits that may be issued at once."""
        return self._saved

    @property
    def delegations(self) -> int:
        """Return how many VMs' shares the issuer had at its last update."""
        return len(self._delegated_until)

    @property
    def asking_vms(self) -> int:
        """Return how many VMs asked for permits of late; they share the rate."""
        return len(self._asked_at)

    def delegate(self, vm: str, now: float) -> None:
        """Add or extend a VM's share."""
        self._delegated_until[vm] = now + DELEGATION_LIFETIME_S

    def set_demand(self, vm: str, demand: PermitDemand) -> None:
        """Replace a VM's demand; requests that waited before keep their places."""
        if not demand.waiting:
            self._waiting.pop(vm, None)
            return
        self._asked_at[vm] = demand.received_at
        known = self._waiting.get(vm)
        since = {}
        for priority, count in demand.waiting.items():
            earlier = known.since.get(priority, [])[:count] if known is not None else []
            since[priority] = earlier + [demand.received_at] * (count - len(earlier))
        self._waiting[vm] = _WaitingVm(
            request_number=demand.request_number, received_at=demand.received_at, since=since
        )

    def count_waiting(self, except_vm: str) -> dict[int, int]:
        """Return the waiting requests of all other VMs by priority."""
        total: Counter[int] = Counter()
        for vm, waiting in self._waiting.items():
            if vm != except_vm:
                total.update({priority: len(since) for priority, since in waiting.since.items()})
        return dict(total)

    def update(self, *, limit_per_s: float, vms: int, now: float) -> None:
        """Save up permits at the rate since the last update, and compute the present rate."""
        elapsed_s = max(0.0, now - self._updated_at)
        self._updated_at = now
        self._saved += elapsed_s * self.rate.per_s
        if now >= self._expiry_due_at:
            self._expiry_due_at = now + EXPIRY_INTERVAL_S
            self._expire(now)
        self.rate = compute_issue_rate(
            limit_per_s=limit_per_s, delegations=len(self._delegated_until), vms=vms
        )
        self._saved = min(self._saved, self.rate.most_saved)

    def issue(self) -> dict[str, tuple[int, int]]:
        """Return, by VM, the number of the demand that it answers and how many permits it gets.

        The most urgent requests come first, and among those the one that waited longest.
        """
        queue = [self._find_first(vm) for vm in self._waiting]
        heapq.heapify(queue)
        issued: Counter[str] = Counter()
        request_numbers = {vm: waiting.request_number for vm, waiting in self._waiting.items()}
        while queue and self._saved >= 1.0:
            priority, _, vm = heapq.heappop(queue)
            self._saved -= 1.0
            issued[vm] += 1
            since = self._waiting[vm].since
            since[priority].pop(0)
            if not since[priority]:
                del since[priority]
            if since:
                heapq.heappush(queue, self._find_first(vm))
            else:
                del self._waiting[vm]
        return {vm: (request_numbers[vm], count) for vm, count in issued.items()}

    def _find_first(self, vm: str) -> tuple[int, float, str]:
        since = self._waiting[vm].since
        priority = min(since)
        return priority, since[priority][0], vm

    def _expire(self, now: float) -> None:
        self._delegated_until = {
            vm: until for vm, until in self._delegated_until.items() if until > now
        }
        self._waiting = {
            vm: waiting
            for vm, waiting in self._waiting.items()
            if now - waiting.received_at < DEMAND_LIFETIME_S
        }
        self._asked_at = {
            vm: at for vm, at in self._asked_at.items() if now - at < ASKING_VM_RETENTION_S
        }
