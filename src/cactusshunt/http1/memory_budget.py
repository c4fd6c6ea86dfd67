"""Bounds the memory that all contents which are kept whole take together."""

from __future__ import annotations

# Contents may be held several times over (as received, joined, framed and written), beside the
# process itself, which takes less than 50 MB.
BUDGET_FRACTION = 0.15  # of a process's memory
FREE_BYTES = 16_384  # of each content; usual answers are smaller, so that they are never refused


class MemoryBudget:
    """Counts reserved bytes; ``None`` as the limit means none."""

    def __init__(self, *, limit_bytes: float | None = None) -> None:
        self._limit_bytes = limit_bytes
        self.reserved_bytes = 0

    def reserve(self, count: int) -> bool:
        """Reserve bytes; ``False`` if that exceeds the limit."""
        if self._limit_bytes is not None and self.reserved_bytes + count > self._limit_bytes:
            return False
        self.reserved_bytes += count
        return True

    def release(self, count: int) -> None:
        """Give reserved bytes back."""
        self.reserved_bytes -= count


class Reservation:
    """The part of a budget that one content takes."""

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self._reserved = 0

    def resize(self, kept_bytes: int) -> bool:
        """Reserve what a content of this size needs; ``False`` if there is not enough left."""
        needed = max(0, kept_bytes - FREE_BYTES)
        if needed > self._reserved and not self._budget.reserve(needed - self._reserved):
            return False
        if needed < self._reserved:
            self._budget.release(self._reserved - needed)
        self._reserved = needed
        return True

    def release(self) -> None:
        """Give everything back."""
        self._budget.release(self._reserved)
        self._reserved = 0
