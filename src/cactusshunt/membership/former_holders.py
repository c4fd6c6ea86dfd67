"""What a VM knows of the order holders before it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from cactusshunt.configuration.store_era import NO_ERA
from cactusshunt.membership.tenure import UNKNOWN_HOLDER
from cactusshunt.membership.tenure import UNPROVED_RIGHT_S
from cactusshunt.platform.documents import SYSTEM_PREFIX
from cactusshunt.platform.store import ABSENT
from cactusshunt.schema.decoding import UNREADABLE_ERRORS

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from cactusshunt.configuration.store_era import StoreEra
    from cactusshunt.configuration.store_era import StorePosition
    from cactusshunt.platform.store import StoredItem

LAST_HOLDER_KEY = SYSTEM_PREFIX + "last-holder"
FORMER_HOLDERS_KEY = SYSTEM_PREFIX + "former-holders"
MAX_FORMER_HOLDERS = 3  # besides the current one; no more follow within a re-election delay

Address = tuple[str, int]


class StoredFormerHolders(msgspec.Struct, frozen=True, kw_only=True):
    """Addresses of the holders in the list, which outlive their registrations.

    ``complete_in_era`` is the store's era in which the list names all of them, ``NO_ERA`` if its
    writer did not know that.
    """

    complete_in_era: int
    addresses: dict[str, Address]


class FormerHolders:
    """Names and addresses of former holders, and until when each may send orders at the latest.

    The store's list may lack the latest ones if the store came back from a copy; it may also be
    missing then, so that a missing list proves nothing unless the whole system starts.
    """

    def __init__(
        self,
        *,
        vm: str,
        address: Address,
        clock: Callable[[], float],
        era: StoreEra,
        is_first_start: bool,
        unlisted_for_s: float,
    ) -> None:
        self._vm = vm
        self._clock = clock
        self._era = era
        self._is_first_start = is_first_start
        self._unlisted_for_s = unlisted_for_s
        # positions of the last-holder key, each with its VM names
        self._lists: list[tuple[StorePosition, list[str]]] = []
        self._complete_in_era = NO_ERA
        self._addresses: dict[str, Address] = {vm: address}
        self._of_earlier_era: list[str] = []
        # when this VM knew at the latest that a holder had lost its key
        self._lost_at: dict[str, float] = {}
        self._known_since = clock()
        # Until then, a holder that the list lacks may still send orders.
        self._unlisted_end_at = clock() + max(unlisted_for_s, UNPROVED_RIGHT_S)
        self.list_revision = ABSENT

    @property
    def addresses(self) -> Mapping[str, Address]:
        """Return the addresses that are known, by VM."""
        return self._addresses

    def record_address(self, vm: str, address: Address) -> None:
        """Record the address of a registered VM."""
        self._addresses[vm] = address

    def record_loss(self, vm: str) -> None:
        """Record that a holder has lost its key."""
        self._lost_at[vm] = self._clock()

    def record_first_read(self) -> None:
        """Record that the store was read: who is not the holder now had lost its key before."""
        self._known_since = self._clock()
        self._unlisted_end_at = self._clock() + max(self._unlisted_for_s, UNPROVED_RIGHT_S)

    def apply_list(self, item: StoredItem) -> None:
        """Apply the store's list of holders, the latest one last."""
        names = [name for name in (item.value or b"").decode(errors="replace").split(",") if name]
        self._lists = [*self._lists[-1:], (item.position, names)]
        self.list_revision = ABSENT if item.value is None else item.revision
        for name in names[-1:]:
            self._lost_at[name] = self._clock()

    def apply_addresses(self, item: StoredItem) -> None:
        """Apply the addresses of the holders in the store's list."""
        try:
            stored = msgspec.json.decode(item.value or b"", type=StoredFormerHolders)
        except UNREADABLE_ERRORS:
            self._complete_in_era = NO_ERA
            return
        self._complete_in_era = stored.complete_in_era
        self._addresses = {**stored.addresses, **self._addresses}

    def list_before(self, position: StorePosition | None) -> list[str]:
        """Return the holders before a position of the store, the latest one last.

        The name of one that the list lacks, if there may be any, is ``UNKNOWN_HOLDER``.
        """
        known = [names for at, names in self._lists if position is None or at < position]
        names = known[-1] if known else []
        if self._clock() >= self._unlisted_end_at or self._is_complete(names):
            return names
        names = [*names, *self._of_earlier_era]
        return [*names, UNKNOWN_HOLDER] if names or not self._is_first_start else names

    def _is_complete(self, names: Sequence[str]) -> bool:
        era = self._era.number
        is_named = era != NO_ERA and self._complete_in_era == era
        return is_named and bool(names) and not self._of_earlier_era

    def encode_list(self, former: Sequence[str]) -> dict[str, bytes]:
        """Return the keys to write with an election of this VM, after the given holders."""
        known = [name for name in former if name != UNKNOWN_HOLDER]
        holders = [*known[-MAX_FORMER_HOLDERS:], self._vm]
        stored = StoredFormerHolders(
            complete_in_era=self._era.number if UNKNOWN_HOLDER not in former else NO_ERA,
            addresses={vm: self._addresses[vm] for vm in holders if vm in self._addresses},
        )
        return {
            LAST_HOLDER_KEY: ",".join(holders).encode(),
            FORMER_HOLDERS_KEY: msgspec.json.encode(stored),
        }

    def find_ends(self, former: Sequence[str]) -> dict[str, float]:
        """Return until when each other former holder may send orders, if nothing proves less."""
        return {
            name: self._lost_at.get(name, self._known_since) + UNPROVED_RIGHT_S
            for name in former
            if name != self._vm
        }

    def forget_era(self, *, was_holder: bool) -> None:
        """Keep the holders of an era that the store has gone back from."""
        former = [name for name in self.list_before(None) if name != UNKNOWN_HOLDER]
        if was_holder:  # the view may not have shown it yet
            former.append(self._vm)
        self._of_earlier_era = [*former[-MAX_FORMER_HOLDERS:], UNKNOWN_HOLDER]
        self._known_since = self._clock()
        self._unlisted_end_at = self._clock() + max(self._unlisted_for_s, UNPROVED_RIGHT_S)
