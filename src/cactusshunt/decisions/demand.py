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

SERVICE_WEIGHT = 0.1  # weight of the newest mean in the estimated slot-seconds of a request
FORGOTTEN_RATE = 1e-4  # arrivals per second below which an item's estimate is dropped


class DemandEstimates:
    """Forecasts by target; owned by the process that plans for the zone."""

    def __init__(self) -> None:
        self._arrivals: dict[str, int] = defaultdict(int)
        self._estimates: dict[str, DemandEstimate] = {}
        self._service_s: dict[str, float] = {}
        self._updated_at: float | None = None

    def add(self, reports: Iterable[ModelDemand]) -> None:
        """Count what entry processes saw."""
        for report in reports:
            self._arrivals[report.item] += report.arrivals
            if report.finished:
                mean = report.busy_s / report.finished
                known = self._service_s.get(report.item, mean)
                self._service_s[report.item] = known + (mean - known) * SERVICE_WEIGHT

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
                since=since,
                now=now,
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
        return dict(self._service_s)
