"""Recipients of an update that all VMs should receive.

Serves the load pattern "a large fleet in several zones, with expensive traffic between zones": one
copy goes to a relay in each other zone, which forwards it to the VMs there.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


def choose_recipients(
    zones_of_peers: Mapping[str, str], own_zone: str, broadcast_number: int
) -> tuple[list[str], list[str]]:
    """Return the peers of the own zone, and one relay of each other zone.

    ``broadcast_number`` selects the relays: the next broadcast takes the next peer of each zone, so
    that a repeated update depends on other relays than the first.
    """
    by_zone: defaultdict[str, list[str]] = defaultdict(list)
    for peer, zone in sorted(zones_of_peers.items()):
        by_zone[zone].append(peer)
    same_zone = by_zone.pop(own_zone, [])
    relays = [peers[broadcast_number % len(peers)] for _, peers in sorted(by_zone.items())]
    return same_zone, relays
