"""Keeps requests away from upstreams that say in their answers that they leave.

Every path that sends something to an upstream asks here right before the bytes leave, and reports
the answer (see docs/design/notices.md). What one VM learns, it tells the others.
"""

from __future__ import annotations

import random
import time

from typing import TYPE_CHECKING
from typing import Any

from cactusshunt.exceptions import HeaderValueError
from cactusshunt.membership.messages import NoticeReport
from cactusshunt.membership.messages import UpstreamNotice
from cactusshunt.node_log import log_event
from cactusshunt.notices.departures import Departure
from cactusshunt.notices.departures import Run
from cactusshunt.notices.pauses import Pauses
from cactusshunt.notices.pauses import compute_return_spread_s
from cactusshunt.platform import headers as names
from cactusshunt.platform.documents import READY

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from cactusshunt.membership.peer_link import PeerLink
    from cactusshunt.platform.headers import Headers
    from cactusshunt.routing.upstream import Upstream
    from cactusshunt.routing.upstream_directory import UpstreamDirectory

PAUSE_STATUSES = (429, 503)  # whose Retry-After says for how long the upstream wants nothing
LEAVING, PAUSE = "leaving", "pause"  # in the log
# Part of the drain time in which a leaving upstream may get requests that no other can take.
LAST_REQUESTS_FRACTION = 0.5
MAX_REPORT_DELAY_S = 0.03  # the first VM that learns something tells the others
REPORT_REPEATS_S = (0.15, 1.0)  # datagrams may be lost
MAX_REPORTED = 200  # notices in one datagram, about 10 KB


class UpstreamNotices:
    """What the upstreams have said of themselves, by run. Times are reactor time in seconds.

    ``on_departure`` is called when an upstream is found to leave.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        vm: str,
        directory: UpstreamDirectory,
        link: PeerLink,
        drain_s: float,
    ) -> None:
        self._reactor = reactor
        self._vm = vm
        self._directory = directory
        self._link = link
        self._drain_s = drain_s
        self._random = random.Random()
        self._pauses = Pauses(rng=self._random)
        self._unreported: set[Run] = set()
        self._known_peers: frozenset[str] = frozenset()
        self.on_departure: Callable[[], None] = lambda: None

    def find_run(self, upstream: str) -> Run | None:
        """Return the run of an upstream as its entry gives it, ``None`` if it is not known."""
        found = self._directory.find(upstream)
        return _run_of(found) if found is not None else None

    def may_send(self, upstream: Upstream, arrived_at: float) -> bool:
        """Return whether a caller's request that arrived at a time may be sent to an upstream.

        One that leaves may get what was sent to this VM soon after it was known.
        """
        departure = self._directory.find_departure(upstream)
        if departure is None:
            return True
        last_at = departure.known_since + LAST_REQUESTS_FRACTION * self._drain_s
        return upstream.entry.state == READY and arrived_at < last_at

    def may_call(self, run: Run | None) -> bool:
        """Return whether an order, a report or a health check may be sent to a run."""
        found = self._directory.find(run.upstream) if run is not None else None
        return found is None or not found.leaving

    def list_last_resort(self, service: str, arrived_at: float) -> list[Upstream]:
        """Return the upstreams that leave and may still get a request if no other can take it."""
        return [
            found
            for found in self._directory.list_leaving(service)
            if self.may_send(found, arrived_at)
        ]

    def record_answer(self, run: Run, *, status: int, headers: Headers, sent_at: float) -> None:
        """Learn from the head of an answer that belongs to a request sent to a run."""
        instance = names.find_header(headers, names.INSTANCE_ID)
        if instance is not None and instance != run.upstream.encode():
            return
        if names.read_leaving(headers):
            departure = Departure(known_since=self._now(), unix_ms=int(time.time() * 1000))
            if self._record_departure(run, departure, source=self._vm):
                self._report_later(run)
        seconds = self._read_pause_s(run, status, headers)
        if seconds:
            self._record_pause(run, status, seconds)
        elif not self._pauses.is_empty:
            self._pauses.record_answer(run, sent_at, self._now())

    def apply_message(self, report: NoticeReport) -> None:
        """Apply what another VM has learned."""
        now, unix_ms = self._now(), int(time.time() * 1000)
        for notice in report.notices:
            run = Run(upstream=notice.upstream, born=notice.born)
            if notice.leaving_ms is not None:
                age_ms = max(0, notice.leaving_ms)
                departure = Departure(known_since=now - age_ms / 1000.0, unix_ms=unix_ms - age_ms)
                self._record_departure(run, departure, source=report.vm)
                self._unreported.discard(run)

    def tick(self) -> None:
        """Tell VMs that are new what is known."""
        peers = frozenset(self._link.list_notice_peers())
        new_peers, self._known_peers = peers - self._known_peers, peers
        if new_peers:
            report = self._make_report(self._directory.list_departures())
            if report.notices:
                self._link.send(report, sorted(new_peers))

    def describe(self, run: Run) -> str | None:
        """Return what a run has said of itself, for the log."""
        found = self._directory.find(run.upstream)
        if found is not None and found.leaving:
            return LEAVING
        pause = self._pauses.find(run)
        return PAUSE if pause is not None and self._now() < pause.ends_at else None

    def _record_departure(self, run: Run, departure: Departure, source: str) -> bool:
        is_new = self._directory.record_departure(run, departure)
        if is_new:
            log_event("leaving_named", upstream=run.upstream, born=run.born, source=source)
            self.on_departure()
        return is_new

    def _read_pause_s(self, run: Run, status: int, headers: Headers) -> float:
        """Return how long a run wants nothing, 0 if it does not say or that cannot be read."""
        if status not in PAUSE_STATUSES:
            return 0.0
        try:
            return names.read_retry_after(headers) or 0.0
        except HeaderValueError as error:
            log_event("pause_unreadable", upstream=run.upstream, reason=error.reason)
            return 0.0

    def _record_pause(self, run: Run, status: int, seconds: float) -> None:
        log_event(
            "pause_named",
            upstream=run.upstream,
            born=run.born,
            seconds=seconds,
            status=status,
            source=self._vm,
        )
        found = self._directory.find(run.upstream)
        slots = found.entry.slots if found is not None else 1
        spread_s = compute_return_spread_s(1 + len(self._link.peers), slots)
        self._pauses.record_own(run, seconds, self._now(), spread_s)

    def _report_later(self, run: Run) -> None:
        """Tell the other VMs, unless one of them has told this VM by then."""
        if not self._unreported:
            delay_s = self._random.uniform(0.0, MAX_REPORT_DELAY_S)
            self._reactor.callLater(delay_s, self._send_reports)
        self._unreported.add(run)

    def _send_reports(self) -> None:
        runs, self._unreported = self._unreported, set()
        self._broadcast(runs)
        for delay_s in REPORT_REPEATS_S if runs else ():
            self._reactor.callLater(delay_s, self._broadcast, runs)

    def _broadcast(self, runs: Iterable[Run]) -> None:
        report = self._make_report(runs)
        if report.notices:
            self._link.broadcast(report)

    def _make_report(self, runs: Iterable[Run]) -> NoticeReport:
        now = self._now()
        departures = self._directory.list_departures()
        notices = [
            UpstreamNotice(
                upstream=run.upstream,
                born=run.born,
                leaving_ms=int((now - departures[run].known_since) * 1000),
            )
            for run in runs
            if run in departures
        ]
        return NoticeReport(vm=self._vm, notices=notices[-MAX_REPORTED:])

    def _now(self) -> float:
        return self._reactor.seconds()  # type: ignore[no-any-return]


def _run_of(upstream: Upstream) -> Run:
    return Run(upstream=upstream.name, born=upstream.entry.born)
