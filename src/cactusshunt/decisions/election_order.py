"""Order in which VMs stand for election as order holder: by capacity, then by hash.

All VMs compute it from the same records. Only the waiting times of an election depend on it.
"""

from __future__ import annotations

import sys

from typing import TYPE_CHECKING
from typing import Annotated

import msgspec

from cactusshunt.decisions.rendezvous import rank_nodes

if TYPE_CHECKING:
    from collections.abc import Mapping

# The smallest VM in docs/design/large-zones.md. Capacities are multiples of it: a VM with no more
# than this of any one resource comes last among those with a size.
SMALLEST_CPU = 0.387  # cores
SMALLEST_LINK_MBPS = 5.0
SMALLEST_MAX_FDS = 1638
UNKNOWN_CAPACITY = 0.0  # below that of any size
HOLDER_RANKING_KEY = "holder"  # same in all builds, so that they rank VMs without a size alike

# JSON has no infinite numbers
PositiveNumber = Annotated[float, msgspec.Meta(gt=0.0, le=sys.float_info.max)]
PositiveInteger = Annotated[int, msgspec.Meta(gt=0)]


class VmSize(msgspec.Struct, frozen=True, kw_only=True):
    """What a VM has: CPU in cores of speed 1, network link in Mbit/s, file descriptors."""

    cpu: PositiveNumber
    link_mbps: PositiveNumber
    max_fds: PositiveInteger


VmSizeField = VmSize | msgspec.UnsetType  # an unset field isn't encoded


def compute_capacity(size: VmSizeField) -> float:
    """Return how many times the smallest VM a VM is, in the resource of which it has least."""
    if isinstance(size, msgspec.UnsetType):
        return UNKNOWN_CAPACITY
    return min(
        size.cpu / SMALLEST_CPU,
        size.link_mbps / SMALLEST_LINK_MBPS,
        size.max_fds / SMALLEST_MAX_FDS,
    )


def rank_vms(sizes: Mapping[str, VmSizeField]) -> list[str]:
    """Return the VMs from the first to the last to stand for election; unknown sizes come last."""
    by_hash = rank_nodes(sizes, HOLDER_RANKING_KEY)
    return sorted(by_hash, key=lambda vm: compute_capacity(sizes[vm]), reverse=True)
