"""Choice of the items to unload to free memory, by cost."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cactusshunt.decisions.names import base_item_of
from cactusshunt.decisions.names import is_adapter
from cactusshunt.decisions.names import target_of

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cactusshunt.decisions.catalogue import Item
    from cactusshunt.decisions.floor import Floor
    from cactusshunt.decisions.placement_input import EngineView
    from cactusshunt.decisions.placement_state import PlacementState
    from cactusshunt.schema.generated.messages import Resident

LOST_SERVICE_HORIZON_S = 120.0  # time over which lost requests are counted
RANK_NEVER = 9  # rank of items that must not be unloaded


@dataclass(frozen=True, kw_only=True)
class Eviction:
    """The next item to unload on one engine, and the cost of all unloads needed there.

    ``rank`` is 0 for surplus replicas and undeclared items, 1 for the zone's last replica of an
    item that another zone keeps, 2 for a last replica that this zone should keep, and 9 for an old
    version whose new version no reachable engine holds. ``freed_slots`` is the number of slots
    that served the unloaded items on this engine, ``lost_requests`` the number of requests that no
    other holder can serve within the horizon, and ``moves`` the number of items to unload.
    """

    engine: str
    item: str
    rank: int
    lost_requests: float
    freed_slots: float
    moves: int


@dataclass(frozen=True, kw_only=True)
class _Candidate:
    """A model with its adapters, or a single adapter; ``members`` in the order of unloading."""

    members: tuple[Resident, ...]
    rank: int
    max_priority: int
    lost_requests: float
    freed_slots: float


class EvictionPlanner:
    """Eviction candidates of each engine, recomputed after each planned order."""

    def __init__(self, *, state: PlacementState, floor: Floor) -> None:
        self._state = state
        self._mandatory = {item.item for item in floor.items_to_keep}
        self._cached_candidates: dict[str, list[_Candidate]] = {}
        self._cached_order_count = 0

    def choose(
        self, item: Item, engines: Iterable[EngineView], *, max_rank: int
    ) -> Eviction | None:
        """Return the cheapest eviction that frees memory for an item, or ``None``."""
        found = [
            eviction
            for engine in engines
            if (eviction := self._choose_on(item, engine, max_rank)) is not None
        ]
        return min(found, key=_cost_key, default=None)

    def _choose_on(self, item: Item, engine: EngineView, max_rank: int) -> Eviction | None:
        missing_mib = item.memory_mib - self._state.free_mib_by_engine[engine.name]
        chosen: list[_Candidate] = []
        unloaded_mib: dict[str, int] = {}
        for candidate in self._candidates_on(engine):
            if sum(unloaded_mib.values()) >= missing_mib:
                break
            if self._may_evict(candidate, item, max_rank):
                chosen.append(candidate)
                unloaded_mib.update({r.item: r.memory_mib for r in candidate.members})
        if sum(unloaded_mib.values()) < missing_mib or not chosen:
            return None
        return Eviction(
            engine=engine.name,
            item=chosen[0].members[0].item,
            rank=max(candidate.rank for candidate in chosen),
            lost_requests=sum(candidate.lost_requests for candidate in chosen),
            freed_slots=sum(candidate.freed_slots for candidate in chosen),
            moves=len(unloaded_mib),
        )

    def _may_evict(self, candidate: _Candidate, item: Item, max_rank: int) -> bool:
        if candidate.rank > max_rank:
            return False
        # A last replica may be unloaded only for an item of higher priority.
        if candidate.rank == max_rank > 1 and candidate.max_priority >= item.priority:
            return False
        return all(r.item not in (item.item, item.base_item) for r in candidate.members)

    def _candidates_on(self, engine: EngineView) -> list[_Candidate]:
        if self._cached_order_count != len(self._state.orders):
            self._cached_order_count = len(self._state.orders)
            self._cached_candidates.clear()
        candidates = self._cached_candidates.get(engine.name)
        if candidates is None:
            candidates = sorted(self._list_candidates(engine), key=_candidate_cost_key)
            self._cached_candidates[engine.name] = candidates
        return candidates

    def _list_candidates(self, engine: EngineView) -> list[_Candidate]:
        adapters: dict[str, list[Resident]] = defaultdict(list)
        for resident in engine.record.resident:
            if is_adapter(resident.item):
                adapters[base_item_of(resident.item)].append(resident)
        return [
            self._build_candidate((*adapters.get(resident.item, ()), resident), engine)
            for resident in engine.record.resident
        ]

    def _build_candidate(self, members: tuple[Resident, ...], engine: EngineView) -> _Candidate:
        return _Candidate(
            members=members,
            rank=max(self._rank(member) for member in members),
            max_priority=max(self._priority(member) for member in members),
            lost_requests=sum(self._lost_requests(member, engine) for member in members),
            freed_slots=sum(self._served_slots(member, engine) for member in members),
        )

    def _rank(self, resident: Resident) -> int:
        """Return the eviction rank of a replica; a higher one does more harm."""
        if len(self._state.local_holders(resident.item)) > 1:
            return 0
        declared = self._state.input.items.get(target_of(resident.item))
        if declared is None:
            return 0
        if declared.item != resident.item:
            return 0 if self._state.all_holders(declared.item) else RANK_NEVER
        if resident.item in self._mandatory or self._state.is_keeper(declared):
            return 2
        return 1

    def _priority(self, resident: Resident) -> int:
        declared = self._state.input.items.get(target_of(resident.item))
        return declared.priority if declared is not None else 0

    def _served_slots(self, resident: Resident, engine: EngineView) -> float:
        target = target_of(resident.item)
        return self._state.capacity_split.served_slots.get((target, engine.name), 0.0)

    def _lost_requests(self, resident: Resident, engine: EngineView) -> float:
        """Return the requests over the horizon that the other holders have no slots for."""
        served_slots = self._served_slots(resident, engine)
        if served_slots <= 0.0:
            return 0.0
        spare_slots = self._state.capacity_split.spare_slots
        others = self._state.all_holders(resident.item)
        spare_elsewhere = sum(spare_slots.get(name, 0.0) for name in others if name != engine.name)
        lost_slots = max(0.0, served_slots - spare_elsewhere)
        return lost_slots / self._state.service_s(target_of(resident.item)) * LOST_SERVICE_HORIZON_S


def _cost_key(eviction: Eviction) -> tuple[int, float, int, str]:
    return (eviction.rank, eviction.lost_requests, eviction.moves, eviction.engine)


def _candidate_cost_key(candidate: _Candidate) -> tuple[int, float, int]:
    return (candidate.rank, candidate.lost_requests, len(candidate.members))
