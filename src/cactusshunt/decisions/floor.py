"""Which items a zone keeps at least one replica of.

Every zone keeps every declared item if its memory allows, so that a zone that is cut off can serve
all of them. Where memory is short, items fill what memory is free, in order of precedence, and of
the zones that hold an item one keeps it: the first in the item's home order, which is the same for
every node that sees the same zones.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cactusshunt.decisions.rendezvous import rank_nodes

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from cactusshunt.decisions.catalogue import Item

FLOOR_PART = 0.9  # of a zone's memory that floors may fill; the rest takes version changes


@dataclass(frozen=True, kw_only=True)
class Floor:
    """Items of a zone's floor in order of precedence; optional ones only fill free memory."""

    mandatory: tuple[Item, ...]
    optional: tuple[Item, ...] = ()


def choose_floor(
    items: Mapping[str, Item], *, capacity_mib: int, demand: Mapping[str, float]
) -> Floor:
    """Return the floor of a zone whose engines have ``capacity_mib`` of memory."""
    ordered = tuple(sorted(items.values(), key=lambda item: _precedence(item, demand)))
    total = sum(item.memory_mib for item in ordered)
    if total <= capacity_mib * FLOOR_PART:
        return Floor(mandatory=ordered)
    return Floor(mandatory=(), optional=ordered)


def home_rank(item: Item, availability_zone: str, zones: Iterable[str]) -> int:
    """Return a zone's place in the order in which zones answer for an item.

    Adapters have the order of their model.
    """
    return rank_nodes(zones, item.target.partition(":")[0]).index(availability_zone)


def _precedence(item: Item, demand: Mapping[str, float]) -> tuple[int, bool, float, str]:
    return (-item.priority, item.base_item is not None, -demand.get(item.target, 0.0), item.target)
