"""Order of the store's changes by era and revision.

The platform's store may come back from a copy some seconds old. It then gives out again revisions
and lease IDs that it had given out before, for other changes; its era, which it names in its
answers, is larger by one.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cactusshunt.node_log import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

NO_ERA = 0  # the era of a store that names none
# Tokens fit into the 53 bits that JSON numbers keep exactly, for 8,191 eras.
REVISIONS_PER_ERA = 2**40


@dataclass(frozen=True, kw_only=True, order=True)
class StorePosition:
    """A point in the store's changes; positions of a later era come after all of earlier ones."""

    era: int
    revision: int

    @property
    def token(self) -> int:
        """Return the position as one number of the same order, for receivers of fencing tokens."""
        return self.era * REVISIONS_PER_ERA + self.revision


class StoreEra:
    """The newest era that any answer of the store has named.

    All clients of the store in a process share one. ``on_change`` functions are called at once when
    an era follows another, before the answer that showed it is used; not for the first one.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self.number = NO_ERA
        self.known_since = clock()
        self.on_change: list[Callable[[], None]] = []

    def observe(self, named: int | None) -> bool:
        """Record the era of an answer; return ``False`` if the answer is of an earlier era.

        An answer that names none counts as one of the newest era.
        """
        if named is None or named == self.number:
            return True
        if named < self.number:
            return False
        before, self.number = self.number, named
        self.known_since = self._clock()
        log_event("store_era", era=named, before=before)
        if before != NO_ERA:
            for notify in self.on_change:
                notify()
        return True
