"""Recipients of an update that all VMs should receive.

In a large fleet, where traffic between zones is expensive, one copy goes to a forwarder in each
other zone, a VM that sends it on to the other VMs there.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


def choose_recipients(
    zones_of_peers: Mapping[str, str], own_zone: str, broadcast_number: int
) -> tuple[list[str], list[str]]:
    """Return the peers of the own zone, and one forwarder of each other zone.

    ``broadcast_number`` selects the forwarders: each broadcast takes the next peer of each zone, so
    that a repeated update depends on other forwarders than the first.
    """
    by_zone: defaultdict[str, list[str]] = defaultdict(list)
    for peer, zone in sorted(zones_of_peers.items()):
        by_zone[zone].append(peer)
    same_zone = by_zone.pop(own_zone, [])
    forwarders = [peers[broadcast_number % len(peers)] for _, peers in sorted(by_zone.items())]
    return same_zone, forwarders
