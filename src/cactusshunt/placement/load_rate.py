"""Limits the rate of loads from the weight store.

Covers the load pattern "many models are requested at once": loads above the store's rate slow all
loads down.
"""

from __future__ import annotations

MAX_BURST_LOADS = 2.5  # loads that may begin at once after a pause
RATE_FRACTION = 1.0  # of the configured rate; the limit is that rate, a tenth of it and 3 loads


class LoadRateLimiter:
    """Token bucket of loads.

    A new order holder begins with an empty one, because it can't know which loads began before.
    """

    def __init__(self, *, now: float, available_loads: float = 0.0) -> None:
        self._available_loads = available_loads
        self._updated_at = now
        self._rate = 1.0

    def set_rate(self, loads_per_s: float) -> None:
        """Set the configured rate."""
        self._rate = loads_per_s * RATE_FRACTION

    def count_allowed(self, now: float) -> int:
        """Return how many loads may begin now."""
        self._available_loads = min(
            MAX_BURST_LOADS, self._available_loads + (now - self._updated_at) * self._rate
        )
        self._updated_at = now
        return int(self._available_loads)

    def spend(self) -> None:
        """Count one ordered load, whether or not the engine confirmed it."""
        self._available_loads -= 1.0

    def refund(self) -> None:
        """Undo ``spend`` for a load that an engine refused to begin."""
        self._available_loads += 1.0
