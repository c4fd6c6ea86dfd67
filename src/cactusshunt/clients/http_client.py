"""HTTP calls with a deadline; a failure says whether the request may have been sent."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import cast

from expression import Error
from expression import Ok
from expression import Result
from twisted.internet import error as internet_error
from twisted.internet.defer import CancelledError
from twisted.internet.defer import TimeoutError as DeferredTimeoutError
from twisted.web.client import HTTPConnectionPool
from twisted.web.client import readBody
from twisted.web.http_headers import Headers

from cactusshunt.clients.body import BytesProducer
from cactusshunt.clients.tuned_endpoint import make_agent

if TYPE_CHECKING:
    from twisted.internet.base import ReactorBase
    from twisted.web.client import Response

MAX_IDLE_CONNECTIONS = 4  # per upstream address

NOT_SENT_ERRORS = (
    internet_error.ConnectError,
    internet_error.DNSLookupError,
    internet_error.NoRouteError,
)


@dataclass(frozen=True, kw_only=True)
class HttpAnswer:
    """A complete answer."""

    status: int
    body: bytes


@dataclass(frozen=True, kw_only=True)
class HttpFailure:
    """A call without a complete answer; ``sent`` is true if bytes may have been sent."""

    sent: bool
    reason: str


class HttpClient:
    """HTTP client for the platform's services and for the control API of engines."""

    def __init__(self, *, reactor: ReactorBase) -> None:
        self._reactor = reactor
        self._pool = HTTPConnectionPool(reactor, persistent=True)
        self._pool.maxPersistentPerHost = MAX_IDLE_CONNECTIONS
        self._pool.retryAutomatically = False
        self._agent = make_agent(reactor, self._pool)
        self._unpooled_agent = make_agent(reactor)

    async def call(
        self,
        method: str,
        url: str,
        *,
        deadline: float,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        new_connection: bool = False,
    ) -> Result[HttpAnswer, HttpFailure]:
        """Send a request and return the complete answer; ``deadline`` in Unix seconds.

        ``new_connection`` avoids the pool, for calls that must not be lost on a dead connection.
        """
        agent = self._unpooled_agent if new_connection else self._agent
        fields = Headers({name: [value] for name, value in (headers or {}).items()})
        if body is not None:
            fields.setRawHeaders("Content-Type", ["application/json"])
        producer = BytesProducer(body=body) if body is not None else None
        try:
            request = agent.request(method.encode(), url.encode(), fields, producer)
            request.addTimeout(self._remaining_s(deadline), self._reactor)
            response = cast("Response", await request)
            body_read = readBody(response)
            body_read.addTimeout(self._remaining_s(deadline), self._reactor)
            content = await body_read
        except NOT_SENT_ERRORS as error:
            return Error(HttpFailure(sent=False, reason=type(error).__name__))
        except (CancelledError, DeferredTimeoutError):
            return Error(HttpFailure(sent=True, reason="deadline"))
        except Exception as error:  # any other failure may occur after the request was sent
            return Error(HttpFailure(sent=True, reason=type(error).__name__))
        return Ok(HttpAnswer(status=response.code, body=content))

    def _remaining_s(self, deadline: float) -> float:
        return max(0.001, deadline - self._reactor.seconds())
