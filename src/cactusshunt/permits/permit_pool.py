"""Permits that a VM has for one upstream or customer, each valid until its deadline."""

from __future__ import annotations

from bisect import insort
from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class Permit:
    """The right to use ``amount`` of a limit before ``ends_at`` (reactor time in s).

    ``name`` is the upstream or customer that the limit belongs to.
    """

    name: str
    ends_at: float
    amount: float = 1.0

    def is_valid(self, now: float) -> bool:
        """Return whether the permit may still be used."""
        return now < self.ends_at


class PermitPool:
    """Unused permits; those that end first are used first."""

    def __init__(self) -> None:
        # end and amount of each permit
        self._permits: list[tuple[float, float]] = []

    def add(self, count: int, ends_at: float) -> None:
        """Add permits for single requests that end at the same time."""
        for _ in range(count):
            insort(self._permits, (ends_at, 1.0))

    def add_amount(self, amount: float, ends_at: float) -> None:
        """Add one permit for an amount."""
        insort(self._permits, (ends_at, amount))

    def count(self, now: float) -> int:
        """Discard permits that have ended, and return how many are left."""
        while self._permits and self._permits[0][0] <= now:
            self._permits.pop(0)
        return len(self._permits)

    def measure_amount(self, now: float) -> float:
        """Return the amount of all permits that have not ended."""
        self.count(now)
        return sum(amount for _, amount in self._permits)

    def longest_left_ms(self, now: float) -> int:
        """Return the time in ms until the last permit ends, 0 without permits."""
        return max(0, int((self._permits[-1][0] - now) * 1000)) if self._permits else 0

    def take(self, name: str, now: float, amount: float = 1.0) -> Permit | None:
        """Remove and return a permit for an amount, ``None`` if there is less at hand.

        It ends with the first of the permits from which it is made up.
        """
        if not self.count(now) or self.measure_amount(now) < amount:
            return None
        ends_at, left = self._permits[0][0], amount
        while left > 0.0:
            end, found = self._permits.pop(0)
            if found > left:
                insort(self._permits, (end, found - left))
            left -= found
        return Permit(name=name, ends_at=ends_at, amount=amount)
