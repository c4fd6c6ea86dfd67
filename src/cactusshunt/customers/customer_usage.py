"""What one customer uses through this VM: credit at hand, waiting requests, and counts."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

from cactusshunt.decisions.rendezvous import hash_score
from cactusshunt.permits.permit_pool import PermitPool

if TYPE_CHECKING:
    from collections.abc import Iterable

    from twisted.internet.defer import Deferred

    from cactusshunt.customers.customer import Quota
    from cactusshunt.permits.permit_pool import Permit

MAX_COUNTED_AMOUNT = 1e13  # above any sum of two counts that can be read
GROUPS = 8  # of customers, each with one issuer; bounds the VMs to which a VM sends its shares


def choose_group(customer: str) -> int:
    """Return the group of a customer, the same at all VMs."""
    return hash_score(customer, "quota") % GROUPS


@dataclass(frozen=True, kw_only=True)
class QuotaRefusal:
    """Why a request is not handled, and the time after which to retry (seconds)."""

    reason: str
    retry_after_s: float


@dataclass(frozen=True, kw_only=True)
class CreditOutlook:
    """After what time an issuer could grant a request, and when it would have it return (s)."""

    wait_s: float
    return_s: float


@dataclass(frozen=True, kw_only=True)
class CreditWait:
    """How a request would wait for credit; times are in seconds.

    ``issuer`` is the VM that would be asked, ``None`` if none is known; ``longest_s`` is the
    time after which the request is refused without credit; ``outlook`` is ``None`` if only another
    VM knows it; ``is_refused`` means that the issuer would refuse at once, since the wait would be
    too long.
    """

    issuer: str | None
    longest_s: float
    outlook: CreditOutlook | None
    is_refused: bool


@dataclass(kw_only=True, eq=False)
class WaitingRequest:
    """A request that waits for credit until ``ends_at`` (reactor time in s).

    ``settled`` gets its permit, a refusal, or ``None`` once it needs no credit.
    """

    customer: str
    number: int
    priority: int
    amount: float
    ends_at: float
    settled: Deferred[Permit | QuotaRefusal | None]
    timer: Any = None

    @property
    def rank(self) -> tuple[int, int]:
        """Return the order in which requests get credit: the most urgent and oldest first."""
        return self.priority, self.number


def choose_asked(waiting: Iterable[WaitingRequest], most: int) -> list[WaitingRequest]:
    """Return the requests to ask credit for in one message, at most ``most``.

    Customers take turns, each with its first ones, so that none keeps the others out.
    """
    turns: Counter[str] = Counter()
    ordered = []
    for found in sorted(waiting, key=lambda found: found.rank):
        ordered.append((turns[found.customer], found.rank, found))
        turns[found.customer] += 1
    return [found for _, _, found in sorted(ordered, key=lambda place: place[:2])[:most]]


@dataclass(kw_only=True)
class UsageCounts:
    """Requests and amounts of one customer at this VM."""

    admitted: int = 0
    admitted_amount: float = 0.0
    refused: int = 0
    refused_amount: float = 0.0
    given_back: int = 0

    @property
    def is_empty(self) -> bool:
        """Return whether there was no request."""
        return not self.admitted and not self.refused


@dataclass(kw_only=True)
class CustomerUsage:
    """Mutable record of a customer with a quota; ``recent`` counts since the last log line."""

    name: str
    quota: Quota
    group: int
    pool: PermitPool = field(default_factory=PermitPool)
    waiting: dict[int, WaitingRequest] = field(default_factory=dict)
    recent: UsageCounts = field(default_factory=UsageCounts)
    total: UsageCounts = field(default_factory=UsageCounts)

    def count_admitted(self, amount: float) -> None:
        """Count a request that may be handled."""
        for counts in (self.recent, self.total):
            counts.admitted += 1
            counts.admitted_amount += amount

    def count_refused(self, amount: float) -> None:
        """Count a request that is refused; an infinite amount only as a request."""
        for counts in (self.recent, self.total):
            counts.refused += 1
            if amount <= MAX_COUNTED_AMOUNT:
                counts.refused_amount += amount

    def count_given_back(self) -> None:
        """Count a request whose credit came back."""
        self.recent.given_back += 1
        self.total.given_back += 1

    def begin_interval(self) -> None:
        """Begin the interval of the next log line."""
        self.recent = UsageCounts()
