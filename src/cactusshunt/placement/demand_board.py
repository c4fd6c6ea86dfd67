"""Demand of all VMs, as the holder of the right to order has heard it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusshunt.placement.fleet_state import Demand

if TYPE_CHECKING:
    from cactusshunt.membership.messages import ItemDemand

VM_WORD_S = 1.2  # after which a VM's word counts no more


class DemandBoard:
    """Latest demand by VM, and when each item was asked for last."""

    def __init__(self) -> None:
        self._words: dict[str, tuple[float, dict[tuple[str, str], ItemDemand]]] = {}
        self._asked_at: dict[tuple[str, str], float] = {}

    def take(self, vm: str, items: list[ItemDemand], now: float) -> None:
        """Take one VM's word; a rate that rose, or a wait, means that callers asked just now."""
        before = self._words.get(vm, (0.0, {}))[1]
        words = {(item.service, item.item): item for item in items}
        for key, item in words.items():
            known = before.get(key)
            if item.waiting or known is None or item.tokens_per_ms > known.tokens_per_ms:
                self._asked_at[key] = now
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
        items = totals.keys() | {item for named, item in self._asked_at if named == service}
        return {
            item: Demand(
                tokens_per_ms=totals.get(item, (0.0, 0))[0],
                waiting=totals.get(item, (0.0, 0))[1],
                last_asked_at=self._asked_at.get((service, item), -1e9),
            )
            for item in items
        }
