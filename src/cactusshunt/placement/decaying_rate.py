"""Rates that decay exponentially, so that they follow demand that moves within seconds."""

from __future__ import annotations

import math

from dataclasses import dataclass

RATE_DECAY_S = 1.5  # time constant; demand moves between models within seconds


@dataclass(frozen=True, kw_only=True)
class DecayingRate:
    """A rate in tokens per ms, as of the reactor time ``at``."""

    tokens_per_ms: float = 0.0
    at: float = 0.0

    def read(self, now: float) -> float:
        """Return the rate that is left at a later time."""
        return self.tokens_per_ms * math.exp(-max(0.0, now - self.at) / RATE_DECAY_S)

    def increase(self, tokens_per_ms: float, now: float) -> DecayingRate:
        """Return the rate at a later time with an addition, which may be negative; at least 0."""
        return DecayingRate(tokens_per_ms=max(0.0, self.read(now) + tokens_per_ms), at=now)
