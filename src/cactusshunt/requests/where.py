"""Explains where a request would go now, and why, without sending it.

The choice is made by the picker's own code over the same upstreams, with request limits that are
only read: no permit is taken, nothing is counted, nobody waits, and nothing leaves the process.
"""

from __future__ import annotations

import random
import re

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from cactusshunt.configuration.routes import choose_service
from cactusshunt.exceptions import QuestionError
from cactusshunt.http1.caller_connection import ReceivedRequest
from cactusshunt.platform import headers as names
from cactusshunt.platform.model_headers import read_deadline_ms
from cactusshunt.platform.model_headers import read_generation_request
from cactusshunt.quarantine.crash_evidence import Verdict as CrashVerdict
from cactusshunt.requests.answer_sink import AnswerSink
from cactusshunt.requests.job import Job
from cactusshunt.requests.pick_view import CandidateView  # noqa: TC001

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactusshunt.detour.detour import Detour
    from cactusshunt.quarantine.quarantine import Quarantine
    from cactusshunt.requests.caller_requests import CallerRequests
    from cactusshunt.requests.pick_view import PickView
    from cactusshunt.requests.retry_allowance import RetryAllowance
    from cactusshunt.streams.stream_versions import StreamVersions

SEND, WAIT, REFUSE, PASS_ON = "send", "wait", "refuse", "pass on"  # what would happen
VERSION_FIRST = "the software version that began the stream is looked up before the choice"
REQUEST_ID = b"where"  # of the explained request, which is never sent
_TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")  # of RFC 9110
_TARGET = re.compile(r"/[!-~]*")
_VALUE = re.compile(r"[\t -~\x80-\xff]*")


class Question(msgspec.Struct, frozen=True, kw_only=True):
    """A request: method, path and headers; its body is taken as empty."""

    path: str
    method: str = "GET"
    headers: list[tuple[str, str]] = []


class RouteView(msgspec.Struct, frozen=True, kw_only=True):
    """The route of a request, and for how long it may take (ms)."""

    name: str
    kind: str
    priority: int
    attempts: int
    target_latency_ms: float
    left_ms: int
    services: dict[str, float]  # with their weights


@dataclass(frozen=True, kw_only=True)
class CustomerView:
    """The customer of a request and its quota, for ``Where.describe_customer``; never the key.

    ``refusal`` is why the customer's request would be refused now, ``wait`` what it would wait for
    before an upstream is chosen.
    """

    customer: str | None = None
    quota: dict[str, Any] | None = None
    refusal: str | None = None
    retry_after_s: float | None = None
    wait: str | None = None


class Explanation(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """What would happen to a request now, and why.

    ``retries_left`` is what the VM may send again of the service's requests in its window.
    """

    vm: str
    configuration_version: int
    outcome: str
    reason: str = ""
    retry_after_s: float | None = None
    upstream: str | None = None
    expected_ms: int | None = None
    route: RouteView | None = None
    service: str | None = None
    item: str | None = None
    customer: str | None = None
    quota: dict[str, Any] | None = None
    retries_left: float | None = None
    candidates: list[CandidateView] = []


class _Absent:
    """A caller's connection to which nothing is written."""

    disconnected = False


def check_question(question: Question) -> None:
    """Raise ``QuestionError`` for what could not be a caller's request."""
    checks = [
        (_TOKEN.fullmatch(question.method), "The method is not a token.", "Name one, such as GET."),
        (
            _TARGET.fullmatch(question.path),
            "The path does not begin with / or has characters that a path cannot have.",
            "Give the path as a caller sends it, such as /v1/items?id=1.",
        ),
        *(
            (
                _TOKEN.fullmatch(name) and _VALUE.fullmatch(value),
                f"Header {number + 1} has a name or a value that no header can have.",
                "Write headers as 'Name: value'.",
            )
            for number, (name, value) in enumerate(question.headers)
        ),
    ]
    for passes, reason, remedy in checks:
        if not passes:
            raise QuestionError(reason=reason, remedy=remedy)


class Where:
    """Answers operators' questions at this VM.

    ``describe_customer`` finds the customer of a job that is not sent, and may set the job's
    customer and route; it must change nothing else.
    """

    def __init__(
        self,
        *,
        vm: str,
        clock: Callable[[], float],
        callers: CallerRequests,
        pick_view: PickView,
        quarantine: Quarantine,
        detour: Detour,
        streams: StreamVersions,
        allowance: RetryAllowance,
        configuration_version: Callable[[], int],
    ) -> None:
        self._vm = vm
        self._clock = clock
        self._callers = callers
        self._pick_view = pick_view
        self._quarantine = quarantine
        self._detour = detour
        self._streams = streams
        self._allowance = allowance
        self._configuration_version = configuration_version
        self._random = random.Random()
        self.describe_customer: Callable[[Job], CustomerView] = lambda job: CustomerView()

    def explain(self, question: Question) -> Explanation:
        """Return where a request would go; raise ``QuestionError`` if there can be no such one."""
        check_question(question)
        known = Explanation(
            vm=self._vm,
            configuration_version=self._configuration_version(),
            outcome=REFUSE,
        )
        refusal = self._callers.find_refusal()
        if refusal is not None:
            return _change(
                known, reason=refusal.reason, retry_after_s=round(refusal.retry_after_s, 2)
            )
        job = self._make_job(question)
        if job is None:
            return _change(known, reason="no route (404)")
        customer = self.describe_customer(job)
        now = self._clock()
        known = _change(
            known,
            route=_describe_route(job, now),
            service=job.service,
            item=job.item or None,
            customer=customer.customer,
            quota=customer.quota,
            retries_left=round(self._allowance.remaining(job.service, now), 1),
            candidates=self._pick_view.list_candidates(job),
        )
        if customer.refusal is not None:
            return _change(known, reason=customer.refusal, retry_after_s=customer.retry_after_s)
        stopping = self._callers.check_stopping(job)
        if stopping is not None:
            return _change(known, reason=stopping.reason, retry_after_s=stopping.retry_after_s)
        found = self._decide(job, known)
        if customer.wait is None:
            return found
        later = f"{found.outcome}: {found.reason}"  # as it would be decided now
        return _change(found, outcome=WAIT, reason=f"{customer.wait}, then {later}")

    def _decide(self, job: Job, known: Explanation) -> Explanation:
        """Ask in the order in which the relay does."""
        if self._detour.is_needed(job):
            reason = "this VM does not reach the service; another VM does"
            return _change(known, outcome=PASS_ON, reason=reason)
        verdict, subjects = self._quarantine.describe_request(job)
        if verdict is CrashVerdict.CONVICTED:
            return _change(known, reason=f"crashes upstreams (501): {', '.join(subjects)}")
        if verdict is CrashVerdict.SUSPECTED:
            reason = f"may crash upstreams, waits until it may be probed: {', '.join(subjects)}"
            return _change(known, outcome=WAIT, reason=reason)
        if job.takes_up:
            return _change(known, outcome=WAIT, reason=VERSION_FIRST)
        choice = self._pick_view.choose(job)
        if choice.upstream is None:
            return _change(
                known,
                outcome=WAIT if choice.waits else REFUSE,
                reason=choice.reason,
                retry_after_s=choice.retry_after_s,
                expected_ms=choice.expected_ms,
            )
        unrecordable = self._streams.check_begin(job, choice.upstream)
        if unrecordable is not None:
            return _change(known, reason=unrecordable.reason)
        return _change(
            known,
            outcome=WAIT if choice.waits else SEND,
            reason=choice.reason,
            upstream=choice.upstream.name,
            expected_ms=choice.expected_ms,
        )

    def _make_job(self, question: Question) -> Job | None:
        now = self._clock()
        headers = [
            (name.encode("latin-1"), value.encode("latin-1")) for name, value in question.headers
        ]
        target = question.path.encode("latin-1")
        route = self._callers.find_route(names.find_header(headers, b"host") or b"", target)
        if route is None:
            return None
        asked_ms = read_deadline_ms(headers)
        limit_ms = route.timeout_ms if asked_ms is None else min(route.timeout_ms, asked_ms)
        connection: Any = _Absent()
        return Job(
            request=ReceivedRequest(
                method=question.method.encode(),
                target=target,
                headers=headers,
                body=b"",
                arrived_at=now,
            ),
            connection=connection,
            route=route,
            service=choose_service(route, self._random),
            generation=read_generation_request(headers),
            request_id=REQUEST_ID,
            headers=[],
            deadline=now + limit_ms / 1000.0,
            sink=AnswerSink(
                connection=connection, request_id=REQUEST_ID, streams=False, clock=self._clock
            ),
        )


def _change(known: Explanation, **fields: Any) -> Explanation:
    return msgspec.structs.replace(known, **fields)


def _describe_route(job: Job, now: float) -> RouteView:
    route = job.route
    services = {part.service: part.weight for part in route.traffic_split} or {route.service: 1.0}
    return RouteView(
        name=route.name,
        kind=job.kind,
        priority=route.priority,
        attempts=route.attempts,
        target_latency_ms=route.target_latency_ms,
        left_ms=int(job.left_ms(now)),
        services=services,
    )
