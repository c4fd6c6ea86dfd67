"""Tells an engine that crashed from a connection that broke."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.error import ConnectionRefusedError

from cactusshunt.exceptions import UpstreamNotReachedError
from cactusshunt.tasks.periodic import pause

if TYPE_CHECKING:
    from twisted.internet.base import ReactorBase

    from cactusshunt.http1.connection_pool import Address
    from cactusshunt.http1.connection_pool import ConnectionPool

SETTLE_S = 0.02  # in which the idle connections to a crashed engine are reset as well
ACCEPT_S = 0.04  # a relay in front of an engine accepts connections, and closes them within it


async def has_crashed(reactor: ReactorBase, pool: ConnectionPool, address: Address) -> bool:
    """Return whether an engine whose connection broke refuses new ones, or closes them at once.

    An engine that does not answer at all is cut off or silent, which is not told apart here.
    """
    await pause(reactor, SETTLE_S)
    try:
        connection = await pool.acquire(address)
    except UpstreamNotReachedError as error:
        return isinstance(error.__cause__, ConnectionRefusedError)
    await pause(reactor, ACCEPT_S)
    is_closed = not connection.usable
    pool.release(address, connection)
    return is_closed
