"""What callers ask of each model just now, as one VM sees it."""

from __future__ import annotations

import math

from dataclasses import dataclass

MEMORY_S = 1.5  # time constant: demand moves between models within seconds
FADED = 1e-4  # tokens per ms below which an item is forgotten

ItemKey = tuple[str, str]


@dataclass(frozen=True, kw_only=True)
class _Rate:
    tokens_per_ms: float
    at: float


class DemandMeter:
    """Exponentially decayed token rates by ``(service, item)``, and requests that wait."""

    def __init__(self) -> None:
        self._rates: dict[ItemKey, _Rate] = {}
        self._waiting: dict[ItemKey, int] = {}
        self._asked: dict[ItemKey, int] = {}

    def record_request(self, key: ItemKey, tokens: float, now: float) -> None:
        """Count one request's prompt."""
        self._asked[key] = self._asked.get(key, 0) + 1
        decayed = self._decayed(key, now)
        self._rates[key] = _Rate(tokens_per_ms=decayed + tokens / (MEMORY_S * 1000.0), at=now)

    def begin_wait(self, key: ItemKey) -> None:
        """Count a request that waits for an item to be placed."""
        self._waiting[key] = self._waiting.get(key, 0) + 1

    def end_wait(self, key: ItemKey) -> None:
        """Count the end of a wait."""
        left = self._waiting.get(key, 0) - 1
        if left > 0:
            self._waiting[key] = left
        else:
            self._waiting.pop(key, None)

    def read(self, now: float) -> dict[ItemKey, tuple[float, int]]:
        """Return rate and waiting requests by item; forgets what faded."""
        for key in [key for key in self._rates if self._decayed(key, now) < FADED]:
            del self._rates[key]
        keys = self._rates.keys() | self._waiting.keys()
        return {key: (self._decayed(key, now), self._waiting.get(key, 0)) for key in keys}

    def count_requests(self, key: ItemKey) -> int:
        """Return how many requests asked for an item since this process started."""
        return self._asked.get(key, 0)

    def list_requested_items(self) -> list[ItemKey]:
        """Return every item that was ever asked for."""
        return list(self._asked)

    def _decayed(self, key: ItemKey, now: float) -> float:
        rate = self._rates.get(key)
        if rate is None:
            return 0.0
        return rate.tokens_per_ms * math.exp(-(now - rate.at) / MEMORY_S)
