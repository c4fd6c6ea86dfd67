"""Demand of all VMs, as the holder of the right to order has heard it."""

from __future__ import annotations

import math

from typing import TYPE_CHECKING

from cactusshunt.placement.fleet_state import Demand

if TYPE_CHECKING:
    from cactusshunt.membership.messages import ItemDemand

ItemKey = tuple[str, str]
VM_WORD_S = 1.2  # after which a VM's word counts no more
USUAL_S = 15.0  # time constant of the usual rate of requests
SILENT_S = 5.0  # assumed since the last ask of an item that a VM names as silent
MOST_AT_ONCE = 20  # requests that one word may add, after words were lost


class DemandBoard:
    """Latest demand by VM, and how often and when each item was asked for."""

    def __init__(self) -> None:
        self._words: dict[str, tuple[float, dict[ItemKey, ItemDemand]]] = {}
        self._counts: dict[tuple[str, ItemKey], int] = {}
        self._usual: dict[ItemKey, tuple[float, float]] = {}
        self._first_heard_at: float | None = None

    def apply_report(self, vm: str, items: list[ItemDemand], now: float) -> None:
        """Take one VM's word."""
        words = {(item.service, item.item): item for item in items}
        if items and self._first_heard_at is None:
            self._first_heard_at = now
        for key, item in words.items():
            before = self._counts.get((vm, key))
            fresh = (
                item.total_requests
                if before is None or item.total_requests < before
                else item.total_requests - before
            )
            self._counts[(vm, key)] = item.total_requests
            if before is None and not item.tokens_per_ms and not item.waiting:
                self._usual.setdefault(key, (0.0, now - SILENT_S))
            elif fresh:
                self._count(key, min(fresh, MOST_AT_ONCE), now)
        self._words[vm] = (now, words)

    def read(self, service: str, now: float) -> dict[str, Demand]:
        """Return the demand of a service's items over all VMs heard lately."""
        totals: dict[str, tuple[float, int]] = {}
        for heard_at, words in self._words.values():
            if now - heard_at > VM_WORD_S:
                continue
            for (named, item), word in words.items():
                if named != service:
                    continue
                rate, waiting = totals.get(item, (0.0, 0))
                totals[item] = (rate + word.tokens_per_ms, waiting + word.waiting)
        items = totals.keys() | {item for named, item in self._usual if named == service}
        return {item: self._describe((service, item), totals.get(item, (0.0, 0))) for item in items}

    def observed_s(self, now: float) -> float:
        """Return for how long demand has been heard of."""
        return now - self._first_heard_at if self._first_heard_at is not None else 0.0

    def _describe(self, key: ItemKey, total: tuple[float, int]) -> Demand:
        usual, asked_at = self._usual.get(key, (0.0, -1e9))
        return Demand(
            tokens_per_ms=total[0],
            waiting=total[1],
            last_requested_at=asked_at,
            usual_per_s=usual,
        )

    def _count(self, key: ItemKey, requests: int, now: float) -> None:
        usual, asked_at = self._usual.get(key, (0.0, now))
        decayed = usual * math.exp(-(now - asked_at) / USUAL_S)
        self._usual[key] = (decayed + requests / USUAL_S, now)
