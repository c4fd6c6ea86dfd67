"""Present demand of one VM's callers for each model and adapter."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusshunt.placement.decaying_rate import RATE_DECAY_S
from cactusshunt.placement.decaying_rate import DecayingRate

if TYPE_CHECKING:
    from collections.abc import Iterable

ItemKey = tuple[str, str]


class DemandMeter:
    """Exponentially decayed token rates and waiting requests by ``(service, item)``."""

    def __init__(self) -> None:
        self._rates: dict[ItemKey, DecayingRate] = {}
        self._waiting: dict[ItemKey, int] = {}
        self._request_counts: dict[ItemKey, int] = {}

    def record_request(self, key: ItemKey, tokens: float, now: float) -> None:
        """Add one request, with its prompt's tokens, to an item's demand."""
        self._request_counts[key] = self._request_counts.get(key, 0) + 1
        rate = self._rates.get(key, DecayingRate(at=now))
        self._rates[key] = rate.increase(tokens / (RATE_DECAY_S * 1000.0), now)

    def begin_wait(self, key: ItemKey) -> None:
        """Count a request that waits for an item to be placed."""
        self._waiting[key] = self._waiting.get(key, 0) + 1

    def end_wait(self, key: ItemKey) -> None:
        """Stop counting a request that waited."""
        left = self._waiting.get(key, 0) - 1
        if left > 0:
            self._waiting[key] = left
        else:
            self._waiting.pop(key, None)

    def read_recent(self, now: float, max_age_s: float) -> dict[ItemKey, tuple[float, int]]:
        """Return tokens per ms and waiting requests by item.

        Items are left out if their last request is older and no request waits for them.
        """
        recent = {key for key, rate in self._rates.items() if now - rate.at <= max_age_s}
        return self.read_items(recent | self._waiting.keys(), now)

    def read_waiting(self, now: float) -> dict[ItemKey, tuple[float, int]]:
        """Return the same for items that requests wait for."""
        return self.read_items(self._waiting, now)

    def read_items(self, keys: Iterable[ItemKey], now: float) -> dict[ItemKey, tuple[float, int]]:
        """Return the same for the given items."""
        return {
            key: (self._rates.get(key, DecayingRate()).read(now), self._waiting.get(key, 0))
            for key in keys
        }

    def count_requests(self, key: ItemKey) -> int:
        """Return the number of requests for an item since this process started."""
        return self._request_counts.get(key, 0)

    def list_requested_items(self) -> list[ItemKey]:
        """Return every item that was requested since this process started."""
        return list(self._request_counts)
