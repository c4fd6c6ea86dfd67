"""HTTP calls with a deadline that tell a call that was never sent from one without an answer."""

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

KEPT_CONNECTIONS = 4  # per upstream address

NOT_SENT_ERRORS = (
    internet_error.ConnectError,
    internet_error.DNSLookupError,
    internet_error.NoRouteError,
)


@dataclass(frozen=True, kw_only=True)
class HttpAnswer:
    """A whole answer."""

    status: int
    body: bytes


@dataclass(frozen=True, kw_only=True)
class HttpFailure:
    """A call without an answer; ``sent`` tells whether a byte may have left."""

    sent: bool
    reason: str


class HttpClient:
    """Small client for the platform's services and for engines' control paths."""

    def __init__(self, *, reactor: ReactorBase) -> None:
        self._reactor = reactor
        self._pool = HTTPConnectionPool(reactor, persistent=True)
        self._pool.maxPersistentPerHost = KEPT_CONNECTIONS
        self._pool.retryAutomatically = False
        self._agent = make_agent(reactor, self._pool)
        self._fresh_agent = make_agent(reactor)

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
        """Send a request and return the whole answer; ``deadline`` in Unix seconds.

        ``fresh`` opens a new connection, for calls that a silent old one must not swallow.
        """
        agent = self._fresh_agent if new_connection else self._agent
        fields = Headers({name: [value] for name, value in (headers or {}).items()})
        if body is not None:
            fields.setRawHeaders("Content-Type", ["application/json"])
        producer = BytesProducer(body=body) if body is not None else None
        try:
            request = agent.request(method.encode(), url.encode(), fields, producer)
            request.addTimeout(self._left(deadline), self._reactor)
            response = cast("Response", await request)
            reading = readBody(response)
            reading.addTimeout(self._left(deadline), self._reactor)
            content = await reading
        except NOT_SENT_ERRORS as error:
            return Error(HttpFailure(sent=False, reason=type(error).__name__))
        except (CancelledError, DeferredTimeoutError):
            return Error(HttpFailure(sent=True, reason="deadline"))
        except Exception as error:  # every other failure may follow the request's last byte
            return Error(HttpFailure(sent=True, reason=type(error).__name__))
        return Ok(HttpAnswer(status=response.code, body=content))

    def _left(self, deadline: float) -> float:
        return max(0.001, deadline - self._reactor.seconds())
