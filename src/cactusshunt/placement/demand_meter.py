"""Present demand of one VM's callers for each model and adapter."""

from __future__ import annotations

import math

from dataclasses import dataclass

RATE_DECAY_S = 1.5  # time constant of rates; demand moves between models within seconds
MIN_TOKENS_PER_MS = 1e-4  # rates below this are forgotten

ItemKey = tuple[str, str]


@dataclass(frozen=True, kw_only=True)
class _Rate:
    tokens_per_ms: float
    at: float


class DemandMeter:
    """Exponentially decayed token rates and waiting requests by ``(service, item)``."""

    def __init__(self) -> None:
        self._rates: dict[ItemKey, _Rate] = {}
        self._waiting: dict[ItemKey, int] = {}
        self._request_counts: dict[ItemKey, int] = {}

    def record_request(self, key: ItemKey, tokens: float, now: float) -> None:
        """Add one request, with its prompt's tokens, to an item's demand."""
        self._request_counts[key] = self._request_counts.get(key, 0) + 1
        decayed = self._compute_rate(key, now)
        self._rates[key] = _Rate(tokens_per_ms=decayed + tokens / (RATE_DECAY_S * 1000.0), at=now)

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

    def read(self, now: float) -> dict[ItemKey, tuple[float, int]]:
        """Return tokens per ms and waiting requests by item; forgets rates that have decayed."""
        for key in [key for key in self._rates if self._compute_rate(key, now) < MIN_TOKENS_PER_MS]:
            del self._rates[key]
        keys = self._rates.keys() | self._waiting.keys()
        return {key: (self._compute_rate(key, now), self._waiting.get(key, 0)) for key in keys}

    def count_requests(self, key: ItemKey) -> int:
        """Return the number of requests for an item since this process started."""
        return self._request_counts.get(key, 0)

    def list_requested_items(self) -> list[ItemKey]:
        """Return every item that was requested since this process started."""
        return list(self._request_counts)

    def _compute_rate(self, key: ItemKey, now: float) -> float:
        rate = self._rates.get(key)
        if rate is None:
            return 0.0
        return rate.tokens_per_ms * math.exp(-(now - rate.at) / RATE_DECAY_S)
