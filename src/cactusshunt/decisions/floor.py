"""Floor of a zone: the items of which it keeps at least one replica.

Every zone keeps every declared item if its memory allows, so that a zone without connection to the
others can serve all of them. Where memory is short, items are loaded into free memory in order of
precedence. The keeper of an item is then the first of the zones that hold it in the item's home
order, a ranking of the zones that is the same on every node that sees the same zones.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cactusshunt.decisions.rendezvous import rank_nodes

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from cactusshunt.decisions.catalogue import Item

FLOOR_MEMORY_FRACTION = 0.9  # of a zone's memory; the rest is for version changes


@dataclass(frozen=True, kw_only=True)
class Floor:
    """Items to keep, or items to load only into free memory; both in order of precedence."""

    items_to_keep: tuple[Item, ...]
    items_for_free_memory: tuple[Item, ...] = ()


def choose_floor(
    items: Mapping[str, Item], *, capacity_mib: int, demand: Mapping[str, float]
) -> Floor:
    """Return the floor of a zone whose engines have ``capacity_mib`` of memory in total."""
    ordered = tuple(sorted(items.values(), key=lambda item: _precedence(item, demand)))
    total_mib = sum(item.memory_mib for item in ordered)
    if total_mib <= capacity_mib * FLOOR_MEMORY_FRACTION:
        return Floor(items_to_keep=ordered)
    return Floor(items_to_keep=(), items_for_free_memory=ordered)


def home_rank(item: Item, availability_zone: str, zones: Iterable[str]) -> int:
    """Return a zone's rank, from 0, in the item's home order.

    Adapters share the home order of their model.
    """
    return rank_nodes(zones, item.target.partition(":")[0]).index(availability_zone)


def _precedence(item: Item, demand: Mapping[str, float]) -> tuple[int, bool, float, str]:
    return (-item.priority, item.base_item is not None, -demand.get(item.target, 0.0), item.target)
