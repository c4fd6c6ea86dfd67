"""Rate of loads from the weight store.

Answers the load pattern "many models are wanted at once": loads beyond the store's rate slow all
of them down.
"""

from __future__ import annotations

SAVED_LOADS = 2.5  # loads that may begin at once after a pause
RATE_PART = 1.0  # of the allowed rate; the bound has a tenth and three loads above it


class LoadRate:
    """Token bucket; a new holder begins with an empty one, since it can't know what began."""

    def __init__(self, *, now: float, saved: float = 0.0) -> None:
        self._saved = saved
        self._at = now
        self._rate = 1.0

    def set_rate(self, loads_per_s: float) -> None:
        """Take the rate in force, in loads a second."""
        self._rate = loads_per_s * RATE_PART

    def allowed(self, now: float) -> int:
        """Return how many loads may begin now."""
        self._saved = min(SAVED_LOADS, self._saved + (now - self._at) * self._rate)
        self._at = now
        return int(self._saved)

    def spend(self) -> None:
        """Count one load that was ordered, whether or not it was confirmed."""
        self._saved -= 1.0

    def give_back(self) -> None:
        """Take back one load that an engine refused to begin."""
        self._saved += 1.0
