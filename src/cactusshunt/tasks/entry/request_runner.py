"""Runs one request: waits for an upstream, makes the attempts, forwards the answer.

Models and plain services share this code; the ``RequestPlan`` holds what differs.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result
from logbook import Logger

from cactusshunt.decisions.admission import Ticket
from cactusshunt.decisions.attempt import AttemptEvent
from cactusshunt.decisions.attempt import AttemptState
from cactusshunt.decisions.attempt import Outcome
from cactusshunt.decisions.attempt import advance_attempt
from cactusshunt.decisions.attempt import combine_outcomes
from cactusshunt.decisions.attempt import may_retry
from cactusshunt.decisions.dispatch import DispatchRequest
from cactusshunt.decisions.retry_budget import SilenceAllowance
from cactusshunt.exceptions import AnswerMismatchError
from cactusshunt.exceptions import UpstreamBrokenError
from cactusshunt.exceptions import UpstreamError
from cactusshunt.exceptions import UpstreamNotReachedError
from cactusshunt.exceptions import UpstreamRefusedError
from cactusshunt.exceptions import UpstreamSilentError
from cactusshunt.tasks.entry import problems
from cactusshunt.tasks.entry.answer_body import BodyCollector
from cactusshunt.tasks.entry.answer_body import BodyEnd
from cactusshunt.tasks.entry.answer_body import EventStream
from cactusshunt.tasks.entry.request_plan import FinishedAnswer
from cactusshunt.tasks.entry.upstream_client import UpstreamCall
from cactusshunt.tasks.entry.upstream_client import abort_response

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection

    from twisted.internet.base import ReactorBase
    from twisted.web.client import Response

    from cactusshunt.schema.generated.messages import UpstreamState
    from cactusshunt.tasks.entry.caller_request import CallerRequest
    from cactusshunt.tasks.entry.demand_counter import DemandCounter
    from cactusshunt.tasks.entry.dispatcher import Dispatcher
    from cactusshunt.tasks.entry.request_plan import RequestPlan
    from cactusshunt.tasks.entry.upstream_client import UpstreamClient
    from cactusshunt.tasks.problem import Problem

log = Logger("request")

STREAM_SILENCE_TIMEOUT_S = 10.0  # maximum time between two receipts of bytes of a stream
ANSWER_LIMIT_BYTES = 64 * 1024 * 1024
MAX_ATTEMPTS = 4
EVENT_STREAM_TYPE = "text/event-stream"

_ATTEMPT_EVENTS: dict[type[UpstreamError], AttemptEvent] = {
    UpstreamNotReachedError: AttemptEvent.CONNECT_FAILED,
    UpstreamRefusedError: AttemptEvent.REFUSAL,
    UpstreamBrokenError: AttemptEvent.CONNECTION_LOST,
    UpstreamSilentError: AttemptEvent.SILENCE,
    AnswerMismatchError: AttemptEvent.MISMATCH,
}


@dataclass(kw_only=True)
class _Progress:
    """State that the attempts of one request share.

    ``states`` holds how each attempt ended, ``item`` the version that serves the answer,
    ``resume_after`` the id of the last forwarded event, ``kept`` the events to store for a key.
    ``skips_budget`` tells that a retry after the last attempt does not count against the budget.
    """

    states: list[AttemptState] = field(default_factory=list)
    tried_upstreams: set[str] = field(default_factory=set)
    item: str = ""
    resume_after: str | None = None
    error: UpstreamError | None = None
    kept: list[bytes] = field(default_factory=list)
    skips_budget: bool = False


class RequestRunner:
    """Runs requests and makes their attempts at upstreams."""

    def __init__(
        self,
        *,
        reactor: ReactorBase,
        dispatcher: Dispatcher,
        client: UpstreamClient,
        demand: DemandCounter,
        report_leaving: Callable[[str], None],
    ) -> None:
        self._reactor = reactor
        self._dispatcher = dispatcher
        self._client = client
        self._demand = demand
        self._report_leaving = report_leaving
        self._silence = SilenceAllowance()
        self.attempts = 0
        self.requests = 0
        self.resumed = 0

    async def run(
        self, caller_request: CallerRequest, plan: RequestPlan
    ) -> Result[FinishedAnswer, Problem]:
        """Return the answer, already sent to the caller, or the problem to answer with.

        A problem is returned only if the answer has not started; a stream that breaks later is
        ended here with an error event.
        """
        self.requests += 1
        self._demand.count_arrival(plan.target)
        self._dispatcher.get_retry_budget(plan.team).earn()
        progress = _Progress()
        while True:
            assigned = await self._acquire(caller_request, plan, progress)
            if assigned.is_error():
                return self._end_without_answer(caller_request, progress, assigned.error)
            name = assigned.ok
            progress.tried_upstreams.add(name)
            answer = await self._attempt(caller_request, plan, progress, name)
            if answer is not None:
                return Ok(answer)
            stop = self._find_reason_to_stop(caller_request, plan, progress)
            if stop is not None:
                return self._end_without_answer(caller_request, progress, stop)

    async def _acquire(
        self, caller_request: CallerRequest, plan: RequestPlan, progress: _Progress
    ) -> Result[str, Problem]:
        # Two requests may carry the same X-Request-Id, so the ticket's id adds the object's.
        ticket = Ticket(
            request_id=f"{caller_request.request_id}.{len(progress.states)}.{id(caller_request)}",
            team=plan.team,
            item=plan.item,
            priority=plan.priority,
            wait_deadline=(
                min(plan.wait_deadline, caller_request.deadline)
                if not progress.states
                else caller_request.deadline
            ),
        )
        candidates = self._select_candidates(caller_request, plan, progress)
        untried = set(candidates()) - progress.tried_upstreams
        excluded = frozenset(progress.tried_upstreams) if untried else frozenset()
        assigned = await self._dispatcher.acquire(
            DispatchRequest(
                ticket=ticket,
                candidates=candidates,
                prefix=plan.prefix,
                excluded=excluded,
            )
        )
        if assigned.is_error():
            self._demand.count_refused(plan.target)
            return Error(problems.no_capacity_in_time(assigned.error.retry_at))
        return Ok(assigned.ok)

    def _select_candidates(
        self, caller_request: CallerRequest, plan: RequestPlan, progress: _Progress
    ) -> Callable[[], Collection[str]]:
        """Return how to list the candidates; for a started stream, those that can resume it."""
        if not caller_request.answer_started:
            return plan.list_candidates
        return lambda: [
            name for name in plan.list_candidates() if self._can_resume(plan, progress, name)
        ]

    def _can_resume(self, plan: RequestPlan, progress: _Progress, name: str) -> bool:
        upstream = self._dispatcher.router.upstreams.get(name)
        if upstream is None or not plan.get_upstream_kind(upstream.kind).resumes:
            return False
        return plan.find_item(name) == progress.item

    async def _attempt(
        self, caller_request: CallerRequest, plan: RequestPlan, progress: _Progress, name: str
    ) -> FinishedAnswer | None:
        """Make one attempt; return ``None`` if it ended without a complete answer."""
        self.attempts += 1
        started_at = self._reactor.seconds()
        try:
            upstream = self._dispatcher.router.upstreams.get(name)
            if upstream is None or (caller_request.closed and plan.repeatable):
                progress.states.append(AttemptState.NOT_SENT)
                progress.error = _unavailable_error(name)
                return None
            return await self._send(caller_request, plan, progress, upstream)
        finally:
            self._dispatcher.release(name)
            if progress.states and progress.states[-1] is AttemptState.DONE:
                self._demand.count_finished(plan.target, self._reactor.seconds() - started_at)

    async def _send(
        self,
        caller_request: CallerRequest,
        plan: RequestPlan,
        progress: _Progress,
        upstream: UpstreamState,
    ) -> FinishedAnswer | None:
        now = self._reactor.seconds()
        progress.skips_budget = False
        if not caller_request.answer_started:
            progress.item = plan.find_item(upstream.vm)
        state = advance_attempt(AttemptState.QUEUED, AttemptEvent.ADMITTED)
        headers = dict(plan.headers)
        if progress.resume_after is not None:
            headers["Last-Event-ID"] = progress.resume_after
        kind = plan.get_upstream_kind(upstream.kind)
        result = await self._client.send_request(
            UpstreamCall(
                address=upstream.address,
                method=caller_request.method,
                path=plan.path,
                attempt_id=f"{caller_request.request_id}.{len(progress.states)}",
                headers=headers,
                body=plan.make_body(upstream.vm),
                first_byte_deadline=min(caller_request.deadline, now + plan.first_byte_timeout_s),
                new_connection=not plan.repeatable or bool(progress.states),
                refuses_before_work=kind.refuses_before_work,
                must_echo_attempt_id=plan.is_model,
            )
        )
        if not result.is_error() or not isinstance(result.error, UpstreamNotReachedError):
            state = advance_attempt(state, AttemptEvent.CONNECTED)
        if result.is_error():
            self._record_failure(upstream.vm, progress, result.error, state)
            if isinstance(result.error, UpstreamSilentError) and result.error.on_kept_connection:
                progress.skips_budget = self._silence.allows(now, self._reactor.seconds())
            return None
        state = advance_attempt(state, AttemptEvent.FIRST_BYTE)
        return await self._read_answer(caller_request, plan, progress, upstream, result.ok, state)

    async def _read_answer(
        self,
        caller_request: CallerRequest,
        plan: RequestPlan,
        progress: _Progress,
        upstream: UpstreamState,
        response: Response,
        state: AttemptState,
    ) -> FinishedAnswer | None:
        # Answers 5xx of models are retried instead of forwarded.
        is_retryable_failure = (
            plan.is_model
            and plan.repeatable
            and response.code >= 500
            and not caller_request.answer_started
        )
        content_type = _read_content_type(response)
        streamed = content_type.startswith(EVENT_STREAM_TYPE) and response.code == 200
        if caller_request.answer_started and not streamed:
            abort_response(response)
            end, answer = BodyEnd.BROKEN, None
        elif streamed:
            end, answer = await self._forward_stream(caller_request, plan, progress, response)
        else:
            end, answer = await self._forward_body(
                caller_request, plan, response, send_answer=not is_retryable_failure
            )
        if answer is not None and is_retryable_failure:
            end = BodyEnd.BROKEN
        if answer is None or end is not BodyEnd.COMPLETE:
            event = AttemptEvent.SILENCE if end is BodyEnd.SILENT else AttemptEvent.CONNECTION_LOST
            if end is BodyEnd.CANCELLED:
                event = AttemptEvent.GIVEN_UP
            progress.states.append(advance_attempt(state, event))
            progress.error = UpstreamBrokenError(reason=end.value, remedy="Check the upstream.")
            if end is not BodyEnd.CANCELLED:
                self._dispatcher.router.ejection.record_failure(
                    upstream.vm, self._reactor.seconds()
                )
            return None
        progress.states.append(advance_attempt(state, AttemptEvent.LAST_BYTE))
        self._dispatcher.router.ejection.record_success(upstream.vm)
        return answer

    async def _forward_stream(
        self,
        caller_request: CallerRequest,
        plan: RequestPlan,
        progress: _Progress,
        response: Response,
    ) -> tuple[BodyEnd, FinishedAnswer | None]:
        """Forward events as they arrive; if they break off, the next attempt resumes the stream."""
        collect = progress.kept.append if not plan.repeatable else None

        def write(events: bytes) -> None:
            caller_request.start_answer(response.code, head)
            caller_request.write(events)
            if collect is not None:
                collect(events)

        head = _read_headers(response)
        reader = EventStream(
            reactor=self._reactor, silence_timeout_s=STREAM_SILENCE_TIMEOUT_S, write=write
        )
        cancels_on_disconnect = plan.repeatable and not caller_request.closed
        if cancels_on_disconnect:
            caller_request.request.registerProducer(reader, True)
        response.deliverBody(reader)
        end = await reader.ended
        if cancels_on_disconnect and not caller_request.closed:
            caller_request.request.unregisterProducer()
        progress.resume_after = reader.last_event_id or progress.resume_after
        if end is not BodyEnd.COMPLETE:
            return end, None
        caller_request.finish()
        return end, FinishedAnswer(
            status=response.code, content_type=EVENT_STREAM_TYPE, body=b"".join(progress.kept)
        )

    async def _forward_body(
        self,
        caller_request: CallerRequest,
        plan: RequestPlan,
        response: Response,
        *,
        send_answer: bool,
    ) -> tuple[BodyEnd, FinishedAnswer | None]:
        reader = BodyCollector(
            reactor=self._reactor,
            silence_timeout_s=max(1.0, caller_request.deadline - self._reactor.seconds()),
            limit=ANSWER_LIMIT_BYTES,
            response=response,
        )
        response.deliverBody(reader)
        if plan.repeatable and not caller_request.closed:
            caller_request.request.notifyFinish().addErrback(
                lambda _: reader.cancel(BodyEnd.CANCELLED)
            )
        end = await reader.ended
        if end is not BodyEnd.COMPLETE:
            return end, None
        if send_answer:
            caller_request.answer(response.code, _read_headers(response), reader.body)
        return end, FinishedAnswer(
            status=response.code, content_type=_read_content_type(response), body=reader.body
        )

    def _record_failure(
        self, name: str, progress: _Progress, error: UpstreamError, state: AttemptState
    ) -> None:
        progress.states.append(advance_attempt(state, _ATTEMPT_EVENTS[type(error)]))
        progress.error = error
        if isinstance(error, UpstreamRefusedError):
            if error.reason == "leaving":
                self._dispatcher.router.mark_leaving(name, self._reactor.seconds())
                self._report_leaving(name)
            return
        # Only a first attempt uses the connection pool. Its silence may come from a broken pooled
        # connection, so it is not counted as a failure of the upstream.
        if isinstance(error, UpstreamSilentError) and len(progress.states) == 1:
            self._client.close_idle_connections()
            return
        self._dispatcher.router.ejection.record_failure(name, self._reactor.seconds())

    def _find_reason_to_stop(
        self, caller_request: CallerRequest, plan: RequestPlan, progress: _Progress
    ) -> Problem | None:
        """Return the problem that ends the request, or ``None`` if another attempt is allowed."""
        now = self._reactor.seconds()
        error = progress.error or _unavailable_error("upstream")
        outcome = combine_outcomes(progress.states)
        failed = problems.upstream_failed(error, outcome, now)
        if caller_request.closed and plan.repeatable:
            return failed
        if not may_retry(progress.states[-1], repeatable=plan.repeatable):
            return failed
        if caller_request.answer_started and progress.resume_after is None:
            return failed
        if (
            caller_request.answer_started
            and not self._select_candidates(caller_request, plan, progress)()
        ):
            return failed
        if len(progress.states) >= MAX_ATTEMPTS or now >= caller_request.deadline:
            return failed
        budget = self._dispatcher.get_retry_budget(plan.team)
        if not progress.skips_budget and not budget.spend():
            return failed
        if caller_request.answer_started:
            self.resumed += 1
        return None

    def _end_without_answer(
        self, caller_request: CallerRequest, progress: _Progress, problem: Problem
    ) -> Result[FinishedAnswer, Problem]:
        now = self._reactor.seconds()
        if caller_request.answer_started:
            caller_request.abort_stream(problems.stream_broken(now))
            return Ok(
                FinishedAnswer(
                    status=200, content_type=EVENT_STREAM_TYPE, body=b"", is_complete=False
                )
            )
        if progress.states and combine_outcomes(progress.states) is not Outcome.NOT_RUN:
            error = progress.error or _unavailable_error("upstream")
            return Error(problems.upstream_failed(error, Outcome.UNKNOWN, now))
        return Error(problem)


def _unavailable_error(name: str) -> UpstreamError:
    return UpstreamNotReachedError(
        reason=f"{name} is not available.", remedy="Another upstream is tried."
    )


def _read_content_type(response: Response) -> str:
    values = response.headers.getRawHeaders("Content-Type") or [""]
    return str(values[0])


def _read_headers(response: Response) -> list[tuple[str, str]]:
    return [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, values in response.headers.getAllRawHeaders()
        for value in values
    ]
