"""Tells an engine that crashed from a connection that broke, and from links that are cut."""

from __future__ import annotations

import enum

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


class EngineState(enum.Enum):
    """What new connections say of an engine whose connection broke."""

    CRASHED = "it refuses connections or closes them, and another upstream accepts one"
    ALIVE = "it accepts connections, or its host does not answer while another one does"
    UNKNOWN = "no upstream accepts a connection: this VM's links may be cut"


async def check_engine(
    reactor: ReactorBase, pool: ConnectionPool, address: Address, others: Sequence[Address]
) -> EngineState:
    """Return the state of an engine whose connection broke.

    Without ``others`` to compare it with, an engine that refuses connections counts as crashed. One
    whose host does not answer is cut off or silent, which is not told apart here.
    """
    await pause(reactor, SETTLE_S)
    checks = [
        Deferred.fromCoroutine(_is_closed(reactor, pool, each)) for each in (address, *others)
    ]
    closed, *others_closed = await gatherResults(checks)
    if closed is False:
        return EngineState.ALIVE
    if others and False not in others_closed:
        return EngineState.UNKNOWN
    return EngineState.CRASHED if closed else EngineState.ALIVE


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
