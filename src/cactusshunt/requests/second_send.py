"""Runs the two exchanges of a request that is sent a second time while the first one is late.

Each exchange has its own job and receiver until one is chosen; the other one is cancelled at once.
The relay runs and classifies both (see docs/design/second-sends.md).
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any
from typing import cast

from twisted.internet.defer import Deferred

from cactusshunt.node_log import log_event
from cactusshunt.requests.answer_sink import AnswerSink
from cactusshunt.requests.hedging import Kind
from cactusshunt.requests.hedging import Send
from cactusshunt.requests.hedging import UsualTimes
from cactusshunt.requests.hedging import Verdict
from cactusshunt.requests.hedging import compute_size_class
from cactusshunt.requests.outcome import MAX_SENDS
from cactusshunt.requests.outcome import Outcome
from cactusshunt.requests.outcome import may_have_run
from cactusshunt.requests.outcome import was_sent
from cactusshunt.requests.request_log import count_sends

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

    from twisted.python.failure import Failure

    from cactusshunt.http1.caller_connection import CallerConnection
    from cactusshunt.http1.source_gate import Source
    from cactusshunt.http1.source_gate import SourceGate
    from cactusshunt.limits.request_limits import RequestLimits
    from cactusshunt.quarantine.quarantine import Quarantine
    from cactusshunt.requests.hedging import Hedging
    from cactusshunt.requests.job import Job
    from cactusshunt.requests.pick_result import PickResult
    from cactusshunt.requests.retry_allowance import RetryAllowance
    from cactusshunt.requests.upstream_picker import UpstreamPicker
    from cactusshunt.routing.upstream import Upstream

    Exchange = Coroutine[Any, Any, Outcome]
    Attempt = Callable[[Job, PickResult], Exchange]

WON, LOST, FAILED = "won", "lost", "failed"  # outcomes of second sends in the log and the metric
# Outcomes whose time is recorded; that of a cancelled send is a lower bound (see ``Hedging.end``).
_TIMED_OUTCOMES = frozenset({Outcome.ANSWERED, Outcome.SUPERSEDED, Outcome.TIMED_OUT})
# Outcomes of the first send after which the answer of the second one is not needed any more.
_FINAL_OUTCOMES = frozenset({Outcome.ANSWERED, Outcome.TIMED_OUT, Outcome.CALLER_GONE})


class _SecondGate:
    """Keeps the source of a second send until its answer is chosen."""

    def __init__(self, gate: SourceGate) -> None:
        self._gate = gate
        self._source: Source | None = None
        self._chosen = False

    def attach(self, source: Source) -> None:
        """Record the source."""
        self._source = source

    def choose(self) -> None:
        """Let the caller's connection control the reading from now on."""
        if self._source is not None:
            self._chosen = True
            self._gate.attach(self._source)

    def detach(self, source: Source) -> None:
        """Leave the source."""
        self._source = None
        if self._chosen:
            self._gate.detach(source)

    def was_unread(self) -> bool:
        """Return whether the source may have ended as the caller did not read its answer."""
        return self._chosen and self._gate.was_unread()


class _SecondConnection:
    """Stands in for the caller's connection, whose gate and callbacks the first send uses."""

    def __init__(self, connection: CallerConnection) -> None:
        self._connection = connection
        self.gate = _SecondGate(connection.gate)
        self.on_disconnect: Callable[[], None] | None = None

    @property
    def disconnected(self) -> bool:
        """Return whether the caller has left."""
        return self._connection.disconnected


def _make_second(job: Job, avoided: frozenset[str], clock: Callable[[], float]) -> Job:
    return replace(
        job,
        connection=cast("CallerConnection", _SecondConnection(job.connection)),
        sink=AnswerSink(
            connection=job.connection,
            request_id=job.request_id,
            streams=job.route.streams,
            clock=clock,
            budget=job.connection.budget,
        ),
        outcomes=[*job.outcomes, Outcome.SUPERSEDED],  # counts the first send, still in progress
        excluded_upstreams=job.excluded_upstreams | avoided,
        failed_upstreams=set(),
        running=False,
        on_timeout=None,
        last_sent_at=None,
        first_byte_at=None,
        attempt_first_byte_at=0.0,
        # Both sends of a stream go to one version, so that the first send's record counts for both.
        stream_version=job.attempt_version if job.route.can_resume else job.stream_version,
        send=None,
        is_second=True,
    )


def _find_kind(job: Job) -> Kind:
    found = job.generation
    streams = job.route.streams
    tokens = 0
    if found is not None:
        tokens = found.prompt_tokens + (0 if streams else found.output_tokens)
    return Kind(service=job.service, size_class=compute_size_class(tokens), streams=streams)


def _has_responded(job: Job) -> bool:
    """Return whether the answer has begun.

    A stream has begun with its first event only, as its head may be sent before the work begins.
    """
    return bool(job.attempt_first_byte_at if job.route.streams else job.sink.status)


class SecondSends:
    """Decides on second sends with the state of this VM, and runs them."""

    def __init__(
        self,
        *,
        reactor: Any,
        hedging: Hedging,
        picker: UpstreamPicker,
        allowance: RetryAllowance,
        limits: RequestLimits,
        quarantine: Quarantine,
    ) -> None:
        self.reactor = reactor
        self.hedging = hedging
        self.quarantine = quarantine
        self._picker = picker
        self._allowance = allowance
        self._limits = limits

    def are_possible(self, job: Job) -> bool:
        """Return whether the attempt that is about to begin may be followed by a second send."""
        if not self.hedging.enabled or job.is_second or job.is_detour:
            return False
        ran = sum(1 for outcome in job.outcomes if may_have_run(outcome))
        return (
            job.repeatable
            and job.cancellable
            and not job.sink.forwarding_started
            and not job.passed_on
            and ran + 2 <= job.route.attempts  # this attempt and a second send, as below
            and count_sends(job) + 2 <= MAX_SENDS
        )

    async def run(
        self, job: Job, upstream: Upstream, exchange: Exchange, attempt: Attempt
    ) -> Outcome:
        """Run an exchange, and a second one if it is late; return the outcome for the caller.

        ``attempt`` runs a second send. The outcomes of all other sends are added to the job's.
        """
        now = self.reactor.seconds()
        kind = _find_kind(job)
        usual = self.hedging.find_usual_times(kind, now)
        send = Send(kind=kind, upstream=upstream.name, sent_at=now)
        self.begin(job, send)
        if usual is None:
            outcome = None
            try:
                outcome = await exchange
            finally:
                self.record_end(job, outcome)
            return outcome
        return await _Race(sends=self, job=job, send=send, usual=usual, attempt=attempt).run(
            exchange
        )

    def begin(self, job: Job, send: Send) -> None:
        """Record that a request is sent."""
        job.send = send
        self.hedging.begin(send)

    def record_first_byte(self, job: Job) -> None:
        """Record how long it took until an answer began."""
        if job.send is not None:
            self._end(job, answered=job.sink.succeeded, is_timed=job.sink.succeeded)

    def record_end(self, job: Job, outcome: Outcome | None) -> None:
        """Record how long a send took without an answer's body, if its outcome says so."""
        if job.send is not None:
            answered = outcome is Outcome.ANSWERED
            self._end(job, answered=answered, is_timed=outcome in _TIMED_OUTCOMES)

    def _end(self, job: Job, *, answered: bool, is_timed: bool) -> None:
        send, job.send = job.send, None
        assert send is not None
        now = self.reactor.seconds()
        took_s = now - send.sent_at if is_timed else None
        self.hedging.end(send, now, took_s=took_s, answered=answered)

    def choose(self, job: Job, send: Send) -> tuple[Job, PickResult, float] | None:
        """Return the job of a second send, its upstream, and when it took a retry of the budget.

        ``None`` means that there is no second send. The time is reactor time in s.
        """
        now = self.reactor.seconds()
        left_s = job.remaining_first_byte_ms(now) / 1000.0
        if self.hedging.decide(send, now, left_s=left_s) is not Verdict.ALLOWED:
            return None
        if not self.quarantine.may_hedge(job):
            return None
        avoided = self.hedging.list_late(job.service, now) | {send.upstream}
        second = _make_second(job, avoided, self.reactor.seconds)
        picked = self._picker.pick_second(second)
        if picked is None:
            return None
        if not self._allowance.spend(job.service, now):
            self._limits.return_permit(picked.permit)
            return None
        self.hedging.spend()
        return second, picked, now

    def give_back_retry(self, job: Job, spent_at: float) -> None:
        """Give back the retry of a second send that is never written, so that a repeat may use it.

        What it took of the operator's share is not returned: with what is saved up meanwhile, more
        than ``MAX_SAVED_SENDS`` could be sent at once.
        """
        self._allowance.give_back(job.service, spent_at)

    def may_write(self, job: Job, upstream: Upstream) -> bool:
        """Return whether a second send that was decided on may still be written to an upstream.

        An upstream that leaves, or that asked any VM for a pause, may get requests that no other
        upstream can take. A second send is not needed, so that it goes to none of these.
        """
        return (
            self.hedging.enabled
            and upstream.ready
            and upstream.paused_until <= self.reactor.seconds()
            and self.quarantine.may_hedge(job)
        )


@dataclass(kw_only=True)
class _Second:
    """A second send: its job and record, and whether it has ended.

    ``chosen`` means that the caller gets its stream, which goes on. ``retry_at`` is when it took
    its retry (reactor time, s), ``None`` once that is given back.
    """

    job: Job
    send: Send
    excluded_before: frozenset[str]
    retry_at: float | None
    ended: bool = False
    chosen: bool = False


class _Race:
    """One request and its two sends, of which the first has begun."""

    def __init__(
        self, *, sends: SecondSends, job: Job, send: Send, usual: UsualTimes, attempt: Attempt
    ) -> None:
        self._sends = sends
        self._job = job
        self._send = send
        self._usual = usual
        self._attempt = attempt
        self._first_outcome: Outcome | None = None
        self._second: _Second | None = None
        self._others: list[Outcome] = []  # of sends whose outcome is not the caller's
        self._cancel_first: Callable[[], None] | None = None
        self._on_begin: Callable[[], None] = lambda: None
        self._result: Deferred[Outcome] = Deferred()

    async def run(self, exchange: Exchange) -> Outcome:
        """Run the first exchange, and begin the second one once the first is late."""
        timer = self._sends.reactor.callLater(self._usual.late_after_s, self._begin_second)
        Deferred.fromCoroutine(exchange).addCallbacks(self._end_first, self._fail_first)
        try:
            return await self._result
        finally:
            if timer.active():
                timer.cancel()

    def _begin_second(self) -> None:
        job = self._job
        if job.done or job.connection.disconnected or _has_responded(job):
            return
        if job.sink.holds_events:
            return  # the version that begins the stream is not recorded yet
        chosen = self._sends.choose(job, self._send)
        if chosen is None:
            return
        second, picked, now = chosen
        assert picked.upstream is not None
        send = Send(
            kind=self._send.kind,
            upstream=picked.upstream.name,
            sent_at=self._sends.reactor.seconds(),
        )
        self._sends.begin(second, send)
        before = frozenset(second.excluded_upstreams)
        self._second = _Second(job=second, send=send, excluded_before=before, retry_at=now)
        self._cancel_first = job.on_timeout
        job.on_timeout = job.connection.on_disconnect = self._cancel_both
        self._on_begin = job.sink.on_begin
        job.sink.on_begin = self._begin_first_stream
        second.sink.on_begin = self._begin_second_stream
        running = Deferred.fromCoroutine(self._attempt(second, picked))
        running.addCallbacks(self._end_second, self._fail_second)

    def _begin_first_stream(self) -> None:
        """Cancel the second send, as the first event of the first one is about to be forwarded."""
        if self._second is not None and not self._second.ended:
            self._withdraw(self._second, superseded=True)
        self._on_begin()

    def _begin_second_stream(self) -> None:
        """Cancel the first send, as the first event of the second one is about to be forwarded."""
        second = self._second
        assert second is not None
        if not second.ended:
            if self._first_outcome is None:
                self._cancel_as_superseded()
                self._others.append(Outcome.SUPERSEDED)
            else:
                self._others.append(self._first_outcome)
            second.chosen = True
            self._take_over(second)
            job, connection = self._job, cast("_SecondConnection", second.job.connection)
            connection.gate.choose()
            job.running = True
            job.on_timeout = job.connection.on_disconnect = second.job.on_timeout
        self._on_begin()

    def _end_first(self, outcome: Outcome) -> None:
        self._sends.record_end(self._job, outcome)
        if outcome is Outcome.SUPERSEDED:
            return  # the end of the second send goes on
        self._first_outcome = outcome
        second = self._second
        if second is None or second.ended:
            self._settle(outcome)
        elif outcome in _FINAL_OUTCOMES or not second.job.running:
            # After a failure, which may be a crash, one that is not written yet is given up: the
            # quarantine has to find out first whether the request crashed the upstream.
            self._withdraw(second, superseded=outcome is Outcome.ANSWERED)
            self._settle(outcome)
        elif not self._job.done:
            self._job.running = True
            self._job.on_timeout = self._job.connection.on_disconnect = self._cancel_both

    def _end_second(self, outcome: Outcome) -> None:
        second = self._second
        assert second is not None
        second.ended = True
        job = self._job
        self._sends.record_end(second.job, outcome)
        self._give_back_unwritten(second)
        self._sends.quarantine.join(job, second.job)
        if not second.job.done:  # one that was given up unwritten says nothing of its upstream
            job.excluded_upstreams |= second.job.excluded_upstreams - second.excluded_before
        if second.job.last_sent_at is not None:
            self._log(second, outcome)
        if second.chosen:
            self._settle(outcome)
        elif second.job.done:  # it was withdrawn
            self._discard(second, outcome)
        elif self._first_outcome is None and outcome is Outcome.ANSWERED:
            self._cancel_as_superseded()
            self._others.append(Outcome.SUPERSEDED)
            self._choose_second(second, outcome)
        elif self._first_outcome is None:
            self._discard(second, outcome)
            job.on_timeout = job.connection.on_disconnect = self._cancel_first
        elif self._first_outcome is Outcome.FAILED and outcome is not Outcome.ANSWERED:
            self._discard(second, outcome)  # the first one's answer is complete
            self._settle(self._first_outcome)
        else:
            self._others.append(self._first_outcome)
            self._choose_second(second, outcome)

    def _cancel_as_superseded(self) -> None:
        """Cancel the first exchange, whose end is recorded before this returns."""
        assert self._cancel_first is not None
        self._job.superseded = True
        self._cancel_first()
        self._job.superseded = False

    def _choose_second(self, second: _Second, outcome: Outcome) -> None:
        self._take_over(second)
        self._settle(outcome)

    def _take_over(self, second: _Second) -> None:
        """Make the receiver and the times of the second send those of the request."""
        job, chosen = self._job, second.job
        job.sink.release_memory()
        job.sink = chosen.sink
        job.last_sent_at = chosen.last_sent_at
        job.attempt_first_byte_at = chosen.attempt_first_byte_at
        job.first_byte_at = job.first_byte_at or chosen.first_byte_at
        job.attempt_version = chosen.attempt_version

    def _discard(self, second: _Second, outcome: Outcome) -> None:
        second.job.sink.release_memory()
        if was_sent(outcome):
            self._others.append(outcome)

    def _withdraw(self, second: _Second, *, superseded: bool) -> None:
        """Cancel a second send, also one whose connection is not open yet."""
        second.job.done = True
        second.job.superseded = superseded
        cancel, second.job.on_timeout = second.job.on_timeout, None
        if cancel is not None:
            cancel()
        self._give_back_unwritten(second)

    def _give_back_unwritten(self, second: _Second) -> None:
        """Return the retry of a send that ended, or was given up, before it was written."""
        retry_at = second.retry_at
        if retry_at is not None and second.job.last_sent_at is None:
            second.retry_at = None
            self._sends.give_back_retry(self._job, retry_at)

    def _cancel_both(self) -> None:
        """Cancel what is open, as the caller left or time is up."""
        if self._second is not None and not self._second.ended:
            self._withdraw(self._second, superseded=False)
        if self._first_outcome is None and self._cancel_first is not None:
            self._cancel_first()
        elif self._first_outcome is not None:
            gone = self._job.connection.disconnected
            self._others = [self._first_outcome]
            self._settle(Outcome.CALLER_GONE if gone else Outcome.TIMED_OUT)

    def _settle(self, outcome: Outcome) -> None:
        if self._result.called:
            return
        job = self._job
        job.running = False
        job.on_timeout = None
        if not job.done:
            job.connection.on_disconnect = None
        job.outcomes.extend(self._others)
        self._result.callback(outcome)

    def _fail_first(self, failure: Failure) -> None:
        if self._second is not None and not self._second.ended:
            self._withdraw(self._second, superseded=False)
        self._sends.record_end(self._job, None)
        self._result.errback(failure)

    def _fail_second(self, failure: Failure) -> None:
        log_event("task_failed", reason=failure.getTraceback()[-1500:])
        self._end_second(Outcome.UNKNOWN)

    def _log(self, second: _Second, outcome: Outcome) -> None:
        won = second.chosen or outcome is Outcome.ANSWERED
        lost = outcome is Outcome.SUPERSEDED
        log_event(
            "second_send",
            request=self._job.request_id.decode("latin-1"),
            route=self._job.route.name,
            first=self._send.upstream,
            second=second.send.upstream,
            after_ms=int((second.send.sent_at - self._send.sent_at) * 1000),
            usual_ms=int(self._usual.median_s * 1000),
            samples=self._usual.samples,
            outcome=WON if won else LOST if lost else FAILED,
            answered_by=(second.send.upstream if won else self._send.upstream if lost else None),
        )
