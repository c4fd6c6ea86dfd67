"""Who is sent a word that all VMs should hear.

Answers the load pattern "a large fleet in several zones, with bytes between zones dear": one copy
goes into each other zone, where its first reader hands it on.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


def choose_recipients(
    zones_of_peers: Mapping[str, str], own_zone: str, turn: int
) -> tuple[list[str], list[str]]:
    """Return the peers of the own zone, and one of each other zone that hands the word on.

    ``turn`` counts the copies sent, so that a second copy goes over other peers than the first.
    """
    by_zone: defaultdict[str, list[str]] = defaultdict(list)
    for peer, zone in sorted(zones_of_peers.items()):
        by_zone[zone].append(peer)
    near = by_zone.pop(own_zone, [])
    relays = [peers[turn % len(peers)] for _, peers in sorted(by_zone.items())]
    return near, relays
