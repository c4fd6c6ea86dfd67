"""Recipients of an update that all VMs should receive.

In a large fleet one copy goes to a forwarder in each zone, a VM that sends it on to the other VMs
there: traffic between zones is expensive, and the sender's link may be as slow as any.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


def choose_forwarders(zones_of_peers: Mapping[str, str], broadcast_number: int) -> list[str]:
    """Return one peer of each zone.

    ``broadcast_number`` selects the forwarders: each broadcast takes the next peer of each zone, so
    that a repeated update depends on other forwarders than the first.
    """
    by_zone: defaultdict[str, list[str]] = defaultdict(list)
    for peer, zone in sorted(zones_of_peers.items()):
        by_zone[zone].append(peer)
    return [peers[broadcast_number % len(peers)] for _, peers in sorted(by_zone.items())]
