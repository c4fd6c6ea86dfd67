"""Choice of what to unload to make room, by what it costs."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cactusshunt.decisions.names import base_item_of
from cactusshunt.decisions.names import is_adapter
from cactusshunt.decisions.names import target_of

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping
    from collections.abc import Sequence

    from cactusshunt.decisions.catalogue import Item
    from cactusshunt.decisions.placement_input import EngineView
    from cactusshunt.decisions.placement_input import PlacementInput
    from cactusshunt.schema.generated.messages import Resident

LOST_SERVICE_HORIZON_S = 120.0
DEFAULT_SERVICE_S = 1.0


@dataclass(frozen=True, kw_only=True)
class Eviction:
    """The next item to unload on one engine, and the price of all that must go there.

    ``rank`` is 0 for replicas beyond the floor, 1 for floor items with replicas in another zone,
    2 for items of lower precedence that then are out of reach.
    """

    engine: str
    item: str
    rank: int
    lost_requests: float
    moves: int


@dataclass(frozen=True, kw_only=True)
class _Candidate:
    family: tuple[Resident, ...]
    rank: int
    lost_requests: float


def choose_eviction(
    item: Item,
    engines: Sequence[EngineView],
    *,
    state: PlacementInput,
    holders: Mapping[str, Sequence[str]],
    floor: Mapping[str, int],
    served: Mapping[tuple[str, str], float],
    allow_floor: bool,
) -> Eviction | None:
    """Return the cheapest way to make room for ``item``, or ``None`` if there is none.

    ``floor`` gives the precedence of each floor item, 0 being the highest.
    """
    found = []
    for engine in engines:
        candidates = list(_candidates(item, engine, state, holders, floor, served, allow_floor))
        eviction = _choose_on_engine(item, engine, candidates)
        if eviction is not None:
            found.append(eviction)
    return min(found, key=_price, default=None)


def _price(eviction: Eviction) -> tuple[int, float, int, str]:
    return (eviction.rank, eviction.lost_requests, eviction.moves, eviction.engine)


def _choose_on_engine(
    item: Item, engine: EngineView, candidates: list[_Candidate]
) -> Eviction | None:
    missing = item.memory_mib - engine.free_mib()
    candidates.sort(key=lambda found: (found.rank, found.lost_requests, len(found.family)))
    chosen: list[_Candidate] = []
    unloaded: dict[str, int] = {}
    for candidate in candidates:
        if sum(unloaded.values()) >= missing:
            break
        chosen.append(candidate)
        unloaded.update({member.item: member.memory_mib for member in candidate.family})
    if sum(unloaded.values()) < missing or not chosen:
        return None
    return Eviction(
        engine=engine.name,
        item=chosen[0].family[0].item,
        rank=max(candidate.rank for candidate in chosen),
        lost_requests=sum(candidate.lost_requests for candidate in chosen),
        moves=len(unloaded),
    )


def _candidates(
    item: Item,
    engine: EngineView,
    state: PlacementInput,
    holders: Mapping[str, Sequence[str]],
    floor: Mapping[str, int],
    served: Mapping[tuple[str, str], float],
    allow_floor: bool,
) -> Iterator[_Candidate]:
    """Yield what may be unloaded; a model goes together with its adapters, adapters first."""
    for resident in engine.record.resident:
        if resident.item in (item.item, item.base_item):
            continue
        family = _family_of(resident, engine)
        ranks = [_rank(item, member, state, holders, floor) for member in family]
        if any(rank is None or (rank > 0 and not allow_floor) for rank in ranks):
            continue
        lost = sum(_lost_requests(member, engine, state, served) for member in family)
        yield _Candidate(family=family, rank=max(rank or 0 for rank in ranks), lost_requests=lost)


def _family_of(resident: Resident, engine: EngineView) -> tuple[Resident, ...]:
    if is_adapter(resident.item):
        return (resident,)
    adapters = [
        other
        for other in engine.record.resident
        if is_adapter(other.item) and base_item_of(other.item) == resident.item
    ]
    return (*adapters, resident)


def _rank(
    item: Item,
    resident: Resident,
    state: PlacementInput,
    holders: Mapping[str, Sequence[str]],
    floor: Mapping[str, int],
) -> int | None:
    """Return how much unloading a resident hurts, or ``None`` if it must stay."""
    if len(holders.get(resident.item, ())) > 1:
        return 0
    declared = state.items.get(target_of(resident.item))
    if declared is None:
        return 0
    if declared.item != resident.item:
        return 0 if holders.get(declared.item) else None
    own_precedence = floor.get(item.item)
    precedence = floor.get(resident.item)
    if own_precedence is None:
        return None
    if precedence is None or (precedence > own_precedence and _is_elsewhere(resident, state)):
        return 1
    if declared.priority < item.priority:
        return 2
    return None


def _is_elsewhere(resident: Resident, state: PlacementInput) -> bool:
    return state.remote_holders.get(resident.item, 0) > 0


def _lost_requests(
    resident: Resident,
    engine: EngineView,
    state: PlacementInput,
    served: Mapping[tuple[str, str], float],
) -> float:
    target = target_of(resident.item)
    share = served.get((target, engine.name), 0.0)
    return share / state.service_s.get(target, DEFAULT_SERVICE_S) * LOST_SERVICE_HORIZON_S
