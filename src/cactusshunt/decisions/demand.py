"""Demand of one zone, as its entry processes report it."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from cactusshunt.decisions.forecast import DemandEstimate
from cactusshunt.decisions.forecast import expect_rate
from cactusshunt.decisions.forecast import update_estimate

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cactusshunt.schema.generated.messages import ModelDemand

SERVICE_MEMORY = 0.98  # part of the earlier requests' weight that each report leaves
FORGOTTEN_RATE = 1e-4  # arrivals per second below which an item's estimate is dropped


class DemandEstimates:
    """Forecasts by target; owned by the process that plans for the zone."""

    def __init__(self) -> None:
        self._arrivals: dict[str, int] = defaultdict(int)
        self._estimates: dict[str, DemandEstimate] = {}
        self._service: dict[str, tuple[float, float]] = {}
        self._updated_at: float | None = None

    def add(self, reports: Iterable[ModelDemand]) -> None:
        """Count what entry processes saw."""
        for report in reports:
            self._arrivals[report.item] += report.arrivals
            if report.finished:
                finished, busy_s = self._service.get(report.item, (0.0, 0.0))
                self._service[report.item] = (
                    finished * SERVICE_MEMORY + report.finished,
                    busy_s * SERVICE_MEMORY + report.busy_s,
                )

    def update(self, now: float) -> None:
        """Bring the estimates up to a Unix time in seconds."""
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
            if expect_rate(estimate) < FORGOTTEN_RATE:
                del self._estimates[target]
        self._arrivals.clear()

    def rates(self) -> dict[str, float]:
        """Return the arrivals per second to provide for, by target."""
        return {target: expect_rate(found) for target, found in self._estimates.items()}

    def service_s(self) -> dict[str, float]:
        """Return the slot-seconds that one request takes, by target."""
        return {target: busy_s / finished for target, (finished, busy_s) in self._service.items()}
