"""Choice of what to unload to make room, by what it costs."""

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

LOST_SERVICE_HORIZON_S = 120.0
NEVER = 9  # rank of what must stay


@dataclass(frozen=True, kw_only=True)
class Eviction:
    """The next item to unload on one engine, and the price of all that must go there.

    ``rank`` is 0 for replicas beyond the floor, 1 for items that another zone keeps, 2 for items
    of lower precedence that then are out of reach. ``freed_slots`` is what the unloaded items
    were served with here, and ``lost_requests`` what no other holder can take over.
    """

    engine: str
    item: str
    rank: int
    lost_requests: float
    freed_slots: float
    moves: int


@dataclass(frozen=True, kw_only=True)
class _Candidate:
    """A model with its adapters, or an adapter alone, in the order of unloading."""

    members: tuple[Resident, ...]
    rank: int
    lowest_priority: int
    lost_requests: float
    freed_slots: float


class Evictions:
    """What may be unloaded on each engine, worked out anew after each planned order."""

    def __init__(self, *, state: PlacementState, floor: Floor) -> None:
        self._state = state
        self._mandatory = {item.item for item in floor.mandatory}
        self._candidates: dict[str, list[_Candidate]] = {}
        self._orders_seen = 0

    def choose(
        self, item: Item, engines: Iterable[EngineView], *, highest_rank: int
    ) -> Eviction | None:
        """Return the cheapest way to make room for an item, or ``None`` if there is none."""
        found = [
            eviction
            for engine in engines
            if (eviction := self._choose_on(item, engine, highest_rank)) is not None
        ]
        return min(found, key=_price, default=None)

    def _choose_on(self, item: Item, engine: EngineView, highest_rank: int) -> Eviction | None:
        missing = item.memory_mib - self._state.free[engine.name]
        chosen: list[_Candidate] = []
        unloaded: dict[str, int] = {}
        for candidate in self._candidates_on(engine):
            if sum(unloaded.values()) >= missing:
                break
            if self._may_go(candidate, item, highest_rank):
                chosen.append(candidate)
                unloaded.update({r.item: r.memory_mib for r in candidate.members})
        if sum(unloaded.values()) < missing or not chosen:
            return None
        return Eviction(
            engine=engine.name,
            item=chosen[0].members[0].item,
            rank=max(candidate.rank for candidate in chosen),
            lost_requests=sum(candidate.lost_requests for candidate in chosen),
            freed_slots=sum(candidate.freed_slots for candidate in chosen),
            moves=len(unloaded),
        )

    def _may_go(self, candidate: _Candidate, item: Item, highest_rank: int) -> bool:
        if candidate.rank > highest_rank:
            return False
        if candidate.rank == highest_rank > 1 and candidate.lowest_priority >= item.priority:
            return False
        return all(r.item not in (item.item, item.base_item) for r in candidate.members)

    def _candidates_on(self, engine: EngineView) -> list[_Candidate]:
        if self._orders_seen != len(self._state.orders):
            self._orders_seen = len(self._state.orders)
            self._candidates.clear()
        known = self._candidates.get(engine.name)
        if known is None:
            known = sorted(self._describe_all(engine), key=_candidate_price)
            self._candidates[engine.name] = known
        return known

    def _describe_all(self, engine: EngineView) -> list[_Candidate]:
        adapters: dict[str, list[Resident]] = defaultdict(list)
        for resident in engine.record.resident:
            if is_adapter(resident.item):
                adapters[base_item_of(resident.item)].append(resident)
        return [
            self._describe((*adapters.get(resident.item, ()), resident), engine)
            for resident in engine.record.resident
        ]

    def _describe(self, members: tuple[Resident, ...], engine: EngineView) -> _Candidate:
        return _Candidate(
            members=members,
            rank=max(self._rank(member) for member in members),
            lowest_priority=max(self._priority(member) for member in members),
            lost_requests=sum(self._lost_requests(member, engine) for member in members),
            freed_slots=sum(self._served(member, engine) for member in members),
        )

    def _rank(self, resident: Resident) -> int:
        """Return how much unloading the replica hurts."""
        if len(self._state.local_holders(resident.item)) > 1:
            return 0
        declared = self._state.input.items.get(target_of(resident.item))
        if declared is None:
            return 0
        if declared.item != resident.item:
            return 0 if self._state.all_holders(declared.item) else NEVER
        if resident.item in self._mandatory or self._state.is_keeper(declared):
            return 2
        return 1

    def _priority(self, resident: Resident) -> int:
        declared = self._state.input.items.get(target_of(resident.item))
        return declared.priority if declared is not None else 0

    def _served(self, resident: Resident, engine: EngineView) -> float:
        target = target_of(resident.item)
        return self._state.split.served.get((target, engine.name), 0.0)

    def _lost_requests(self, resident: Resident, engine: EngineView) -> float:
        """Return the requests over the horizon that the other holders have no room for."""
        served = self._served(resident, engine)
        if served <= 0.0:
            return 0.0
        spare = self._state.split.spare
        others = self._state.all_holders(resident.item)
        room = sum(spare.get(name, 0.0) for name in others if name != engine.name)
        lost = max(0.0, served - room)
        return lost / self._state.service_s(target_of(resident.item)) * LOST_SERVICE_HORIZON_S


def _price(eviction: Eviction) -> tuple[int, float, int, str]:
    return (eviction.rank, eviction.lost_requests, eviction.moves, eviction.engine)


def _candidate_price(candidate: _Candidate) -> tuple[int, float, int]:
    return (candidate.rank, candidate.lost_requests, len(candidate.members))
