"""Tells the other zones of a large fleet what the VMs of this zone have at the upstreams.

VMs report their work to those of their own zone. One of them adds the reports up and sends them to
one VM of each other zone, which forwards them there. Which one it is depends on no agreement: if
two send, the later summary replaces the earlier one, and both say nearly the same. VMs without work
are not heard, so they do not send: otherwise all VMs of an idle zone would.
"""

from __future__ import annotations

import math

from typing import TYPE_CHECKING

from cactusshunt.decisions.rendezvous import rank_nodes
from cactusshunt.membership.announcer import describe_work
from cactusshunt.membership.messages import EngineWork
from cactusshunt.membership.messages import ZoneWork
from cactusshunt.membership.zone_work import add_up_work
from cactusshunt.routing.upstream import PEER_REPORT_MAX_AGE_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactusshunt.membership.messages import Status
    from cactusshunt.membership.peer_link import PeerLink
    from cactusshunt.routing.upstream import Upstream
    from cactusshunt.routing.upstream_directory import UpstreamDirectory

SUMMARY_INTERVAL_S = 0.4  # 7 KB/s reach a VM from two other zones with 45 engines each
# Five reports, two in large zones; the sender of summaries has ended if all of them are missing.
HEARD_S = 1.0
SUMMARY_LIFETIME_S = 1.5  # the same as that of reports: three summaries in a row may be lost


class ZoneSummaries:
    """Sends the summaries of this VM's zone, and applies those of other zones.

    Each zone's work is known from one source at a time: from summaries while they come, and from
    the reports of its VMs otherwise (VMs that do not reach the store report to all zones).
    """

    def __init__(
        self,
        *,
        vm: str,
        availability_zone: str,
        link: PeerLink,
        directory: UpstreamDirectory,
        clock: Callable[[], float],
    ) -> None:
        self._vm = vm
        self._zone = availability_zone
        self._link = link
        self._directory = directory
        self._clock = clock
        self._summary_number = 0
        self._heard_at: dict[str, float] = {}  # VMs of this zone that reported work
        self._own_work_at = -math.inf
        self._known: dict[str, tuple[str, int, float]] = {}  # the last summary of each zone

    def record_own_work(self) -> None:
        """Record that this VM reported work to its zone."""
        self._own_work_at = self._clock()

    def find_report_age_s(self, vm: str) -> float:
        """Return up to which age in s a VM's report of its work counts: two of its intervals."""
        peer = self._link.find_peer(vm)
        times = self._link.report_times
        is_near = peer is not None and peer.record.availability_zone == self._zone
        return max(PEER_REPORT_MAX_AGE_S, times.two_in_zone_s if is_near else times.two_of_any_s)

    def record_status(self, status: Status) -> bool:
        """Record a report of a VM; return whether its work is to be taken from the report."""
        peer = self._link.find_peer(status.vm)
        if peer is None:
            return True
        zone = peer.record.availability_zone
        if zone == self._zone:
            if status.work:
                self._heard_at[status.vm] = self._clock()
            return True
        return not self._is_summarized(zone)

    def send(self) -> None:
        """Send a summary to the other zones if this VM is the one that does."""
        now = self._clock()
        times = self._link.report_times
        recent = now - max(HEARD_S, times.two_in_zone_s)
        self._heard_at = {vm: at for vm, at in self._heard_at.items() if at > recent}
        if not self._link.is_large_fleet or not self._is_sender(recent):
            return
        self._summary_number += 1
        work = [
            self._summarize(upstream, now)
            for upstream in self._directory.all()
            if upstream.may_have_work
        ]
        summary = ZoneWork(
            vm=self._vm,
            zone=self._zone,
            summary_number=self._summary_number,
            age_ms=int(times.in_zone_s * 500.0),  # half of the interval, in ms
            work=[found for found in work if found is not None],
        )
        self._link.send_to_other_zones(summary, self._zone)

    def apply_message(self, summary: ZoneWork) -> None:
        """Apply the summary of another zone, unless it is older than the one known."""
        if summary.zone == self._zone:
            return
        now = self._clock()
        vm, number, _ = self._known.get(summary.zone, ("", 0, now))
        if (
            vm == summary.vm
            and summary.summary_number <= number
            and self._is_summarized(summary.zone)
        ):
            return
        self._known[summary.zone] = (summary.vm, summary.summary_number, now)
        replaced = self._link.list_zone_vms(summary.zone)
        self._directory.apply_zone_work(summary, replaced=replaced)

    def _is_sender(self, recent: float) -> bool:
        """Return whether this VM is the first of those that can send the zone's summaries.

        These are the ones with work. If only VMs have work that send none (those of earlier builds)
        or that this VM does not know as registered, any registered one of the zone may.
        """
        able = self._link.list_zone_work_peers(self._zone)
        busy = [vm for vm in able if vm in self._heard_at]
        if self._own_work_at > recent:
            candidates = busy
        elif self._heard_at and not busy:
            candidates = able
        else:
            return False
        return rank_nodes([self._vm, *candidates], f"zone-work/{self._zone}")[0] == self._vm

    def _is_summarized(self, zone: str) -> bool:
        known = self._known.get(zone)
        return known is not None and self._clock() - known[2] < SUMMARY_LIFETIME_S

    def _summarize(self, upstream: Upstream, now: float) -> EngineWork | None:
        own = describe_work(upstream, now, self._link.report_times.two_in_zone_s)
        reports = upstream.list_peer_work(self._heard_at, now)
        return add_up_work(upstream.name, [*([own] if own is not None else []), *reports])
