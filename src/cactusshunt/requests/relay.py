"""Sends a request to upstreams until one answers, and returns the answer to the caller."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from cactusshunt.exceptions import UpstreamNotReachedError
from cactusshunt.http1.upstream_connection import ExchangeEnd
from cactusshunt.node_log import log_event
from cactusshunt.notices.departures import Run
from cactusshunt.platform import headers as names
from cactusshunt.platform.request_headers import build_request_headers
from cactusshunt.quarantine.quarantine import AttemptEnd
from cactusshunt.requests import local_answers
from cactusshunt.requests.exchange import count_body_bytes
from cactusshunt.requests.exchange import exchange
from cactusshunt.requests.exchange import prepare_exchange
from cactusshunt.requests.outcome import MAX_SENDS
from cactusshunt.requests.outcome import NextStep
from cactusshunt.requests.outcome import Outcome
from cactusshunt.requests.outcome import decide_next
from cactusshunt.requests.outcome import may_have_run
from cactusshunt.requests.request_log import count_sends
from cactusshunt.requests.request_log import log_answer
from cactusshunt.requests.request_log import log_attempt
from cactusshunt.requests.request_log import log_failure
from cactusshunt.requests.request_log import log_limits
from cactusshunt.requests.server_load import read_load
from cactusshunt.requests.server_load import record_work_percent
from cactusshunt.requests.stopping import RETRY_AFTER_S
from cactusshunt.routing.failure_history import record_failure
from cactusshunt.routing.failure_history import record_success
from cactusshunt.routing.upstream import Attempt

if TYPE_CHECKING:
    from twisted.internet.base import ReactorBase

    from cactusshunt.detour.detour import Detour
    from cactusshunt.detour.service_reach import ServiceReach
    from cactusshunt.http1.connection_pool import ConnectionPool
    from cactusshunt.http1.upstream_connection import UpstreamConnection
    from cactusshunt.limits.request_limits import RequestLimits
    from cactusshunt.notices.upstream_notices import UpstreamNotices
    from cactusshunt.quarantine.quarantine import Block
    from cactusshunt.quarantine.quarantine import Quarantine
    from cactusshunt.requests.admission import Refusal
    from cactusshunt.requests.job import Job
    from cactusshunt.requests.pick_result import PickResult
    from cactusshunt.requests.retry_allowance import RetryAllowance
    from cactusshunt.requests.second_send import SecondSends
    from cactusshunt.requests.upstream_picker import UpstreamPicker
    from cactusshunt.routing.upstream import Upstream
    from cactusshunt.routing.upstream_directory import UpstreamDirectory
    from cactusshunt.streams.stream_versions import StreamVersions

# Upstreams get this much less time than is left, so that their timeout answers can be forwarded.
UPSTREAM_DEADLINE_MARGIN_MS = 20
GATEWAY_TIMEOUT = 504  # of an upstream that may not have begun the request


def _describe_end(outcome: Outcome, end: ExchangeEnd, status: int) -> AttemptEnd:
    """Return what an attempt says about crashes; ``status`` is that of a complete answer."""
    if outcome is Outcome.UNKNOWN and end is not ExchangeEnd.MALFORMED:
        return AttemptEnd.BROKEN
    if outcome is Outcome.FAILED and status != GATEWAY_TIMEOUT:
        return AttemptEnd.FAILED
    return AttemptEnd.ANSWERED if outcome is Outcome.ANSWERED else AttemptEnd.OTHER


class Relay:
    """Runs the attempts of each request one after the other."""

    def __init__(
        self,
        *,
        reactor: ReactorBase,
        pool: ConnectionPool,
        directory: UpstreamDirectory,
        picker: UpstreamPicker,
        allowance: RetryAllowance,
        limits: RequestLimits,
        quarantine: Quarantine,
        reach: ServiceReach,
        detour: Detour,
        streams: StreamVersions,
        notices: UpstreamNotices,
        second_sends: SecondSends,
    ) -> None:
        self._second_sends = second_sends
        self._streams = streams
        self._notices = notices
        self._reactor = reactor
        self._pool = pool
        self._directory = directory
        self._picker = picker
        self._allowance = allowance
        self._limits = limits
        self._quarantine = quarantine
        self._reach = reach
        self._detour = detour

    async def run(self, job: Job) -> None:
        """Handle a request until it is answered, by its deadline at the latest."""
        if not job.is_detour:
            self._allowance.count_request(job.service, self._now())
            self._second_sends.hedging.count_request()
        timer = self._call_later(job.deadline - self._now(), lambda: self._answer_at_deadline(job))
        try:
            await self._run_attempts(job)
        finally:
            if timer.active():
                timer.cancel()
            self._quarantine.release(job)
            if not job.done:
                if job.last_sent_at is not None:
                    job.outcomes.append(Outcome.UNKNOWN)  # that of the attempt that failed here
                self._answer_locally(job, "internal error")

    async def _run_attempts(self, job: Job) -> None:
        while not job.done and not job.connection.disconnected:
            if self._detour.is_needed(job):
                outcome = await self._try_detour(job)
            else:
                outcome = await self._try_upstream(job)
            if outcome is None:
                return
            job.outcomes.append(outcome)
            if job.done:
                return
            step = decide_next(outcome, repeatable=job.repeatable)
            if step is NextStep.TRY_OTHER and self._may_try_another(job, outcome):
                continue
            is_answer = step is NextStep.ANSWER or outcome is Outcome.FAILED
            # A failure is no end of a stream of which the caller has a part.
            if is_answer and (outcome is Outcome.ANSWERED or not job.sink.forwarding_started):
                self._forward_answer(job)
                return
            self._answer_locally(job, outcome.value)
            return

    async def _try_detour(self, job: Job) -> Outcome | None:
        """Return the outcome at another VM, or ``None`` once the request is answered."""
        if self._fails_to_take_retry(job):
            self._answer_locally(job, "repeats used up")
            return None
        return await self._detour.attempt(job)

    async def _try_upstream(self, job: Job) -> Outcome | None:
        """Return the outcome at an upstream, or ``None`` once the request is answered."""
        if job.is_detour and self._reach.is_cut_off(job.service):
            self._answer_locally(job, "this VM does not reach the service either")
            return None
        block = await self._quarantine.admit(job)
        if block is not None:
            self._answer_blocked(job, block)
            return None
        if job.takes_up and job.stream_version is None:
            refusal = await self._streams.find_version(job)
            if refusal is not None:
                self._refuse(job, refusal)
                return None
        picked = await self._picker.pick(job)
        if job.done or job.connection.disconnected:
            self._limits.return_permit(picked.permit)
            return None
        if picked.refusal is not None:
            log_limits(job, "", picked)
            self._refuse(job, picked.refusal)
            return None
        assert picked.upstream is not None
        unrecordable = self._streams.check_begin(job, picked.upstream)
        if unrecordable is not None:
            self._limits.return_permit(picked.permit)
            self._refuse(job, unrecordable)
            return None
        if self._fails_to_take_retry(job):
            self._limits.return_permit(picked.permit)
            self._answer_locally(job, "repeats used up")
            return None
        return await self._attempt(job, picked)

    def _fails_to_take_retry(self, job: Job) -> bool:
        """Take a retry if the request was sent before; return whether none was left."""
        if not count_sends(job):
            return False
        return not self._allowance.spend(job.service, self._now())

    def _may_try_another(self, job: Job, outcome: Outcome) -> bool:
        # The attempts sent and those that may have run are limited here, retries by the allowance.
        sent = count_sends(job)
        ran = sum(1 for earlier in job.outcomes if may_have_run(earlier))
        if sent >= MAX_SENDS or ran >= (1 if job.is_detour else job.route.attempts):
            return False  # the VM that passed a request on counts the attempts
        if job.sink.forwarding_started and not job.may_go_on:
            return False
        return outcome is Outcome.NOT_REACHED or job.left_ms(self._now()) > 50.0

    async def _attempt(self, job: Job, picked: PickResult) -> Outcome:
        assert picked.upstream is not None
        upstream = picked.upstream
        run = Run(upstream=upstream.name, born=upstream.entry.born)
        job.failed_upstreams.discard(run)  # unless this attempt fails there again
        try:
            connection = await self._acquire(job, upstream)
        except UpstreamNotReachedError:
            self._limits.return_permit(picked.permit)
            self._reach.record_failure(job.service)
            job.unreached += 1
            self._record_failure(upstream, unreached=True)
            job.excluded_upstreams.add(upstream.name)
            return Outcome.NOT_REACHED
        if (
            job.done
            or job.connection.disconnected
            or not self._directory.may_use(upstream)
            or job.stream_version not in (None, upstream.software_version)
        ):
            self._pool.release(upstream.address, connection)
            self._limits.return_permit(picked.permit)
            job.excluded_upstreams.add(upstream.name)
            return Outcome.CALLER_GONE if job.connection.disconnected else Outcome.NOT_REACHED
        if not self._may_write(job, picked, upstream):
            self._pool.release(upstream.address, connection)
            self._limits.return_permit(picked.permit)
            return Outcome.NOT_REACHED
        exchanging = self._exchange(job, picked, upstream, connection)
        if self._second_sends.are_possible(job):
            return await self._second_sends.run(job, upstream, exchanging, self._attempt)
        return await exchanging

    async def _acquire(self, job: Job, upstream: Upstream) -> UpstreamConnection:
        """Return a connection on which no earlier request had the same ID."""
        connection = await self._pool.acquire(upstream.address)
        if connection.has_carried(job.request_id):
            self._pool.release(upstream.address, connection)
            connection = await self._pool.open(upstream.address)
        return connection

    def _may_write(self, job: Job, picked: PickResult, upstream: Upstream) -> bool:
        """Ask right before the bytes leave; much may have changed while the connection opened."""
        return (
            (not job.is_second or self._second_sends.may_write(job, upstream))
            and self._limits.room.has_room(upstream)
            and self._quarantine.may_send(job, upstream)
            and self._notices.may_send(upstream, job.request.arrived_at)
            and self._limits.may_send(upstream.name, picked.permit)
        )

    async def _exchange(
        self, job: Job, picked: PickResult, upstream: Upstream, connection: UpstreamConnection
    ) -> Outcome:
        now = self._now()
        prepare_exchange(job, now)
        attempt = Attempt(
            tokens=picked.uncached_tokens,
            priority=job.route.priority,
            sent_at=now,
            long_running=job.long_running,
        )
        run = Run(upstream=upstream.name, born=upstream.entry.born)
        notice = self._notices.describe(run)
        job.sink.on_head = lambda: self._record_head(job, upstream, run, now)
        job.sink.on_first_byte = lambda: self._record_first_byte(job, picked, upstream, attempt)
        self._notices.begin(run)
        self._streams.begin(job, upstream, abandon=lambda: self._abandon_unrecorded(job))
        upstream.begin(attempt)
        self._quarantine.begin(job, upstream)
        self._reach.record_send(job.service)
        if job.generation is not None:
            upstream.cache.add(job.item, job.generation.prompt_parts)
        connection.record_carried(job.request_id)
        end = await exchange(self._reactor, job, connection, self._headers(job, upstream, now))
        upstream.end(attempt)
        self._pool.release(upstream.address, connection)
        outcome = self._classify_outcome(job, upstream, end)
        attempt_end = _describe_end(outcome, end, job.sink.status)
        wants_pause = self._notices.wants_pause(run, since=now)
        if wants_pause and end is ExchangeEnd.COMPLETE:
            attempt_end = AttemptEnd.OTHER
        self._quarantine.end(job, upstream, born=run.born, end=attempt_end)
        self._record_outcome(job, upstream, run, outcome, now, picked, wants_pause=wants_pause)
        log_attempt(job, upstream, outcome, picked, now, self._now(), born=run.born, notice=notice)
        return outcome

    def _headers(self, job: Job, upstream: Upstream, now: float) -> names.Headers:
        return build_request_headers(
            job.headers,
            upstream_name=upstream.name,
            left_ms=job.left_ms(now) - UPSTREAM_DEADLINE_MARGIN_MS,
            engine_priority=job.route.priority if job.generation is not None else None,
            resume_after=job.sink.events.last_id if job.sink.forwarding_started else None,
            body_bytes=count_body_bytes(job),
        )

    def _record_head(self, job: Job, upstream: Upstream, run: Run, sent_at: float) -> None:
        self._reach.record_heard(job.service)
        self._limits.record_answer(upstream, job.sink.headers)
        record_work_percent(upstream, job.sink.headers, self._now())
        self._notices.record_answer(
            run, status=job.sink.status, headers=job.sink.headers, sent_at=sent_at
        )

    def _classify_outcome(self, job: Job, upstream: Upstream, end: ExchangeEnd) -> Outcome:
        sink = job.sink
        if end is ExchangeEnd.CANCELLED and job.superseded:
            return Outcome.SUPERSEDED
        if end is ExchangeEnd.CANCELLED:
            return Outcome.CALLER_GONE if job.connection.disconnected else Outcome.TIMED_OUT
        if end is ExchangeEnd.UNWRITABLE:
            job.excluded_upstreams.add(upstream.name)
            return Outcome.NOT_REACHED
        # After an answer at the deadline, the gate may be that of the caller's next request.
        may_be_unread = end is ExchangeEnd.BROKEN and not job.done
        if may_be_unread and job.connection.gate.was_unread():
            return Outcome.CUT_UNREAD
        if end is not ExchangeEnd.COMPLETE:
            self._reach.record_failure(job.service)
            return Outcome.UNKNOWN
        if not sink.identified:
            # It may be a late second answer to an earlier request on the connection.
            return Outcome.UNKNOWN
        self._record_load(upstream, sink.headers)
        if sink.status == 421:
            self._record_absence(job, upstream, sink.headers)
            return Outcome.ABSENT
        if names.find_header(sink.headers, names.NOT_RUN) is not None:
            self._limits.room.record_turned_away(upstream)
            return Outcome.NOT_RUN
        if sink.succeeded:
            if job.route.streams and sink.unfinished:
                unread = job.connection.gate.was_unread()
                return Outcome.CUT_UNREAD if unread else Outcome.UNKNOWN
            return Outcome.ANSWERED
        # Without x-not-executed a refusal is not proven. Callers would take its status as not run.
        if sink.status in names.REFUSAL_STATUSES or 300 <= sink.status < 400:
            return Outcome.UNKNOWN
        return Outcome.FAILED

    def _record_absence(self, job: Job, upstream: Upstream, headers: names.Headers) -> None:
        instance = names.find_header(headers, names.INSTANCE_ID)
        if instance is not None and instance != upstream.name.encode():
            self._directory.mark_replaced(upstream)
            return
        if job.generation is not None:
            upstream.missing_at_version[job.item] = upstream.held.version

    def _record_load(self, upstream: Upstream, headers: names.Headers) -> None:
        load = read_load(upstream, headers)
        if load is not None:
            upstream.record_load(load.running, load.waiting, self._now())

    def _record_outcome(
        self,
        job: Job,
        upstream: Upstream,
        run: Run,
        outcome: Outcome,
        sent_at: float,
        picked: PickResult,
        *,
        wants_pause: bool,
    ) -> None:
        now = self._now()
        if outcome is Outcome.ANSWERED:
            upstream.failure_history = record_success(upstream.failure_history)
        elif outcome in (Outcome.UNKNOWN, Outcome.FAILED) and not wants_pause:
            self._record_failure(upstream, unreached=False, error_answer=outcome is Outcome.FAILED)
        if outcome in (Outcome.ABSENT, Outcome.NOT_RUN, Outcome.UNKNOWN, Outcome.FAILED):
            job.excluded_upstreams.add(upstream.name)
        if outcome in (Outcome.UNKNOWN, Outcome.FAILED):
            job.failed_upstreams.add(run)
        if not job.attempt_first_byte_at and picked.work is not None and may_have_run(outcome):
            upstream.learn_rate_without_token(picked.work, (now - sent_at) * 1000.0, now)

    def _record_failure(
        self, upstream: Upstream, *, unreached: bool, error_answer: bool = False
    ) -> None:
        now = self._now()
        was_resting = upstream.failure_history.resting(now)
        upstream.failure_history = record_failure(
            upstream.failure_history, now, unreached=unreached, error_answer=error_answer
        )
        if unreached:
            self._pool.close_idle_connections(upstream.address)
        if upstream.failure_history.resting(now) and not was_resting:
            log_event(
                "upstream_suspected",
                upstream=upstream.name,
                share=round(upstream.failure_history.share, 2),
                unreached=unreached,
            )

    def _record_first_byte(
        self, job: Job, picked: PickResult, upstream: Upstream, attempt: Attempt
    ) -> None:
        upstream.record_first_token(attempt)
        self._second_sends.record_first_byte(job)
        self._quarantine.record_first_byte(job, upstream)
        job.attempt_first_byte_at = self._now()
        if job.first_byte_at is None:
            job.first_byte_at = job.attempt_first_byte_at
        if job.generation is not None and picked.work is not None and job.sink.succeeded:
            now = self._now()
            took_ms = (now - attempt.sent_at) * 1000.0
            upstream.learn_rate_from_first_token(picked.work, took_ms, now)

    def _forward_answer(self, job: Job) -> None:
        if job.done or job.connection.disconnected:
            return
        job.done = True
        sink = job.sink
        log_answer(job, self._now())
        if sink.forwarding_started or (sink.succeeded and job.route.streams):
            sink.finish_stream()
            return
        headers = names.select_forwarded_headers(sink.headers)
        length = names.find_header(sink.headers, names.CONTENT_LENGTH)
        if job.request.method == b"HEAD" and length is not None:
            headers = [*headers, (b"Content-Length", length)]
        job.connection.answer(sink.status, headers, sink.body)

    def _refuse(self, job: Job, refusal: Refusal) -> None:
        job.retry_after_s = refusal.retry_after_s
        self._answer_locally(job, refusal.reason)

    def _answer_blocked(self, job: Job, block: Block) -> None:
        """Answer a request whose prompt is not sent to engines."""
        if block.retry_after_s is not None:
            job.retry_after_s = block.retry_after_s
        self._answer_locally(job, block.reason, final=block.retry_after_s is None)

    def record_crash(self, upstream: Upstream) -> None:
        """Let an engine that crashed rest until it is reached again."""
        self._record_failure(upstream, unreached=True)

    def _answer_locally(self, job: Job, reason: str, *, final: bool = False) -> None:
        """Send a local answer, which says "not run" only if that is certain.

        ``final`` asks the caller not to send the request again.
        """
        if job.done:
            return
        job.done = True
        if job.connection.disconnected:
            return
        ran = any(may_have_run(outcome) for outcome in job.outcomes) or job.running
        log_failure(job, reason, ran=ran, now=self._now())
        if job.sink.forwarding_started:
            job.connection.abort()
            return
        job.sink.drop_held()
        if not ran and final:
            answer = local_answers.build_rejection(job.request_id, reason)
        elif not ran:
            answer = local_answers.build_refusal(job.request_id, reason, job.retry_after_s)
        else:
            timed_out = Outcome.TIMED_OUT in job.outcomes or job.running
            answer = local_answers.build_failure(504 if timed_out else 502, job.request_id, reason)
        if job.is_detour:
            answer = local_answers.mark_for_peer(answer, ran=ran)
        job.connection.answer(*answer)

    def answer_at_stop(self, job: Job) -> None:
        """Send a local answer because this VM ends; a stream that has begun is broken off."""
        job.retry_after_s = RETRY_AFTER_S
        self._end(job, "this VM is stopping")

    def _answer_at_deadline(self, job: Job) -> None:
        """Send a local answer when the timeout of the route or the caller has passed."""
        self._end(job, "time is up")

    def _abandon_unrecorded(self, job: Job) -> None:
        """End a stream whose version the store does not record; nothing of it was forwarded."""
        if job.connection.disconnected:
            return
        job.done = False  # its last event may have arrived, and waits with the first one
        self._end(job, "the software version that began the stream was not recorded")

    def _end(self, job: Job, reason: str) -> None:
        if job.done:
            return
        on_timeout, job.on_timeout = job.on_timeout, None
        self._answer_locally(job, reason)
        if on_timeout is not None:
            on_timeout()
        self._picker.wake()

    def _call_later(self, seconds: float, run: Any) -> Any:
        reactor: Any = self._reactor
        return reactor.callLater(max(0.0, seconds), run)

    def _now(self) -> float:
        return self._reactor.seconds()
