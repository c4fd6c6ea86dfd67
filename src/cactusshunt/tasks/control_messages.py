"""Messages between the tasks of the control process."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cactusshunt.decisions.catalogue import Catalogue
    from cactusshunt.decisions.membership import Duties
    from cactusshunt.schema.generated.messages import ItemRate
    from cactusshunt.schema.generated.messages import ModelDemand
    from cactusshunt.schema.generated.messages import Subtree
    from cactusshunt.schema.generated.messages import UpstreamState
    from cactusshunt.schema.generated.messages import Vm


@dataclass(frozen=True, kw_only=True)
class SettingsAdopted:
    """Settings in force changed at this node."""

    catalogue: Catalogue
    subtrees: tuple[Subtree, ...]


@dataclass(frozen=True, kw_only=True)
class SubtreesReceived:
    """Subtrees that came from a peer or the administration API."""

    subtrees: tuple[Subtree, ...]


@dataclass(frozen=True, kw_only=True)
class DutiesAssigned:
    """This node's duties in its zone, worked out anew."""

    duties: Duties


@dataclass(frozen=True, kw_only=True)
class VmListRead:
    """The platform's VM list was read."""

    vms: tuple[Vm, ...]


@dataclass(frozen=True, kw_only=True)
class UpstreamsObserved:
    """States of upstreams; ``observer`` names the VM that observed them."""

    observer: str
    states: tuple[UpstreamState, ...]


@dataclass(frozen=True, kw_only=True)
class LoadLevelsObserved:
    """New load levels of upstreams that are known already."""

    observer: str
    levels: dict[str, int]


@dataclass(frozen=True, kw_only=True)
class ObserverHeard:
    """A peer confirmed that all it said of its upstreams still holds."""

    observer: str


@dataclass(frozen=True, kw_only=True)
class UpstreamsRemoved:
    """Upstreams left the VM list."""

    names: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class DemandReported:
    """Demand at the entry processes of this zone."""

    demand: tuple[ModelDemand, ...]


@dataclass(frozen=True, kw_only=True)
class RatesEstimated:
    """Expected demand of this zone, or of others as their digests tell."""

    rates: tuple[ItemRate, ...]


@dataclass(frozen=True, kw_only=True)
class UpstreamLeaving:
    """An upstream said itself that it is leaving."""

    name: str
