"""Chooses the upstream of the next attempt; waits until the request's model is loaded."""

from __future__ import annotations

import random

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.defer import Deferred

from cactusshunt.node_log import log_event
from cactusshunt.requests.admission import Refusal
from cactusshunt.requests.admission import check_expected_latency
from cactusshunt.requests.admission import check_placement_wait
from cactusshunt.routing.choice import Candidate
from cactusshunt.routing.choice import choose_engine
from cactusshunt.routing.choice import choose_service_upstream
from cactusshunt.routing.queued_work import QueuedWork  # noqa: TC001
from cactusshunt.routing.upstream import Upstream  # noqa: TC001

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.base import ReactorBase

    from cactusshunt.placement.demand_meter import DemandMeter
    from cactusshunt.requests.job import Job
    from cactusshunt.routing.upstream_directory import UpstreamDirectory

RECHECK_INTERVAL_S = 0.1  # waiting requests also check the upstreams after each change of one


@dataclass(frozen=True, kw_only=True)
class PickResult:
    """Either an upstream with the latency and the work expected there, or a refusal.

    ``expected_ms`` is 0 for a service without models, whose latency is not estimated.
    """

    upstream: Upstream | None = None
    refusal: Refusal | None = None
    expected_ms: float = 0.0
    uncached_tokens: float = 0.0
    work: QueuedWork | None = None


class UpstreamPicker:
    """Chooses among the directory's upstreams; requests wait here for items that none holds."""

    def __init__(
        self,
        *,
        reactor: ReactorBase,
        directory: UpstreamDirectory,
        meter: DemandMeter,
        availability_zone: str,
        trigger_planning: Callable[[], None],
    ) -> None:
        self._reactor = reactor
        self._directory = directory
        self._meter = meter
        self._zone = availability_zone
        self._trigger_planning = trigger_planning
        self._random = random.Random()
        self._waiting: set[Deferred[None]] = set()

    @property
    def queued(self) -> int:
        """Return how many requests wait for a model or adapter."""
        return len(self._waiting)

    def wake(self) -> None:
        """Make waiting requests check the upstreams again."""
        waiting, self._waiting = self._waiting, set()
        for deferred in waiting:
            deferred.callback(None)

    async def pick(self, job: Job) -> PickResult:
        """Return the upstream of the next attempt, waiting for a load if necessary."""
        if job.generation is None:
            return self._pick_service_upstream(job)
        picked = self._pick_engine(job)
        if picked is not None:
            return picked
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
            refusal = check_placement_wait(
                now=self._now(),
                waiting_since=waiting_since,
                left_ms=left_ms,
                expected_at=self._expected_at(job),
            )
            if refusal is not None:
                return PickResult(refusal=refusal)
            await self._wait_for_change(RECHECK_INTERVAL_S)
            picked = self._pick_engine(job)
            if picked is not None:
                return picked
        # The request is answered or its caller disconnected: the relay ignores this refusal.
        return PickResult(refusal=Refusal(reason="caller disconnected", retry_after_s=0.5))

    def _expected_at(self, job: Job) -> float | None:
        """Return when the requested item should be loaded, ``None`` if that is not known.

        An adapter does not wait for a further replica of its model if an engine already holds one.
        """
        assert job.generation is not None
        item_at = self._directory.expected_at(job.service, job.item)
        model = job.generation.model
        if item_at is not None or not job.generation.adapter:
            return item_at
        if any(model in found.held.models for found in self._directory.usable(job.service)):
            return None
        return self._directory.expected_at(job.service, model)

    def _wait_for_change(self, seconds: float) -> Deferred[None]:
        changed: Deferred[None] = Deferred()
        self._waiting.add(changed)
        reactor: Any = self._reactor
        timer = reactor.callLater(seconds, self._end_wait_on_timeout, changed)

        def stop(result: None) -> None:
            if timer.active():
                timer.cancel()

        changed.addCallback(stop)
        return changed

    def _end_wait_on_timeout(self, changed: Deferred[None]) -> None:
        if changed in self._waiting:
            self._waiting.discard(changed)
            changed.callback(None)

    def _pick_service_upstream(self, job: Job) -> PickResult:
        now = self._now()
        usable = self._prefer_healthy(self._directory.usable(job.service), job, now)
        if not usable:
            return PickResult(refusal=Refusal(reason="no upstream", retry_after_s=0.3))
        candidates = [self._make_candidate(found, job, now) for found in usable]
        slots = {found.name: found.entry.slots for found in usable}
        choice = choose_service_upstream(candidates, slots, self._random)
        assert choice is not None
        return PickResult(upstream=self._directory.find(choice.name))

    def _pick_engine(self, job: Job) -> PickResult | None:
        """Return a choice, a refusal, or ``None`` if no engine holds the requested item."""
        assert job.generation is not None
        now = self._now()
        holders = [
            found
            for found in self._directory.usable(job.service)
            if found.holds(job.generation.model, job.generation.adapter, now)
        ]
        usable = self._prefer_healthy(holders, job, now)
        if not usable:
            return None
        candidates = {found.name: self._make_candidate(found, job, now) for found in usable}
        choice = choose_engine(
            list(candidates.values()),
            job.route.target_latency_ms,
            self._random,
            long_running=job.long_running,
        )
        assert choice is not None
        chosen = candidates[choice.name]
        refusal = check_expected_latency(
            expected_ms=choice.expected_ms,
            target_ms=job.route.target_latency_ms,
            left_ms=job.remaining_first_byte_ms(now),
        )
        if refusal is not None:
            return PickResult(refusal=refusal)
        return PickResult(
            upstream=self._directory.find(choice.name),
            expected_ms=choice.expected_ms,
            uncached_tokens=chosen.uncached_tokens,
            work=chosen.work,
        )

    def _prefer_healthy(self, upstreams: list[Upstream], job: Job, now: float) -> list[Upstream]:
        """Leave out excluded and resting upstreams; if all others rest, return those."""
        untried = [found for found in upstreams if found.name not in job.excluded_upstreams]
        not_resting = [found for found in untried if not found.failure_history.resting(now)]
        return not_resting or untried

    def _make_candidate(self, upstream: Upstream, job: Job, now: float) -> Candidate:
        uncached_tokens = 0.0
        if job.generation is not None:
            prompt = job.generation.prompt_tokens or sum(n for _, n in job.generation.prompt_parts)
            cached = upstream.cache.cached_tokens(job.item, job.generation.prompt_parts)
            uncached_tokens = max(16.0, prompt - cached)
        return Candidate(
            name=upstream.name,
            same_zone=upstream.entry.zone == self._zone,
            pending_tokens=upstream.pending_tokens(job.route.priority, now),
            uncached_tokens=uncached_tokens,
            running=upstream.total_running(now),
            tokens_per_ms=upstream.rate,
            failure_share=upstream.failure_history.share,
            long_streams=upstream.long_streams(now),
        )

    def _now(self) -> float:
        return self._reactor.seconds()
