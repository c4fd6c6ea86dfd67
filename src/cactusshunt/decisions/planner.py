"""Placement of models and adapters on the engines of one zone.

The plan is incremental: it keeps what is resident and names the few orders whose expected gain
exceeds their price. Precedence: items out of reach, floors of this zone, replacement of old
versions, then replicas for demand.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from cactusshunt.decisions.capacity_split import split_capacity
from cactusshunt.decisions.eviction import Eviction
from cactusshunt.decisions.eviction import choose_eviction
from cactusshunt.decisions.floor import choose_floor
from cactusshunt.decisions.names import base_item_of
from cactusshunt.decisions.names import base_target_of
from cactusshunt.decisions.names import is_adapter
from cactusshunt.decisions.names import target_of
from cactusshunt.decisions.placement_input import EngineView
from cactusshunt.decisions.placement_input import Plan
from cactusshunt.decisions.placement_input import PlannedOrder

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cactusshunt.decisions.capacity_split import CapacitySplit
    from cactusshunt.decisions.catalogue import Item
    from cactusshunt.decisions.placement_input import PlacementInput

HORIZON_S = 120.0  # time over which a new replica is expected to be of use
DEFAULT_SERVICE_S = 1.0
OUT_OF_REACH_GAIN = 1e9
FLOOR_GAIN = 1e6
VERSION_GAIN = 1e7
ADAPTER_FLOOR_REPLICAS = 1


class Planner:
    """One planning pass; create one for each pass."""

    def __init__(self, *, state: PlacementInput) -> None:
        self._state = state
        self._engines = {engine.name: engine for engine in state.engines}
        self._busy: set[str] = {e.name for e in state.engines if not e.can_take_order}
        self._free = {engine.name: engine.free_mib() for engine in state.engines}
        self._orders: list[PlannedOrder] = []
        self._out_of_reach: list[str] = []
        self._floor: list[Item] = []
        self._holders: dict[str, list[str]] = defaultdict(list)
        self._coming: dict[str, list[str]] = defaultdict(list)
        self._index_holders()

    def plan(self) -> Plan:
        """Return the orders that are worth giving now."""
        self._floor = self._choose_floor()
        self._split = self._split_capacity()
        self._unload_undeclared()
        self._fill_floor()
        self._add_replicas()
        self._orders.sort(key=lambda order: -order.gain)
        return Plan(orders=tuple(self._orders), out_of_reach=tuple(self._out_of_reach))

    def _index_holders(self) -> None:
        for engine in self._state.engines:
            if not engine.available:
                continue
            pending = engine.record.pending
            for resident in engine.record.resident:
                if engine.holds(resident.item):
                    self._holders[resident.item].append(engine.name)
            if pending is not None and pending.action == "load":
                self._coming[pending.item].append(engine.name)

    def _choose_floor(self) -> list[Item]:
        return choose_floor(
            self._state.items,
            availability_zone=self._state.availability_zone,
            reachable_zones=self._state.reachable_zones,
            capacity_mib=sum(
                engine.record.capacity_mib for engine in self._state.engines if engine.available
            ),
            demand=self._state.demand,
        )

    def _split_capacity(self) -> CapacitySplit:
        service_s = self._state.service_s
        return split_capacity(
            load={
                target: rate * service_s.get(target, DEFAULT_SERVICE_S)
                for target, rate in self._state.demand.items()
                if target in self._state.items
            },
            holders={
                target: self._expected_holders(item.item)
                for target, item in self._state.items.items()
            },
            slots={engine.name: engine.slots for engine in self._state.engines},
        )

    def _expected_holders(self, item: str) -> list[str]:
        return [*self._holders.get(item, ()), *self._coming.get(item, ())]

    def _unload_undeclared(self) -> None:
        """Unload items that are no longer declared, old versions only once replaced."""
        declared = {item.item for item in self._state.items.values()}
        for engine in self._state.engines:
            if engine.name in self._busy:
                continue
            stale = [r for r in engine.record.resident if r.item not in declared]
            stale.sort(key=lambda resident: not is_adapter(resident.item))
            for resident in stale:
                if self._may_unload_stale(engine, resident.item):
                    self._order(engine, "unload", resident.item, 0, VERSION_GAIN, "undeclared")
                    break

    def _may_unload_stale(self, engine: EngineView, item: str) -> bool:
        if not is_adapter(item) and _has_adapters(engine, item):
            return False
        current = self._state.items.get(target_of(item))
        if current is None:
            return True
        replacement = self._holders.get(current.item, [])
        others = [name for name in self._holders.get(item, []) if name != engine.name]
        return bool(replacement) or bool(others)

    def _fill_floor(self) -> None:
        for item in self._floor:
            if self._expected_holders(item.item):
                continue
            remote = self._state.remote_holders.get(item.item, 0)
            gain = FLOOR_GAIN if remote else OUT_OF_REACH_GAIN
            if not self._place(item, gain + item.priority, "floor") and not remote:
                self._out_of_reach.append(item.target)
        floor_targets = {item.target for item in self._floor}
        for target, item in self._state.items.items():
            if target in floor_targets or self._expected_holders(item.item):
                continue
            if not self._state.remote_holders.get(item.item, 0):
                self._out_of_reach.append(target)

    def _place(self, item: Item, gain: float, reason: str) -> bool:
        """Order a load, or the unload that makes room for it; ``False`` if nothing can."""
        hosts = self._hosts_for(item)
        idle = [engine for engine in hosts if engine.name not in self._busy]
        fitting = [engine for engine in idle if self._free[engine.name] >= item.memory_mib]
        if fitting:
            best = min(fitting, key=lambda engine: self._placement_cost(engine, item))
            self._order(best, "load", item.item, item.memory_mib, gain, reason)
            return True
        if any(self._free[engine.name] >= item.memory_mib for engine in hosts):
            return True  # an engine with room is busy with an order and will be asked next time
        eviction = self._cheapest_eviction(item, idle, allow_floor=reason == "floor")
        if eviction is None:
            return len(idle) < len(hosts) or self._waits_for_base(item)
        self._order(self._engines[eviction.engine], "unload", eviction.item, 0, gain, reason)
        return True

    def _waits_for_base(self, item: Item) -> bool:
        return item.base_item is not None and bool(self._coming.get(item.base_item))

    def _hosts_for(self, item: Item) -> list[EngineView]:
        """Return the engines on which an item can be placed; adapters follow their model."""
        available = [engine for engine in self._state.engines if engine.available]
        if item.base_item is None:
            return [engine for engine in available if not engine.will_hold(item.item)]
        return [
            engine
            for engine in available
            if engine.holds(item.base_item) and not engine.will_hold(item.item)
        ]

    def _placement_cost(self, engine: EngineView, item: Item) -> tuple[int, float, int, str]:
        """Prefer room for the model's adapters, then spare slots for demand, then a tight fit."""
        target = base_target_of(item.item)
        family_mib = sum(
            other.memory_mib for other in self._state.items.values() if other.base_item == item.item
        )
        left = self._free[engine.name] - item.memory_mib
        expects_demand = self._state.demand.get(target, 0.0) > 0.0
        spare = self._split.spare.get(engine.name, 0.0)
        return (
            0 if left >= family_mib else 1,
            -spare if expects_demand else 0.0,
            left,
            engine.name,
        )

    def _cheapest_eviction(
        self, item: Item, engines: Sequence[EngineView], *, allow_floor: bool
    ) -> Eviction | None:
        return choose_eviction(
            item,
            engines,
            state=self._state,
            holders=self._holders,
            floor={floor.item: rank for rank, floor in enumerate(self._floor)},
            served=self._split.served,
            allow_floor=allow_floor,
        )

    def _add_replicas(self) -> None:
        """Add replicas where the requests they would serve are worth more than the moves."""
        unserved = sorted(
            ((amount, target) for target, amount in self._split.unserved.items() if amount > 1e-6),
            reverse=True,
        )
        for amount, target in unserved:
            item = self._state.items.get(target)
            if item is not None and self._expected_holders(item.item):
                self._add_replica(item, amount)

    def _add_replica(self, item: Item, unserved: float) -> None:
        hosts = [engine for engine in self._hosts_for(item) if engine.name not in self._busy]
        if not hosts:
            self._add_base_replica(item, unserved)
            return
        spare = self._split.spare
        hosts.sort(key=lambda engine: (-spare.get(engine.name, 0.0), engine.name))
        for engine in hosts:
            gain = self._gain(item, unserved, spare.get(engine.name, 0.0), moves=1)
            if gain <= 0.0:
                return
            if self._free[engine.name] >= item.memory_mib:
                self._order(engine, "load", item.item, item.memory_mib, gain, "demand")
                return
            eviction = self._cheapest_eviction(item, [engine], allow_floor=False)
            if eviction is not None and self._worth_evicting(item, unserved, engine, eviction):
                self._order(engine, "unload", eviction.item, 0, gain, "demand")
                return

    def _add_base_replica(self, item: Item, unserved: float) -> None:
        """Begin an adapter's new replica with its model, unless one is coming already."""
        if item.base_item is None or self._coming.get(item.base_item):
            return
        base = self._state.items.get(base_target_of(item.item))
        if base is not None and base.item == item.base_item:
            self._add_replica(base, unserved)

    def _worth_evicting(
        self, item: Item, unserved: float, engine: EngineView, eviction: Eviction
    ) -> bool:
        spare = self._split.spare.get(engine.name, 0.0)
        gain = self._gain(item, unserved, spare, moves=1 + eviction.moves)
        return gain > eviction.lost_requests * self._state.objective.attainment_weight

    def _gain(self, item: Item, unserved: float, spare: float, *, moves: int) -> float:
        objective = self._state.objective
        service_s = self._state.service_s.get(item.target, DEFAULT_SERVICE_S)
        requests = min(unserved, spare) / service_s * HORIZON_S
        return requests * objective.attainment_weight - moves * objective.move_weight

    def _order(
        self, engine: EngineView, action: str, item: str, memory_mib: int, gain: float, reason: str
    ) -> None:
        self._busy.add(engine.name)
        self._free[engine.name] -= memory_mib
        if action == "load":
            self._coming[item].append(engine.name)
        self._orders.append(
            PlannedOrder(
                engine=engine.name,
                action=action,
                item=item,
                memory_mib=memory_mib,
                gain=gain,
                reason=reason,
            )
        )


def make_plan(state: PlacementInput) -> Plan:
    """Return the orders that are worth giving in one zone now."""
    return Planner(state=state).plan()


def _has_adapters(engine: EngineView, item: str) -> bool:
    return any(
        is_adapter(resident.item) and base_item_of(resident.item) == item
        for resident in engine.record.resident
    )
