"""Calls to upstreams whose short answers are read completely before they are used."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusshunt.exceptions import UpstreamBrokenError
from cactusshunt.exceptions import UpstreamNotReachedError
from cactusshunt.exceptions import UpstreamSilentError
from cactusshunt.http1.memory_budget import MemoryBudget
from cactusshunt.http1.memory_budget import Reservation
from cactusshunt.http1.upstream_connection import ExchangeEnd

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.base import ReactorBase

    from cactusshunt.http1.connection_pool import Address
    from cactusshunt.http1.connection_pool import ConnectionPool
    from cactusshunt.http1.upstream_connection import Headers


# Above the largest answer of the store: all entries of 10,000 engines.
MAX_BODY_BYTES = 33_554_432
# Of an engine to a call of this system's own. A report names the items that the engine holds: some
# hundred adapters at most, with names of up to 256 bytes.
MAX_ENGINE_BODY_BYTES = 262_144


class CollectedAnswer:
    """Receiver that stores status, headers and body, and rejects a body without end.

    ``budget`` bounds the bodies of all calls together with what else is kept whole.
    """

    def __init__(
        self, *, max_body_bytes: int = MAX_BODY_BYTES, budget: MemoryBudget | None = None
    ) -> None:
        self._max_body_bytes = max_body_bytes
        self._memory = Reservation(budget or MemoryBudget())
        self.status = 0
        self.headers: Headers = []
        self._body = bytearray()

    @property
    def body(self) -> bytes:
        """Return the body received so far."""
        return bytes(self._body)

    def is_stray(self, headers: Headers) -> bool:
        """Return ``False``: whose answer it is, is found out by who made the call."""
        return False

    def receive_head(self, status: int, headers: Headers) -> bool:
        """Store status and headers."""
        self.status = status
        self.headers = headers
        return True

    def end_unless_begun(self, end: Callable[[], None]) -> None:
        """End the call if no head has arrived."""
        if not self.status:
            end()

    def receive_body_part(self, data: bytes) -> bool:
        """Store a part of the body, unless it is too large."""
        size = len(self._body) + len(data)
        if size > self._max_body_bytes or not self._memory.resize(size):
            self._body = bytearray()
            self.release_memory()
            return False
        self._body += data
        return True

    def release_memory(self) -> None:
        """Give back what the body takes, as the call has ended."""
        self._memory.release()


async def call(
    *,
    reactor: ReactorBase,
    pool: ConnectionPool,
    address: Address,
    method: bytes,
    target: bytes,
    headers: Headers,
    body: bytes = b"",
    deadline: float,
    begins_by: float | None = None,
    may_send: Callable[[], bool] = lambda: True,
    max_body_bytes: int = MAX_BODY_BYTES,
    budget: MemoryBudget | None = None,
) -> CollectedAnswer:
    """Send one request and return its answer, until ``deadline`` (reactor time in s).

    With ``begins_by`` the head of the answer is awaited until then only. A body above
    ``max_body_bytes``, or what ``budget`` has left, is malformed.

    ``may_send`` is asked when a connection is open, which may be seconds after the call.

    Raises ``UpstreamNotReachedError`` if no byte was sent, ``UpstreamSilentError`` if the deadline
    passes and ``UpstreamBrokenError`` if the answer is incomplete or malformed; after the last two
    the call may have taken effect.
    """
    connection = await pool.acquire(address)
    if reactor.seconds() >= deadline or not may_send():
        pool.release(address, connection)
        raise UpstreamNotReachedError(
            reason="The time or the right to send ended while the connection opened.",
            remedy="Decide again whether to send it.",
        )
    answer = CollectedAnswer(max_body_bytes=max_body_bytes, budget=budget)
    framed = [(b"Host", f"{address[0]}:{address[1]}".encode()), *headers]
    if body or method == b"POST":
        framed.append((b"Content-Length", str(len(body)).encode()))
    exchange_end = connection.exchange(method, target, framed, body, answer)
    left_s = max(0.0, deadline - reactor.seconds())
    timers = [reactor.callLater(left_s, connection.cancel)]
    if begins_by is not None:
        until_begin_s = max(0.0, begins_by - reactor.seconds())
        timers.append(reactor.callLater(until_begin_s, answer.end_unless_begun, connection.cancel))
    end = await exchange_end
    answer.release_memory()
    for timer in timers:
        if timer.active():
            timer.cancel()
    pool.release(address, connection)
    if end is ExchangeEnd.COMPLETE:
        return answer
    if end is ExchangeEnd.UNWRITABLE:
        raise UpstreamNotReachedError(
            reason=f"{end.value}.", remedy="Check the call's target and headers."
        )
    if end is ExchangeEnd.CANCELLED:
        raise UpstreamSilentError(
            reason="No answer before the deadline.", remedy="The call may have taken effect."
        )
    raise UpstreamBrokenError(reason=f"{end.value}.", remedy="The call may have taken effect.")
