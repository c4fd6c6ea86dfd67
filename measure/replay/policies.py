"""Placement policies: the planner and the baselines that it is compared with."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Protocol

from cactusshunt.decisions.capacity_split import split_capacity
from cactusshunt.decisions.floor import choose_floor
from cactusshunt.decisions.floor import home_rank
from cactusshunt.decisions.names import base_item_of
from cactusshunt.decisions.names import is_adapter
from cactusshunt.decisions.placement_input import Plan
from cactusshunt.decisions.placement_input import PlannedOrder
from cactusshunt.decisions.planner import make_plan

if TYPE_CHECKING:
    from cactusshunt.decisions.catalogue import Item
    from cactusshunt.decisions.placement_input import EngineView
    from cactusshunt.decisions.placement_input import PlacementInput


class Policy(Protocol):
    """Decides on the orders for the engines of one zone."""

    name: str

    def plan(self, state: PlacementInput, missed_since: dict[str, float]) -> Plan:
        """Return orders for the zone's engines.

        ``missed_since`` holds, for each target that was requested while no engine had its item
        loaded, the time of the first such request.
        """


@dataclass(kw_only=True)
class PlannerPolicy:
    """The planner that the system runs."""

    name: str = "planner"

    def plan(self, state: PlacementInput, missed_since: dict[str, float]) -> Plan:
        """Return the planner's orders."""
        del missed_since
        return make_plan(state)


@dataclass(kw_only=True)
class StaticPolicy:
    """Keeps the even initial placement that all policies start from."""

    name: str = "static spread"

    def plan(self, state: PlacementInput, missed_since: dict[str, float]) -> Plan:
        """Return no orders."""
        del state, missed_since
        return Plan()


@dataclass(kw_only=True)
class OnDemandPolicy:
    """Loads requested items that no engine has loaded, evicting the least recently used ones."""

    name: str = "on demand, LRU"
    used_at: dict[str, float] = field(default_factory=lambda: defaultdict(float))

    def plan(self, state: PlacementInput, missed_since: dict[str, float]) -> Plan:
        """Load missed items, beginning with the one missed for the longest time."""
        for target, rate in state.demand.items():
            if rate > 0.01 and target in state.items:
                self.used_at[state.items[target].item] = state.now
        orders: list[PlannedOrder] = []
        busy: set[str] = set()
        for target in sorted(missed_since, key=missed_since.__getitem__):
            item = state.items[target]
            engines = [e for e in state.engines if e.can_take_order and e.name not in busy]
            if any(engine.will_hold(item.item) for engine in state.engines):
                continue
            order = _load_or_evict(item, engines, self.used_at)
            if order is not None:
                busy.add(order.engine)
                orders.append(order)
        return Plan(orders=tuple(orders))


@dataclass(kw_only=True)
class GreedyPolicy:
    """Computes the ideal placement for the current demand on each pass and moves towards it."""

    name: str = "greedy re-plan"

    def plan(self, state: PlacementInput, missed_since: dict[str, float]) -> Plan:
        """Return at most one order for each engine, towards the ideal placement."""
        del missed_since
        desired = _ideal_placement(state)
        orders = []
        for engine in state.engines:
            if not engine.can_take_order:
                continue
            order = _choose_order(engine, desired[engine.name], state)
            if order is not None:
                orders.append(order)
        return Plan(orders=tuple(orders))


def _ideal_placement(state: PlacementInput) -> dict[str, set[str]]:
    """Place a replica of each item, then add replicas where capacity is short."""
    desired: dict[str, set[str]] = {engine.name: set() for engine in state.engines}
    free = {e.name: e.record.capacity_mib if e.available else 0 for e in state.engines}
    holders: dict[str, list[str]] = defaultdict(list)
    floor = choose_floor(
        state.items,
        capacity_mib=sum(free.values()),
        demand=state.demand,
    )
    kept = [
        item
        for item in (*floor.items_to_keep, *floor.items_for_free_memory)
        if floor.items_to_keep
        or home_rank(item, state.availability_zone, state.reachable_zones) == 0
    ]
    for item in sorted(kept, key=lambda item: item.base_item is not None):
        _add_replica(item, desired, free, holders, state)
    own = sum(engine.slots for engine in state.engines)
    zone_fraction = own / (own + sum(engine.slots for engine in state.remote_engines))
    load = {
        target: zone_fraction * rate * state.service_s.get(target, 1.0)
        for target, rate in state.demand.items()
    }
    for _ in range(40):
        split = split_capacity(
            load={target: amount for target, amount in load.items() if target in state.items},
            holders=holders,
            slots={engine.name: engine.slots for engine in state.engines},
        )
        short_targets = [t for t, amount in split.unserved_slots.items() if amount > 0.05]
        short_targets.sort(key=lambda target: -split.unserved_slots[target])
        if not any(
            _add_replica(state.items[t], desired, free, holders, state) for t in short_targets[:5]
        ):
            break
    return desired


def _add_replica(
    item: Item,
    desired: dict[str, set[str]],
    free: dict[str, int],
    holders: dict[str, list[str]],
    state: PlacementInput,
) -> bool:
    hosts = [
        name
        for name in desired
        if free[name] >= item.memory_mib
        and item.item not in desired[name]
        and (item.base_item is None or item.base_item in desired[name])
    ]
    if not hosts:
        return False
    del state
    best = max(hosts, key=lambda name: (free[name], name))
    desired[best].add(item.item)
    free[best] -= item.memory_mib
    holders[item.target].append(best)
    return True


def _choose_order(
    engine: EngineView, desired: set[str], state: PlacementInput
) -> PlannedOrder | None:
    by_item = {item.item: item for item in state.items.values()}
    present = {resident.item for resident in engine.record.resident}
    missing = [by_item[name] for name in sorted(desired - present, key=is_adapter)]
    for item in missing:
        if engine.free_mib() >= item.memory_mib and (
            item.base_item is None or item.base_item in present
        ):
            return _make_order(engine, "load", item.item, item.memory_mib)
    surplus = sorted(present - desired, key=lambda name: not is_adapter(name))
    if missing and surplus:
        return _make_order(engine, "unload", surplus[0], 0)
    return None


def _load_or_evict(
    item: Item, engines: list[EngineView], used_at: dict[str, float]
) -> PlannedOrder | None:
    hosts = [e for e in engines if item.base_item is None or e.holds(item.base_item)]
    fitting = [engine for engine in hosts if engine.free_mib() >= item.memory_mib]
    if fitting:
        best = max(fitting, key=lambda engine: (engine.free_mib(), engine.name))
        return _make_order(best, "load", item.item, item.memory_mib)
    oldest: tuple[float, str, EngineView] | None = None
    for engine in hosts:
        names = {resident.item for resident in engine.record.resident}
        for name in names - {item.base_item or ""}:
            in_use = any(is_adapter(other) and base_item_of(other) == name for other in names)
            if in_use:
                continue
            found = (used_at[name], name, engine)
            if oldest is None or found[:2] < oldest[:2]:
                oldest = found
    return _make_order(oldest[2], "unload", oldest[1], 0) if oldest is not None else None


def _make_order(engine: EngineView, action: str, item: str, memory_mib: int) -> PlannedOrder:
    return PlannedOrder(
        engine=engine.name,
        action=action,
        item=item,
        memory_mib=memory_mib,
        net_value=0.0,
        reason="baseline",
    )


def make_policies() -> list[Policy]:
    """Return the planner and the baselines."""
    return [PlannerPolicy(), StaticPolicy(), OnDemandPolicy(), GreedyPolicy()]
