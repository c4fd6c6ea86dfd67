"""Demand forecast per item: follows a significant rise at once, and falls slowly.

Three exponential averages of the arrivals run side by side. The slow one is the estimate until the
fast one exceeds it by more than chance explains (arrivals are taken as a Poisson process, whose
average over a time constant T has the variance rate / 2T); from then on the fast one counts, ahead
by its slope against the medium one for as long as a load takes.
"""

from __future__ import annotations

import math

from dataclasses import dataclass

FAST_S = 10.0
MEDIUM_S = 30.0
SLOW_S = 120.0
FALL_S = 120.0  # time constant with which a past rise is given up
QUIET_BEFORE_S = 30.0
LEAD_S = 10.0  # time by which a rise is extrapolated
SIGNIFICANT_DEVIATIONS = 4.0


@dataclass(frozen=True, kw_only=True)
class DemandEstimate:
    """Arrivals per second of one item after ``age_s`` seconds of observation.

    The averages begin at zero and are corrected for it when they are read.
    """

    fast: float = 0.0
    medium: float = 0.0
    slow: float = 0.0
    held: float = 0.0
    age_s: float = 0.0


def update_estimate(estimate: DemandEstimate, *, arrivals: int, elapsed_s: float) -> DemandEstimate:
    """Return the estimate after ``arrivals`` requests within ``elapsed_s`` seconds."""
    rate = arrivals / elapsed_s
    moved = DemandEstimate(
        fast=_approach(estimate.fast, rate, elapsed_s / FAST_S),
        medium=_approach(estimate.medium, rate, elapsed_s / MEDIUM_S),
        slow=_approach(estimate.slow, rate, elapsed_s / SLOW_S),
        age_s=estimate.age_s + elapsed_s,
    )
    slow = _corrected(moved.slow, moved.age_s, SLOW_S)
    kept = slow + (estimate.held - slow) * math.exp(-elapsed_s / FALL_S)
    return DemandEstimate(
        fast=moved.fast,
        medium=moved.medium,
        slow=moved.slow,
        held=max(_read_current(moved), min(kept, estimate.held)),
        age_s=moved.age_s,
    )


def expect_rate(estimate: DemandEstimate) -> float:
    """Return the arrivals per second to provide for."""
    return estimate.held


def _read_current(estimate: DemandEstimate) -> float:
    fast = _corrected(estimate.fast, estimate.age_s, FAST_S)
    medium = _corrected(estimate.medium, estimate.age_s, MEDIUM_S)
    slow = _corrected(estimate.slow, estimate.age_s, SLOW_S)
    deviation = math.sqrt(max(slow, 1.0 / FAST_S) / (2.0 * FAST_S))
    if fast <= slow + SIGNIFICANT_DEVIATIONS * deviation:
        return slow
    slope = max(0.0, fast - medium) / (MEDIUM_S - FAST_S)
    return fast + slope * LEAD_S


def _approach(old: float, new: float, steps: float) -> float:
    return old + (new - old) * (1.0 - math.exp(-steps))


def _corrected(average: float, age_s: float, time_constant_s: float) -> float:
    """Return an average that began at zero as if it had begun at its mean.

    A time without arrivals is assumed before the first, so that one early arrival is no surge.
    """
    return average / (1.0 - math.exp(-(age_s + QUIET_BEFORE_S) / time_constant_s))
