"""Upstream entries after the store came back from a copy, which may be some seconds old.

The copy may lack upstreams that are running, which write their entries again, and may have entries
of upstreams that have left, which the platform removes again. Neither is acted upon at once.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cactusshunt.platform.documents import UpstreamEntry
    from cactusshunt.platform.store import StoredItem

# Running upstreams write their entries about two seconds after the store is back.
MISSING_ENTRY_GRACE_S = 2.5
# The platform removes an entry after three missed heartbeats of 1.2 s, seen up to 1 s later.
REMOVED_ENTRY_HOLD_S = 5.0
REMOVAL_RETENTION_S = 60.0  # far above the age of a copy


@dataclass(frozen=True, kw_only=True)
class _Removal:
    born: int
    at: float


@dataclass(frozen=True, kw_only=True)
class _DeferredChange:
    item: StoredItem
    due_at: float


class RestoredEntries:
    """Defers changes of entries that come from a copy; a later change of the entry replaces them.

    Times are reactor time in seconds.
    """

    def __init__(self) -> None:
        self._removals: dict[str, _Removal] = {}
        self._deferred: dict[str, _DeferredChange] = {}

    def record_removal(self, name: str, born: int, now: float) -> None:
        """Record that an upstream left."""
        self._removals = {
            kept: removal
            for kept, removal in self._removals.items()
            if now - removal.at < REMOVAL_RETENTION_S
        }
        self._removals[name] = _Removal(born=born, at=now)

    def defer(self, name: str, item: StoredItem, entry: UpstreamEntry | None, now: float) -> bool:
        """Return whether a change must wait; ``take_due`` returns it when its time has come."""
        self._deferred.pop(name, None)
        if not item.from_copy:
            return False
        if item.value is None:
            due_at = now + MISSING_ENTRY_GRACE_S
        elif entry is not None and self._was_removed(name, entry.born, now):
            due_at = now + REMOVED_ENTRY_HOLD_S
        else:
            return False
        self._deferred[name] = _DeferredChange(item=item, due_at=due_at)
        return True

    def forget(self, name: str) -> None:
        """Forget a deferred change, which another one has replaced."""
        self._deferred.pop(name, None)

    def take_due(self, now: float) -> list[StoredItem]:
        """Return the changes that no later one has replaced in time, and forget them."""
        due = [name for name, change in self._deferred.items() if change.due_at <= now]
        return [self._deferred.pop(name).item for name in due]

    def _was_removed(self, name: str, born: int, now: float) -> bool:
        removal = self._removals.get(name)
        return (
            removal is not None and removal.born == born and now - removal.at < REMOVAL_RETENTION_S
        )
