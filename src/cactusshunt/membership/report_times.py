"""How often a VM reports, and how long reports count, by the sizes of the fleet's zones.

Load pattern: zones of 40 to some hundred VMs, each of which reports to all others. The interval
grows with the receivers, so that a VM sends and receives as many reports a second as in a zone of
``MAX_FULL_RATE_VMS``. Fleets without a larger zone report at the same interval at any size.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cactusshunt.membership.tenure import CONTRADICTION_MAX_AGE_S
from cactusshunt.membership.tenure import STORE_REPORT_MAX_AGE_S
from cactusshunt.membership.tenure import VIEW_MAX_AGE_S
from cactusshunt.membership.tenure import ReportAges

if TYPE_CHECKING:
    from collections.abc import Iterable

STATUS_INTERVAL_S = 0.2  # a usual prompt's prefill takes about half of it
# Of a zone; the largest that was in use when the interval did not depend on it had 39.
MAX_FULL_RATE_VMS = 40
# Reports that the store is silent count for at most ``VIEW_MAX_AGE_S``: each has to be followed by
# the next one in that time, also if that waits for a tick and takes 0.2 s to arrive.
MAX_OUTAGE_INTERVAL_S = VIEW_MAX_AGE_S - 2.0 * STATUS_INTERVAL_S


def compute_report_interval_s(receivers: int) -> float:
    """Return the interval at which a VM may report to a number of others."""
    return STATUS_INTERVAL_S * max(1.0, receivers / (MAX_FULL_RATE_VMS - 1))


@dataclass(frozen=True, kw_only=True)
class ReportTimes:
    """Intervals in s of reports to the own zone, and to other zones while the store is silent.

    ``is_bounded`` tells whether some zone has more than ``MAX_FULL_RATE_VMS``. Otherwise a report
    is sent at each tick, and to all VMs while the store is silent.
    """

    in_zone_s: float = STATUS_INTERVAL_S
    to_other_zones_s: float = STATUS_INTERVAL_S
    is_bounded: bool = False

    @property
    def two_in_zone_s(self) -> float:
        """Return the time in which a VM of this zone sends two reports, since one may be lost."""
        return self._span_two(self.in_zone_s)

    @property
    def two_of_any_s(self) -> float:
        """Return the time in which any VM that reports to this one sends two reports."""
        return self._span_two(max(self.in_zone_s, self.to_other_zones_s))

    @property
    def ages(self) -> ReportAges:
        """Return how long reports on the store count.

        ``FleetShares`` needs reports of silence that are younger than ``VIEW_MAX_AGE_S``.
        """
        return ReportAges(
            silent_s=min(VIEW_MAX_AGE_S, max(STORE_REPORT_MAX_AGE_S, self.two_of_any_s)),
            contradicting_s=max(CONTRADICTION_MAX_AGE_S, self.two_in_zone_s),
        )

    def _span_two(self, interval_s: float) -> float:
        # Reports that are not sent at each tick wait for the next one.
        return 2.0 * interval_s + (STATUS_INTERVAL_S if self.is_bounded else 0.0)


def compute_report_times(*, own_zone: str, zones_of_peers: Iterable[str]) -> ReportTimes:
    """Return the times for a VM; ``zones_of_peers`` has an entry for each other VM."""
    sizes = Counter(zones_of_peers)
    sizes[own_zone] += 1
    if max(sizes.values()) <= MAX_FULL_RATE_VMS:
        return ReportTimes()
    others = sizes.total() - sizes[own_zone]
    return ReportTimes(
        in_zone_s=compute_report_interval_s(sizes[own_zone] - 1),
        to_other_zones_s=min(MAX_OUTAGE_INTERVAL_S, compute_report_interval_s(others)),
        is_bounded=True,
    )
