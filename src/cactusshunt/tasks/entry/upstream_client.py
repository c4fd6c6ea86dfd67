"""Attempts at upstreams over HTTP, with typed failures that say what may have happened."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import cast

from expression import Error
from expression import Ok
from expression import Result
from twisted.web.client import HTTPConnectionPool
from twisted.web.client import readBody
from twisted.web.http_headers import Headers

from cactusshunt.clients.body import BytesProducer
from cactusshunt.clients.tuned_endpoint import make_agent
from cactusshunt.exceptions import AnswerMismatchError
from cactusshunt.exceptions import UpstreamBrokenError
from cactusshunt.exceptions import UpstreamError
from cactusshunt.exceptions import UpstreamNotReachedError
from cactusshunt.exceptions import UpstreamRefusedError
from cactusshunt.exceptions import UpstreamSilentError

if TYPE_CHECKING:
    from twisted.internet.base import ReactorBase
    from twisted.internet.defer import Deferred
    from twisted.web.client import Response

KEPT_CONNECTIONS = 256  # per upstream
KEPT_IDLE_S = 20
REFUSAL_STATUSES = frozenset({429, 503})
IDENTITY_HEADER = "X-Request-Id"
DRAINING_HEADER = "X-Draining"


@dataclass(frozen=True, kw_only=True)
class UpstreamCall:
    """One attempt; ``first_byte_by`` in Unix seconds, ``fresh`` asks for a new connection."""

    address: str
    method: str
    path: str
    attempt_id: str
    headers: dict[str, str]
    body: bytes
    first_byte_by: float
    fresh: bool
    refuses_before_work: bool
    must_echo_identity: bool


class UpstreamClient:
    """Owns the connections to upstreams."""

    def __init__(self, *, reactor: ReactorBase) -> None:
        self._reactor = reactor
        self._pool = HTTPConnectionPool(reactor, persistent=True)
        self._pool.maxPersistentPerHost = KEPT_CONNECTIONS
        self._pool.cachedConnectionTimeout = KEPT_IDLE_S
        self._pool.retryAutomatically = False
        self._pooled = make_agent(reactor, self._pool)
        self._fresh = make_agent(reactor)
        self.mismatches = 0

    async def open(self, call: UpstreamCall) -> Result[Response, UpstreamError]:
        """Send a request and return the answer's head, or why there is none."""
        producer = BytesProducer(body=call.body)
        agent = self._fresh if call.fresh else self._pooled
        headers = Headers({name: [value] for name, value in call.headers.items()})
        headers.setRawHeaders(IDENTITY_HEADER, [call.attempt_id])
        url = f"http://{call.address}{call.path}"
        request = agent.request(call.method.encode(), url.encode(), headers, producer)
        timer = self._reactor.callLater(
            max(0.0, call.first_byte_by - self._reactor.seconds()), request.cancel
        )
        try:
            response = cast("Response", await request)
        except Exception as error:  # which one matters less than whether a byte left
            late = not timer.active()
            return Error(_describe_failure(call, error, sent=producer.written, late=late))
        finally:
            if timer.active():
                timer.cancel()
        return self._judge(call, response)

    def drop_idle_connections(self) -> Deferred[None]:
        """Close the idle kept connections, which may have gone silent."""
        closing: Deferred[None] = self._pool.closeCachedConnections()
        return closing

    def _judge(self, call: UpstreamCall, response: Response) -> Result[Response, UpstreamError]:
        echoed = first_header(response, IDENTITY_HEADER)
        mismatch = echoed is not None and echoed != call.attempt_id
        missing = echoed is None and call.must_echo_identity and response.code == 200
        if mismatch or missing:
            self.mismatches += 1
            abort_response(response)
            return Error(
                AnswerMismatchError(
                    reason=f"The upstream at {call.address} answered another request.",
                    remedy="The answer was dropped; check the upstream.",
                )
            )
        if call.refuses_before_work and response.code in REFUSAL_STATUSES:
            draining = first_header(response, DRAINING_HEADER) == "true"
            discard_response(response)
            return Error(
                UpstreamRefusedError(
                    reason="leaving" if draining else f"status {response.code}",
                    remedy="Another upstream is tried.",
                )
            )
        return Ok(response)


def first_header(response: Response, name: str) -> str | None:
    """Return the first value of a header."""
    values = response.headers.getRawHeaders(name)
    return str(values[0]) if values else None


def abort_response(response: Response) -> None:
    """Close the connection of an answer that is not wanted."""
    transport = getattr(response, "_transport", None)
    if transport is None:
        return
    abort = getattr(transport, "abortConnection", transport.loseConnection)
    abort()


def discard_response(response: Response) -> None:
    """Read and drop a short answer, so that its connection can be kept."""
    readBody(response).addErrback(lambda _: None)


def _describe_failure(
    call: UpstreamCall, error: Exception, *, sent: bool, late: bool
) -> UpstreamError:
    reason = f"{type(error).__name__} at {call.address}."
    if not sent:
        return UpstreamNotReachedError(reason=reason, remedy="Another upstream is tried.")
    if late:
        return UpstreamSilentError(reason=reason, remedy="The connection is no longer used.")
    return UpstreamBrokenError(reason=reason, remedy="Check the upstream.")
