"""Issues permits from one limit, at most as much as it allows to the VMs that ask here.

Each VM has an equal share of a limit, which it delegates to one issuer at a time. Whatever VMs
know of each other, the shares at all issuers never add up to more than the limit. How much a part
of the shares allows is computed by the users of this module: limits of upstreams and quotas.
"""

from __future__ import annotations

import heapq
import math

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cactusshunt.permits.shares import EXPIRY_INTERVAL_S
from cactusshunt.permits.shares import Shares

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

# For which a VM counts as asking; one that keeps refusing requests for lack of permits asks again
# sooner.
ASKING_VM_RETENTION_S = 3.0
DEMAND_LIFETIME_S = 0.5  # demand is repeated before; a permit for older demand would end too soon


@dataclass(frozen=True, kw_only=True)
class PermitAsk:
    """A request that waits for a permit; ``number`` is its own among those of its VM.

    ``wait_s`` is for how long it waits from when its VM last asked.
    """

    number: int
    priority: int
    amount: float = 1.0
    wait_s: float = math.inf


Place = tuple[int, float, int, PermitAsk]  # priority, since when it waits, number, the request


@dataclass(frozen=True, kw_only=True)
class PermitDemand:
    """A VM's requests that wait for permits, as of ``received_at``.

    ``request_number`` is the VM's number for the message, with which the permits are sent.
    """

    request_number: int
    asks: Sequence[PermitAsk]
    received_at: float


@dataclass(frozen=True, kw_only=True)
class IssuedPermits:
    """Permits for requests of one VM, which answer its message with ``request_number``."""

    request_number: int
    asks: Sequence[PermitAsk]


@dataclass(frozen=True, kw_only=True)
class IssueRate:
    """What an issuer may issue a second, how much it may save up, and how much it may owe.

    An amount larger than ``most_saved`` is issued once that much is saved, and the rest is owed.
    """

    per_s: float
    most_saved: float
    most_debt: float = 0.0

    @property
    def largest(self) -> float:
        """Return the largest amount that can be issued at once."""
        return self.most_saved + self.most_debt


@dataclass(kw_only=True)
class _WaitingVm:
    """The demand of one VM, as places in the order in which they get permits."""

    request_number: int
    received_at: float
    places: list[Place]


class PermitIssuer:
    """Delegated shares, demand and saved permits of one limit; all times are reactor time.

    ``shares`` may be common to several issuers.
    """

    def __init__(self, *, now: float, shares: Shares | None = None) -> None:
        self._saved = 0.0
        self._updated_at = now
        self._expiry_due_at = now
        self.shares = Shares(now=now) if shares is None else shares
        self._waiting: dict[str, _WaitingVm] = {}
        self._asked_at: dict[str, float] = {}
        self.rate = IssueRate(per_s=0.0, most_saved=0.0)

    @property
    def saved(self) -> float:
        """Return what may be issued at once, below 0 if some is owed."""
        return self._saved

    @property
    def asking_vms(self) -> int:
        """Return how many VMs asked for permits of late; they share the rate."""
        return len(self._asked_at)

    def set_demand(self, vm: str, demand: PermitDemand) -> None:
        """Replace a VM's demand; requests that waited before keep their places."""
        if not demand.asks:
            self._waiting.pop(vm, None)
            return
        self._asked_at[vm] = demand.received_at
        known = self._waiting.get(vm)
        since = {place[2]: place[1] for place in known.places} if known is not None else {}
        places = sorted(
            (ask.priority, since.get(ask.number, demand.received_at), ask.number, ask)
            for ask in demand.asks
        )
        self._waiting[vm] = _WaitingVm(
            request_number=demand.request_number, received_at=demand.received_at, places=places
        )

    def list_asks(self, vm: str) -> list[PermitAsk]:
        """Return a VM's waiting requests in the order in which they get permits."""
        known = self._waiting.get(vm)
        return [place[3] for place in known.places] if known is not None else []

    def withdraw(self, vm: str, number: int) -> None:
        """Remove a request that will not get a permit."""
        known = self._waiting.get(vm)
        if known is None:
            return
        known.places = [place for place in known.places if place[2] != number]
        if not known.places:
            del self._waiting[vm]

    @property
    def has_waiting(self) -> bool:
        """Return whether any request waits."""
        return bool(self._waiting)

    def measure_before(self, vm: str, number: int) -> float:
        """Return the amount of all requests that get permits before one that waits."""
        mine = next(place for place in self._waiting[vm].places if place[2] == number)
        return sum(
            place[3].amount
            for other, waiting in self._waiting.items()
            for place in waiting.places
            if (place[0], place[1], other, place[2]) < (mine[0], mine[1], vm, number)
        )

    def measure_up_to(self, priority: int) -> float:
        """Return the amount of all waiting requests of this priority and more urgent ones."""
        return sum(
            place[3].amount
            for waiting in self._waiting.values()
            for place in waiting.places
            if place[0] <= priority
        )

    def estimate_saved(self, now: float) -> float:
        """Return what may be issued at once if no share came or went since the last update."""
        elapsed_s = max(0.0, now - self._updated_at)
        return min(self.rate.most_saved, self._saved + elapsed_s * self.rate.per_s)

    def count_waiting(self, except_vm: str) -> dict[int, int]:
        """Return the waiting requests of all other VMs by priority."""
        total: Counter[int] = Counter()
        for vm, waiting in self._waiting.items():
            if vm != except_vm:
                total.update(place[0] for place in waiting.places)
        return dict(total)

    def update(self, *, compute_rate: Callable[[int], IssueRate], now: float) -> None:
        """Save up permits at the rate since the last update, and compute the present rate.

        ``compute_rate`` returns the rate that a number of shares allows.
        """
        elapsed_s = max(0.0, now - self._updated_at)
        self._updated_at = now
        self._saved += elapsed_s * self.rate.per_s
        self.shares.expire(now)
        if now >= self._expiry_due_at:
            self._expiry_due_at = now + EXPIRY_INTERVAL_S
            self._expire(now)
        self.rate = compute_rate(self.shares.count)
        self._saved = min(self._saved, self.rate.most_saved)

    def reduce_debt(self, part: float) -> None:
        """Keep a part of what is owed, because another limit holds from now on."""
        if self._saved < 0.0:
            self._saved *= part

    def issue(self, now: float) -> dict[str, IssuedPermits]:
        """Return, by VM, the requests that get permits; those that no longer wait are dropped.

        The most urgent requests come first, and among those the one that waited longest.
        """
        queue = [(waiting.places[0][:2], vm) for vm, waiting in self._waiting.items()]
        heapq.heapify(queue)
        issued: dict[str, list[PermitAsk]] = {}
        numbers = {vm: waiting.request_number for vm, waiting in self._waiting.items()}
        while queue:
            _, vm = heapq.heappop(queue)
            places = self._waiting[vm].places
            ask = places[0][3]
            if now < self._waiting[vm].received_at + ask.wait_s:
                if not self._may_issue(ask.amount):
                    break
                self._saved -= ask.amount
                issued.setdefault(vm, []).append(ask)
            places.pop(0)
            if places:
                heapq.heappush(queue, (places[0][:2], vm))
            else:
                del self._waiting[vm]
        return {
            vm: IssuedPermits(request_number=numbers[vm], asks=asks) for vm, asks in issued.items()
        }

    def _may_issue(self, amount: float) -> bool:
        if self._saved >= amount:
            return True
        most_saved = self.rate.most_saved
        is_full = self.rate.per_s > 0.0 and self._saved >= most_saved
        return is_full and most_saved < amount <= self.rate.largest

    def _expire(self, now: float) -> None:
        self._waiting = {
            vm: waiting
            for vm, waiting in self._waiting.items()
            if now - waiting.received_at < DEMAND_LIFETIME_S
        }
        self._asked_at = {
            vm: at for vm, at in self._asked_at.items() if now - at < ASKING_VM_RETENTION_S
        }
