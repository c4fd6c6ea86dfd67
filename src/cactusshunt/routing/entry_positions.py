"""The latest change of each upstream's entry that this VM has read, or has been told of."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cactusshunt.configuration.store_era import StorePosition
from cactusshunt.membership.messages import EntryState

if TYPE_CHECKING:
    from collections.abc import Iterable

# A VM that was told of a change reads it itself within this time, unless the store is silent; an
# older entry that it reads later is one of a store that came back from a copy.
TOLD_LIFETIME_S = 10.0
MAX_ENTRIES = 16_384  # above the upstreams of the largest fleet; the oldest are forgotten


@dataclass(frozen=True, kw_only=True)
class _Known:
    """A change: the run that it is about, and until when it goes before older ones."""

    position: StorePosition
    born: int
    state: str
    counts_until: float


class EntryPositions:
    """Orders what the store and other VMs say of entries. Times are reactor time in seconds."""

    def __init__(self) -> None:
        self._known: OrderedDict[str, _Known] = OrderedDict()

    def is_outdated(self, name: str, position: StorePosition, now: float) -> bool:
        """Return whether this VM was told of a later change than one that it reads now."""
        known = self._known.get(name)
        return known is not None and now < known.counts_until and position < known.position

    def record_read(self, name: str, position: StorePosition, born: int, state: str) -> None:
        """Record a change that this VM has read."""
        self._record(
            name, _Known(position=position, born=born, state=state, counts_until=float("-inf"))
        )

    def record_told(self, state: EntryState, era: int, now: float) -> bool:
        """Record a change that another VM has read; return whether it is later than the known."""
        position = StorePosition(era=era, revision=state.revision)
        known = self._known.get(state.upstream)
        if known is not None and position <= known.position:
            return False
        self._record(
            state.upstream,
            _Known(
                position=position,
                born=state.born,
                state=state.state,
                counts_until=now + TOLD_LIFETIME_S,
            ),
        )
        return True

    def is_known(self, state: EntryState, era: int) -> bool:
        """Return whether what another VM says is just what this one knows."""
        known = self._known.get(state.upstream)
        position = StorePosition(era=era, revision=state.revision)
        return known is not None and known.position == position

    def forget(self, name: str) -> None:
        """Forget an entry, as the store came back from a copy."""
        self._known.pop(name, None)

    def find(self, name: str) -> EntryState | None:
        """Return the known state of an upstream, ``None`` if there is none."""
        known = self._known.get(name)
        if known is None:
            return None
        return EntryState(
            upstream=name,
            born=known.born,
            revision=known.position.revision,
            state=known.state,
        )

    def list_states(self, names: Iterable[str]) -> list[tuple[int, EntryState]]:
        """Return the known states of upstreams, each with its era."""
        found = []
        for name in names:
            state = self.find(name)
            if state is not None:
                found.append((self._known[name].position.era, state))
        return found

    def _record(self, name: str, known: _Known) -> None:
        self._known[name] = known
        self._known.move_to_end(name)
        if len(self._known) > MAX_ENTRIES:
            self._known.popitem(last=False)
