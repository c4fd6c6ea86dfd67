"""Demand forecast per target: follows a significant rise at once and decays slowly.

Three exponential moving averages of the arrival rate are kept. The slow one is the estimate until
the fast one exceeds it significantly (arrivals are modelled as a Poisson process, whose average
over a time constant T has the variance rate / 2T). From then on the fast one is the estimate, and
its rise against the medium one is extrapolated by the time that a load takes.
"""

from __future__ import annotations

import math

from dataclasses import dataclass

FAST_TIME_CONSTANT_S = 10.0
MEDIUM_TIME_CONSTANT_S = 30.0
SLOW_TIME_CONSTANT_S = 120.0
FALL_TIME_CONSTANT_S = 120.0  # decay of the forecast after a rise
ASSUMED_IDLE_S = 30.0  # time without arrivals that is assumed before the observation
EXTRAPOLATION_S = 10.0  # about the time that a load takes
SIGNIFICANT_RISE_DEVIATIONS = 4.0


@dataclass(frozen=True, kw_only=True)
class DemandEstimate:
    """Arrivals per second of one target after ``age_s`` seconds of observation.

    ``held`` is the forecast: it rises at once and decays slowly. The other rates are moving
    averages that start at zero; ``_correct_start_bias`` corrects them for that.
    """

    fast_per_s: float = 0.0
    medium_per_s: float = 0.0
    slow_per_s: float = 0.0
    held: float = 0.0
    age_s: float = 0.0


def update_estimate(estimate: DemandEstimate, *, arrivals: int, elapsed_s: float) -> DemandEstimate:
    """Return the estimate after ``arrivals`` requests within ``elapsed_s`` seconds."""
    rate = arrivals / elapsed_s
    updated = DemandEstimate(
        fast_per_s=_smooth(estimate.fast_per_s, rate, elapsed_s / FAST_TIME_CONSTANT_S),
        medium_per_s=_smooth(estimate.medium_per_s, rate, elapsed_s / MEDIUM_TIME_CONSTANT_S),
        slow_per_s=_smooth(estimate.slow_per_s, rate, elapsed_s / SLOW_TIME_CONSTANT_S),
        age_s=estimate.age_s + elapsed_s,
    )
    slow_per_s = _correct_start_bias(updated.slow_per_s, updated.age_s, SLOW_TIME_CONSTANT_S)
    kept = slow_per_s + (estimate.held - slow_per_s) * math.exp(-elapsed_s / FALL_TIME_CONSTANT_S)
    return DemandEstimate(
        fast_per_s=updated.fast_per_s,
        medium_per_s=updated.medium_per_s,
        slow_per_s=updated.slow_per_s,
        held=max(_estimate_current_rate(updated), min(kept, estimate.held)),
        age_s=updated.age_s,
    )


def forecast_rate(estimate: DemandEstimate) -> float:
    """Return the forecast arrivals per second."""
    return estimate.held


def _estimate_current_rate(estimate: DemandEstimate) -> float:
    fast_per_s = _correct_start_bias(estimate.fast_per_s, estimate.age_s, FAST_TIME_CONSTANT_S)
    medium_per_s = _correct_start_bias(
        estimate.medium_per_s, estimate.age_s, MEDIUM_TIME_CONSTANT_S
    )
    slow_per_s = _correct_start_bias(estimate.slow_per_s, estimate.age_s, SLOW_TIME_CONSTANT_S)
    deviation = math.sqrt(
        max(slow_per_s, 1.0 / FAST_TIME_CONSTANT_S) / (2.0 * FAST_TIME_CONSTANT_S)
    )
    if fast_per_s <= slow_per_s + SIGNIFICANT_RISE_DEVIATIONS * deviation:
        return slow_per_s
    slope = max(0.0, fast_per_s - medium_per_s) / (MEDIUM_TIME_CONSTANT_S - FAST_TIME_CONSTANT_S)
    return fast_per_s + slope * EXTRAPOLATION_S


def _smooth(old: float, new: float, elapsed_time_constants: float) -> float:
    return old + (new - old) * (1.0 - math.exp(-elapsed_time_constants))


def _correct_start_bias(average: float, age_s: float, time_constant_s: float) -> float:
    """Return a moving average corrected for its start at zero.

    Assumes ``ASSUMED_IDLE_S`` without arrivals before the observation, so that a single early
    arrival does not count as a surge.
    """
    return average / (1.0 - math.exp(-(age_s + ASSUMED_IDLE_S) / time_constant_s))
