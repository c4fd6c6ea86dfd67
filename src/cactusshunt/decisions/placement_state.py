"""Working state of one planning pass: who holds what, what is free, what is served."""

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

DEFAULT_SERVICE_S = 1.0


class PlacementState:
    """Holders and free memory as they are after the orders planned so far."""

    def __init__(self, *, state: PlacementInput) -> None:
        self.input = state
        self.engines = {engine.name: engine for engine in state.engines}
        self.free = {engine.name: engine.free_mib() for engine in state.engines}
        self.orders: list[PlannedOrder] = []
        self._memory_mib = {item.item: item.memory_mib for item in state.items.values()}
        self._busy = {engine.name for engine in state.engines if not engine.can_take_order}
        self._local: dict[str, list[str]] = defaultdict(list)
        self._coming: dict[str, list[str]] = defaultdict(list)
        self._remote: dict[str, list[str]] = defaultdict(list)
        self._remote_zones: dict[str, set[str]] = defaultdict(set)
        self._index()
        self.split = self._split_capacity()

    def is_idle(self, engine: EngineView) -> bool:
        """Tell whether an engine may get an order in this pass."""
        return engine.name not in self._busy

    def local_holders(self, item: str) -> list[str]:
        """Return the zone's available engines that hold an item."""
        return self._local.get(item, [])

    def coming(self, item: str) -> list[str]:
        """Return the zone's engines to which an item is being loaded."""
        return self._coming.get(item, [])

    def expected_holders(self, item: str) -> list[str]:
        """Return the zone's engines that hold an item or will hold it."""
        return [*self.local_holders(item), *self.coming(item)]

    def remote_holders(self, item: str) -> list[str]:
        """Return the engines of other zones in reach that hold an item."""
        return self._remote.get(item, [])

    def all_holders(self, item: str) -> list[str]:
        """Return every engine in reach that holds an item or will hold it."""
        return [*self.expected_holders(item), *self.remote_holders(item)]

    def is_keeper(self, item: Item) -> bool:
        """Tell whether this zone must keep its last replica of an item.

        Of the zones that hold an item, the first in its home order is the keeper; the others may
        give theirs up. All zones that see the same holders agree.
        """
        zones = self._remote_zones.get(item.item)
        if not zones:
            return True
        own = self.input.availability_zone
        candidates = sorted({own, *zones})
        return home_rank(item, own, candidates) == 0

    def give(
        self, engine: EngineView, action: str, item: str, net_value: float, reason: str
    ) -> None:
        """Plan an order."""
        memory_mib = self._memory_mib.get(item, 0) if action == "load" else 0
        self._busy.add(engine.name)
        self.free[engine.name] -= memory_mib
        if action == "load":
            self._coming[item].append(engine.name)
        elif engine.name in self._local.get(item, ()):
            self._local[item].remove(engine.name)
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
        """Return the available engines that may take an item; adapters follow their model."""
        return [
            engine
            for engine in self.input.engines
            if engine.available
            and engine.name not in self.expected_holders(item.item)
            and (item.base_item is None or engine.name in self.local_holders(item.base_item))
        ]

    def service_s(self, target: str) -> float:
        """Return the slot-seconds that a request for a target takes."""
        return self.input.service_s.get(target, DEFAULT_SERVICE_S)

    def _index(self) -> None:
        for engine in self.input.engines:
            if not engine.available:
                continue
            pending = engine.record.pending
            leaving = pending.item if pending is not None and pending.action == "unload" else None
            for resident in engine.record.resident:
                if resident.item != leaving:
                    self._local[resident.item].append(engine.name)
            if pending is not None and pending.action == "load":
                self._coming[pending.item].append(engine.name)
        for remote in self.input.remote_engines:
            for item in remote.items:
                self._remote[item].append(remote.name)
                self._remote_zones[item].add(remote.availability_zone)

    def _split_capacity(self) -> CapacitySplit:
        """Split the demand of all zones in reach over all engines in reach."""
        state = self.input
        slots = {engine.name: engine.slots for engine in state.engines if engine.available}
        slots.update({engine.name: engine.slots for engine in state.remote_engines})
        demanded = {
            target: rate * self.service_s(target)
            for target, rate in state.demand.items()
            if target in state.items
        }
        holders = {target: self.all_holders(state.items[target].item) for target in demanded}
        return split_capacity(load=demanded, holders=holders, slots=slots)
