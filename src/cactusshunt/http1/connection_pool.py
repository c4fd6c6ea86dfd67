"""Connections to upstreams that wait for their next request."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory

from cactusshunt.exceptions import UpstreamNotReachedError
from cactusshunt.http1.upstream_connection import UpstreamConnection

if TYPE_CHECKING:
    from twisted.internet.base import ReactorBase

IDLE_LIMIT_S = 4.0  # below the shortest idle time-out of common HTTP servers (5 s)
IDLE_MARGIN_S = 0.7  # stays clear of the upstream's own close, which is announced in whole seconds
MOST_IDLE = 32  # connections kept per address

Address = tuple[str, int]


class ConnectionPool:
    """Opens and keeps connections; it never repeats a request by itself."""

    def __init__(self, *, reactor: ReactorBase, connect_timeout_s: float) -> None:
        self._reactor = reactor
        self._connect_timeout_s = connect_timeout_s
        self._idle: dict[Address, list[UpstreamConnection]] = defaultdict(list)

    async def acquire(self, address: Address) -> UpstreamConnection:
        """Return an idle or a new connection; raises ``UpstreamNotReachedError``."""
        connection = self._take_idle(address)
        if connection is not None:
            return connection
        try:
            return await self._connect(address)
        except Exception as error:
            raise UpstreamNotReachedError(
                reason=f"{address[0]}:{address[1]} was not reached ({type(error).__name__}).",
                remedy="Another upstream is tried.",
            ) from error

    def release(self, address: Address, connection: UpstreamConnection) -> None:
        """Take a connection back after its request, or close it if it cannot serve another."""
        if not connection.usable or len(self._idle[address]) >= MOST_IDLE:
            connection.drop()
            return
        connection.idle_since = self._reactor.seconds()
        self._idle[address].append(connection)

    def close_idle_connections(self, address: Address) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, []):
            connection.drop()

    def close_expired(self) -> None:
        """Close connections that have been idle for too long to be used again."""
        now = self._reactor.seconds()
        for address in list(self._idle):
            kept = []
            for connection in self._idle[address]:
                if self._may_use(connection, now):
                    kept.append(connection)
                else:
                    connection.drop()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]

    async def _connect(self, address: Address) -> UpstreamConnection:
        endpoint = TCP4ClientEndpoint(
            self._reactor, address[0], address[1], timeout=self._connect_timeout_s
        )
        connection: Any = await endpoint.connect(Factory.forProtocol(UpstreamConnection))
        return connection  # type: ignore[no-any-return]

    def _take_idle(self, address: Address) -> UpstreamConnection | None:
        now = self._reactor.seconds()
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if self._may_use(connection, now):
                return connection
            connection.drop()
        return None

    def _may_use(self, connection: UpstreamConnection, now: float) -> bool:
        limit = IDLE_LIMIT_S
        if connection.idle_limit_s is not None:
            limit = max(0.0, connection.idle_limit_s - IDLE_MARGIN_S)
        return connection.usable and now - connection.idle_since < limit
