"""HTTP interface for callers."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from expression import Error
from expression import Ok
from expression import Result
from logbook import Logger
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from cactusshunt.decisions.attempt import Outcome
from cactusshunt.decisions.idempotency import ClaimVerdict
from cactusshunt.decisions.idempotency import claim_key
from cactusshunt.decisions.idempotency import fingerprint_request
from cactusshunt.tasks.entry import problems
from cactusshunt.tasks.entry.caller_request import MAX_KEY_LENGTH
from cactusshunt.tasks.entry.caller_request import CallerRequest
from cactusshunt.tasks.entry.model_requests import MODEL_PATHS
from cactusshunt.tasks.entry.service_requests import SERVICE_PREFIX
from cactusshunt.tasks.entry.stored_answer import send_stored_answer
from cactusshunt.tasks.periodic import start_coroutine

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.base import ReactorBase
    from twisted.web.server import Request

    from cactusshunt.tasks.entry.idempotency_claims import Claim
    from cactusshunt.tasks.entry.idempotency_claims import IdempotencyClaims
    from cactusshunt.tasks.entry.model_requests import ModelRequests
    from cactusshunt.tasks.entry.request_plan import RequestPlan
    from cactusshunt.tasks.entry.request_runner import RequestRunner
    from cactusshunt.tasks.entry.service_requests import ServiceRequests
    from cactusshunt.tasks.metrics import Metrics
    from cactusshunt.tasks.problem import Problem

log = Logger("callers")


class Phase(Enum):
    """Lifecycle phase of an entry process.

    ``STARTING`` answers 503 until the settings arrive, and ``SERVING`` is ready. On SIGTERM,
    ``LEAVING`` still accepts requests but fails the readiness check, for ``READINESS_LAG_S``;
    then ``REFUSING`` answers new requests with 503 until the process ends.
    """

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"
    REFUSING = "refusing"


READY_PHASES = frozenset({Phase.SERVING})
ACCEPTING_PHASES = frozenset({Phase.SERVING, Phase.LEAVING})


class CallerApi(Resource):
    """Handles callers' requests from their arrival to their answer."""

    isLeaf = True  # noqa: N815

    def __init__(
        self,
        *,
        reactor: ReactorBase,
        models: ModelRequests,
        services: ServiceRequests,
        runner: RequestRunner,
        claims: IdempotencyClaims,
        metrics: Metrics,
    ) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self._reactor = reactor
        self._models = models
        self._services = services
        self._runner = runner
        self._claims = claims
        self._metrics = metrics
        self.phase = Phase.STARTING
        self.in_flight = 0
        self.ended_requests = 0
        self.answered: dict[str, int] = {}  # ended requests by result
        self._immediate_answers: dict[str, Callable[[Request], bytes]] = {
            "/healthz": lambda request: b"ok\n",
            "/readyz": self._answer_readiness,
            "/v1/models": self._list_models,
        }

    def render(self, request: Request) -> Any:
        """Answer a request at once, or start a coroutine that answers it."""
        path = request.path.decode("latin-1") if request.path else ""
        immediate_answer = self._immediate_answers.get(path)
        if immediate_answer is not None:
            return immediate_answer(request)
        start_coroutine(self._serve(request, path))
        return NOT_DONE_YET

    def _answer_readiness(self, request: Request) -> bytes:
        if self.phase in READY_PHASES:
            return b"ready\n"
        request.setResponseCode(503)
        return self.phase.value.encode() + b"\n"

    def _list_models(self, request: Request) -> bytes:
        request.setHeader("Content-Type", "application/json")
        models = self._models.list_models(request.getHeader("Authorization"))
        return msgspec.json.encode({"object": "list", "data": models})

    async def _serve(self, request: Request, path: str) -> None:
        """Run a request, count its result, and send the problem if there is one."""
        now = self._reactor.seconds()
        caller_request = CallerRequest(request=request, now=now)
        self.in_flight += 1
        if self.phase is not Phase.SERVING:
            request.setHeader("Connection", "close")
        try:
            result = await self._run(caller_request, path)
        except Exception:
            log.exception("request {} failed", caller_request.request_id)
            result = Error(problems.internal_error())
        finally:
            self.in_flight -= 1
            self.ended_requests += 1
        if result.is_error():
            problem = result.error
            self._count_result(problem.kind)
            log.info("request {} ended with problem: {}", caller_request.request_id, problem.kind)
            caller_request.answer_with_problem(problem, self._reactor.seconds())
            return
        self._count_result("answered" if result.ok else "stream-broken")
        self._metrics.time("request.duration_ms", self._reactor.seconds() - now)

    def _count_result(self, kind: str) -> None:
        self.answered[kind] = self.answered.get(kind, 0) + 1
        self._metrics.count(f"request.{kind}")

    async def _run(self, caller_request: CallerRequest, path: str) -> Result[bool, Problem]:
        """Return whether the answer was complete, or the problem to answer with."""
        now = self._reactor.seconds()
        if self.phase not in ACCEPTING_PHASES:
            return Error(
                problems.not_ready(now) if self.phase is Phase.STARTING else problems.draining(now)
            )
        if getattr(caller_request.request, "too_large", False):
            return Error(problems.body_too_large())
        deadline = caller_request.read_deadline()
        if deadline.is_error():
            return Error(deadline.error)
        if caller_request.deadline <= now:
            return Error(problems.deadline_passed())
        plan = self._make_plan(caller_request, path, now)
        if plan.is_error():
            return Error(plan.error)
        if caller_request.key is not None:
            return await self._run_with_key(caller_request, caller_request.key, plan.ok)
        result = await self._runner.run(caller_request, plan.ok)
        return result.map(lambda answer: answer.is_complete)

    def _make_plan(
        self, caller_request: CallerRequest, path: str, now: float
    ) -> Result[RequestPlan, Problem]:
        if path in MODEL_PATHS and caller_request.method == "POST":
            return self._models.make_plan(caller_request, now)
        if path.startswith(SERVICE_PREFIX):
            return self._services.make_plan(caller_request, now)
        return Error(problems.no_such_path(path))

    async def _run_with_key(
        self, caller_request: CallerRequest, key: str, plan: RequestPlan
    ) -> Result[bool, Problem]:
        """Claim the key, then run the request or answer from the existing claim."""
        if not key or len(key) > MAX_KEY_LENGTH:
            return Error(
                problems.malformed_request(
                    f"Idempotency-Key must have 1 to {MAX_KEY_LENGTH} characters."
                )
            )
        claimed = await self._claims.claim(
            claim_key(scope=plan.team, key=key),
            fingerprint_request(
                method=caller_request.method,
                path=caller_request.path,
                body=caller_request.read_body(),
            ),
        )
        now = self._reactor.seconds()
        if claimed.is_error():
            return Error(problems.key_cannot_be_claimed(now))
        claim: Claim = claimed.ok
        if claim.verdict is ClaimVerdict.ANSWERED:
            send_stored_answer(caller_request, claim.record)
            return Ok(True)
        if claim.verdict is not ClaimVerdict.GRANTED:
            return Error(self._make_key_problem(claim.verdict, now))
        return await self._run_claimed(caller_request, plan, claim)

    async def _run_claimed(
        self, caller_request: CallerRequest, plan: RequestPlan, claim: Claim
    ) -> Result[bool, Problem]:
        """Run a request whose key was just claimed, and record in the claim how it ended."""
        result = await self._runner.run(caller_request, plan)
        if result.is_error():
            if result.error.outcome is Outcome.NOT_RUN:
                self._claims.release(claim)
            return Error(result.error)
        answer = result.ok
        if answer.is_complete:
            self._claims.complete(
                claim, status=answer.status, content_type=answer.content_type, body=answer.body
            )
        return Ok(answer.is_complete)

    def _make_key_problem(self, verdict: ClaimVerdict, now: float) -> Problem:
        refusals: dict[ClaimVerdict, Callable[[], Problem]] = {
            ClaimVerdict.IN_PROGRESS: lambda: problems.key_in_use(now),
            ClaimVerdict.DONE_WITHOUT_ANSWER: problems.key_done,
            ClaimVerdict.OTHER_REQUEST: problems.key_of_another_request,
        }
        return refusals[verdict]()
