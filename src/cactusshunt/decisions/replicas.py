"""Replicas for demand: added where the requests they serve are worth more than the moves.

Every zone works out from the same digests how many replicas are missing and which zones have the
capacity for them, and carries out only its own part; so zones need no coordinator, and views that
differ a little cost a replica too many or too late, never memory.
"""

from __future__ import annotations

import math

from typing import TYPE_CHECKING

from cactusshunt.decisions.capacity_split import USABLE_PART
from cactusshunt.decisions.names import base_target_of

if TYPE_CHECKING:
    from cactusshunt.decisions.catalogue import Item
    from cactusshunt.decisions.eviction import Evictions
    from cactusshunt.decisions.placement_input import EngineView
    from cactusshunt.decisions.placement_state import PlacementState

HORIZON_S = 120.0  # time over which a new replica is expected to be of use
TARGETS_PER_PASS = 8  # the shortest of capacity; the rest have their turn in later passes
ENGINES_PER_TARGET = 6
SMALLEST_SHORTAGE = 0.05  # slots
RANK_OPTIONAL = 1


def add_replicas(state: PlacementState, evictions: Evictions) -> None:
    """Plan this zone's part of the missing replicas."""
    _Replicas(state=state, evictions=evictions).add()


class _Replicas:
    """One pass over the targets that are short of capacity."""

    def __init__(self, *, state: PlacementState, evictions: Evictions) -> None:
        self._state = state
        self._evictions = evictions
        self._zone_spare = self._sum_spare()

    def add(self) -> None:
        """Plan replicas, the greatest shortage first."""
        shortages = sorted(
            (
                (amount, target)
                for target, amount in self._state.split.unserved_slots.items()
                if amount > SMALLEST_SHORTAGE
            ),
            reverse=True,
        )
        for amount, target in shortages[:TARGETS_PER_PASS]:
            item = self._state.input.items[target]
            if self._state.all_holders(item.item):
                self._add_for(item, amount)

    def _sum_spare(self) -> dict[str, float]:
        """Return the spare slots of each zone in reach."""
        state = self._state.input
        spare = dict.fromkeys(state.reachable_zones, 0.0)
        zones = {engine.name: state.availability_zone for engine in state.engines}
        zones.update({e.name: e.availability_zone for e in state.remote_engines})
        for engine, amount in self._state.split.spare.items():
            zone = zones[engine]
            spare[zone] = spare.get(zone, 0.0) + amount
        return spare

    def _add_for(self, item: Item, shortage: float) -> None:
        """Plan as many replicas as this zone's part of the shortage asks for."""
        for _ in range(self._count_own_part(shortage)):
            if not self._add_one(item, shortage):
                return

    def _count_own_part(self, shortage: float) -> int:
        """Give each missing replica to the zone with the most spare slots; count our own."""
        slots = [engine.slots for engine in self._state.input.engines if engine.available]
        if not slots:
            return 0
        size = max(slots) * USABLE_PART
        own = 0
        for _ in range(math.ceil(shortage / size)):
            zone = max(self._zone_spare, key=lambda name: (self._zone_spare[name], name))
            self._zone_spare[zone] -= min(shortage, size)
            own += zone == self._state.input.availability_zone
        return own

    def _add_one(self, item: Item, shortage: float) -> bool:
        hosts = [e for e in self._state.hosts_for(item) if self._state.is_idle(e)]
        if not hosts:
            return self._add_base(item, shortage)
        spare = self._state.split.spare
        hosts.sort(key=lambda engine: (-spare.get(engine.name, 0.0), engine.name))
        return any(self._order_at(engine, item, shortage) for engine in hosts[:ENGINES_PER_TARGET])

    def _order_at(self, engine: EngineView, item: Item, shortage: float) -> bool:
        spare = self._state.split.spare.get(engine.name, 0.0)
        if self._state.free[engine.name] >= item.memory_mib:
            net_value = self._gain(item, min(shortage, spare), moves=1)
            if net_value > 0.0:
                self._state.give(engine, "load", item.item, net_value, "demand")
            return net_value > 0.0
        eviction = self._evictions.choose(item, [engine], highest_rank=RANK_OPTIONAL)
        if eviction is None:
            return False
        usable = min(shortage, spare + eviction.freed_slots)
        net_value = self._gain(item, usable, moves=1 + eviction.moves) - eviction.lost_requests
        if net_value > 0.0:
            self._state.give(engine, "unload", eviction.item, net_value, "demand")
        return net_value > 0.0

    def _add_base(self, item: Item, shortage: float) -> bool:
        """Begin an adapter's new replica with its model, unless one is coming already."""
        if item.base_item is None or self._state.coming(item.base_item):
            return False
        base = self._state.input.items.get(base_target_of(item.item))
        if base is None or base.item != item.base_item:
            return False
        return self._add_one(base, shortage)

    def _gain(self, item: Item, slots: float, *, moves: int) -> float:
        """Return the requests served over the horizon less the price of the moves."""
        objective = self._state.input.objective
        requests = slots / self._state.service_s(item.target) * HORIZON_S
        return requests * objective.attainment_weight - moves * objective.move_weight
