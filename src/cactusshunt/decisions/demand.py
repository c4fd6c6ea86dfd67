"""Demand of one zone, estimated from the reports of its entry processes."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from cactusshunt.decisions.forecast import DemandEstimate
from cactusshunt.decisions.forecast import forecast_rate
from cactusshunt.decisions.forecast import update_estimate

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cactusshunt.schema.generated.messages import ModelDemand

SERVICE_TIME_DECAY_FACTOR = 0.98  # applied per report to the weight of earlier requests
MIN_KEPT_RATE_PER_S = 1e-4  # arrival rate below which a target's estimate is discarded


class DemandEstimates:
    """Demand forecasts by target; owned by the process that plans for the zone."""

    def __init__(self) -> None:
        self._arrivals: dict[str, int] = defaultdict(int)
        self._estimates: dict[str, DemandEstimate] = {}
        self._service_totals: dict[str, tuple[float, float]] = {}
        self._updated_at: float | None = None

    def add(self, reports: Iterable[ModelDemand]) -> None:
        """Add the counts that entry processes report; ``item`` of a report holds a target."""
        for report in reports:
            self._arrivals[report.item] += report.arrivals
            if report.finished:
                finished, busy_s = self._service_totals.get(report.item, (0.0, 0.0))
                self._service_totals[report.item] = (
                    finished * SERVICE_TIME_DECAY_FACTOR + report.finished,
                    busy_s * SERVICE_TIME_DECAY_FACTOR + report.busy_s,
                )

    def update(self, now: float) -> None:
        """Update the estimates to a Unix time in seconds."""
        since = self._updated_at
        self._updated_at = now
        if since is None or now <= since:
            return
        for target in {*self._estimates, *self._arrivals}:
            estimate = update_estimate(
                self._estimates.get(target, DemandEstimate()),
                arrivals=self._arrivals.get(target, 0),
                elapsed_s=now - since,
            )
            self._estimates[target] = estimate
            if forecast_rate(estimate) < MIN_KEPT_RATE_PER_S:
                del self._estimates[target]
        self._arrivals.clear()

    def rates(self) -> dict[str, float]:
        """Return the forecast arrivals per second, by target."""
        return {target: forecast_rate(found) for target, found in self._estimates.items()}

    def service_s(self) -> dict[str, float]:
        """Return the mean slot-seconds per request, by target."""
        return {
            target: busy_s / finished for target, (finished, busy_s) in self._service_totals.items()
        }
