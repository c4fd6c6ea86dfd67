"""Keeps requests away from upstreams that say in their answers that they leave or want a pause.

Every path that sends something to an upstream asks here right before the bytes leave, and reports
the answer (see docs/design/notices.md). What one VM learns, it tells the others.
"""

from __future__ import annotations

import random

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
from cactusshunt.requests.admission import MIN_RETRY_AFTER_S
from cactusshunt.requests.admission import Refusal

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
KNOWN_PAUSE_S = 0.25  # a pause that ends later by less is not reported again
PAUSE_RETENTION_S = 30.0  # after its end, without a request
RETRY_SPREAD_S = 0.3  # callers of one VM do not all come back at the same moment
MAX_REPORTED = 200  # notices in one datagram, about 10 KB


class UpstreamNotices:
    """What the upstreams have said of themselves, by run. Times are reactor time in seconds.

    ``on_departure`` is called when an upstream is found to leave, ``on_doubt`` from time to time
    with each upstream of which only another start is known to leave, so that it is asked.
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
        self.on_doubt: Callable[[Upstream], None] = lambda upstream: None

    def find_run(self, upstream: str) -> Run | None:
        """Return the run of an upstream as its entry gives it, ``None`` if it is not known."""
        found = self._directory.find(upstream)
        return _run_of(found) if found is not None else None

    def may_send(self, upstream: Upstream, arrived_at: float) -> bool:
        """Return whether a caller's request that arrived at a time may be sent to an upstream.

        One that leaves may get what was sent to this VM soon after it was known; one that wants a
        pause nothing, and one request after it until that is answered.
        """
        pause = self._pauses.find(_run_of(upstream))
        now = self._now()
        if pause is not None and (pause.binds(now) or now < pause.trial_ends_at):
            return False
        departure = self._directory.find_departure(upstream)
        if departure is None:
            return True
        last_at = departure.known_since + LAST_REQUESTS_FRACTION * self._drain_s
        return upstream.entry.state == READY and arrived_at < last_at

    def may_call(self, run: Run | None) -> bool:
        """Return whether an order, a report or a health check may be sent to a run."""
        if run is None:
            return True
        found = self._directory.find(run.upstream)
        pause = self._pauses.find(run)
        wants_pause = pause is not None and pause.binds(self._now())
        return not wants_pause and (found is None or not found.leaving)

    def may_ask(self, run: Run) -> bool:
        """Return whether a health check may ask a run whether it leaves."""
        pause = self._pauses.find(run)
        return pause is None or not pause.binds(self._now())

    def begin(self, run: Run) -> None:
        """Record that a caller's request is sent to a run."""
        if not self._pauses.is_empty:
            self._pauses.begin_trial(run, self._now())

    @property
    def any_pause(self) -> bool:
        """Return whether any upstream wants a pause, or has not been sent a request since."""
        return not self._pauses.is_empty

    def wants_pause(self, run: Run, *, since: float) -> bool:
        """Return whether a run has asked this VM for a pause since a time."""
        pause = self._pauses.find(run)
        return pause is not None and pause.binds_until > pause.asked_at >= since

    def select_awake(self, upstreams: list[Upstream]) -> list[Upstream] | Refusal:
        """Return the upstreams that want requests, or why a request is refused if none does.

        If there are no others, one that asked another VM for a pause may be asked by this one.
        """
        now = self._now()
        pauses = {found.name: self._pauses.find(_run_of(found)) for found in upstreams}
        awake, asked_elsewhere = [], []
        for found in upstreams:
            pause = pauses[found.name]
            if pause is None or pause.is_over(now):
                awake.append(found)
            elif not pause.binds(now) and now < pause.ends_at and now >= pause.trial_ends_at:
                asked_elsewhere.append(found)
        if awake or asked_elsewhere or not upstreams:
            return awake or asked_elsewhere
        known = [pause for pause in pauses.values() if pause is not None]
        return_s = min(pause.length_s if now < pause.returns_at else 0.0 for pause in known)
        return Refusal(
            reason="upstreams want a pause",
            retry_after_s=max(MIN_RETRY_AFTER_S, return_s)
            + self._random.uniform(0.0, RETRY_SPREAD_S),
            may_wait=not all(pause.binds(now) for pause in known),
        )

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
            departure = Departure(known_since=self._now())
            if self._record_departure(run, departure, source=self._vm):
                self._report_later(run)
        else:
            self._directory.record_staying(run, sent_at)
        seconds = self._read_pause_s(run, status, headers)
        if seconds:
            self._record_own_pause(run, status, seconds)
        elif not self._pauses.is_empty and self._pauses.record_answer(run, sent_at, self._now()):
            self._show_pause(run)

    def apply_message(self, report: NoticeReport) -> None:
        """Apply what another VM has learned."""
        now = self._now()
        for notice in report.notices:
            run = Run(upstream=notice.upstream, born=notice.born)
            if notice.leaving_ms is not None:
                age_s = max(0, notice.leaving_ms) / 1000.0
                departure = Departure(known_since=now - age_s)
                self._record_departure(run, departure, source=report.vm)
                self._unreported.discard(run)
            if notice.pause_ms > 0:
                ends_at = now + min(names.MAX_PAUSE_S, notice.pause_ms / 1000.0)
                self._pauses.record_reported(run, ends_at, now, self._compute_spread_s(run))
                self._show_pause(run)

    def tick(self) -> None:
        """Tell new VMs what is known, ask runs in doubt, and forget pauses that are over."""
        now = self._now()
        for run, pause in self._pauses.list_all().items():
            # The entry of a running upstream may be missing for a while.
            current = self.find_run(run.upstream) or run
            is_over = now > pause.returns_at + PAUSE_RETENTION_S
            if is_over or self._pauses.find(current) is None:
                self._pauses.forget(run)
                self._show_pause(run)
        for upstream in self._directory.list_doubtful():
            self.on_doubt(upstream)
        peers = frozenset(self._link.list_notice_peers())
        new_peers, self._known_peers = peers - self._known_peers, peers
        if new_peers:
            report = self._make_report(
                [*self._pauses.list_all(), *self._directory.list_departures()]
            )
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

    def _record_own_pause(self, run: Run, status: int, seconds: float) -> None:
        now = self._now()
        known = self._pauses.find(run)
        log_event(
            "pause_named",
            upstream=run.upstream,
            born=run.born,
            seconds=seconds,
            status=status,
            source=self._vm,
        )
        self._pauses.record_own(run, seconds, now, self._compute_spread_s(run))
        self._show_pause(run)
        if known is None or known.ends_at < now + seconds - KNOWN_PAUSE_S:
            self._report_later(run)

    def _compute_spread_s(self, run: Run) -> float:
        found = self._directory.find(run.upstream)
        slots = found.entry.slots if found is not None else 1
        return compute_return_spread_s(1 + len(self._link.peers), slots)

    def _show_pause(self, run: Run) -> None:
        """Let placement and probes see until when an upstream wants a pause."""
        found = self._directory.find(run.upstream)
        if found is not None:
            pause = self._pauses.find(_run_of(found))
            found.paused_until = pause.ends_at if pause is not None else 0.0

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
        notices = []
        for run in runs:
            departure, pause = departures.get(run), self._pauses.find(run)
            notice = UpstreamNotice(
                upstream=run.upstream,
                born=run.born,
                leaving_ms=int((now - departure.known_since) * 1000) if departure else None,
                pause_ms=max(0, int((pause.ends_at - now) * 1000)) if pause else 0,
            )
            if departure is not None or notice.pause_ms:
                notices.append(notice)
        return NoticeReport(vm=self._vm, notices=notices[-MAX_REPORTED:])

    def _now(self) -> float:
        return self._reactor.seconds()  # type: ignore[no-any-return]


def _run_of(upstream: Upstream) -> Run:
    return Run(upstream=upstream.name, born=upstream.entry.born)
