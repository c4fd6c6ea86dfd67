"""A store in memory on a manual clock that may come back from a copy, and views that follow it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.defer import Deferred

from cactusshunt.configuration.platform_view import PlatformView
from cactusshunt.exceptions import HistoryLostError
from cactusshunt.exceptions import StoreUnavailableError
from cactusshunt.platform.store import StoredItem
from cactusshunt.platform.store import StoredRange
from cactusshunt.tasks.periodic import start_coroutine

if TYPE_CHECKING:
    from twisted.internet.task import Clock

ANSWER_S = 0.004
CONFIG_BOUND_S = 2.0
VMS = 6


@dataclass(frozen=True, kw_only=True)
class Copy:
    """The items and changes of the store at one moment."""

    revision: int
    items: dict[str, StoredItem]
    changes: list[StoredItem]


class SimulatedStore:
    """Revisions, items and waiting calls; every view has its own ``SimulatedClient``."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.era = 1
        self.down = False
        self.current = Copy(revision=1, items={}, changes=[])
        self.copies: list[tuple[float, Copy]] = []
        self.waiting: list[Deferred[None]] = []

    def write(self, key: str, value: bytes | None) -> None:
        """Write or remove a key as the operator or an engine does."""
        revision = self.current.revision + 1
        item = StoredItem(key=key, value=value, revision=revision)
        items = {name: found for name, found in self.current.items.items() if name != key}
        if value is not None:
            items[key] = item
        changes = [*self.current.changes, item]
        self.current = Copy(revision=revision, items=items, changes=changes)
        self.copies.append((self.clock.seconds(), self.current))
        self.wake()

    def go_away(self) -> None:
        """Cut waiting calls and refuse new ones."""
        self.down = True
        self.wake()

    def come_back(self, age_s: float) -> None:
        """Return as the store was ``age_s`` ago."""
        limit = self.clock.seconds() - age_s
        self.copies = [found for found in self.copies if found[0] <= limit]
        self.current = self.copies[-1][1] if self.copies else Copy(revision=1, items={}, changes=[])
        self.era += 1
        self.down = False

    def wake(self) -> None:
        """Let waiting calls look for changes."""
        waiting, self.waiting = self.waiting, []
        for call in waiting:
            call.callback(None)


class SimulatedClient:
    """One VM's calls to the store; ``cut`` loses them until their deadline."""

    def __init__(self, store: SimulatedStore) -> None:
        self._store = store
        self.cut = False

    async def read_prefix(self, prefix: str, *, deadline: float) -> StoredRange:
        """Read all items."""
        await self._travel(deadline)
        current = self._store.current
        found = tuple(item for key, item in current.items.items() if key.startswith(prefix))
        return self._answer(found)

    async def wait_for_changes(
        self, prefix: str, *, after: int, wait_s: float, deadline: float
    ) -> StoredRange:
        """Wait for changes after a revision."""
        del prefix
        await self._travel(deadline)
        ends_at = self._store.clock.seconds() + wait_s
        while True:
            if self._store.down:
                raise StoreUnavailableError(reason="Cut.", remedy="Retry the call.")
            if after > self._store.current.revision:
                raise HistoryLostError(reason="No such revision.", remedy="Read all keys again.")
            found = tuple(item for item in self._store.current.changes if item.revision > after)
            left_s = ends_at - self._store.clock.seconds()
            if found or left_s <= 0.0:
                await self._travel(deadline)
                return self._answer(found)
            waiting: Deferred[None] = Deferred()
            self._store.waiting.append(waiting)
            self._store.clock.callLater(left_s, self._end_wait, waiting)
            await waiting

    def _answer(self, items: tuple[StoredItem, ...]) -> StoredRange:
        return StoredRange(items=items, revision=self._store.current.revision)

    def _end_wait(self, waiting: Deferred[None]) -> None:
        if waiting in self._store.waiting:
            self._store.waiting.remove(waiting)
            waiting.callback(None)

    async def _travel(self, deadline: float) -> None:
        lost = self.cut
        await self._sleep(deadline - self._store.clock.seconds() if lost else ANSWER_S)
        if lost or self._store.down:
            raise StoreUnavailableError(reason="No answer.", remedy="Retry the call.")

    async def _sleep(self, seconds: float) -> None:
        over: Deferred[None] = Deferred()
        self._store.clock.callLater(max(0.0, seconds), over.callback, None)
        await over


class SimulatedVm:
    """A view of the store, and the configurations that it delivered with their times."""

    def __init__(self, store: SimulatedStore, fleet: int = VMS) -> None:
        self._store = store
        self.client = SimulatedClient(store)
        self.items: dict[str, bytes] = {}
        self.versions: list[tuple[float, int]] = []
        clock: Any = store.clock
        self.view = PlatformView(
            reactor=clock,
            store=self.client,  # type: ignore[arg-type]
            listener=self,
            config_bound_s=CONFIG_BOUND_S,
            count_vms=lambda: fleet,
        )
        start_coroutine(self.view.run())

    @property
    def version(self) -> int:
        """Return the newest configuration that was delivered."""
        return max((version for _, version in self.versions), default=0)

    def stored_item_changed(self, item: StoredItem) -> None:
        """Record a change as the node does: the newest configuration stays in force."""
        if item.value is None:
            self.items.pop(item.key, None)
            return
        self.items[item.key] = item.value
        if item.key == "op/config" and int(item.value) > self.version:
            self.versions.append((self._store.clock.seconds(), int(item.value)))

    def store_answered(self) -> None:
        """Do nothing; part of the listener."""
