"""HTTP requests to upstreams; the type of a failure says whether the request may have run."""

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

MAX_IDLE_CONNECTIONS = 256  # per upstream
IDLE_CONNECTION_TIMEOUT_S = 20
REFUSAL_STATUSES = frozenset({429, 503})
ATTEMPT_ID_HEADER = "X-Request-Id"  # the attempt id replaces the caller's request id
DRAINING_HEADER = "X-Draining"  # "true" if the upstream is leaving


@dataclass(frozen=True, kw_only=True)
class UpstreamCall:
    """One attempt at an upstream.

    ``first_byte_deadline`` is in Unix seconds; ``new_connection`` bypasses the connection pool.
    With ``refuses_before_work``, status 429 or 503 means that the request did not run. With
    ``must_echo_attempt_id``, a 200 answer without the attempt id is a mismatch.
    """

    address: str
    method: str
    path: str
    attempt_id: str
    headers: dict[str, str]
    body: bytes
    first_byte_deadline: float
    new_connection: bool
    refuses_before_work: bool
    must_echo_attempt_id: bool


class UpstreamClient:
    """Sends requests to upstreams and pools the connections."""

    def __init__(self, *, reactor: ReactorBase) -> None:
        self._reactor = reactor
        self._pool = HTTPConnectionPool(reactor, persistent=True)
        self._pool.maxPersistentPerHost = MAX_IDLE_CONNECTIONS
        self._pool.cachedConnectionTimeout = IDLE_CONNECTION_TIMEOUT_S
        self._pool.retryAutomatically = False
        self._pooled_agent = make_agent(reactor, self._pool, self._count_connection)
        self._unpooled_agent = make_agent(reactor)
        self._connections_begun = 0  # by the pool
        self.mismatches = 0

    async def send_request(self, call: UpstreamCall) -> Result[Response, UpstreamError]:
        """Send a request and return the response with its body unread, or why there is none."""
        producer = BytesProducer(body=call.body)
        agent = self._unpooled_agent if call.new_connection else self._pooled_agent
        headers = Headers({name: [value] for name, value in call.headers.items()})
        headers.setRawHeaders(ATTEMPT_ID_HEADER, [call.attempt_id])
        url = f"http://{call.address}{call.path}"
        begun_before = self._connections_begun
        request = agent.request(call.method.encode(), url.encode(), headers, producer)
        # The agent takes a connection from the pool, or begins one, before it returns.
        kept = not call.new_connection and self._connections_begun == begun_before
        timer = self._reactor.callLater(
            max(0.0, call.first_byte_deadline - self._reactor.seconds()), request.cancel
        )
        try:
            response = cast("Response", await request)
        except Exception as error:  # classified by whether the request was sent
            late = not timer.active()
            return Error(
                _describe_failure(call, error, sent=producer.written, late=late, kept=kept)
            )
        finally:
            if timer.active():
                timer.cancel()
        return self._check_response(call, response)

    def close_idle_connections(self) -> Deferred[None]:
        """Close all pooled idle connections, after a request on one of them got no answer."""
        closing: Deferred[None] = self._pool.closeCachedConnections()
        return closing

    def _count_connection(self) -> None:
        self._connections_begun += 1

    def _check_response(
        self, call: UpstreamCall, response: Response
    ) -> Result[Response, UpstreamError]:
        echoed = first_header(response, ATTEMPT_ID_HEADER)
        mismatch = echoed is not None and echoed != call.attempt_id
        missing = echoed is None and call.must_echo_attempt_id and response.code == 200
        if mismatch or missing:
            self.mismatches += 1
            abort_response(response)
            return Error(
                AnswerMismatchError(
                    reason=f"The answer from {call.address} belongs to another request.",
                    remedy="The answer was discarded; check the upstream.",
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
    """Return the first value of a header, or ``None``."""
    values = response.headers.getRawHeaders(name)
    return str(values[0]) if values else None


def abort_response(response: Response) -> None:
    """Abort the connection of a response that is not used."""
    transport = getattr(response, "_transport", None)
    if transport is None:
        return
    abort = getattr(transport, "abortConnection", transport.loseConnection)
    abort()


def discard_response(response: Response) -> None:
    """Read and discard a short response, so that its connection can be reused."""
    readBody(response).addErrback(lambda _: None)


def _describe_failure(
    call: UpstreamCall, error: Exception, *, sent: bool, late: bool, kept: bool
) -> UpstreamError:
    reason = f"{type(error).__name__} at {call.address}."
    if not sent:
        return UpstreamNotReachedError(reason=reason, remedy="Another upstream is tried.")
    if late:
        return UpstreamSilentError(
            reason=reason, remedy="The connection is no longer used.", on_kept_connection=kept
        )
    return UpstreamBrokenError(reason=reason, remedy="Check the upstream.")
