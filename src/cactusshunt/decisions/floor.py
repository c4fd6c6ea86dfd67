"""Which items a zone keeps at least one replica of.

Every zone keeps every declared item if its memory allows, so that a zone that is cut off can serve
all of them. Where memory is short, each item has a home zone, the same for every node that sees
the same zones, which keeps it; the rest is kept in order of priority while memory lasts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusshunt.decisions.rendezvous import rank_nodes

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from cactusshunt.decisions.catalogue import Item

FLOOR_PART = 0.9  # of a zone's memory that floors may fill; the rest takes version changes


def choose_floor(
    items: Mapping[str, Item],
    *,
    availability_zone: str,
    reachable_zones: Iterable[str],
    capacity_mib: int,
    demand: Mapping[str, float],
) -> list[Item]:
    """Return the items of the zone's floor in order of precedence."""
    ordered = sorted(items.values(), key=lambda item: _precedence(item, demand))
    total = sum(item.memory_mib for item in ordered)
    if total <= capacity_mib * FLOOR_PART:
        return ordered
    zones = sorted(reachable_zones)
    at_home = [item for item in ordered if _home_of(item, zones) == availability_zone]
    room = int(capacity_mib * FLOOR_PART) - sum(item.memory_mib for item in at_home)
    chosen = {item.target for item in at_home}
    others = []
    for item in ordered:
        if item.target in chosen or item.memory_mib > room or not _base_chosen(item, chosen):
            continue
        others.append(item)
        chosen.add(item.target)
        room -= item.memory_mib
    return at_home + others


def _precedence(item: Item, demand: Mapping[str, float]) -> tuple[int, bool, float, str]:
    return (-item.priority, item.base_item is not None, -demand.get(item.target, 0.0), item.target)


def _home_of(item: Item, zones: list[str]) -> str:
    """Return an item's home zone; adapters share that of their model."""
    return rank_nodes(zones, item.target.partition(":")[0])[0]


def _base_chosen(item: Item, chosen: set[str]) -> bool:
    return item.base_item is None or item.target.partition(":")[0] in chosen
