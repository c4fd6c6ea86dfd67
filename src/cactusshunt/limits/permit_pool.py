"""Permits that a VM has for one upstream, each valid until its deadline."""

from __future__ import annotations

from bisect import insort
from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class Permit:
    """The right to send one request to an upstream before ``ends_at`` (reactor time in s)."""

    upstream: str
    ends_at: float

    def is_valid(self, now: float) -> bool:
        """Return whether the request may still be sent."""
        return now < self.ends_at


class PermitPool:
    """Unused permits; those that end first are used first."""

    def __init__(self) -> None:
        self._ends_at: list[float] = []

    def add(self, count: int, ends_at: float) -> None:
        """Add permits that end at the same time."""
        for _ in range(count):
            insort(self._ends_at, ends_at)

    def count(self, now: float) -> int:
        """Discard permits that have ended, and return how many are left."""
        while self._ends_at and self._ends_at[0] <= now:
            self._ends_at.pop(0)
        return len(self._ends_at)

    def longest_left_ms(self, now: float) -> int:
        """Return the time in ms until the last permit ends, 0 without permits."""
        return max(0, int((self._ends_at[-1] - now) * 1000)) if self._ends_at else 0

    def take(self, upstream: str, now: float) -> Permit | None:
        """Remove and return a permit, ``None`` if there is none."""
        if not self.count(now):
            return None
        return Permit(upstream=upstream, ends_at=self._ends_at.pop(0))
