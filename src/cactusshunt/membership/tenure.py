"""Rules by which at most one VM at a time, the order holder, may send orders to engines.

Serves the load pattern "holders are killed, suspended, partitioned or lose their lease at any
moment": a holder stops by itself before another VM may begin. The rules are pure functions.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

VALIDITY_FRACTION = 0.55  # of a lease; the holder stops then, long before the lease can lapse
RENEWAL_FRACTION = 0.25  # of a lease, between two renewals
NO_TOKEN = 0
MIN_ELECTION_DELAY_S = 0.02  # lets other changes in the store arrive before the first candidacy
RANK_DELAY_FRACTION = 0.2  # of a lease, between the candidacies of VMs of adjacent ranks
MAX_ELECTION_DELAY_FRACTION = 2.0  # of a lease; bounds the delay of the last rank in a large fleet
STORE_SILENCE_S = 0.7  # without an answer, after which the store counts as unreachable
STORE_REPORT_MAX_AGE_S = 0.5  # of a peer's report that the store is silent
CONTRADICTION_MAX_AGE_S = 1.0  # of a peer's report that it reaches the store


@dataclass(frozen=True, kw_only=True)
class Tenure:
    """A VM's right to send orders: fencing token, begin and end (reactor time, seconds)."""

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
    renewed_at: float,
    lease_s: float,
    reelection_delay_s: float,
    vm: str,
    former: Sequence[str],
    previous: Tenure,
) -> Tenure:
    """Return the tenure of a new holder.

    ``former`` names earlier holders, the latest one last; ``previous`` is this process's last
    tenure. A former holder may still send orders for ``VALIDITY_FRACTION`` of a lease after it lost
    its key, so the new one begins after that. A VM that may have sent orders before another VM
    did waits ``reelection_delay_s`` more, so that two VMs don't alternate.
    """
    wait = 0.0
    if any(name != vm for name in former):
        wait = VALIDITY_FRACTION * lease_s
        if former[-1] == vm and previous.elected:
            wait = max(0.0, previous.begins_at - now)
        elif vm in former:
            wait += reelection_delay_s
    return Tenure(
        token=token, begins_at=now + wait, ends_at=renewed_at + VALIDITY_FRACTION * lease_s
    )


def extend_tenure(tenure: Tenure, *, renewed_at: float, lease_s: float) -> Tenure:
    """Return the tenure after the store confirmed a renewal that was sent at ``renewed_at``."""
    return Tenure(
        token=tenure.token,
        begins_at=tenure.begins_at,
        ends_at=max(tenure.ends_at, renewed_at + VALIDITY_FRACTION * lease_s),
    )


def compute_election_delay_s(
    *, vm: str, ranked: Sequence[str], former: Sequence[str], previous: Tenure, lease_s: float
) -> float:
    """Return how long a VM waits, once the right is vacant, before it stands for election.

    The last holder comes first if its process still runs, since its new tenure begins without a
    wait for other holders; earlier holders come last, since their tenure would begin latest.
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
class StoreReport:
    """A VM's report on the store: when it arrived, and how long the store had been silent."""

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
) -> bool:
    """Return whether no VM reaches the store, so that no other holder can be elected.

    A majority of the VMs, this one included, must report a silent store, from at least two zones if
    there are several, and no recent report may contradict. ``zones_of_vms`` has an entry for each
    VM, this one included, that was registered within the last minute: VMs that restart count.
    """
    if own_silent_s < STORE_SILENCE_S:
        return False
    for report in reports:
        if report.silent_s < STORE_SILENCE_S and now - report.received_at < CONTRADICTION_MAX_AGE_S:
            return False
    agreeing = [
        report.availability_zone
        for report in reports
        if report.silent_s >= STORE_SILENCE_S and now - report.received_at < STORE_REPORT_MAX_AGE_S
    ]
    zones = {own_zone, *agreeing}
    if len(zones) < min(2, len({own_zone, *zones_of_vms})):
        return False
    return 2 * (len(agreeing) + 1) > len(zones_of_vms)
