"""Pool of idle connections to upstreams."""

from __future__ import annotations

from collections import defaultdict
from functools import partial
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory

from cactusshunt.exceptions import UpstreamNotReachedError
from cactusshunt.http1.input_turns import InputTurns
from cactusshunt.http1.upstream_connection import UpstreamConnection

if TYPE_CHECKING:
    from twisted.internet.base import ReactorBase

DEFAULT_IDLE_LIMIT_S = 4.0  # below the shortest idle timeout of common HTTP servers (5 s)
IDLE_MARGIN_S = 0.7  # margin below the upstream's Keep-Alive timeout, which is in whole seconds
MAX_IDLE_PER_ADDRESS = 32  # connections

Address = tuple[str, int]


async def refuses_connections(pool: ConnectionPool, address: Address) -> bool:
    """Return whether an address refuses connections: its host answers, and no process listens."""
    try:
        connection = await pool.open(address)
    except UpstreamNotReachedError as error:
        return isinstance(error.__cause__, ConnectionRefusedError)
    pool.release(address, connection)
    return False


class ConnectionPool:
    """Opens connections and keeps idle ones for reuse; never repeats a request.

    ``turns`` bounds the time that parsing takes, together with what else it parses.
    """

    def __init__(
        self, *, reactor: ReactorBase, connect_timeout_s: float, turns: InputTurns | None = None
    ) -> None:
        self._reactor = reactor
        self._turns = turns or InputTurns(reactor=reactor)
        self._connect_timeout_s = connect_timeout_s
        self._idle: dict[Address, list[UpstreamConnection]] = defaultdict(list)

    async def acquire(self, address: Address) -> UpstreamConnection:
        """Return an idle or new connection; raises ``UpstreamNotReachedError``."""
        connection = self._take_idle(address)
        return connection if connection is not None else await self.open(address)

    async def open(self, address: Address) -> UpstreamConnection:
        """Return a new connection; raises ``UpstreamNotReachedError``."""
        try:
            return await self._connect(address)
        except Exception as error:
            raise UpstreamNotReachedError(
                reason=f"{address[0]}:{address[1]} was not reached ({type(error).__name__}).",
                remedy="Check the address, or try another upstream.",
            ) from error

    def release(self, address: Address, connection: UpstreamConnection) -> None:
        """Return a connection to the pool after its request, or close it if not usable."""
        if not connection.usable or len(self._idle[address]) >= MAX_IDLE_PER_ADDRESS:
            connection.abort()
            return
        connection.idle_since = self._reactor.seconds()
        self._idle[address].append(connection)

    def close_idle_connections(self, address: Address) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, []):
            connection.abort()

    def close_expired(self) -> None:
        """Close connections that have been idle for too long to be reused."""
        now = self._reactor.seconds()
        for address in list(self._idle):
            kept = []
            for connection in self._idle[address]:
                if self._is_reusable(connection, now):
                    kept.append(connection)
                else:
                    connection.abort()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]

    async def _connect(self, address: Address) -> UpstreamConnection:
        endpoint = TCP4ClientEndpoint(
            self._reactor, address[0], address[1], timeout=self._connect_timeout_s
        )
        make_connection = partial(UpstreamConnection, turns=self._turns)
        connection: Any = await endpoint.connect(Factory.forProtocol(make_connection))
        return connection  # type: ignore[no-any-return]

    def _take_idle(self, address: Address) -> UpstreamConnection | None:
        now = self._reactor.seconds()
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if self._is_reusable(connection, now):
                return connection
            connection.abort()
        return None

    def _is_reusable(self, connection: UpstreamConnection, now: float) -> bool:
        limit = DEFAULT_IDLE_LIMIT_S
        if connection.keep_alive_timeout_s is not None:
            limit = max(0.0, connection.keep_alive_timeout_s - IDLE_MARGIN_S)
        return connection.usable and now - connection.idle_since < limit
