"""Memory of the engine stand-in and the orders that change it."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from collections.abc import Callable


@dataclass(kw_only=True)
class EngineMemory:
    """Items in memory and the orders that load and unload them.

    ``overcommitted`` is the number of loads beyond the capacity. A real engine crashes on the first
    one, so any value above 0 is a violation of the memory guarantee.
    """

    capacity_mib: int
    checks_fence: bool
    fetch_weights: Callable[[str, Callable[[bool], None]], None]
    resident: dict[str, int] = field(default_factory=dict)
    loading: dict[str, int] = field(default_factory=dict)
    unloading: set[str] = field(default_factory=set)
    settled: list[str] = field(default_factory=list)
    highest_fence: int = 0
    overcommitted: int = 0
    loads: int = 0
    unloads: int = 0
    is_in_use: Callable[[str], bool] = lambda item: False

    def used_mib(self) -> int:
        """Return the memory of loaded and loading items in MiB."""
        return sum(self.resident.values()) + sum(self.loading.values())

    def apply_order(self, action: str, item: str, parameters: dict[str, Any]) -> int:
        """Start to execute an order and return the HTTP status."""
        fence = int(parameters.get("fence", 0))
        order_id = str(parameters["order_id"])
        if self.checks_fence and fence <= self.highest_fence:
            return 200 if order_id in self.settled else 409
        self.highest_fence = max(self.highest_fence, fence)
        if action == "load":
            self._load(item, int(parameters["memory_mib"]), order_id)
        else:
            self._unload(item, order_id)
        return 200

    def finish_unloads(self) -> None:
        """Free the memory of each unloading item that no request uses any more."""
        for item in [item for item in self.unloading if not self.is_in_use(item)]:
            self.unloading.discard(item)
            self.resident.pop(item, None)

    def _load(self, item: str, memory_mib: int, order_id: str) -> None:
        if item in self.resident or item in self.loading:
            self.unloading.discard(item)
            self._record_settled(order_id)
            return
        if self.used_mib() + memory_mib > self.capacity_mib:
            self.overcommitted += 1
        self.loading[item] = memory_mib
        self.loads += 1
        self.fetch_weights(item, lambda fetched: self._finish_load(item, order_id, fetched))

    def _finish_load(self, item: str, order_id: str, fetched: bool) -> None:
        memory_mib = self.loading.pop(item, None)
        if fetched and memory_mib is not None:
            self.resident[item] = memory_mib
        self._record_settled(order_id)

    def _unload(self, item: str, order_id: str) -> None:
        if item in self.resident:
            self.unloads += 1
            self.unloading.add(item)
            self.finish_unloads()
        self._record_settled(order_id)

    def _record_settled(self, order_id: str) -> None:
        self.settled = [*self.settled[-63:], order_id]
