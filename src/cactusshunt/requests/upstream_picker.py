"""Chooses the upstream of the next attempt.

Where the chosen upstream has a request limit, the request gets a permit, or waits for one as long
as it comes in time.
"""

from __future__ import annotations

import random

from dataclasses import replace
from typing import TYPE_CHECKING

from cactusshunt.notices.departures import Run
from cactusshunt.requests.admission import REQUEST_LIMIT
from cactusshunt.requests.admission import Refusal
from cactusshunt.requests.admission import check_expected_latency
from cactusshunt.requests.admission import check_permit_wait
from cactusshunt.requests.admission import check_queued_prompts
from cactusshunt.requests.fair_admission import FairAdmission
from cactusshunt.requests.pick_result import PickResult
from cactusshunt.requests.upstream_waits import UpstreamWaits
from cactusshunt.requests.upstream_waits import find_latency_limit_ms
from cactusshunt.routing.choice import Candidate
from cactusshunt.routing.choice import choose_engine
from cactusshunt.routing.choice import choose_service_upstream
from cactusshunt.routing.upstream import Upstream  # noqa: TC001

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from twisted.internet.base import ReactorBase

    from cactusshunt.limits.limited_upstream import Place
    from cactusshunt.limits.request_limits import RequestLimits
    from cactusshunt.notices.upstream_notices import UpstreamNotices
    from cactusshunt.placement.demand_meter import DemandMeter
    from cactusshunt.requests.job import Job
    from cactusshunt.routing.choice import Choice
    from cactusshunt.routing.upstream_directory import UpstreamDirectory

NO_ROOM = Refusal(reason="brittle upstreams have no room", retry_after_s=0.3, may_wait=True)
# no upstream has the software version that began the stream
VERSION_AWAY = Refusal(reason="no upstream of the stream's version", retry_after_s=0.5)
ALL_LEAVE = Refusal(reason="all upstreams leave", retry_after_s=1.0)
LEAST_URGENT = 9  # highest priority number of a route; 0 is the most urgent


def _list_waiting(candidates: Iterable[Candidate], chosen: str) -> tuple[str, ...]:
    """Return the limited upstreams without a permit at hand, except the chosen one."""
    return tuple(
        candidate.name
        for candidate in candidates
        if candidate.permit_wait_ms and candidate.name != chosen
    )


def _find_place(job: Job, upstream: str) -> Place | None:
    """Return the place of a request that waits for a permit of this upstream."""
    wait = job.permit_wait
    return wait.place if wait is not None and wait.upstream == upstream else None


def _select_version(upstreams: list[Upstream], job: Job) -> list[Upstream]:
    """Return the upstreams of the version that began the request's stream, or all of them."""
    if job.stream_version is None:
        return upstreams
    return [found for found in upstreams if found.software_version == job.stream_version]


class UpstreamPicker:
    """Chooses among the directory's upstreams; requests that none can take yet wait."""

    def __init__(
        self,
        *,
        reactor: ReactorBase,
        directory: UpstreamDirectory,
        meter: DemandMeter,
        availability_zone: str,
        trigger_planning: Callable[[], None],
        limits: RequestLimits,
        notices: UpstreamNotices,
        prefer_version: Callable[[Job], str | None],
    ) -> None:
        self._reactor = reactor
        self._prefer_version = prefer_version
        self._directory = directory
        self._zone = availability_zone
        self._random = random.Random()
        self._limits = limits
        self._notices = notices
        self.fair_admission = FairAdmission()
        self._waits = UpstreamWaits(
            reactor=reactor,
            meter=meter,
            trigger_planning=trigger_planning,
            limits=limits,
            choose=self._choose,
            expected_at=self._expected_at,
        )

    @property
    def queued(self) -> int:
        """Return how many requests wait for a model, an adapter or a permit."""
        return self._waits.queued

    def wake(self) -> None:
        """Make waiting requests check the upstreams again, the most urgent ones first."""
        self._waits.wake()

    def end_waits_at(self, ends_at: float) -> None:
        """Refuse what still waits shortly before the process ends, at a reactor time in s."""
        self._waits.end_waits_at(ends_at)

    async def pick(self, job: Job) -> PickResult:
        """Return the upstream of the next attempt, waiting for room, a load or a permit."""
        self.fair_admission.record_asked(job, self._now())
        picked = await self._waits.pick(job)
        self.fair_admission.record_decision(job, picked.refusal, self._now())
        return picked

    def pick_second(self, job: Job) -> PickResult | None:
        """Return an upstream that takes a second send at once, ``None`` if there is none.

        One that leaves, rests, asked for a pause, or has no permit at hand gets no second send.
        """
        now = self._now()
        for found in self._list_usable(job):
            rests = found.failure_history.resting(now) or found.paused_until > now
            if rests or self._limits.estimate_wait_ms(found.name, job.route.priority, None):
                job.excluded_upstreams.add(found.name)
        picked = self._choose(job)
        if picked is None or picked.upstream is None or picked.awaits_permit is not None:
            return None
        if picked.upstream.leaving or picked.upstream.name in job.excluded_upstreams:
            self._limits.return_permit(picked.permit)
            return None
        return picked

    def _choose(self, job: Job) -> PickResult | None:
        """Return a choice, a refusal, or ``None`` if no engine holds the requested item."""
        if job.generation is None:
            return self._pick_service_upstream(job)
        return self._pick_engine(job)

    def _expected_at(self, job: Job) -> float | None:
        """Return when the requested item should be loaded, ``None`` if that is not known.

        An adapter does not wait for a further replica of its model if an engine already holds one.
        """
        assert job.generation is not None
        item_at = self._directory.expected_at(job.service, job.item, job.stream_version)
        model = job.generation.model
        if item_at is not None or not job.generation.adapter:
            return item_at
        if any(model in found.held.models for found in self._list_usable(job)):
            return None
        return self._directory.expected_at(job.service, model, job.stream_version)

    def _pick_service_upstream(self, job: Job) -> PickResult:
        now = self._now()
        known = self._list_preferred(self._list_usable(job) or self._list_last_resort(job), job)
        if not known and job.stream_version is not None:
            return PickResult(refusal=VERSION_AWAY)
        with_room = [found for found in known if self._limits.room.has_room(found)]
        if known and not with_room:
            return PickResult(refusal=NO_ROOM)
        unpaused = self._list_unpaused(with_room, job)
        if isinstance(unpaused, Refusal):
            return PickResult(refusal=unpaused)
        usable = self._prefer_healthy(unpaused, job, now)
        if not usable:
            return PickResult(refusal=Refusal(reason="no upstream", retry_after_s=0.3))
        candidates = [self._make_candidate(found, job, now) for found in usable]
        slots = {found.name: found.entry.slots for found in usable}
        choice = choose_service_upstream(candidates, slots, self._random)
        assert choice is not None
        upstream = self._directory.find(choice.name)
        picked = PickResult(
            upstream=upstream, without_permit=_list_waiting(candidates, choice.name)
        )
        return self._limit_request(job, picked, choice.expected_ms, now)

    def _pick_engine(self, job: Job) -> PickResult | None:
        """Return a choice, a refusal, or ``None`` if no engine holds the requested item."""
        assert job.generation is not None
        now = self._now()
        usable = self._list_usable(job)
        holders = self._list_holders(usable, job, now)
        if not holders:
            leaving = self._list_last_resort(job)
            holders = self._list_holders(leaving, job, now)
            if not usable and not leaving and job.stream_version is not None:
                return PickResult(refusal=VERSION_AWAY)
            if not usable and not holders and self._directory.list_leaving(job.service):
                return PickResult(refusal=ALL_LEAVE)  # no other will load the model
        holders = self._list_preferred(holders, job)
        with_room = [found for found in holders if self._limits.room.has_room(found)]
        if holders and not with_room:
            return PickResult(refusal=NO_ROOM)
        unpaused = self._list_unpaused(with_room, job)
        if isinstance(unpaused, Refusal):
            return PickResult(refusal=self._shorten(unpaused, job, now))
        healthy = self._prefer_healthy(unpaused, job, now) or self._list_failed(with_room, job, now)
        if not healthy:
            return None
        candidates = {found.name: self._make_candidate(found, job, now) for found in healthy}
        fraction = self.fair_admission.find_fraction(job, now)
        choice = self._choose_candidate(list(candidates.values()), job, now)
        queue_refusal = self._check_queue(candidates[choice.name], job, fraction, now)
        idle = [found for found in candidates.values() if found.idle]
        # Otherwise a long prompt is refused again and again because of an engine with a short
        # queue, while one that costs more, such as one in another zone, has nothing to do.
        if queue_refusal is not None and idle:
            choice, queue_refusal = self._choose_candidate(idle, job, now), None
        chosen = candidates[choice.name]
        picked = PickResult(
            upstream=self._directory.find(choice.name),
            expected_ms=choice.expected_ms,
            uncached_tokens=chosen.uncached_tokens,
            work=chosen.work,
            without_permit=_list_waiting(candidates.values(), choice.name),
        )
        if chosen.permit_wait_ms:
            return self._limit_request(job, picked, choice.expected_ms, now)
        latency_refusal = check_expected_latency(
            expected_ms=choice.expected_ms,
            target_ms=job.route.target_latency_ms,
            left_ms=job.remaining_first_byte_ms(now),
            fraction=fraction,
        )
        refusals = [found for found in (latency_refusal, queue_refusal) if found is not None]
        if refusals:
            # A caller that returns before the later time would be refused again.
            return PickResult(refusal=max(refusals, key=lambda found: found.retry_after_s))
        return self._limit_request(job, picked, choice.expected_ms, now)

    def _choose_candidate(self, candidates: list[Candidate], job: Job, now: float) -> Choice:
        choice = choose_engine(
            candidates,
            job.route.target_latency_ms,
            self._random,
            long_running=job.long_running,
            gap_aim_ms=job.route.gap_aim_ms,
            limit_ms=find_latency_limit_ms(job, now),
        )
        assert choice is not None
        return choice

    def _check_queue(
        self, candidate: Candidate, job: Job, fraction: float, now: float
    ) -> Refusal | None:
        """Return a refusal if the queue at an engine that needs no permit is too long."""
        # A repeat is not refused, nor is a stream of which the caller has a part: the refusal would
        # prolong the pause in the stream. A second send is refused, because it is not needed.
        is_repeat = bool(job.outcomes) and not job.is_second
        if is_repeat or job.takes_up or candidate.permit_wait_ms:
            return None
        return check_queued_prompts(
            queued_ms=candidate.measure_prefill_ms(candidate.pending_tokens),
            own_ms=candidate.measure_prefill_ms(candidate.uncached_tokens),
            gap_aim_ms=job.route.gap_aim_ms,
            left_ms=job.remaining_first_byte_ms(now),
            fraction=fraction,
        )

    def _limit_request(
        self, job: Job, picked: PickResult, expected_ms: float, now: float
    ) -> PickResult:
        """Add a permit if the chosen upstream has a request limit; otherwise wait or refuse."""
        assert picked.upstream is not None
        for name in picked.without_permit if job.permit_wait is None else ():
            self._limits.count_held_back(name)
        limited = self._limits.find(picked.upstream.name)
        if limited is None:
            return picked
        place = _find_place(job, limited.name)
        permit = self._limits.take_permit(limited.name, job.route.priority, place)
        if permit is not None:
            return replace(picked, permit=permit)
        wait = job.permit_wait
        refusal = None
        if wait is not None and now >= wait.ends_at:
            wait_s = limited.estimate_wait_s(job.route.priority, place, now)
            refusal = Refusal(reason=REQUEST_LIMIT, retry_after_s=wait_s)
        elif wait is None or not wait.admitted:
            refusal = check_permit_wait(
                expected_ms=expected_ms,
                target_ms=job.route.target_latency_ms,
                left_ms=job.remaining_first_byte_ms(now),
                fraction=self.fair_admission.find_fraction(job, now),
            )
        if refusal is None:
            if wait is None:
                limited.usage.count_held_back()
            elif limited.has_answer_since(wait.began_at):
                job.permit_wait = replace(wait, admitted=True)
            return replace(picked, awaits_permit=picked.upstream)
        limited.usage.count_refused()
        return_s = limited.plan_return_s(refusal.retry_after_s, now)
        return PickResult(
            refusal=replace(refusal, retry_after_s=return_s),
            without_permit=(limited.name, *picked.without_permit),
        )

    def _list_usable(self, job: Job) -> list[Upstream]:
        """Return the upstreams that may get the request."""
        return _select_version(self._directory.usable(job.service), job)

    def _list_last_resort(self, job: Job) -> list[Upstream]:
        """Return the upstreams that leave, but may get the request if no other can take it."""
        leaving = self._notices.list_last_resort(job.service, job.request.arrived_at)
        return _select_version(leaving, job)

    def _list_holders(self, upstreams: list[Upstream], job: Job, now: float) -> list[Upstream]:
        """Return the upstreams that hold the request's model and adapter."""
        assert job.generation is not None
        model, adapter = job.generation.model, job.generation.adapter
        return [found for found in upstreams if found.holds(model, adapter, now)]

    def _list_unpaused(self, upstreams: list[Upstream], job: Job) -> list[Upstream] | Refusal:
        """Return the upstreams that no pause excludes, or a refusal if pauses exclude all."""
        if not self._notices.any_pause:
            return upstreams
        untried = [found for found in upstreams if found.name not in job.excluded_upstreams]
        return self._notices.select_awake(untried)

    def _shorten(self, refusal: Refusal, job: Job, now: float) -> Refusal:
        """Return the refusal with an earlier time if another engine is about to hold the item."""
        expected_at = self._expected_at(job)
        if expected_at is None:
            return refusal
        return replace(
            refusal, retry_after_s=max(0.1, min(refusal.retry_after_s, expected_at - now))
        )

    def _list_preferred(self, upstreams: list[Upstream], job: Job) -> list[Upstream]:
        """Return the upstreams of the version that should begin the stream, if there are any."""
        version = self._prefer_version(job)
        if version is None:
            return upstreams
        return [found for found in upstreams if found.software_version == version] or upstreams

    def _prefer_healthy(self, upstreams: list[Upstream], job: Job, now: float) -> list[Upstream]:
        """Leave out excluded and resting upstreams; if all others rest, return those."""
        if job.probe_upstreams is not None:
            upstreams = [found for found in upstreams if found.name in job.probe_upstreams]
        untried = [found for found in upstreams if found.name not in job.excluded_upstreams]
        not_resting = [found for found in untried if not found.failure_history.resting(now)]
        return not_resting or untried

    def _list_failed(self, holders: list[Upstream], job: Job, now: float) -> list[Upstream]:
        """Return the engines that failed the request, if no other is expected to hold its item.

        Load pattern: rare models that one engine holds each, and engines that fail part of what
        they run. No load is ordered for a model that is held, so there is nothing to wait for. An
        engine that leaves does not get the request again, since its models are loaded elsewhere,
        nor does one that has restarted since, because the request may have crashed it.
        """
        failed = [
            found
            for found in holders
            if found.ready
            and Run(upstream=found.name, born=found.entry.born) in job.failed_upstreams
        ]
        if not failed or job.probe_upstreams is not None:
            return []
        expected_at = self._expected_at(job)
        if expected_at is not None and expected_at > now:
            return []
        unpaused = self._notices.select_awake(failed) if self._notices.any_pause else failed
        return [] if isinstance(unpaused, Refusal) else unpaused

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
            all_pending_tokens=upstream.pending_tokens(LEAST_URGENT, now),
            permit_wait_ms=self._limits.estimate_wait_ms(
                upstream.name, job.route.priority, _find_place(job, upstream.name)
            ),
            slowdown=upstream.slowdown(now),
        )

    def _now(self) -> float:
        return self._reactor.seconds()
