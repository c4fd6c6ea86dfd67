"""Placement of models and adapters on the engines of one zone.

The plan is incremental: it keeps resident items in place and contains only the orders whose
expected value exceeds their cost. Precedence: items that no reachable engine holds, unloading of
replaced versions, the floor of this zone (the items of which it keeps a replica), then replicas
for demand.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusshunt.decisions.eviction import EvictionPlanner
from cactusshunt.decisions.floor import choose_floor
from cactusshunt.decisions.floor import home_rank
from cactusshunt.decisions.names import base_item_of
from cactusshunt.decisions.names import is_adapter
from cactusshunt.decisions.names import target_of
from cactusshunt.decisions.placement_input import Plan
from cactusshunt.decisions.placement_state import PlacementState
from cactusshunt.decisions.replicas import add_replicas

if TYPE_CHECKING:
    from cactusshunt.decisions.catalogue import Item
    from cactusshunt.decisions.floor import Floor
    from cactusshunt.decisions.placement_input import EngineView
    from cactusshunt.decisions.placement_input import PlacementInput

# Values of orders that are not for demand; far apart so that they keep the precedence.
UNHELD_ITEM_VALUE = 1e9
REPLACED_VERSION_VALUE = 1e7
FLOOR_VALUE = 1e6
OPTIONAL_FLOOR_VALUE = 1.0
ZONE_TURN_DELAY_S = 20.0  # between the turns of two zones in an item's home order
# Eviction ranks, see ``eviction.Eviction``.
RANK_SURPLUS = 0
RANK_LAST_REPLICA = 2


def make_plan(state: PlacementInput) -> Plan:
    """Return the orders whose value exceeds their cost in one zone now."""
    return _PlanningPass(state=state).plan()


class _PlanningPass:
    """One planning pass over a zone."""

    def __init__(self, *, state: PlacementInput) -> None:
        self._input = state
        self._state = PlacementState(state=state)
        self._floor = self._choose_floor()
        self._eviction_planner = EvictionPlanner(state=self._state, floor=self._floor)
        self._out_of_reach: list[str] = []

    def plan(self) -> Plan:
        """Return the plan; to be called once."""
        self._unload_undeclared()
        self._place_unheld_items()
        self._fill_floor()
        add_replicas(self._state, self._eviction_planner)
        self._fill_free_memory()
        orders = sorted(self._state.orders, key=lambda order: -order.net_value)
        return Plan(orders=tuple(orders), out_of_reach=tuple(self._out_of_reach))

    def _choose_floor(self) -> Floor:
        available = [engine for engine in self._input.engines if engine.available]
        return choose_floor(
            self._input.items,
            capacity_mib=sum(engine.record.capacity_mib for engine in available),
            demand=self._input.demand,
        )

    def _unload_undeclared(self) -> None:
        """Unload undeclared items; an old version only after its new version is held."""
        declared = {item.item for item in self._input.items.values()}
        for engine in self._input.engines:
            if not self._state.may_take_order(engine):
                continue
            stale = [r.item for r in engine.record.resident if r.item not in declared]
            stale.sort(key=lambda item: not is_adapter(item))
            for item in stale:
                if self._may_unload_undeclared(engine, item):
                    self._state.plan_order(
                        engine, "unload", item, REPLACED_VERSION_VALUE, "undeclared"
                    )
                    break

    def _may_unload_undeclared(self, engine: EngineView, item: str) -> bool:
        if not is_adapter(item) and _has_adapters(engine, item):
            return False
        current = self._input.items.get(target_of(item))
        if current is None:
            return True
        return bool(self._state.local_holders(current.item))

    def _place_unheld_items(self) -> None:
        """Place items that no reachable engine holds, evicting items of lower precedence."""
        for item in (*self._floor.items_to_keep, *self._floor.items_for_free_memory):
            if self._state.all_holders(item.item) or not self._is_zones_turn(item):
                continue
            if not self._place(item, UNHELD_ITEM_VALUE + item.priority, RANK_LAST_REPLICA, "reach"):
                self._out_of_reach.append(item.target)

    def _is_zones_turn(self, item: Item) -> bool:
        """Tell whether it is this zone's turn to place an item that no reachable engine holds.

        The first zone in the item's home order acts at once, each further zone one delay later.
        """
        rank = home_rank(item, self._input.availability_zone, self._input.reachable_zones)
        since = self._input.unheld_since.get(item.item, self._input.now)
        return self._input.now - since >= rank * ZONE_TURN_DELAY_S

    def _fill_floor(self) -> None:
        for item in self._floor.items_to_keep:
            if not self._state.expected_holders(item.item):
                self._place(item, FLOOR_VALUE + item.priority, RANK_SURPLUS, "floor")

    def _place(self, item: Item, net_value: float, max_rank: int, reason: str) -> bool:
        """Order a load, or an unload that frees memory; ``False`` if a later pass cannot either."""
        hosts = self._state.hosts_for(item)
        ready_hosts = [engine for engine in hosts if self._state.may_take_order(engine)]
        engines_with_memory = [
            e for e in ready_hosts if self._state.free_mib_by_engine[e.name] >= item.memory_mib
        ]
        if engines_with_memory:
            best = min(engines_with_memory, key=lambda engine: self._placement_cost(engine, item))
            self._state.plan_order(best, "load", item.item, net_value, reason)
            return True
        if any(self._state.free_mib_by_engine[engine.name] >= item.memory_mib for engine in hosts):
            return True  # an engine with enough memory is busy; a later pass will use it
        eviction = self._eviction_planner.choose(item, ready_hosts, max_rank=max_rank)
        if eviction is not None:
            engine = self._state.engines[eviction.engine]
            self._state.plan_order(engine, "unload", eviction.item, net_value, reason)
            return True
        return len(ready_hosts) < len(hosts) or self._waits_for_base(item)

    def _waits_for_base(self, item: Item) -> bool:
        return item.base_item is not None and bool(self._state.coming(item.base_item))

    def _placement_cost(self, engine: EngineView, item: Item) -> tuple[int, float, int, str]:
        """Return a sort key: memory for the adapters, most spare slots, least memory left."""
        adapters_mib = sum(
            other.memory_mib for other in self._input.items.values() if other.base_item == item.item
        )
        remaining_mib = self._state.free_mib_by_engine[engine.name] - item.memory_mib
        has_demand = self._input.demand.get(item.target, 0.0) > 0.0
        spare_slots = self._state.capacity_split.spare_slots.get(engine.name, 0.0)
        return (
            0 if remaining_mib >= adapters_mib else 1,
            -spare_slots if has_demand else 0.0,
            remaining_mib,
            engine.name,
        )

    def _fill_free_memory(self) -> None:
        """Load optional floor items into free memory, beyond a reserve for the largest item."""
        reserve_mib = max((item.memory_mib for item in self._input.items.values()), default=0)
        for item in self._floor.items_for_free_memory:
            if self._state.expected_holders(item.item):
                continue
            engines_with_memory = [
                engine
                for engine in self._state.hosts_for(item)
                if self._state.may_take_order(engine)
                and self._state.free_mib_by_engine[engine.name] - reserve_mib >= item.memory_mib
            ]
            if engines_with_memory:
                best = min(
                    engines_with_memory, key=lambda engine: self._placement_cost(engine, item)
                )
                self._state.plan_order(best, "load", item.item, OPTIONAL_FLOOR_VALUE, "floor")


def _has_adapters(engine: EngineView, item: str) -> bool:
    return any(
        is_adapter(resident.item) and base_item_of(resident.item) == item
        for resident in engine.record.resident
    )
