"""Split of the demand for each item over the engines that hold it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence


MAX_ROUNDS = 6  # rounds in which load that an engine cannot take moves to the others
USABLE_SLOT_FRACTION = 0.85  # above it, waits exceed the target for the first token


@dataclass(frozen=True, kw_only=True)
class CapacitySplit:
    """Slots that each target lacks, that each engine has spare, and that it uses per target."""

    unserved_slots: Mapping[str, float]
    spare_slots: Mapping[str, float]
    served_slots: Mapping[tuple[str, str], float]


def split_capacity(
    *,
    load: Mapping[str, float],
    holders: Mapping[str, Sequence[str]],
    slots: Mapping[str, int],
) -> CapacitySplit:
    """Return how the engines' slots serve the offered load.

    ``load`` is in slot-seconds per second (average busy slots) by target. In each round, a target's
    unserved load is split evenly over its holders with spare slots, and each engine takes what
    fits.
    """
    spare_slots = {engine: count * USABLE_SLOT_FRACTION for engine, count in slots.items()}
    unserved_slots = {target: amount for target, amount in load.items() if amount > 0.0}
    served_slots: dict[tuple[str, str], float] = {}
    for _ in range(MAX_ROUNDS):
        shares = _distribute_load(unserved_slots, holders, spare_slots)
        if not shares:
            break
        for engine, offered_load in shares.items():
            _accept_load(engine, offered_load, spare_slots, unserved_slots, served_slots)
    return CapacitySplit(
        unserved_slots=unserved_slots, spare_slots=spare_slots, served_slots=served_slots
    )


def _distribute_load(
    unserved_slots: Mapping[str, float],
    holders: Mapping[str, Sequence[str]],
    spare_slots: Mapping[str, float],
) -> dict[str, dict[str, float]]:
    shares: dict[str, dict[str, float]] = {}
    for target, amount in unserved_slots.items():
        if amount <= 1e-9:
            continue
        holders_with_capacity = [
            engine for engine in holders.get(target, ()) if spare_slots[engine] > 1e-9
        ]
        for engine in holders_with_capacity:
            shares.setdefault(engine, {})[target] = amount / len(holders_with_capacity)
    return shares


def _accept_load(
    engine: str,
    offered_load: Mapping[str, float],
    spare_slots: dict[str, float],
    unserved_slots: dict[str, float],
    served_slots: dict[tuple[str, str], float],
) -> None:
    total_load = sum(offered_load.values())
    fraction = min(1.0, spare_slots[engine] / total_load)
    for target, amount in offered_load.items():
        accepted_load = amount * fraction
        unserved_slots[target] -= accepted_load
        served_slots[(target, engine)] = served_slots.get((target, engine), 0.0) + accepted_load
    spare_slots[engine] -= total_load * fraction
