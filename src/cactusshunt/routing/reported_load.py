"""How much longer than usual work takes at an upstream, from the figures that it reports.

Load pattern: engines that share their machines with others, and slow down by several times for a
second or two. The figure changes many times a second, and holds for the moment of the answer that
brings it: it counts less with its age, so that requests return soon after the upstream has
recovered, even if none of them brings a newer figure.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

FIGURE_LIFETIME_S = 1.0  # slow times last a second or two; an older figure says nothing
USUAL_PERCENT = 100.0


@dataclass(frozen=True, kw_only=True)
class WorkFigure:
    """How long work took at an upstream in percent of the usual time, and when (reactor time)."""

    percent: float
    observed_at: float


def choose_newer(known: WorkFigure | None, other: WorkFigure | None) -> WorkFigure | None:
    """Return the figure that was observed later."""
    if known is None or other is None:
        return known or other
    return max(known, other, key=lambda figure: figure.observed_at)


def compute_slowdown(figure: WorkFigure | None, now: float) -> float:
    """Return how many times as long as usual work is expected to take now, 1 without a figure."""
    if figure is None:
        return 1.0
    age_s = max(0.0, now - figure.observed_at)
    weight = max(0.0, 1.0 - age_s / FIGURE_LIFETIME_S)
    return 1.0 + weight * (figure.percent / USUAL_PERCENT - 1.0)


def find_usual_rate(
    suggested_tokens_per_ms: Sequence[float], *, known_tokens_per_ms: float
) -> float:
    """Return the usual rate that a measurement suggests.

    ``suggested_tokens_per_ms`` are the usual rates that follow if the slowdown was that at the
    begin, or that at the end, all the time. What it was in between is not known, and taken to lie
    between the two: the result is the rate nearest to the one known so far with which that holds.
    """
    least, most = min(suggested_tokens_per_ms), max(suggested_tokens_per_ms)
    return min(most, max(least, known_tokens_per_ms))
