"""Decides which VMs have a share of what the fleet may do together, so that shares add up to 1.

A VM keeps its share for SHARE_RETENTION_S without a lease, and in an outage of the store while more
than OUTAGE_QUORUM of the VMs that it counts, itself included, report that the store is silent. The
other VMs take a share over when its VM was not registered for REGISTRATION_RETENTION_S in which at
least 1 - OUTAGE_QUORUM of the VMs of that time stayed registered. Two such groups have a VM in
common, and that VM cannot be registered while the store is silent to it for longer than a lease
lasts: at most one of the two happens, whatever the sides of a partition know of each other.
"""

from __future__ import annotations

import math

from bisect import bisect_right
from dataclasses import dataclass
from fractions import Fraction
from typing import TYPE_CHECKING

from cactusshunt.membership.tenure import USUAL_AGES
from cactusshunt.membership.tenure import VIEW_MAX_AGE_S
from cactusshunt.membership.tenure import ReportAges
from cactusshunt.membership.tenure import confirm_outage

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cactusshunt.membership.tenure import StoreReport

REGISTRATION_RETENTION_S = 60.0  # VMs that left count in ``confirm_outage``; restarts take less
# From when the last renewal was sent. Below REGISTRATION_RETENTION_S by more than a delegation
# (1.75 s), its credit (0.5 s), an update's interval (2 s) and the difference between clocks.
SHARE_RETENTION_S = 50.0
# Beyond a lease: the end of a registration is seen within VIEW_MAX_AGE_S, and reports of silence
# are younger than that.
OUTAGE_MARGIN_S = 2.0 * VIEW_MAX_AGE_S
# Below 2/3, so that an outage is confirmed although one zone of three failed. Above 1/2, so that a
# fleet that replaces half of its VMs at once still has the 2/5 that take shares over.
OUTAGE_QUORUM = Fraction(3, 5)
# Of a limit, assumed to be left to the registered VMs; only avoids a division by 0.
LEAST_PART = 1e-3
ROUNDING = 1e-6  # of sums of parts that are exact otherwise


@dataclass(kw_only=True)
class _KnownVm:
    """A VM that counts; all but the first two apply once its registration has ended.

    ``part`` is the share that it may still use.
    """

    zone: str
    since: float
    ended_at: float | None = None
    forget_at: float = 0.0
    part: float = 0.0


class FleetShares:
    """The VMs that count, and this VM's own share; all times are reactor time."""

    def __init__(self, *, zone: str, lease_s: float) -> None:
        self._zone = zone
        self._lease_s = lease_s
        self._known: dict[str, _KnownVm] = {}
        self._share_ends_at = 0.0
        self._updated_at = -math.inf

    def record_registered(self, vm: str, zone: str, now: float) -> None:
        """Record the registration of another VM."""
        known = self._known.get(vm)
        self._known[vm] = _KnownVm(zone=zone, since=now if known is None else known.since)

    def record_ended(self, vm: str, now: float) -> None:
        """Record that another VM's registration ended."""
        known = self._known.get(vm)
        if known is not None and known.ended_at is None:
            known.part = 1.0 / self.count_vms()
            known.ended_at = now
            known.forget_at = now + REGISTRATION_RETENTION_S

    def record_lease(self, renewal_sent_at: float) -> None:
        """Record that this VM is registered by a lease that was renewed."""
        self._share_ends_at = max(self._share_ends_at, renewal_sent_at + SHARE_RETENTION_S)

    def find_zone(self, vm: str) -> str | None:
        """Return the zone of another VM that counts, ``None`` if it does not count."""
        known = self._known.get(vm)
        return known.zone if known is not None else None

    def list_zones(self) -> list[str]:
        """Return the zones of this VM and of all others that count."""
        return [self._zone, *(known.zone for known in self._known.values())]

    def count_vms(self) -> int:
        """Return by how many VMs common limits are divided, which is at least those that count.

        VMs that join get no part of what those that are cut off may still use.
        """
        registered = 1 + sum(known.ended_at is None for known in self._known.values())
        reserved = sum(known.part for known in self._known.values())
        if not reserved:
            return registered
        return math.ceil(registered / max(LEAST_PART, 1.0 - reserved) - ROUNDING)

    def holds_share(self, now: float) -> bool:
        """Return whether no other VM can have taken over this one's share."""
        return now < self._share_ends_at

    def update(
        self,
        *,
        now: float,
        view_read_at: float,
        silent_s: float,
        reports: Sequence[StoreReport],
        ages: ReportAges = USUAL_AGES,
    ) -> None:
        """Forget VMs that no longer count, and extend this VM's share in an outage of the store."""
        # What this VM does not see of the store may include registrations, also while it was
        # suspended: others may have kept their shares in an outage of the store meanwhile.
        was_running = now < self._updated_at + VIEW_MAX_AGE_S
        is_seen = was_running and now < view_read_at + VIEW_MAX_AGE_S
        self._updated_at = now
        ended = [known for known in self._known.values() if known.ended_at is not None]
        if ended:
            self._forget(ended, now, is_seen)
        if self.holds_share(now) and confirm_outage(
            now=now,
            own_zone=self._zone,
            own_silent_s=silent_s,
            reports=reports,
            zones_of_vms=self.list_zones(),
            least_silence_s=self._lease_s + OUTAGE_MARGIN_S,
            quorum=OUTAGE_QUORUM,
            ages=ages,
        ):
            self._share_ends_at = now + SHARE_RETENTION_S

    def _forget(self, ended: Sequence[_KnownVm], now: float, is_seen: bool) -> None:
        """Forget VMs whose retention ended.

        It begins again for a VM whose side of a partition may have confirmed an outage, which takes
        more than OUTAGE_QUORUM of the VMs of that time.
        """
        since = sorted(known.since for known in self._known.values())
        registered = sorted(known.since for known in self._known.values() if known.ended_at is None)
        for known in ended:
            assert known.ended_at is not None
            # This VM itself counts, and VMs that joined later do not.
            total = 1 + bisect_right(since, known.ended_at)
            left = 1 + bisect_right(registered, known.ended_at)
            if not is_seen or left < (1 - OUTAGE_QUORUM) * total:
                known.forget_at = now + REGISTRATION_RETENTION_S
        self._known = {
            vm: known
            for vm, known in self._known.items()
            if known.ended_at is None or now < known.forget_at
        }
