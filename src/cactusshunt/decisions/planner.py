"""Placement of models and adapters on the engines of one zone.

The plan is incremental: it keeps what is resident and names the few orders whose expected gain
exceeds their price. Precedence: items out of reach, replacement of old versions, the floor of this
zone, then replicas for demand.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusshunt.decisions.eviction import Evictions
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

OUT_OF_REACH_GAIN = 1e9
VERSION_GAIN = 1e7
FLOOR_GAIN = 1e6
OPTIONAL_GAIN = 1.0
HOME_GRACE_S = 20.0  # time that an item's home zone has before the next zone places it
RANK_FREE = 0
RANK_ANY = 2


def make_plan(state: PlacementInput) -> Plan:
    """Return the orders that are worth giving in one zone now."""
    return _Pass(state=state).plan()


class _Pass:
    """One planning pass."""

    def __init__(self, *, state: PlacementInput) -> None:
        self._input = state
        self._state = PlacementState(state=state)
        self._floor = self._choose_floor()
        self._evictions = Evictions(state=self._state, floor=self._floor)
        self._out_of_reach: list[str] = []

    def plan(self) -> Plan:
        """Return the plan."""
        self._unload_undeclared()
        self._place_unheld()
        self._fill_floor()
        add_replicas(self._state, self._evictions)
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
        """Unload items that are no longer declared, old versions only once replaced."""
        declared = {item.item for item in self._input.items.values()}
        for engine in self._input.engines:
            if not self._state.is_idle(engine):
                continue
            stale = [r.item for r in engine.record.resident if r.item not in declared]
            stale.sort(key=lambda item: not is_adapter(item))
            for item in stale:
                if self._may_unload_stale(engine, item):
                    self._state.give(engine, "unload", item, VERSION_GAIN, "undeclared")
                    break

    def _may_unload_stale(self, engine: EngineView, item: str) -> bool:
        if not is_adapter(item) and _has_adapters(engine, item):
            return False
        current = self._input.items.get(target_of(item))
        if current is None:
            return True
        return bool(self._state.local_holders(current.item))

    def _place_unheld(self) -> None:
        """Place what no engine in reach holds, evicting what is of lower precedence."""
        for item in (*self._floor.mandatory, *self._floor.optional):
            if self._state.all_holders(item.item) or not self._is_answerable(item):
                continue
            if not self._place(item, OUT_OF_REACH_GAIN + item.priority, RANK_ANY, "reach"):
                self._out_of_reach.append(item.target)

    def _is_answerable(self, item: Item) -> bool:
        """Tell whether it is this zone's turn to place an item that nobody holds.

        The item's home zone acts at once, each further zone one grace period later.
        """
        rank = home_rank(item, self._input.availability_zone, self._input.reachable_zones)
        since = self._input.unheld_since.get(item.item, self._input.now)
        return self._input.now - since >= rank * HOME_GRACE_S

    def _fill_floor(self) -> None:
        for item in self._floor.mandatory:
            if not self._state.expected_holders(item.item):
                self._place(item, FLOOR_GAIN + item.priority, RANK_FREE, "floor")

    def _place(self, item: Item, net_value: float, highest_rank: int, reason: str) -> bool:
        """Order a load, or the unload that makes room for it; ``False`` if nothing can."""
        hosts = self._state.hosts_for(item)
        idle = [engine for engine in hosts if self._state.is_idle(engine)]
        fitting = [e for e in idle if self._state.free[e.name] >= item.memory_mib]
        if fitting:
            best = min(fitting, key=lambda engine: self._placement_cost(engine, item))
            self._state.give(best, "load", item.item, net_value, reason)
            return True
        if any(self._state.free[engine.name] >= item.memory_mib for engine in hosts):
            return True  # an engine with room is busy with an order and will be asked next time
        eviction = self._evictions.choose(item, idle, highest_rank=highest_rank)
        if eviction is not None:
            engine = self._state.engines[eviction.engine]
            self._state.give(engine, "unload", eviction.item, net_value, reason)
            return True
        return len(idle) < len(hosts) or self._waits_for_base(item)

    def _waits_for_base(self, item: Item) -> bool:
        return item.base_item is not None and bool(self._state.coming(item.base_item))

    def _placement_cost(self, engine: EngineView, item: Item) -> tuple[int, float, int, str]:
        """Prefer room for the model's adapters, then spare slots for demand, then a tight fit."""
        family_mib = sum(
            other.memory_mib for other in self._input.items.values() if other.base_item == item.item
        )
        left = self._state.free[engine.name] - item.memory_mib
        expects_demand = self._input.demand.get(item.target, 0.0) > 0.0
        spare = self._state.split.spare.get(engine.name, 0.0)
        return (
            0 if left >= family_mib else 1,
            -spare if expects_demand else 0.0,
            left,
            engine.name,
        )

    def _fill_free_memory(self) -> None:
        """Place optional floor items where that takes no memory from anything else."""
        reserve = max((item.memory_mib for item in self._input.items.values()), default=0)
        for item in self._floor.optional:
            if self._state.expected_holders(item.item):
                continue
            fitting = [
                engine
                for engine in self._state.hosts_for(item)
                if self._state.is_idle(engine)
                and self._state.free[engine.name] - reserve >= item.memory_mib
            ]
            if fitting:
                best = min(fitting, key=lambda engine: self._placement_cost(engine, item))
                self._state.give(best, "load", item.item, OPTIONAL_GAIN, "floor")


def _has_adapters(engine: EngineView, item: str) -> bool:
    return any(
        is_adapter(resident.item) and base_item_of(resident.item) == item
        for resident in engine.record.resident
    )
