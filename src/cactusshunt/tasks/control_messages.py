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
    """The settings in force at this node have changed."""

    catalogue: Catalogue
    subtrees: tuple[Subtree, ...]


@dataclass(frozen=True, kw_only=True)
class SubtreesReceived:
    """Accepted subtrees were received from a peer or written through the administration API."""

    subtrees: tuple[Subtree, ...]


@dataclass(frozen=True, kw_only=True)
class DutiesAssigned:
    """What this node watches and polls for its zone has changed."""

    duties: Duties


@dataclass(frozen=True, kw_only=True)
class VmListRead:
    """The platform's VM list was fetched."""

    vms: tuple[Vm, ...]


@dataclass(frozen=True, kw_only=True)
class UpstreamsObserved:
    """New or changed upstream states; ``observer`` names the node that polls the upstreams."""

    observer: str
    states: tuple[UpstreamState, ...]


@dataclass(frozen=True, kw_only=True)
class LoadLevelsObserved:
    """New load levels by VM name, in eighths of the slots; nothing else has changed."""

    observer: str
    levels: dict[str, int]


@dataclass(frozen=True, kw_only=True)
class DigestReceived:
    """A peer sent a digest: the states that it reported before are still current."""

    observer: str


@dataclass(frozen=True, kw_only=True)
class UpstreamsRemoved:
    """Upstreams are no longer in the VM list."""

    names: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class DemandReported:
    """Requests counted by the entry processes of this zone."""

    demand: tuple[ModelDemand, ...]


@dataclass(frozen=True, kw_only=True)
class RatesEstimated:
    """Estimated arrival rates of this zone, or of other zones from their digests."""

    rates: tuple[ItemRate, ...]


@dataclass(frozen=True, kw_only=True)
class UpstreamLeaving:
    """An upstream reported that it is leaving."""

    name: str
