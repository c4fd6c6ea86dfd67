"""Brings one request to an upstream and its answer back."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from cactusshunt.exceptions import UpstreamNotReachedError
from cactusshunt.http1.upstream_connection import ExchangeEnd
from cactusshunt.node_log import log_event
from cactusshunt.platform import headers as names
from cactusshunt.platform.request_headers import build_request_headers
from cactusshunt.requests import local_answers
from cactusshunt.requests.outcome import Next
from cactusshunt.requests.outcome import Outcome
from cactusshunt.requests.outcome import decide_next
from cactusshunt.requests.outcome import may_have_run
from cactusshunt.requests.request_log import count_sends
from cactusshunt.requests.request_log import log_answer
from cactusshunt.requests.request_log import log_attempt
from cactusshunt.requests.request_log import log_failure
from cactusshunt.routing.failure_history import note_failure
from cactusshunt.routing.failure_history import note_success
from cactusshunt.routing.upstream import Attempt

if TYPE_CHECKING:
    from twisted.internet.base import ReactorBase

    from cactusshunt.http1.connection_pool import ConnectionPool
    from cactusshunt.http1.upstream_connection import UpstreamConnection
    from cactusshunt.requests.admission import Refusal
    from cactusshunt.requests.job import Job
    from cactusshunt.requests.retry_allowance import RetryAllowance
    from cactusshunt.requests.upstream_picker import Picked
    from cactusshunt.requests.upstream_picker import UpstreamPicker
    from cactusshunt.routing.upstream import Upstream
    from cactusshunt.routing.upstream_directory import UpstreamDirectory

BODILESS_METHODS = (b"GET", b"HEAD", b"DELETE")
MOST_SENDS = 3  # of one request, refusals by upstreams included
ENGINE_DEADLINE_MARGIN_MS = 20  # the upstream ends first, so that its own answer can be passed on


class Relay:
    """Runs the attempts of requests one after the other."""

    def __init__(
        self,
        *,
        reactor: ReactorBase,
        pool: ConnectionPool,
        directory: UpstreamDirectory,
        picker: UpstreamPicker,
        allowance: RetryAllowance,
    ) -> None:
        self._reactor = reactor
        self._pool = pool
        self._directory = directory
        self._picker = picker
        self._allowance = allowance

    async def run(self, job: Job) -> None:
        """Answer a request, whatever happens to it."""
        self._allowance.count_request(job.service, self._now())
        timer = self._call_later(job.deadline - self._now(), lambda: self._end_in_time(job))
        try:
            await self._run_attempts(job)
        finally:
            if timer.active():
                timer.cancel()
            if not job.done:
                self._refuse_or_fail(job, "internal error")

    async def _run_attempts(self, job: Job) -> None:
        while not job.done and not job.connection.disconnected:
            picked = await self._picker.pick(job)
            if job.done or job.connection.disconnected:
                return
            if picked.refusal is not None:
                self._refuse(job, picked.refusal)
                return
            if self._resend_is_barred(job):
                self._refuse_or_fail(job, "repeats used up")
                return
            outcome = await self._attempt(job, picked)
            job.outcomes.append(outcome)
            if job.done:
                return
            step = decide_next(outcome, repeatable=job.repeatable)
            if step is Next.TRY_OTHER and self._may_go_on(job, outcome):
                continue
            if step is Next.ANSWER or outcome is Outcome.FAILED:
                self._pass_answer(job)
                return
            self._refuse_or_fail(job, outcome.value)
            return

    def _resend_is_barred(self, job: Job) -> bool:
        """Tell whether a request that was sent before may not be sent once more."""
        if not count_sends(job):
            return False
        return not self._allowance.spend(job.service, self._now())

    def _may_go_on(self, job: Job, outcome: Outcome) -> bool:
        sent = count_sends(job)
        ran = sum(1 for found in job.outcomes if may_have_run(found))
        if sent >= MOST_SENDS or ran >= job.route.attempts:
            return False
        if job.sink.begun and not (job.route.can_resume and job.sink.events.last_id):
            return False
        return outcome is Outcome.NOT_REACHED or job.left_ms(self._now()) > 50.0

    async def _attempt(self, job: Job, picked: Picked) -> Outcome:
        assert picked.upstream is not None
        upstream = picked.upstream
        try:
            connection = await self._pool.acquire(upstream.address)
        except UpstreamNotReachedError:
            self._note_trouble(upstream, unreached=True)
            job.excluded.add(upstream.name)
            return Outcome.NOT_REACHED
        if job.done or job.connection.disconnected or upstream.removed_at is not None:
            self._pool.release(upstream.address, connection)
            job.excluded.add(upstream.name)
            return Outcome.CALLER_GONE if job.connection.disconnected else Outcome.NOT_REACHED
        return await self._exchange(job, picked, upstream, connection)

    async def _exchange(
        self, job: Job, picked: Picked, upstream: Upstream, connection: UpstreamConnection
    ) -> Outcome:
        now = self._now()
        job.last_sent_at = now
        job.resumed = job.sink.begun
        attempt = Attempt(
            tokens=picked.own_tokens,
            priority=job.route.priority,
            sent_at=now,
            lasts_long=job.lasts_long,
        )
        job.sink.reset()
        job.first_data_at = 0.0
        job.sink.on_first_data = lambda: self._note_first_token(job, picked, upstream, attempt)
        upstream.begin(attempt)
        if job.generation is not None:
            upstream.cache.add(job.item, job.generation.prompt_parts)
        if job.cancellable:
            job.connection.on_disconnect = connection.cancel
        job.running = True
        ended = connection.exchange(
            job.request.method,
            job.request.target,
            self._headers(job, upstream, now),
            job.request.body,
            job.sink,
        )
        job.on_timeout = connection.cancel if job.cancellable else None
        end = await ended
        job.running = False
        job.on_timeout = None
        if not job.done:
            job.connection.on_disconnect = None
        upstream.end(attempt)
        self._pool.release(upstream.address, connection)
        outcome = self._judge(job, upstream, end)
        self._note_outcome(job, upstream, outcome, now, picked)
        return outcome

    def _headers(self, job: Job, upstream: Upstream, now: float) -> names.Headers:
        has_body = job.request.body or job.request.method not in BODILESS_METHODS
        return build_request_headers(
            job.headers,
            instance=upstream.name,
            left_ms=job.left_ms(now) - ENGINE_DEADLINE_MARGIN_MS,
            engine_priority=job.route.priority if job.generation is not None else None,
            resume_after=job.sink.events.last_id if job.sink.begun else None,
            body_bytes=len(job.request.body) if has_body else None,
        )

    def _judge(self, job: Job, upstream: Upstream, end: ExchangeEnd) -> Outcome:
        sink = job.sink
        if end is ExchangeEnd.CANCELLED:
            return Outcome.CALLER_GONE if job.connection.disconnected else Outcome.TIMED_OUT
        if end is not ExchangeEnd.COMPLETE:
            return Outcome.UNKNOWN
        self._read_load(upstream, sink.headers)
        if sink.status == 421:
            self._note_absent(job, upstream, sink.headers)
            return Outcome.ABSENT
        if names.find_header(sink.headers, names.NOT_RUN) is not None:
            return Outcome.NOT_RUN
        if sink.succeeded:
            if job.route.streams and sink.events.rest:
                return Outcome.UNKNOWN
            return Outcome.ANSWERED
        if sink.status in names.REFUSAL_STATUSES or 300 <= sink.status < 400:
            return Outcome.UNKNOWN
        return Outcome.FAILED

    def _note_absent(self, job: Job, upstream: Upstream, headers: names.Headers) -> None:
        instance = names.find_header(headers, names.INSTANCE_ID)
        if instance is not None and instance != upstream.name.encode():
            self._directory.mark_leaving(upstream)
            return
        if job.generation is not None:
            upstream.missing[job.item] = upstream.held.version

    def _read_load(self, upstream: Upstream, headers: names.Headers) -> None:
        value = names.find_header(headers, names.SERVER_LOAD)
        parts = value.split(b",") if value else []
        if len(parts) == 3 and all(part.strip().isdigit() for part in parts):
            upstream.take_load(int(parts[0]), int(parts[1]), self._now())

    def _note_outcome(
        self, job: Job, upstream: Upstream, outcome: Outcome, sent_at: float, picked: Picked
    ) -> None:
        now = self._now()
        if outcome is Outcome.ANSWERED:
            upstream.failure_history = note_success(upstream.failure_history)
        elif outcome in (Outcome.UNKNOWN, Outcome.FAILED):
            self._note_trouble(upstream, unreached=False, own_error=outcome is Outcome.FAILED)
        if outcome in (Outcome.ABSENT, Outcome.NOT_RUN, Outcome.UNKNOWN, Outcome.FAILED):
            job.excluded.add(upstream.name)
        if not job.first_data_at and picked.work is not None and may_have_run(outcome):
            upstream.note_no_token_for(picked.work, (now - sent_at) * 1000.0)
        log_attempt(job, upstream, outcome, picked, sent_at, now)

    def _note_trouble(
        self, upstream: Upstream, *, unreached: bool, own_error: bool = False
    ) -> None:
        now = self._now()
        before = upstream.failure_history.resting(now)
        upstream.failure_history = note_failure(
            upstream.failure_history, now, unreached=unreached, own_error=own_error
        )
        if unreached:
            self._pool.close_idle_connections(upstream.address)
        if upstream.failure_history.resting(now) and not before:
            log_event(
                "upstream_suspected",
                upstream=upstream.name,
                share=round(upstream.failure_history.share, 2),
                unreached=unreached,
            )

    def _note_first_token(
        self, job: Job, picked: Picked, upstream: Upstream, attempt: Attempt
    ) -> None:
        upstream.note_first_token(attempt)
        job.first_data_at = self._now()
        if job.first_byte_at is None:
            job.first_byte_at = job.first_data_at
        if job.generation is not None and picked.work is not None and job.sink.succeeded:
            took_ms = (self._now() - attempt.sent_at) * 1000.0
            upstream.note_first_token_after(picked.work, took_ms)

    def _pass_answer(self, job: Job) -> None:
        if job.done or job.connection.disconnected:
            return
        job.done = True
        sink = job.sink
        log_answer(job, self._now())
        if sink.begun or (sink.succeeded and job.route.streams):
            sink.finish_stream()
            return
        job.connection.answer(sink.status, names.select_forwarded_headers(sink.headers), sink.body)

    def _refuse(self, job: Job, refusal: Refusal) -> None:
        job.retry_after_s = refusal.retry_after_s
        self._refuse_or_fail(job, refusal.reason)

    def _refuse_or_fail(self, job: Job, reason: str) -> None:
        """Give the final answer: "not run" only if that is certain."""
        if job.done:
            return
        job.done = True
        if job.connection.disconnected:
            return
        ran = any(may_have_run(outcome) for outcome in job.outcomes) or job.running
        log_failure(job, reason, ran=ran, now=self._now())
        if job.sink.begun:
            job.connection.abort()
            return
        if not ran:
            answer = local_answers.describe_refusal(job.request_id, reason, job.retry_after_s)
        else:
            timed_out = Outcome.TIMED_OUT in job.outcomes or job.running
            answer = local_answers.describe_failure(
                504 if timed_out else 502, job.request_id, reason
            )
        job.connection.answer(*answer)

    def _end_in_time(self, job: Job) -> None:
        """Give the final answer when the route's or the caller's time is up."""
        if job.done:
            return
        on_timeout, job.on_timeout = job.on_timeout, None
        self._refuse_or_fail(job, "time is up")
        if on_timeout is not None:
            on_timeout()
        self._picker.wake()

    def _call_later(self, seconds: float, run: Any) -> Any:
        reactor: Any = self._reactor
        return reactor.callLater(max(0.0, seconds), run)

    def _now(self) -> float:
        return self._reactor.seconds()
