"""Input and output of the planner of one availability zone."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from cactusshunt.decisions.ledger import free_memory_mib
from cactusshunt.decisions.ledger import resident_items

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cactusshunt.decisions.catalogue import Item
    from cactusshunt.schema.generated.messages import EngineRecord
    from cactusshunt.schema.generated.settings import Objective


@dataclass(frozen=True, kw_only=True)
class EngineView:
    """One engine of the zone; ``slots`` is the number of requests that it runs at once.

    ``available`` is false while it is leaving or not reporting.
    """

    record: EngineRecord
    slots: int
    available: bool = True

    @property
    def name(self) -> str:
        """Return the engine's VM name."""
        return self.record.engine

    @property
    def can_take_order(self) -> bool:
        """Tell whether a new order may be recorded now."""
        return self.available and self.record.pending is None

    def holds(self, item: str) -> bool:
        """Tell whether an item is resident and not being unloaded."""
        pending = self.record.pending
        if pending is not None and pending.action == "unload" and pending.item == item:
            return False
        return item in resident_items(self.record)

    def will_hold(self, item: str) -> bool:
        """Tell whether an item is resident or its load is ordered."""
        pending = self.record.pending
        if pending is not None and pending.action == "load" and pending.item == item:
            return True
        return self.holds(item)

    def free_mib(self) -> int:
        """Return the memory in MiB that a new order may use."""
        return free_memory_mib(self.record)


@dataclass(frozen=True, kw_only=True)
class RemoteEngine:
    """An engine of another reachable zone, as described by that zone's digests."""

    name: str
    availability_zone: str
    slots: int
    items: frozenset[str]


@dataclass(frozen=True, kw_only=True)
class PlacementInput:
    """State of one zone, and of the reachable zones, at one moment.

    ``items`` are the declared items by target. ``demand`` is the expected arrivals per second by
    target over all reachable zones, ``service_s`` the slot-seconds per request by target, and
    ``unheld_since`` the Unix time since which no reachable engine is known to hold an item.
    """

    availability_zone: str
    reachable_zones: frozenset[str]
    items: Mapping[str, Item]
    engines: tuple[EngineView, ...]
    objective: Objective
    now: float
    remote_engines: tuple[RemoteEngine, ...] = ()
    demand: Mapping[str, float] = field(default_factory=dict)
    service_s: Mapping[str, float] = field(default_factory=dict)
    unheld_since: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True)
class PlannedOrder:
    """A planned order; ``net_value`` in requests served in time, less the cost of moves.

    A move is one load or unload.
    """

    engine: str
    action: str
    item: str
    memory_mib: int
    net_value: float
    reason: str


@dataclass(frozen=True, kw_only=True)
class Plan:
    """Orders by decreasing value, and the targets that no reachable engine can hold."""

    orders: tuple[PlannedOrder, ...] = ()
    out_of_reach: tuple[str, ...] = ()
