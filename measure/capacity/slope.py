"""Linear fits of measured costs."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence


@dataclass(frozen=True, kw_only=True)
class Slope:
    """Cost as ``base + per_unit * size``, with the measured points."""

    name: str
    unit: str
    size: str
    base: float
    per_unit: float
    points: tuple[tuple[float, float], ...]

    def at(self, size: float) -> float:
        """Return the cost at a size."""
        return self.base + self.per_unit * size


def fit_slope(name: str, unit: str, size: str, points: Sequence[tuple[float, float]]) -> Slope:
    """Return the least-squares line through points at different sizes."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    per_unit = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return Slope(
        name=name,
        unit=unit,
        size=size,
        base=mean_y - per_unit * mean_x,
        per_unit=per_unit,
        points=tuple(points),
    )
