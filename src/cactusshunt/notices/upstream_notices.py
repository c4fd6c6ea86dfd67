"""Learns from answers what upstreams say of themselves: that they leave, or want a pause."""

from __future__ import annotations

import random
import time

from typing import TYPE_CHECKING
from typing import Any

from cactusshunt.exceptions import HeaderValueError
from cactusshunt.node_log import log_event
from cactusshunt.notices.departures import Departure
from cactusshunt.notices.departures import Departures
from cactusshunt.notices.departures import Run
from cactusshunt.notices.pauses import Pauses
from cactusshunt.notices.pauses import compute_return_spread_s
from cactusshunt.platform import headers as names

if TYPE_CHECKING:
    from cactusshunt.membership.peer_link import PeerLink
    from cactusshunt.platform.headers import Headers
    from cactusshunt.routing.upstream import Upstream

PAUSE_STATUSES = (429, 503)  # whose Retry-After says for how long the upstream wants nothing
LEAVING, PAUSE = "leaving", "pause"  # in the log


class UpstreamNotices:
    """What the upstreams have said of themselves, by run. Times are reactor time in seconds."""

    def __init__(self, *, reactor: Any, vm: str, link: PeerLink) -> None:
        self._reactor = reactor
        self._vm = vm
        self._link = link
        self._departures = Departures()
        self._pauses = Pauses(rng=random.Random())

    def record_answer(
        self, upstream: Upstream, born: int, *, status: int, headers: Headers, sent_at: float
    ) -> None:
        """Learn from the head of an answer to a request that was sent to a run of an upstream.

        ``born`` identifies the run. The answer is known to belong to the request.
        """
        instance = names.find_header(headers, names.INSTANCE_ID)
        if instance is not None and instance != upstream.name.encode():
            return
        run = Run(upstream=upstream.name, born=born)
        if names.read_leaving(headers):
            self._record_departure(run)
        seconds = self._read_pause_s(run, status, headers)
        if seconds:
            self._record_pause(upstream, run, status, seconds)
        elif not self._pauses.is_empty:
            self._pauses.record_answer(run, sent_at, self._now())

    def describe(self, run: Run) -> str | None:
        """Return what a run has said of itself, for the log."""
        if self._departures.find(run) is not None:
            return LEAVING
        pause = self._pauses.find(run)
        return PAUSE if pause is not None and self._now() < pause.ends_at else None

    def _record_departure(self, run: Run) -> None:
        departure = Departure(known_since=self._now(), unix_ms=int(time.time() * 1000))
        if self._departures.record(run, departure):
            log_event("leaving_named", upstream=run.upstream, born=run.born, source=self._vm)

    def _read_pause_s(self, run: Run, status: int, headers: Headers) -> float:
        """Return how long a run wants nothing, 0 if it does not say or that cannot be read."""
        if status not in PAUSE_STATUSES:
            return 0.0
        try:
            return names.read_retry_after(headers) or 0.0
        except HeaderValueError as error:
            log_event("pause_unreadable", upstream=run.upstream, reason=error.reason)
            return 0.0

    def _record_pause(self, upstream: Upstream, run: Run, status: int, seconds: float) -> None:
        log_event(
            "pause_named",
            upstream=run.upstream,
            born=run.born,
            seconds=seconds,
            status=status,
            source=self._vm,
        )
        spread_s = compute_return_spread_s(1 + len(self._link.peers), upstream.entry.slots)
        self._pauses.record_own(run, seconds, self._now(), spread_s)

    def _now(self) -> float:
        return self._reactor.seconds()  # type: ignore[no-any-return]
