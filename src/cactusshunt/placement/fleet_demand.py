"""Demand of all VMs' callers, as reported to the order holder."""

from __future__ import annotations

import math

from collections import Counter
from typing import TYPE_CHECKING

from cactusshunt.placement.decaying_rate import DecayingRate
from cactusshunt.placement.fleet_state import Demand

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cactusshunt.membership.messages import ItemDemand

ItemKey = tuple[str, str]
VM_REPORT_MAX_AGE_S = 1.2  # requests that wait according to older reports are ignored
USUAL_RATE_DECAY_S = 15.0  # time constant of the usual rate of requests
ASSUMED_IDLE_S = 5.0  # assumed time since the last request for an item first reported idle
MAX_REQUESTS_PER_REPORT = 20  # bounds what a report adds after reports were lost


class FleetDemand:
    """Rates and waiting requests of all VMs, and how often and when each item was requested.

    A report lists the items that were requested lately or that requests wait for. The rates of
    others decay here as they do at the VM, and no request waits for them.
    """

    def __init__(self) -> None:
        self._rates: dict[ItemKey, DecayingRate] = {}
        self._vm_rates: dict[tuple[str, ItemKey], DecayingRate] = {}
        self._waiting: dict[str, tuple[float, dict[ItemKey, int]]] = {}
        self._request_counts: dict[tuple[str, ItemKey], int] = {}
        self._usual_rates: dict[ItemKey, tuple[float, float]] = {}
        self._first_report_at: float | None = None
        self._unserved: Counter[ItemKey] = Counter()

    def apply_report(self, vm: str, items: list[ItemDemand], now: float) -> None:
        """Apply one VM's report."""
        if items and self._first_report_at is None:
            self._first_report_at = now
        for item in items:
            key = (item.service, item.item)
            self._apply_rate(vm, key, item.tokens_per_ms, now)
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
                # The first report of a VM also counts requests of which the outcome is not known.
                self._unserved[key] += 1 if previous is None else new_requests
        waiting = {(item.service, item.item): item.waiting for item in items if item.waiting}
        self._waiting[vm] = (now, waiting)

    def record_held(self, service: str, items: Iterable[str]) -> None:
        """Stop counting the earlier requests for items that engines hold as unserved."""
        for item in items:
            self._unserved.pop((service, item), None)

    def read(self, service: str, now: float) -> dict[str, Demand]:
        """Return the demand for a service's items, summed over all VMs."""
        waiting: Counter[ItemKey] = Counter()
        for received_at, found in self._waiting.values():
            if now - received_at <= VM_REPORT_MAX_AGE_S:
                waiting.update(found)
        keys = self._rates.keys() | self._usual_rates.keys() | waiting.keys()
        return {key[1]: self._describe(key, waiting[key], now) for key in keys if key[0] == service}

    def get_observation_s(self, now: float) -> float:
        """Return the time since the first report of demand, 0 before it."""
        return now - self._first_report_at if self._first_report_at is not None else 0.0

    def _describe(self, key: ItemKey, waiting: int, now: float) -> Demand:
        usual_rate, requested_at = self._usual_rates.get(key, (0.0, -1e9))
        return Demand(
            tokens_per_ms=self._rates.get(key, DecayingRate()).read(now),
            waiting=waiting,
            last_requested_at=requested_at,
            usual_requests_per_s=usual_rate,
            unserved_requests=self._unserved[key],
        )

    def _apply_rate(self, vm: str, key: ItemKey, tokens_per_ms: float, now: float) -> None:
        """Add to the total what a VM's rate rose since its last report."""
        previous = self._vm_rates.get((vm, key), DecayingRate()).read(now)
        self._vm_rates[(vm, key)] = DecayingRate(tokens_per_ms=tokens_per_ms, at=now)
        total = self._rates.get(key, DecayingRate(at=now))
        self._rates[key] = total.increase(tokens_per_ms - previous, now)

    def _record_requests(self, key: ItemKey, requests: int, now: float) -> None:
        usual_rate, requested_at = self._usual_rates.get(key, (0.0, now))
        decayed = usual_rate * math.exp(-(now - requested_at) / USUAL_RATE_DECAY_S)
        self._usual_rates[key] = (decayed + requests / USUAL_RATE_DECAY_S, now)
