"""Replicas for demand, added where their expected requests outweigh the cost of the moves.

Every zone computes from the same digests how many replicas are missing and which zones have the
capacity for them, and adds only its own share, so zones need no coordinator. If their views differ
slightly, one replica too many is added, or one is added late, but memory is never overcommitted.
"""

from __future__ import annotations

import math

from typing import TYPE_CHECKING

from cactusshunt.decisions.capacity_split import USABLE_SLOT_FRACTION
from cactusshunt.decisions.names import base_target_of

if TYPE_CHECKING:
    from cactusshunt.decisions.catalogue import Item
    from cactusshunt.decisions.eviction import EvictionPlanner
    from cactusshunt.decisions.placement_input import EngineView
    from cactusshunt.decisions.placement_state import PlacementState

VALUE_HORIZON_S = 120.0  # time over which the requests of a new replica are counted
MAX_TARGETS_PER_PASS = 8  # those with the largest shortage; later passes take the rest
MAX_ENGINES_TRIED_PER_REPLICA = 6
MIN_SHORTAGE_SLOTS = 0.05
RANK_KEPT_ELSEWHERE = 1  # eviction rank, see ``eviction.Eviction``


def add_replicas(state: PlacementState, eviction_planner: EvictionPlanner) -> None:
    """Plan this zone's share of the missing replicas."""
    _ReplicaPass(state=state, eviction_planner=eviction_planner).add()


class _ReplicaPass:
    """One pass over the targets whose holders have too few slots."""

    def __init__(self, *, state: PlacementState, eviction_planner: EvictionPlanner) -> None:
        self._state = state
        self._eviction_planner = eviction_planner
        self._spare_slots_by_zone = self._sum_spare_slots()

    def add(self) -> None:
        """Plan replicas, the largest shortage first."""
        shortages = sorted(
            (
                (shortage, target)
                for target, shortage in self._state.capacity_split.unserved_slots.items()
                if shortage > MIN_SHORTAGE_SLOTS
            ),
            reverse=True,
        )
        for shortage, target in shortages[:MAX_TARGETS_PER_PASS]:
            item = self._state.input.items[target]
            if self._state.all_holders(item.item):
                self._add_replicas_for(item, shortage)

    def _sum_spare_slots(self) -> dict[str, float]:
        """Return the spare slots of each reachable zone."""
        state = self._state.input
        spare_slots = dict.fromkeys(state.reachable_zones, 0.0)
        zones = {engine.name: state.availability_zone for engine in state.engines}
        zones.update({e.name: e.availability_zone for e in state.remote_engines})
        for engine, amount in self._state.capacity_split.spare_slots.items():
            zone = zones[engine]
            spare_slots[zone] = spare_slots.get(zone, 0.0) + amount
        return spare_slots

    def _add_replicas_for(self, item: Item, shortage: float) -> None:
        """Plan as many replicas as this zone's share of the shortage requires."""
        for _ in range(self._count_own_replicas(shortage)):
            if not self._add_one(item, shortage):
                return

    def _count_own_replicas(self, shortage: float) -> int:
        """Assign each missing replica to the zone with the most spare slots; count this zone's."""
        slots = [engine.slots for engine in self._state.input.engines if engine.available]
        if not slots:
            return 0
        replica_slots = max(slots) * USABLE_SLOT_FRACTION
        own = 0
        for _ in range(math.ceil(shortage / replica_slots)):
            zone = max(
                self._spare_slots_by_zone, key=lambda name: (self._spare_slots_by_zone[name], name)
            )
            self._spare_slots_by_zone[zone] -= min(shortage, replica_slots)
            own += zone == self._state.input.availability_zone
        return own

    def _add_one(self, item: Item, shortage: float) -> bool:
        hosts = [e for e in self._state.hosts_for(item) if self._state.may_take_order(e)]
        if not hosts:
            return self._add_base(item, shortage)
        spare_slots = self._state.capacity_split.spare_slots
        hosts.sort(key=lambda engine: (-spare_slots.get(engine.name, 0.0), engine.name))
        return any(
            self._order_on(engine, item, shortage)
            for engine in hosts[:MAX_ENGINES_TRIED_PER_REPLICA]
        )

    def _order_on(self, engine: EngineView, item: Item, shortage: float) -> bool:
        spare_slots = self._state.capacity_split.spare_slots.get(engine.name, 0.0)
        if self._state.free_mib_by_engine[engine.name] >= item.memory_mib:
            net_value = self._net_value(item, min(shortage, spare_slots), moves=1)
            if net_value > 0.0:
                self._state.plan_order(engine, "load", item.item, net_value, "demand")
            return net_value > 0.0
        eviction = self._eviction_planner.choose(item, [engine], max_rank=RANK_KEPT_ELSEWHERE)
        if eviction is None:
            return False
        usable_slots = min(shortage, spare_slots + eviction.freed_slots)
        net_value = (
            self._net_value(item, usable_slots, moves=1 + eviction.moves) - eviction.lost_requests
        )
        if net_value > 0.0:
            self._state.plan_order(engine, "unload", eviction.item, net_value, "demand")
        return net_value > 0.0

    def _add_base(self, item: Item, shortage: float) -> bool:
        """Start an adapter's replica by loading its model, unless the model is already loading."""
        if item.base_item is None or self._state.coming(item.base_item):
            return False
        base = self._state.input.items.get(base_target_of(item.item))
        if base is None or base.item != item.base_item:
            return False
        return self._add_one(base, shortage)

    def _net_value(self, item: Item, slots: float, *, moves: int) -> float:
        """Return the weighted requests served over the horizon less the cost of the moves."""
        objective = self._state.input.objective
        requests = slots / self._state.service_s(item.target) * VALUE_HORIZON_S
        return requests * objective.attainment_weight - moves * objective.move_weight
