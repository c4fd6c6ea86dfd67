"""Tells an engine that crashed from a connection that broke, and from links that are cut."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred
from twisted.internet.defer import gatherResults
from twisted.internet.error import ConnectionRefusedError

from cactusshunt.exceptions import UpstreamNotReachedError
from cactusshunt.tasks.periodic import pause

if TYPE_CHECKING:
    from collections.abc import Sequence

    from twisted.internet.base import ReactorBase

    from cactusshunt.http1.connection_pool import Address
    from cactusshunt.http1.connection_pool import ConnectionPool

SETTLE_S = 0.02  # in which the idle connections to a crashed engine are reset as well
ACCEPT_S = 0.04  # a relay in front of an engine accepts connections, and closes them within it


async def has_crashed(
    reactor: ReactorBase, pool: ConnectionPool, address: Address, others: Sequence[Address]
) -> bool:
    """Return whether an engine whose connection broke refuses new ones, or closes them at once.

    An engine that does not answer at all is cut off or silent, which is not told apart here. If
    none of the ``others`` can be connected to either, this VM's links may be cut.
    """
    await pause(reactor, SETTLE_S)
    checks = [
        Deferred.fromCoroutine(_is_closed(reactor, pool, each)) for each in (address, *others)
    ]
    closed, *others_closed = await gatherResults(checks)
    return closed is True and (not others or False in others_closed)


async def _is_closed(reactor: ReactorBase, pool: ConnectionPool, address: Address) -> bool | None:
    """Return whether new connections are refused or closed; ``None`` if nothing is known."""
    try:
        connection = await pool.open(address)
    except UpstreamNotReachedError as error:
        return True if isinstance(error.__cause__, ConnectionRefusedError) else None
    await pause(reactor, ACCEPT_S)
    is_closed = not connection.usable
    pool.release(address, connection)
    return is_closed
