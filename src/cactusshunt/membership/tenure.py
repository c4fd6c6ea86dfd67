"""Rules by which at most one VM at a time, the order holder, may send orders to engines.

They must hold when holders are killed, suspended, partitioned or lose their lease at any moment: a
holder stops by itself before another VM may begin. The rules are pure functions.
"""

from __future__ import annotations

from dataclasses import dataclass
from fractions import Fraction
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

# A tenure ends this fraction of a lease after its last confirmed renewal was sent, long before the
# lease can lapse.
TENURE_FRACTION = 0.55
RENEWAL_FRACTION = 0.25  # a lease is renewed after this fraction of its length
NO_TOKEN = 0
UNKNOWN_HOLDER = "?"  # among former holders: one that the store's list may lack
MIN_ELECTION_DELAY_S = 0.02  # other changes, such as the former holders, arrive within it
RANK_DELAY_FRACTION = 0.2  # each rank stands for election this fraction of a lease later
MAX_ELECTION_DELAY_FRACTION = 2.0  # no rank waits for more than this many leases
STORE_SILENCE_S = 0.7  # the store counts as unreachable after this time without an answer
# A right that is kept in an outage ends this time after the store last showed the holder its key.
OUTAGE_RIGHT_S = 3.0
# A lease may live without the holder key. If the view is older than this, the holder reads its key
# before it extends its tenure.
VIEW_MAX_AGE_S = 2.0
# A former holder without a proof that it has stopped is waited for, from when it had lost its key.
# What it knows of the key is up to 2.5 s old, the longest call of the view. It then keeps its right
# for ``OUTAGE_RIGHT_S``, or ``VIEW_MAX_AGE_S``, a renewal's interval and the rest of its tenure.
UNPROVED_RIGHT_S = 6.0
# Older reports that the store is silent don't count; see ``ReportTimes.ages`` for large zones.
STORE_REPORT_MAX_AGE_S = 0.5
CONTRADICTION_MAX_AGE_S = 1.0  # the same for reports that a peer reaches the store
MAJORITY = Fraction(1, 2)  # of the VMs; exact, so that two majorities always have a VM in common


@dataclass(frozen=True, kw_only=True)
class Tenure:
    """A VM's right to send orders: fencing token, begin and end (reactor time, seconds).

    Logs and metrics call a tenure the right, or the order right.
    """

    token: int = NO_TOKEN
    begins_at: float = 0.0
    ends_at: float = 0.0

    def is_valid(self, now: float) -> bool:
        """Return whether the holder may send orders at ``now``."""
        return self.token != NO_TOKEN and self.begins_at <= now < self.ends_at

    @property
    def elected(self) -> bool:
        """Return whether the VM was elected, even if its tenure has not begun or has ended."""
        return self.token != NO_TOKEN


def begin_tenure(
    *,
    token: int,
    now: float,
    renewal_sent_at: float,
    lease_s: float,
    reelection_delay_s: float,
    vm: str,
    former: Sequence[str],
    previous: Tenure,
) -> Tenure:
    """Return the tenure of a new holder.

    ``former`` names earlier holders, the latest one last; ``previous`` is this process's last
    tenure. A former holder may still send orders for ``TENURE_FRACTION`` of a lease after it lost
    its key, so the new holder begins after that. A VM that was a holder earlier waits
    ``reelection_delay_s`` more, so that orders of A, B and A never follow within that time.
    """
    wait = 0.0
    if any(name != vm for name in former):
        wait = TENURE_FRACTION * lease_s
        if former[-1] == vm and previous.elected:
            wait = max(0.0, previous.begins_at - now)
        elif vm in former:
            wait += reelection_delay_s
    return Tenure(
        token=token, begins_at=now + wait, ends_at=renewal_sent_at + TENURE_FRACTION * lease_s
    )


def extend_tenure(tenure: Tenure, *, renewal_sent_at: float, lease_s: float) -> Tenure:
    """Return the tenure after the store confirmed a renewal that was sent at ``renewed_at``."""
    return Tenure(
        token=tenure.token,
        begins_at=tenure.begins_at,
        ends_at=max(tenure.ends_at, renewal_sent_at + TENURE_FRACTION * lease_s),
    )


def compute_election_delay_s(
    *, vm: str, ranked: Sequence[str], former: Sequence[str], previous: Tenure, lease_s: float
) -> float:
    """Return how long a VM waits, while there is no holder, before it stands for election.

    The last holder comes first if its process still runs, since it need not wait until another
    holder has stopped; earlier holders come last, since their tenure would begin latest.
    """
    if former and former[-1] == vm and previous.elected:
        return MIN_ELECTION_DELAY_S
    rank = 1 + ranked.index(vm)
    if vm in former:
        rank += len(ranked)
    return MIN_ELECTION_DELAY_S + min(
        rank * RANK_DELAY_FRACTION * lease_s, MAX_ELECTION_DELAY_FRACTION * lease_s
    )


@dataclass(frozen=True, kw_only=True)
class ReportAges:
    """Up to which age in s reports that the store is silent count, and those that contradict."""

    silent_s: float = STORE_REPORT_MAX_AGE_S
    contradicting_s: float = CONTRADICTION_MAX_AGE_S


USUAL_AGES = ReportAges()


@dataclass(frozen=True, kw_only=True)
class StoreReport:
    """The part of a peer's ``Status`` on the store: its arrival, and the silence it reported."""

    availability_zone: str
    received_at: float
    silent_s: float


def confirm_outage(
    *,
    now: float,
    own_zone: str,
    own_silent_s: float,
    reports: Sequence[StoreReport],
    zones_of_vms: Sequence[str],
    least_silence_s: float = STORE_SILENCE_S,
    quorum: Fraction = MAJORITY,
    ages: ReportAges = USUAL_AGES,
) -> bool:
    """Return whether no VM reaches the store, so that no other holder can be elected.

    More than ``quorum`` of the VMs, this one included, must report a silent store, from at least
    two zones if there are several, and no recent report may contradict. ``zones_of_vms`` has an
    entry for each VM, this one included, that was registered within the last minute: VMs that
    restart count.
    """
    if own_silent_s < least_silence_s:
        return False
    for report in reports:
        if report.silent_s < STORE_SILENCE_S and now - report.received_at < ages.contradicting_s:
            return False
    agreeing = [
        report.availability_zone
        for report in reports
        if report.silent_s >= least_silence_s and now - report.received_at < ages.silent_s
    ]
    zones = {own_zone, *agreeing}
    if len(zones) < min(2, len({own_zone, *zones_of_vms})):
        return False
    return len(agreeing) + 1 > quorum * len(zones_of_vms)
