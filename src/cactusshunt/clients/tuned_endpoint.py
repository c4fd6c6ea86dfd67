"""HTTP agents that detect an unresponsive remote end by TCP user timeout and keepalive."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.interfaces import IStreamClientEndpoint
from twisted.web.client import Agent
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

from cactusshunt.http1.sockets import tune_socket

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.base import ReactorBase
    from twisted.internet.defer import Deferred
    from twisted.internet.interfaces import IProtocol
    from twisted.internet.interfaces import IProtocolFactory
    from twisted.web.client import URI
    from twisted.web.client import HTTPConnectionPool

CONNECT_TIMEOUT_S = 1
USER_TIMEOUT_MS = 2000  # closes a connection whose sent bytes stay unacknowledged
KEEPALIVE_IDLE_S = 10
KEEPALIVE_INTERVAL_S = 2
KEEPALIVE_PROBES = 3


@implementer(IStreamClientEndpoint)
class TcpTimeoutEndpoint:
    """Connects to an IPv4 address over TCP and sets the socket's timeouts.

    ``on_connect`` is called as a connection is begun.
    """

    def __init__(
        self, *, reactor: ReactorBase, host: str, port: int, on_connect: Callable[[], None]
    ) -> None:
        self._endpoint = TCP4ClientEndpoint(reactor, host, port, timeout=CONNECT_TIMEOUT_S)
        self._on_connect = on_connect

    def connect(self, protocolFactory: IProtocolFactory) -> Deferred[IProtocol]:  # noqa: N803
        """Connect, set the timeouts and return the protocol."""
        self._on_connect()
        connecting: Deferred[Any] = self._endpoint.connect(protocolFactory)
        connecting.addCallback(_set_socket_timeouts)
        return connecting


@implementer(IAgentEndpointFactory)
class TcpTimeoutEndpointFactory:
    """Creates the endpoints of an HTTP agent."""

    def __init__(self, *, reactor: ReactorBase, on_connect: Callable[[], None]) -> None:
        self._reactor = reactor
        self._on_connect = on_connect

    def endpointForURI(self, uri: URI) -> TcpTimeoutEndpoint:  # noqa: N802
        """Return the endpoint for a URI."""
        return TcpTimeoutEndpoint(
            reactor=self._reactor,
            host=uri.host.decode(),
            port=uri.port,
            on_connect=self._on_connect,
        )


def make_agent(
    reactor: ReactorBase,
    pool: HTTPConnectionPool | None = None,
    on_connect: Callable[[], None] = lambda: None,
) -> Agent:
    """Return an HTTP agent with TCP timeouts; without a pool each request opens a connection."""
    factory = TcpTimeoutEndpointFactory(reactor=reactor, on_connect=on_connect)
    agent: Agent = Agent.usingEndpointFactory(reactor, factory, pool)
    return agent


def _set_socket_timeouts(protocol: Any) -> Any:
    tune_socket(
        protocol.transport,
        user_timeout_ms=USER_TIMEOUT_MS,
        idle_s=KEEPALIVE_IDLE_S,
        interval_s=KEEPALIVE_INTERVAL_S,
        probes=KEEPALIVE_PROBES,
    )
    return protocol
