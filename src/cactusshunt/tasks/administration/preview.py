"""Dry run of a settings change: first orders and affected callers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cactusshunt.decisions.catalogue import build_catalogue
from cactusshunt.decisions.placement_input import EngineView
from cactusshunt.decisions.placement_input import PlacementInput
from cactusshunt.decisions.planner import make_plan
from cactusshunt.tasks.engine_records import read_records

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cactusshunt.clients.store import Snapshot
    from cactusshunt.decisions.catalogue import Catalogue
    from cactusshunt.schema.generated.messages import Subtree

ENGINE_RECORDS_PREFIX = "engines/"


@dataclass(frozen=True, kw_only=True)
class Preview:
    """Expected effects of a change.

    ``orders`` are the first that each zone would send, ``out_of_reach`` names what no zone can
    place, and ``callers_touched`` the teams of which a model or service is removed.
    """

    added: tuple[str, ...]
    removed: tuple[str, ...]
    changed: tuple[str, ...]
    orders: tuple[str, ...]
    out_of_reach: tuple[str, ...]
    callers_touched: tuple[str, ...]


def preview_change(
    subtrees: Iterable[Subtree], changed: Subtree, records: Snapshot, now: float
) -> Preview:
    """Return the effects of adopting ``changed``, planned from the stored engine records."""
    current = {subtree.subject: subtree for subtree in subtrees}
    before = build_catalogue(current.values())
    after = build_catalogue({**current, changed.subject: changed}.values())
    orders, out_of_reach = _plan_zones(after, records, now)
    names = _compare_catalogues(before, after)
    return Preview(
        added=tuple(names["added"]),
        removed=tuple(names["removed"]),
        changed=tuple(names["changed"]),
        orders=tuple(orders),
        out_of_reach=tuple(out_of_reach),
        callers_touched=tuple(sorted({name.partition("/")[0] for name in names["removed"]})),
    )


def _compare_catalogues(before: Catalogue, after: Catalogue) -> dict[str, list[str]]:
    old = {**before.models, **before.services}
    new = {**after.models, **after.services}
    return {
        "added": sorted(new.keys() - old.keys()),
        "removed": sorted(old.keys() - new.keys()),
        "changed": sorted(name for name in old.keys() & new.keys() if old[name] != new[name]),
    }


def _plan_zones(catalogue: Catalogue, records: Snapshot, now: float) -> tuple[list[str], list[str]]:
    found, _ = read_records(records)
    zones = sorted({record.availability_zone for record in found.values()})
    orders: list[str] = []
    out_of_reach_by_zone: list[set[str]] = []
    for zone in zones:
        plan = make_plan(
            PlacementInput(
                availability_zone=zone,
                reachable_zones=frozenset(zones),
                items=catalogue.items,
                engines=tuple(
                    EngineView(record=record, slots=1)  # records hold no request slots
                    for record in found.values()
                    if record.availability_zone == zone
                ),
                objective=catalogue.objective,
                now=now,
            )
        )
        orders.extend(f"{order.action} {order.item} at {order.engine}" for order in plan.orders)
        out_of_reach_by_zone.append(set(plan.out_of_reach))
    return orders, sorted(set.intersection(*out_of_reach_by_zone)) if out_of_reach_by_zone else []
