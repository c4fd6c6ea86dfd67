"""Demand of all VMs' callers, as reported to the order holder."""

from __future__ import annotations

import math

from typing import TYPE_CHECKING

from cactusshunt.placement.fleet_state import Demand

if TYPE_CHECKING:
    from cactusshunt.membership.messages import ItemDemand

ItemKey = tuple[str, str]
VM_REPORT_MAX_AGE_S = 1.2  # older reports are ignored
USUAL_RATE_DECAY_S = 15.0  # time constant of the usual rate of requests
ASSUMED_IDLE_S = 5.0  # assumed time since the last request for an item first reported idle
MAX_REQUESTS_PER_REPORT = 20  # bounds what a report adds after reports were lost


class FleetDemand:
    """Latest report by VM, and how often and when each item was requested."""

    def __init__(self) -> None:
        self._reports: dict[str, tuple[float, dict[ItemKey, ItemDemand]]] = {}
        self._request_counts: dict[tuple[str, ItemKey], int] = {}
        self._usual_rates: dict[ItemKey, tuple[float, float]] = {}
        self._first_report_at: float | None = None

    def apply_report(self, vm: str, items: list[ItemDemand], now: float) -> None:
        """Apply one VM's report."""
        reported_items = {(item.service, item.item): item for item in items}
        if items and self._first_report_at is None:
            self._first_report_at = now
        for key, item in reported_items.items():
            previous = self._request_counts.get((vm, key))
            new_requests = (
                item.total_requests
                if previous is None or item.total_requests < previous
                else item.total_requests - previous
            )
            self._request_counts[(vm, key)] = item.total_requests
            if previous is None and not item.tokens_per_ms and not item.waiting:
                self._usual_rates.setdefault(key, (0.0, now - ASSUMED_IDLE_S))
            elif new_requests:
                self._record_requests(key, min(new_requests, MAX_REQUESTS_PER_REPORT), now)
        self._reports[vm] = (now, reported_items)

    def read(self, service: str, now: float) -> dict[str, Demand]:
        """Return the demand for a service's items, summed over all recent reports."""
        totals: dict[str, tuple[float, int]] = {}
        for received_at, reported_items in self._reports.values():
            if now - received_at > VM_REPORT_MAX_AGE_S:
                continue
            for (item_service, item), reported in reported_items.items():
                if item_service != service:
                    continue
                rate, waiting = totals.get(item, (0.0, 0))
                totals[item] = (rate + reported.tokens_per_ms, waiting + reported.waiting)
        items = totals.keys() | {
            item for item_service, item in self._usual_rates if item_service == service
        }
        return {item: self._describe((service, item), totals.get(item, (0.0, 0))) for item in items}

    def get_observation_s(self, now: float) -> float:
        """Return the time since the first report of demand, 0 before it."""
        return now - self._first_report_at if self._first_report_at is not None else 0.0

    def _describe(self, key: ItemKey, total: tuple[float, int]) -> Demand:
        usual_rate, requested_at = self._usual_rates.get(key, (0.0, -1e9))
        return Demand(
            tokens_per_ms=total[0],
            waiting=total[1],
            last_requested_at=requested_at,
            usual_requests_per_s=usual_rate,
        )

    def _record_requests(self, key: ItemKey, requests: int, now: float) -> None:
        usual_rate, requested_at = self._usual_rates.get(key, (0.0, now))
        decayed = usual_rate * math.exp(-(now - requested_at) / USUAL_RATE_DECAY_S)
        self._usual_rates[key] = (decayed + requests / USUAL_RATE_DECAY_S, now)
