"""Demand forecast per item: follows a significant rise at once and decays slowly.

Three exponential moving averages of the arrival rate are kept. The slow one is the estimate until
the fast one exceeds it significantly (arrivals are modelled as a Poisson process, whose average
over a time constant T has the variance rate / 2T). From then on the fast one is the estimate,
extrapolated over the time of a load with its slope against the medium one.
"""

from __future__ import annotations

import math

from dataclasses import dataclass

FAST_TIME_CONSTANT_S = 10.0
MEDIUM_TIME_CONSTANT_S = 30.0
SLOW_TIME_CONSTANT_S = 120.0
FALL_TIME_CONSTANT_S = 120.0  # decay of the forecast after a rise
ASSUMED_IDLE_S = 30.0
EXTRAPOLATION_S = 10.0  # about the time of a load
SIGNIFICANT_RISE_DEVIATIONS = 4.0


@dataclass(frozen=True, kw_only=True)
class DemandEstimate:
    """Arrivals per second of one item after ``age_s`` seconds of observation.

    ``held`` is the forecast: it rises at once and decays slowly. The averages ``fast``, ``medium``
    and ``slow`` start at zero, and readers correct them for that.
    """

    fast: float = 0.0
    medium: float = 0.0
    slow: float = 0.0
    held: float = 0.0
    age_s: float = 0.0


def update_estimate(estimate: DemandEstimate, *, arrivals: int, elapsed_s: float) -> DemandEstimate:
    """Return the estimate after ``arrivals`` requests within ``elapsed_s`` seconds."""
    rate = arrivals / elapsed_s
    updated = DemandEstimate(
        fast=_smooth(estimate.fast, rate, elapsed_s / FAST_TIME_CONSTANT_S),
        medium=_smooth(estimate.medium, rate, elapsed_s / MEDIUM_TIME_CONSTANT_S),
        slow=_smooth(estimate.slow, rate, elapsed_s / SLOW_TIME_CONSTANT_S),
        age_s=estimate.age_s + elapsed_s,
    )
    slow = _correct_start_bias(updated.slow, updated.age_s, SLOW_TIME_CONSTANT_S)
    kept = slow + (estimate.held - slow) * math.exp(-elapsed_s / FALL_TIME_CONSTANT_S)
    return DemandEstimate(
        fast=updated.fast,
        medium=updated.medium,
        slow=updated.slow,
        held=max(_estimate_current_rate(updated), min(kept, estimate.held)),
        age_s=updated.age_s,
    )


def forecast_rate(estimate: DemandEstimate) -> float:
    """Return the forecast arrivals per second."""
    return estimate.held


def _estimate_current_rate(estimate: DemandEstimate) -> float:
    fast = _correct_start_bias(estimate.fast, estimate.age_s, FAST_TIME_CONSTANT_S)
    medium = _correct_start_bias(estimate.medium, estimate.age_s, MEDIUM_TIME_CONSTANT_S)
    slow = _correct_start_bias(estimate.slow, estimate.age_s, SLOW_TIME_CONSTANT_S)
    deviation = math.sqrt(max(slow, 1.0 / FAST_TIME_CONSTANT_S) / (2.0 * FAST_TIME_CONSTANT_S))
    if fast <= slow + SIGNIFICANT_RISE_DEVIATIONS * deviation:
        return slow
    slope = max(0.0, fast - medium) / (MEDIUM_TIME_CONSTANT_S - FAST_TIME_CONSTANT_S)
    return fast + slope * EXTRAPOLATION_S


def _smooth(old: float, new: float, time_constants: float) -> float:
    return old + (new - old) * (1.0 - math.exp(-time_constants))


def _correct_start_bias(average: float, age_s: float, time_constant_s: float) -> float:
    """Return a moving average corrected for its start at zero.

    Assumes ``ASSUMED_IDLE_S`` without arrivals before the observation, so that a single early
    arrival does not count as a surge.
    """
    return average / (1.0 - math.exp(-(age_s + ASSUMED_IDLE_S) / time_constant_s))
