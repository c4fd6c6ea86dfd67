"""Working state of one planning pass: holders of items, free memory, served load."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from cactusshunt.decisions.capacity_split import split_capacity
from cactusshunt.decisions.floor import home_rank
from cactusshunt.decisions.placement_input import PlannedOrder

if TYPE_CHECKING:
    from cactusshunt.decisions.capacity_split import CapacitySplit
    from cactusshunt.decisions.catalogue import Item
    from cactusshunt.decisions.placement_input import EngineView
    from cactusshunt.decisions.placement_input import PlacementInput

DEFAULT_SERVICE_S = 1.0  # slot-seconds per request of a target that has not been measured


class PlacementState:
    """Holders and free memory, taking into account the orders planned so far."""

    def __init__(self, *, state: PlacementInput) -> None:
        self.input = state
        self.engines = {engine.name: engine for engine in state.engines}
        self.free_mib_by_engine = {engine.name: engine.free_mib() for engine in state.engines}
        self.orders: list[PlannedOrder] = []
        self._memory_mib = {item.item: item.memory_mib for item in state.items.values()}
        self._engines_with_order = {
            engine.name for engine in state.engines if not engine.can_take_order
        }
        self._local_holders: dict[str, list[str]] = defaultdict(list)
        self._coming: dict[str, list[str]] = defaultdict(list)
        self._remote_holders: dict[str, list[str]] = defaultdict(list)
        self._remote_holder_zones: dict[str, set[str]] = defaultdict(set)
        self._index_holders()
        self.capacity_split = self._split_capacity()

    def may_take_order(self, engine: EngineView) -> bool:
        """Tell whether an engine may receive another order in this pass."""
        return engine.name not in self._engines_with_order

    def local_holders(self, item: str) -> list[str]:
        """Return the zone's available engines that hold an item."""
        return self._local_holders.get(item, [])

    def coming(self, item: str) -> list[str]:
        """Return the zone's engines that have an order to load an item."""
        return self._coming.get(item, [])

    def expected_holders(self, item: str) -> list[str]:
        """Return the zone's engines that hold an item or have an order to load it."""
        return [*self.local_holders(item), *self.coming(item)]

    def remote_holders(self, item: str) -> list[str]:
        """Return the engines of other reachable zones that hold an item."""
        return self._remote_holders.get(item, [])

    def all_holders(self, item: str) -> list[str]:
        """Return every reachable engine that holds an item or has an order to load it."""
        return [*self.expected_holders(item), *self.remote_holders(item)]

    def is_keeper(self, item: Item) -> bool:
        """Tell whether this zone must keep its last replica of an item.

        Of the zones that hold an item, the first in its home order is the keeper; the others may
        unload theirs. All zones that see the same holders agree on the keeper.
        """
        zones = self._remote_holder_zones.get(item.item)
        if not zones:
            return True
        own = self.input.availability_zone
        candidates = sorted({own, *zones})
        return home_rank(item, own, candidates) == 0

    def plan_order(
        self, engine: EngineView, action: str, item: str, net_value: float, reason: str
    ) -> None:
        """Add an order to the plan and update holders and free memory."""
        memory_mib = self._memory_mib.get(item, 0) if action == "load" else 0
        self._engines_with_order.add(engine.name)
        self.free_mib_by_engine[engine.name] -= memory_mib
        if action == "load":
            self._coming[item].append(engine.name)
        elif engine.name in self._local_holders.get(item, ()):
            self._local_holders[item].remove(engine.name)
        self.orders.append(
            PlannedOrder(
                engine=engine.name,
                action=action,
                item=item,
                memory_mib=memory_mib,
                net_value=net_value,
                reason=reason,
            )
        )

    def hosts_for(self, item: Item) -> list[EngineView]:
        """Return the available engines that may load an item; an adapter needs its model there."""
        return [
            engine
            for engine in self.input.engines
            if engine.available
            and engine.name not in self.expected_holders(item.item)
            and (item.base_item is None or engine.name in self.local_holders(item.base_item))
        ]

    def service_s(self, target: str) -> float:
        """Return the slot-seconds per request for a target."""
        return self.input.service_s.get(target, DEFAULT_SERVICE_S)

    def _index_holders(self) -> None:
        for engine in self.input.engines:
            if not engine.available:
                continue
            pending = engine.record.pending
            leaving = pending.item if pending is not None and pending.action == "unload" else None
            for resident in engine.record.resident:
                if resident.item != leaving:
                    self._local_holders[resident.item].append(engine.name)
            if pending is not None and pending.action == "load":
                self._coming[pending.item].append(engine.name)
        for remote in self.input.remote_engines:
            for item in remote.items:
                self._remote_holders[item].append(remote.name)
                self._remote_holder_zones[item].add(remote.availability_zone)

    def _split_capacity(self) -> CapacitySplit:
        """Split the demand of all reachable zones over all reachable engines."""
        state = self.input
        slots = {engine.name: engine.slots for engine in state.engines if engine.available}
        slots.update({engine.name: engine.slots for engine in state.remote_engines})
        demanded_slots = {
            target: rate * self.service_s(target)
            for target, rate in state.demand.items()
            if target in state.items
        }
        holders = {target: self.all_holders(state.items[target].item) for target in demanded_slots}
        return split_capacity(load=demanded_slots, holders=holders, slots=slots)
