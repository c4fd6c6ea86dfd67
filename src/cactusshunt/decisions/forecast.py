"""Demand forecast per item: rises at once, falls slowly."""

from __future__ import annotations

import math

from dataclasses import dataclass

RISE_TIME_S = 5.0  # time constant of the estimate while demand rises
FALL_TIME_S = 600.0  # time constant while demand falls
TREND_LIMIT = 2.0  # largest factor by which growth is extrapolated


@dataclass(frozen=True, kw_only=True)
class DemandEstimate:
    """Smoothed arrivals per second of one item, as of ``updated_at`` in Unix seconds."""

    recent: float = 0.0
    sustained: float = 0.0
    growth: float = 1.0
    updated_at: float = 0.0


def update_estimate(
    estimate: DemandEstimate, *, arrivals: int, since: float, now: float
) -> DemandEstimate:
    """Return the estimate after ``arrivals`` requests between two Unix times in seconds."""
    elapsed = max(now - since, 1e-3)
    rate = arrivals / elapsed
    recent = _approach(estimate.recent, rate, elapsed / RISE_TIME_S)
    decayed = estimate.sustained * math.exp(-elapsed / FALL_TIME_S)
    growth = recent / estimate.recent if estimate.recent > 0.1 else 1.0
    return DemandEstimate(
        recent=recent,
        sustained=max(recent, decayed),
        growth=_approach(estimate.growth, growth, elapsed / RISE_TIME_S),
        updated_at=now,
    )


def expect_rate(estimate: DemandEstimate) -> float:
    """Return the arrivals per second to provide for."""
    factor = min(max(estimate.growth, 1.0), TREND_LIMIT)
    return max(estimate.recent * factor, estimate.sustained)


def _approach(old: float, new: float, steps: float) -> float:
    return old + (new - old) * (1.0 - math.exp(-steps))
