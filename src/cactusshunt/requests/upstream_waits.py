"""Requests that wait until an upstream can take them: for room, a load or a permit.

They choose again after each change of an upstream, the most urgent ones first.
"""

from __future__ import annotations

import math

from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.defer import Deferred

from cactusshunt.node_log import log_event
from cactusshunt.requests.admission import Refusal
from cactusshunt.requests.admission import check_placement_wait
from cactusshunt.requests.admission import compute_latency_limit_ms
from cactusshunt.requests.job import PermitWait
from cactusshunt.requests.pick_result import PickResult

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.base import ReactorBase

    from cactusshunt.limits.request_limits import RequestLimits
    from cactusshunt.placement.demand_meter import DemandMeter
    from cactusshunt.requests.job import Job
    from cactusshunt.routing.upstream import Upstream

LAST_REFUSALS_RESERVE_S = 0.3  # time to send them before the process ends
STOPPING_RETRY_AFTER_S = 0.1  # another VM can accept the request at once
ROOM_RECHECK_INTERVAL_S = 0.03
RECHECK_INTERVAL_S = 0.1  # waiting requests also check the upstreams after each change of one

# For a request that is answered or whose caller disconnected; the relay does not send it.
_IGNORED = PickResult(refusal=Refusal(reason="caller disconnected", retry_after_s=0.5))


def find_latency_limit_ms(job: Job, now: float) -> float:
    """Return the largest accepted time from now to the first byte of a request, in ms."""
    return compute_latency_limit_ms(
        target_ms=job.route.target_latency_ms, left_ms=job.remaining_first_byte_ms(now)
    )


class UpstreamWaits:
    """Repeats a choice until it has an upstream or a refusal.

    ``choose`` returns a choice, a refusal, or ``None`` if no engine holds the requested item;
    ``expected_at`` returns when the item should be loaded, ``None`` if that is not known.
    """

    def __init__(
        self,
        *,
        reactor: ReactorBase,
        meter: DemandMeter,
        trigger_planning: Callable[[], None],
        limits: RequestLimits,
        choose: Callable[[Job], PickResult | None],
        expected_at: Callable[[Job], float | None],
    ) -> None:
        self._reactor = reactor
        self._meter = meter
        self._trigger_planning = trigger_planning
        self._limits = limits
        self._choose = choose
        self._expected_at = expected_at
        self._waits_end_at = math.inf
        self._waiting: dict[Deferred[None], int] = {}  # with the priorities of the requests

    @property
    def queued(self) -> int:
        """Return how many requests wait for a model, an adapter or a permit."""
        return len(self._waiting)

    def wake(self) -> None:
        """Make waiting requests check the upstreams again, the most urgent ones first."""
        waiting, self._waiting = self._waiting, {}
        for deferred in sorted(waiting, key=lambda deferred: waiting[deferred]):
            deferred.callback(None)

    def end_waits_at(self, ends_at: float) -> None:
        """Refuse what still waits shortly before the process ends, at a reactor time in s."""
        self._waits_end_at = ends_at - LAST_REFUSALS_RESERVE_S

    async def pick(self, job: Job) -> PickResult:
        """Return an upstream or a refusal, waiting for room, a load or a permit."""
        now = self._now()
        room_ends_at = now + find_latency_limit_ms(job, now) / 1000.0
        picked = await self._pick_once(job)
        while self._may_wait(picked) and self._now() < room_ends_at:
            if job.done or job.connection.disconnected:
                return _IGNORED
            await self._wait_for_change(ROOM_RECHECK_INTERVAL_S, job.route.priority)
            picked = await self._pick_once(job)
        return picked

    def _find_end_refusal(self) -> Refusal | None:
        if self._now() < self._waits_end_at:
            return None
        return Refusal(reason="this VM is stopping", retry_after_s=STOPPING_RETRY_AFTER_S)

    @staticmethod
    def _may_wait(picked: PickResult) -> bool:
        return picked.refusal is not None and picked.refusal.may_wait

    async def _pick_once(self, job: Job) -> PickResult:
        """Return an upstream, waiting for a load or permit, or that none has room."""
        picked = self._choose(job)
        while picked is None or picked.awaits_permit is not None:
            limited = picked.awaits_permit if picked is not None else None
            if limited is None:
                picked = await self._request_load(job)
            else:
                picked = await self._wait_for_permit(job, limited)
        return picked

    async def _wait_for_permit(self, job: Job, upstream: Upstream) -> PickResult | None:
        """Wait until a permit arrives, another upstream becomes better, or time is up."""
        began_at = self._now()
        wait = job.permit_wait = PermitWait(
            upstream=upstream.name,
            place=self._limits.begin_wait(upstream.name, job.route.priority),
            began_at=began_at,
            ends_at=began_at + find_latency_limit_ms(job, began_at) / 1000.0,
        )
        try:
            while not job.done and not job.connection.disconnected:
                await self._wait_for_change(RECHECK_INTERVAL_S, job.route.priority)
                picked = self._choose(job)
                if picked is None or picked.awaits_permit is not upstream:
                    waited_ms = int((self._now() - began_at) * 1000)
                    return picked and replace(picked, permit_waited_ms=waited_ms)
        finally:
            self._limits.end_wait(upstream.name, wait.place)
            job.permit_wait = None
        return _IGNORED

    async def _request_load(self, job: Job) -> PickResult:
        """Report that the request waits for its item, and wait until an engine holds it."""
        assert job.generation is not None
        key = (job.service, job.item)
        self._meter.begin_wait(key)
        if job.generation.adapter:
            self._meter.begin_wait((job.service, job.generation.model))
        self._trigger_planning()
        try:
            return await self._wait_for_engine(job)
        finally:
            self._meter.end_wait(key)
            if job.generation.adapter:
                self._meter.end_wait((job.service, job.generation.model))

    async def _wait_for_engine(self, job: Job) -> PickResult:
        """Wait until an engine holds the item, as long as it is expected in time."""
        assert job.generation is not None
        waiting_since = self._now()
        left_ms = job.remaining_first_byte_ms(waiting_since)
        expected_at = self._expected_at(job)
        log_event(
            "request_queued",
            request=job.request_id.decode("latin-1"),
            route=job.route.name,
            item=job.item,
            expected_in_ms=int((expected_at - waiting_since) * 1000) if expected_at else None,
            left_ms=int(left_ms),
        )
        while not job.done and not job.connection.disconnected:
            refusal = self._find_end_refusal() or check_placement_wait(
                now=self._now(),
                waiting_since=waiting_since,
                left_ms=left_ms,
                expected_at=self._expected_at(job),
            )
            if refusal is not None:
                return PickResult(refusal=refusal)
            await self._wait_for_change(RECHECK_INTERVAL_S, job.route.priority)
            picked = self._choose(job)
            if picked is not None:
                return picked
        return _IGNORED

    def _wait_for_change(self, seconds: float, priority: int) -> Deferred[None]:
        changed: Deferred[None] = Deferred()
        self._waiting[changed] = priority
        reactor: Any = self._reactor
        timer = reactor.callLater(seconds, self._end_wait_on_timeout, changed)

        def stop(result: None) -> None:
            if timer.active():
                timer.cancel()

        changed.addCallback(stop)
        return changed

    def _end_wait_on_timeout(self, changed: Deferred[None]) -> None:
        if changed in self._waiting:
            del self._waiting[changed]
            changed.callback(None)

    def _now(self) -> float:
        return self._reactor.seconds()
