"""Chooses the VM that a VM asks for changes of the store; pure, times are reactor time.

Load pattern: a fleet whose size makes watching the store by every VM costly, while single readers
end, freeze or lose the store. All VMs rank the readers of a zone alike, but nothing depends on it.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from cactusshunt.decisions.rendezvous import rank_nodes

if TYPE_CHECKING:
    from collections.abc import Sequence

READERS_PER_ZONE = 2  # one more than needed, so that a failure costs store calls for 3 s only
NEXT_READER_PAUSE_S = 3.0  # after a failure the VM reads the store itself for so long
FAILED_READER_PAUSE_S = 10.0  # longer than a VM that ended takes to lose its registration
# The pause doubles with each failure in a row up to this: each call that fails delays changes.
MAX_FAILED_READER_PAUSE_S = 60.0


class ReaderChooser:
    """The readers of this VM's zone, and which of them failed lately."""

    def __init__(self, *, vm: str) -> None:
        self._vm = vm
        self._candidates: tuple[str, ...] = ()
        self._readers: list[str] = []
        self._preferred: list[str] = []
        self._failed_at: dict[str, float] = {}
        self._failures: Counter[str] = Counter()  # in a row

    def set_candidates(self, candidates: Sequence[str]) -> None:
        """Set the VMs of this zone that can be readers, this one included."""
        ordered = tuple(sorted(candidates))
        if ordered == self._candidates:
            return
        self._candidates = ordered
        self._readers = rank_nodes(ordered, "zone-reader")[:READERS_PER_ZONE]
        others = [vm for vm in self._readers if vm != self._vm]
        self._preferred = rank_nodes(others, self._vm)  # half of the VMs prefer each
        self._failed_at = {vm: at for vm, at in self._failed_at.items() if vm in ordered}
        self._failures = Counter({vm: self._failures[vm] for vm in self._failed_at})

    @property
    def is_reader(self) -> bool:
        """Return whether this VM reads the store for others of its zone."""
        return self._vm in self._readers

    def choose(self, now: float, *, store_failed: bool) -> str | None:
        """Return the reader to ask, ``None`` to read the store.

        A VM whose last call to the store failed asks any reader that did not fail lately, at once,
        also if it is a reader.
        """
        if not store_failed:
            last_failure = max(self._failed_at.values(), default=None)
            if last_failure is not None and now - last_failure < NEXT_READER_PAUSE_S:
                return None
            if self.is_reader:
                return None
        return next((vm for vm in self._preferred if not self._has_failed(vm, now)), None)

    def record_failure(self, vm: str, now: float) -> None:
        """Record that a reader gave no answer that could be used."""
        self._failed_at[vm] = now
        self._failures[vm] += 1

    def record_answer(self, vm: str) -> None:
        """Record that a reader answered."""
        self._failures.pop(vm, None)

    def forget_earlier_failures(self) -> None:
        """Count the last failure of each reader only, since the earlier ones were the store's."""
        self._failures = Counter({vm: min(1, count) for vm, count in self._failures.items()})

    def _has_failed(self, vm: str, now: float) -> bool:
        failed_at = self._failed_at.get(vm)
        if failed_at is None:
            return False
        pause_s = FAILED_READER_PAUSE_S * 2.0 ** min(self._failures[vm] - 1, 10)
        return now - failed_at < min(MAX_FAILED_READER_PAUSE_S, pause_s)
