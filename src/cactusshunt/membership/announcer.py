"""Reports this VM's work to its peers, and its callers' demand to the order holder."""

from __future__ import annotations

import math
import random

from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

from cactusshunt.membership.broadcast import choose_forwarders
from cactusshunt.membership.messages import AnswerTime
from cactusshunt.membership.messages import DemandReport
from cactusshunt.membership.messages import EngineWork
from cactusshunt.membership.messages import ItemDemand
from cactusshunt.membership.messages import Status
from cactusshunt.membership.report_times import STATUS_INTERVAL_S
from cactusshunt.membership.tenure import STORE_SILENCE_S

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from cactusshunt.membership.membership_task import MembershipTask
    from cactusshunt.membership.peer_link import PeerLink
    from cactusshunt.placement.demand_meter import DemandMeter
    from cactusshunt.routing.upstream import Upstream
    from cactusshunt.routing.upstream_directory import UpstreamDirectory

REPORTED_FIGURE_S = 2.0 * STATUS_INTERVAL_S  # a figure is in two reports, since one may be lost
REACH_INTERVAL_S = 1.0
DEMAND_INTERVAL_S = 0.4  # short, since demand moves between models within seconds
NEW_VERSION_REPORTS = 3  # that mention a new configuration, since datagrams may be lost
RECENT_ITEM_S = 2.5 * DEMAND_INTERVAL_S  # a request is in two reports, since one may be lost
RATE_ITEM_S = 6.0  # after this time without a request, 2% of a rate are left
OTHER_ITEMS_PER_REPORT = 8  # listed by turns, for a new order holder and after lost reports
# Of a report without work: a name of 20 bytes, and four services of that length that are reached.
EMPTY_STATUS_BYTES = 130
DEMAND_BATCH_DELAY_S = 0.01  # puts requests that begin to wait together into one datagram


def describe_work(
    upstream: Upstream, now: float, reported_figure_s: float = REPORTED_FIGURE_S
) -> EngineWork | None:
    """Return this VM's report on its work at an upstream, ``None`` if there is nothing to say."""
    figure = upstream.own_figure
    if figure is None and not upstream.running:  # as at most of thousands of upstreams
        return None
    age_s = now - figure.observed_at if figure is not None else math.inf
    is_recent = age_s < reported_figure_s
    if not upstream.running and not is_recent:
        return None
    return EngineWork(
        upstream=upstream.name,
        running=upstream.running,
        pending=upstream.own_pending_tokens(),
        tokens_per_s=upstream.own_tokens_per_s(),
        long_streams=upstream.own_long_streams,
        work_percent=round(figure.percent) if figure is not None and is_recent else 0,
        work_percent_age_ms=int(age_s * 1000) if is_recent else 0,
    )


def _find_next(due_at: float, now: float, interval_s: float) -> float:
    """Return when the next report is due; one that was sent late does not delay those after it."""
    return min(now, max(due_at, now - interval_s)) + interval_s


class AnswerTimeSource(Protocol):
    """Lists how long responses took (``requests.hedging.Hedging.list_unreported``)."""

    def __call__(self, now: float, *, receivers: int, status_bytes: int) -> list[AnswerTime]:
        """Return what the next report lists."""


def list_no_answer_times(now: float, *, receivers: int, status_bytes: int) -> list[AnswerTime]:
    """Return no response times, as without a hedging share."""
    return []


class Announcer:
    """Sends this VM's reports.

    ``handle_demand`` also gives each demand report to this VM's own order task, which needs them if
    the VM is or becomes the order holder; ``plan_now`` lets that task plan at once. ``record_work``
    is called with each report to the zone that lists work.
    ``list_answer_times`` lists how long responses took, for the VMs that get status reports.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        vm: str,
        availability_zone: str,
        link: PeerLink,
        directory: UpstreamDirectory,
        meter: DemandMeter,
        membership: MembershipTask,
        list_reached_services: Callable[[], dict[str, int]],
        handle_demand: Callable[[DemandReport], None],
        plan_now: Callable[[], None],
        record_work: Callable[[], None],
        list_answer_times: AnswerTimeSource = list_no_answer_times,
    ) -> None:
        self._reactor = reactor
        self._vm = vm
        self._zone = availability_zone
        self._link = link
        self._directory = directory
        self._meter = meter
        self._membership = membership
        self._list_reached_services = list_reached_services
        self._handle_demand = handle_demand
        self._plan_now = plan_now
        self._record_work = record_work
        self._list_answer_times = list_answer_times
        self._random = random.Random(vm)  # VMs that start together choose different peers
        self._status_number = 0
        self._next_status_at = self._next_status_to_all_at = -math.inf  # in large zones
        self._reported_silence = False
        self._reported_holder: str | None = None
        self._other_items_reported = 0
        self._reported_work = False
        self._configuration_version = 0
        self._version_reports_due = 0
        self._batch_scheduled = False

    def announce_configuration(self, version: int) -> None:
        """Report the configuration version that is in force from now on."""
        self._configuration_version = version
        self._version_reports_due = NEW_VERSION_REPORTS

    def send_status(self) -> None:
        """Report this VM's work to all peers; in a large fleet, only to those in its zone.

        While the store is silent, all peers get the report in any fleet. If a zone has more than
        ``MAX_FULL_RATE_VMS``, not each call sends a report, and while the store is silent not each
        report goes to all peers.
        """
        now = self._reactor.seconds()
        silent_s = self._membership.store_silent_s(now)
        store_is_silent = silent_s >= STORE_SILENCE_S
        times = self._link.update_report_times(self._zone)
        # The vote on an outage needs this at once, and it must not count silence that is over.
        is_change = times.is_bounded and store_is_silent != self._reported_silence
        if times.is_bounded and not is_change and now < self._next_status_at:
            return
        self._next_status_at = _find_next(self._next_status_at, now, times.in_zone_s)
        self._reported_silence = store_is_silent
        work = self._list_work()
        reached = self._list_reached_services()
        is_due = self._reported_work or store_is_silent or is_change or self._version_reports_due
        sends_to_all = store_is_silent or is_change or not self._link.is_large_fleet
        if times.is_bounded and sends_to_all:
            sends_to_all = is_change or now >= self._next_status_to_all_at
        if sends_to_all:
            self._next_status_to_all_at = _find_next(
                self._next_status_to_all_at, now, times.to_other_zones_s
            )
        answer_times = self._list_answer_times(
            now,
            receivers=self._link.count_peers(None if sends_to_all else self._zone),
            status_bytes=0 if work or is_due else EMPTY_STATUS_BYTES,
        )
        if not work and not is_due and not answer_times:
            return
        self._version_reports_due = max(0, self._version_reports_due - 1)
        self._reported_work = bool(work)
        status = self._build_status(work, reached, answer_times)
        if work:
            self._record_work()
        if sends_to_all:
            self._link.send_to_all(status)
        else:
            self._link.send_in_zone(status, self._zone)

    def answer_status(self, address: tuple[str, int]) -> None:
        """Report to a VM that need not be registered."""
        status = self._build_status(self._list_work(), self._list_reached_services())
        self._link.send_to(status, address)

    def _list_work(self) -> list[EngineWork]:
        now = self._reactor.seconds()
        reported_figure_s = self._link.report_times.two_in_zone_s
        described = (
            describe_work(upstream, now, reported_figure_s) for upstream in self._directory.all()
        )
        return [found for found in described if found is not None]

    def _build_status(
        self,
        work: list[EngineWork],
        reached: dict[str, int],
        answer_times: Sequence[AnswerTime] = (),
    ) -> Status:
        self._status_number += 1
        silent_s = self._membership.store_silent_s(self._reactor.seconds())
        return Status(
            vm=self._vm,
            status_number=self._status_number,
            store_silent_ms=int(silent_s * 1000),
            work=work,
            configuration_version=self._configuration_version,
            reached_services=reached,
            answer_times=list(answer_times),
        )

    def send_reach(self) -> None:
        """Tell one VM of each other zone which services this VM reaches, in a large fleet.

        A zone whose VMs are all cut off from the upstreams needs VMs of other zones. While the
        store is silent they get whole reports anyway.
        """
        reached = self._list_reached_services()
        silent_s = self._membership.store_silent_s(self._reactor.seconds())
        if not reached or not self._link.is_large_fleet or silent_s >= STORE_SILENCE_S:
            return
        zones = {
            vm: peer.record.availability_zone
            for vm, peer in self._link.peers.items()
            if peer.record.availability_zone != self._zone
        }
        status = self._build_status([], reached)
        self._link.send(status, choose_forwarders(zones, self._random.randrange(len(zones) + 1)))

    def send_demand(self) -> None:
        """Report the demand of this VM's callers to the order holder.

        The size of a report follows the requests, not the number of items: it lists those requested
        recently, or all with a present rate if the holder is new, and a few others by turns.
        """
        now = self._reactor.seconds()
        holder = self._membership.holder
        max_age_s = RECENT_ITEM_S if holder == self._reported_holder else RATE_ITEM_S
        self._reported_holder = holder
        others = self._meter.read_items(self._take_other_items(), now)
        self._report_demand(others | self._meter.read_recent(now, max_age_s))

    def _take_other_items(self) -> list[tuple[str, str]]:
        """Return the next items, by turns, of all that were ever requested."""
        items = self._meter.list_requested_items()
        first = self._other_items_reported % max(1, len(items))
        self._other_items_reported = first + OTHER_ITEMS_PER_REPORT
        return items[first : first + OTHER_ITEMS_PER_REPORT]

    def _report_demand(self, demand: Mapping[tuple[str, str], tuple[float, int]]) -> None:
        items = [
            ItemDemand(
                service=key[0],
                item=key[1],
                tokens_per_ms=round(rate, 4),
                waiting=waiting,
                total_requests=self._meter.count_requests(key),
            )
            for key, (rate, waiting) in demand.items()
        ]
        report = DemandReport(vm=self._vm, items=items)
        self._handle_demand(report)
        holder = self._membership.holder
        if holder is not None:
            self._link.send(report, [holder])

    def send_demand_and_plan_soon(self) -> None:
        """Schedule a demand report and a plan, because requests wait for an item."""
        if not self._batch_scheduled:
            self._batch_scheduled = True
            self._reactor.callLater(DEMAND_BATCH_DELAY_S, self._send_batched_demand)

    def _send_batched_demand(self) -> None:
        self._batch_scheduled = False
        self._report_demand(self._meter.read_waiting(self._reactor.seconds()))
        self._plan_now()
