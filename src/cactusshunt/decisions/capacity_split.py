"""Splits the demand for each item over the engines that hold it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence


ROUNDS = 6  # passes of moving what an engine cannot take to the others
USABLE_PART = 0.85  # of an engine's slots before waits exceed the first-token target


@dataclass(frozen=True, kw_only=True)
class CapacitySplit:
    """Slot-seconds per second: what is left unserved by target, and spare by engine."""

    unserved_slots: Mapping[str, float]
    spare: Mapping[str, float]
    served: Mapping[tuple[str, str], float]


def split_capacity(
    *,
    load: Mapping[str, float],
    holders: Mapping[str, Sequence[str]],
    slots: Mapping[str, int],
) -> CapacitySplit:
    """Return how the engines' slots serve the offered load.

    ``load`` is in slot-seconds per second by target. Each round, a target's unserved load is
    split evenly over the holders with spare capacity, and each engine takes what fits.
    """
    spare = {engine: count * USABLE_PART for engine, count in slots.items()}
    unserved_slots = {target: amount for target, amount in load.items() if amount > 0.0}
    served: dict[tuple[str, str], float] = {}
    for _ in range(ROUNDS):
        offers = _offer(unserved_slots, holders, spare)
        if not offers:
            break
        for engine, offered in offers.items():
            _accept(engine, offered, spare, unserved_slots, served)
    return CapacitySplit(unserved_slots=unserved_slots, spare=spare, served=served)


def _offer(
    unserved_slots: Mapping[str, float],
    holders: Mapping[str, Sequence[str]],
    spare: Mapping[str, float],
) -> dict[str, dict[str, float]]:
    offers: dict[str, dict[str, float]] = {}
    for target, amount in unserved_slots.items():
        if amount <= 1e-9:
            continue
        open_holders = [engine for engine in holders.get(target, ()) if spare[engine] > 1e-9]
        for engine in open_holders:
            offers.setdefault(engine, {})[target] = amount / len(open_holders)
    return offers


def _accept(
    engine: str,
    offered: Mapping[str, float],
    spare: dict[str, float],
    unserved_slots: dict[str, float],
    served: dict[tuple[str, str], float],
) -> None:
    total = sum(offered.values())
    part = min(1.0, spare[engine] / total)
    for target, amount in offered.items():
        taken = amount * part
        unserved_slots[target] -= taken
        served[(target, engine)] = served.get((target, engine), 0.0) + taken
    spare[engine] -= total * part
