"""Weight slots, which limit the loads of all zones to the weight store's rate and concurrency.

There are as many slots as loads allowed at once. A slot is taken in the same transaction as the
order that needs it and is not used again before ``loads_at_once / loads_per_second`` seconds have
passed, so all slots together keep within the rate without a coordinator.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from cactusshunt.decisions.rendezvous import hash_score
from cactusshunt.schema.generated.messages import SlotRecord

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cactusshunt.schema.generated.settings import WeightStore


LOAD_TIMEOUT_S = 300.0  # after it, any zone may take the slot of an unfinished load


def choose_slot(
    slots: Mapping[int, SlotRecord],
    limits: WeightStore,
    *,
    availability_zone: str,
    now: float,
    clock_error_s: float,
) -> int | None:
    """Return a free weight slot, or ``None``; zones prefer different ones to avoid conflicts."""
    free = [
        number
        for number in range(limits.loads_at_once)
        if _is_free(slots.get(number), now - clock_error_s)
    ]
    if not free:
        return None
    return max(free, key=lambda number: hash_score(availability_zone, str(number)))


def take_slot(
    limits: WeightStore, *, availability_zone: str, engine: str, order_id: str, now: float
) -> SlotRecord:
    """Return the record of a slot taken for an order."""
    return SlotRecord(
        availability_zone=availability_zone,
        engine=engine,
        order_id=order_id,
        reusable_at=now + limits.loads_at_once / limits.loads_per_second,
        reclaimable_at=now + LOAD_TIMEOUT_S,
    )


def release_slot(slot: SlotRecord) -> SlotRecord:
    """Return the record of a slot whose load has ended."""
    return replace(slot, released=True)


def _is_free(slot: SlotRecord | None, now: float) -> bool:
    if slot is None:
        return True
    if slot.released:
        return now >= slot.reusable_at
    return now >= slot.reclaimable_at
