"""Recent changes of the store that a VM can pass on to other VMs of its zone.

Load pattern: many VMs that each watch the store cost one call every 1.3 to 3.6 s each, nearly all
of them for the same changes, or for none. A few readers that pass changes on replace them.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import StrEnum
from itertools import takewhile
from typing import TYPE_CHECKING

from cactusshunt.configuration.store_era import NO_ERA

if TYPE_CHECKING:
    from cactusshunt.platform.store import StoredItem
    from cactusshunt.platform.store import StoredRange

# Of what is passed on. A change has to reach all VMs within 3 s: 1 s is left for a late answer.
MAX_VIEW_AGE_S = 2.0
HISTORY_S = 10.0  # followers ask again within 3 s, and 3 s later after a failure
MAX_HISTORY_ITEMS = 2_000  # all records of a site with 820 VMs, twice
MAX_HISTORY_BYTES = 2_000_000  # about 1% of the memory of the smallest VM (160 MB)
ITEM_OVERHEAD_BYTES = 300  # of the objects that hold one change


class FeedRefusal(StrEnum):
    """Why a VM passes on no changes."""

    STALE = "the last read of the store is too old"
    ANOTHER_ERA = "the store's era differs"
    NO_HISTORY = "changes after that revision are no longer kept"
    TOO_MANY = "too many VMs wait for changes"
    TOO_LARGE = "the changes are too large to be passed on to all VMs that wait"
    STOPPING = "the VM is stopping"


@dataclass(frozen=True, kw_only=True)
class FeedAnswer:
    """Changes up to ``revision``; the view was complete ``age_s`` ago.

    ``held_s`` is the time for which the call waited for changes.
    """

    items: tuple[StoredItem, ...]
    revision: int
    era: int
    age_s: float
    held_s: float = 0.0


@dataclass(frozen=True, kw_only=True)
class _Change:
    item: StoredItem
    recorded_at: float
    size: int


class ChangeFeed:
    """The changes after ``floor`` in the store's order, without a gap, and how old the view is.

    Times are reactor time. ``complete_at`` is the time up to which the store itself showed all
    changes; what another reader passed on does not advance it.
    """

    def __init__(self) -> None:
        self._changes: deque[_Change] = deque()
        self._bytes = 0
        self._floor = 0
        self._complete_at: float | None = None
        self.revision = 0
        self.era = NO_ERA

    def begin(self, *, revision: int, era: int, complete_at: float) -> None:
        """Start again after all keys were read: changes before that are not known one by one.

        If the store came back from a copy without naming an era, its revisions up to the last known
        one may mean other changes than before, so no VM that has only these is given changes.
        """
        if era == self.era:
            reused = self.revision + 1 if revision < self.revision else 0
            self._floor = max(self._floor, revision, reused)
        else:
            self._floor = revision
        self._changes.clear()
        self._bytes = 0
        self.revision, self.era = revision, era
        self._complete_at = complete_at

    def record(self, changes: StoredRange, *, now: float, complete_at: float | None) -> None:
        """Add the changes after the last revision; ``complete_at`` is ``None`` for passed ones."""
        for item in sorted(changes.items, key=lambda item: item.revision):
            if self.revision < item.revision <= changes.revision:
                size = len(item.key) + len(item.value or b"") + ITEM_OVERHEAD_BYTES
                self._changes.append(_Change(item=item, recorded_at=now, size=size))
                self._bytes += size
        self.revision = max(self.revision, changes.revision)
        if complete_at is not None:
            self._complete_at = max(complete_at, self._complete_at or complete_at)
        self._drop_old(now)

    def select(
        self, *, after: int, era: int, now: float, known_era: int
    ) -> FeedAnswer | FeedRefusal:
        """Return the changes after a revision, or why they cannot be passed on.

        ``known_era`` is the newest era that this VM has seen in any answer of the store.
        """
        if era != self.era or known_era != self.era:
            return FeedRefusal.ANOTHER_ERA
        if self._complete_at is None or now - self._complete_at > MAX_VIEW_AGE_S:
            return FeedRefusal.STALE
        if after < self._floor:
            return FeedRefusal.NO_HISTORY
        # Most VMs lack the last changes only, so the rest of the history is not looked at.
        newer = takewhile(lambda change: change.item.revision > after, reversed(self._changes))
        found = tuple(change.item for change in newer)[::-1]
        age_s = max(0.0, now - self._complete_at)
        return FeedAnswer(items=found, revision=self.revision, era=self.era, age_s=age_s)

    def measure_left_s(self, now: float) -> float:
        """Return for how long the view may still be passed on without another read."""
        return 0.0 if self._complete_at is None else self._complete_at + MAX_VIEW_AGE_S - now

    def _drop_old(self, now: float) -> None:
        while self._changes and (
            self._bytes > MAX_HISTORY_BYTES
            or len(self._changes) > MAX_HISTORY_ITEMS
            or now - self._changes[0].recorded_at > HISTORY_S
        ):
            dropped = self._changes.popleft()
            self._bytes -= dropped.size
            self._floor = max(self._floor, dropped.item.revision)
