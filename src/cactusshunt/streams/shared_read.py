"""A read of the store that all who need it at the same time share."""

from __future__ import annotations

from traceback import format_exc
from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeVar

from twisted.internet.defer import Deferred

from cactusshunt.node_log import log_event
from cactusshunt.tasks.periodic import start_coroutine

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

ResultT = TypeVar("ResultT")


class SharedRead(Generic[ResultT]):
    """Makes at most one read at a time; readers get ``None`` if it fails or finds nothing."""

    def __init__(self, *, read: Callable[[], Awaitable[ResultT | None]]) -> None:
        self._read = read
        self._readers: list[Deferred[ResultT | None]] = []
        self._reading = False

    def request(self) -> Deferred[ResultT | None]:
        """Return the result of a read that begins after now."""
        reader: Deferred[ResultT | None] = Deferred()
        self._readers.append(reader)
        if not self._reading:
            self._reading = True
            start_coroutine(self._read_while_needed())
        return reader

    async def _read_while_needed(self) -> None:
        while self._readers:
            readers, self._readers = self._readers, []
            result = await self._read_once()
            for reader in readers:
                reader.callback(result)
        self._reading = False

    async def _read_once(self) -> ResultT | None:
        """Return the result; an unexpected error must not end the reads that follow."""
        try:
            return await self._read()
        except Exception:
            log_event("task_failed", reason=format_exc(limit=-4))
            return None
