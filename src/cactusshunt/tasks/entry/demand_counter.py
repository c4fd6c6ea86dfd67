"""Demand since the last report to the control process."""

from __future__ import annotations

from dataclasses import dataclass

from cactusshunt.schema.generated.messages import ModelDemand


@dataclass(kw_only=True)
class _Counts:
    arrivals: int = 0
    late: int = 0
    finished: int = 0
    busy_s: float = 0.0


class DemandCounter:
    """Counts requests, refusals and busy slot-seconds by target.

    A target is the name of a model, adapter or service without a version; reports call it ``item``.
    Waiting requests are not counted.
    """

    def __init__(self) -> None:
        self._counts: dict[str, _Counts] = {}

    def count_arrival(self, target: str) -> None:
        """Count one request that arrived."""
        self._get_counts(target).arrivals += 1

    def count_refused(self, target: str) -> None:
        """Count one request that was refused because no upstream had a free slot in time."""
        self._get_counts(target).late += 1

    def count_finished(self, target: str, busy_s: float) -> None:
        """Count one finished request with the seconds for which it held a slot."""
        counts = self._get_counts(target)
        counts.finished += 1
        counts.busy_s += busy_s

    def collect(self) -> list[ModelDemand]:
        """Return the counts and reset them."""
        taken, self._counts = self._counts, {}
        return [
            ModelDemand(
                item=target,
                arrivals=counts.arrivals,
                waiting=0,
                late=counts.late,
                finished=counts.finished,
                busy_s=counts.busy_s,
            )
            for target, counts in taken.items()
        ]

    def _get_counts(self, target: str) -> _Counts:
        return self._counts.setdefault(target, _Counts())
