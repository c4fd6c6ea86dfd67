"""Who may give orders to engines: pure rules of one holder at a time.

Answers the load pattern "holders are killed, frozen, cut off or deprived of their lease at any
moment": a holder stops by itself before anyone else may begin.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

VALIDITY_PART = 0.55  # of a lease: after it the holder stops, long before the lease can lapse
RENEWAL_PART = 0.25  # of a lease between two renewals
NO_TOKEN = 0
ELECTION_STEP_S = 0.02  # before the first VM runs, for the store's other news to arrive
RANK_PART = 0.2  # of a lease between the VMs that run one after the other
LONGEST_DELAY_PART = 2.0  # of a lease, for the last of many VMs
SILENCE_S = 0.7  # without an answer of the store, after which it counts as out of reach
PEER_WORD_S = 0.5  # for which a peer's word about the store counts
CONTRADICTION_S = 1.0  # for which a peer's word that it reaches the store counts


@dataclass(frozen=True, kw_only=True)
class Tenure:
    """One holder's right: its fencing token, and its first and last moment (steady clock)."""

    token: int = NO_TOKEN
    begins_at: float = 0.0
    ends_at: float = 0.0

    def holds(self, now: float) -> bool:
        """Tell whether orders may be given."""
        return self.token != NO_TOKEN and self.begins_at <= now < self.ends_at

    @property
    def elected(self) -> bool:
        """Tell whether the right was won, also if it cannot be used yet."""
        return self.token != NO_TOKEN


def begin_tenure(
    *,
    token: int,
    now: float,
    renewed_at: float,
    lease_s: float,
    turn_s: float,
    vm: str,
    former: Sequence[str],
    previous: Tenure,
) -> Tenure:
    """Return the right of a new holder.

    ``former`` names earlier holders, the last one last; ``previous`` is this process's last right.
    A holder's last possible order comes ``VALIDITY_PART`` of a lease after its right was taken
    away. A VM that may have ordered before another one did waits ``turn_s`` more, so that two VMs
    don't alternate.
    """
    wait = 0.0
    if any(name != vm for name in former):
        wait = VALIDITY_PART * lease_s
        if former[-1] == vm and previous.elected:
            wait = max(0.0, previous.begins_at - now)
        elif vm in former:
            wait += turn_s
    return Tenure(token=token, begins_at=now + wait, ends_at=renewed_at + VALIDITY_PART * lease_s)


def extend_tenure(tenure: Tenure, *, renewed_at: float, lease_s: float) -> Tenure:
    """Return the right after a renewal that was sent at ``renewed_at`` and confirmed."""
    return Tenure(
        token=tenure.token,
        begins_at=tenure.begins_at,
        ends_at=max(tenure.ends_at, renewed_at + VALIDITY_PART * lease_s),
    )


def election_delay_s(
    *, vm: str, ranked: Sequence[str], former: Sequence[str], previous: Tenure, lease_s: float
) -> float:
    """Return how long a VM waits before it runs for the right.

    The last holder comes first if its process lives on, since it need not wait for anyone; VMs
    that would have to wait longest for their turn come last.
    """
    if former and former[-1] == vm and previous.elected:
        return ELECTION_STEP_S
    rank = 1 + ranked.index(vm)
    if vm in former:
        rank += len(ranked)
    return ELECTION_STEP_S + min(rank * RANK_PART * lease_s, LONGEST_DELAY_PART * lease_s)


@dataclass(frozen=True, kw_only=True)
class StoreWord:
    """What a VM said of the store: when it was heard, and how long the store has been silent."""

    availability_zone: str
    heard_at: float
    silent_s: float


def confirm_outage(
    *,
    now: float,
    own_zone: str,
    own_silent_s: float,
    words: Sequence[StoreWord],
    zones_of_vms: Sequence[str],
) -> bool:
    """Tell whether the store is out of reach for all, so that no other holder can be elected.

    A majority of the VMs, this one included, must say so just now, from two zones where there are
    several, and nobody the contrary. ``zones_of_vms`` has an entry for each VM, this one included,
    that was registered within the last minute: VMs that are being restarted count.
    """
    if own_silent_s < SILENCE_S:
        return False
    for word in words:
        if word.silent_s < SILENCE_S and now - word.heard_at < CONTRADICTION_S:
            return False
    agreeing = [
        word.availability_zone
        for word in words
        if word.silent_s >= SILENCE_S and now - word.heard_at < PEER_WORD_S
    ]
    zones = {own_zone, *agreeing}
    if len(zones) < min(2, len({own_zone, *zones_of_vms})):
        return False
    return 2 * (len(agreeing) + 1) > len(zones_of_vms)
