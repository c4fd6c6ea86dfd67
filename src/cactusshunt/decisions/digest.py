"""Contents of a digest to a peer: the changes since the previous digest to that peer."""

from __future__ import annotations

import hashlib

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING

import msgspec

from cactusshunt.schema.generated.messages import ModelDemand

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from cactusshunt.schema.generated.messages import ItemRate
    from cactusshunt.schema.generated.messages import SubjectVersion
    from cactusshunt.schema.generated.messages import UpstreamState
    from cactusshunt.schema.generated.messages import Vm

MIN_DIGEST_INTERVAL_S = 1.0
DIGESTS_PER_S = 16.0  # sent by one node in total, however many contacts it has
MIN_RATE_CHANGE_FRACTION = 0.2  # smaller relative changes of a rate are not sent
RATE_COMPARISON_FLOOR_PER_S = 0.05  # lower arrival rates count as this in comparisons


@dataclass(kw_only=True)
class SentState:
    """State that was already sent to one peer; ``sequence`` counts the digests to it."""

    sequence: int = 0
    settings: dict[str, SubjectVersion] = field(default_factory=dict)
    upstreams: dict[str, UpstreamState] = field(default_factory=dict)
    vms: dict[str, Vm] = field(default_factory=dict)
    rates: dict[tuple[str, str], ItemRate] = field(default_factory=dict)


def pack_demand(demand: list[ModelDemand]) -> dict[str, list[int]]:
    """Return demand in the compact form of a digest: [arrivals, late, finished, busy ms]."""
    return {
        found.item: [found.arrivals, found.late, found.finished, int(found.busy_s * 1000)]
        for found in demand
    }


def unpack_demand(packed: Mapping[str, Sequence[int]]) -> tuple[ModelDemand, ...]:
    """Return demand from the compact form of a digest."""
    return tuple(
        ModelDemand(
            item=item,
            arrivals=counts[0],
            waiting=0,
            late=counts[1],
            finished=counts[2],
            busy_s=counts[3] / 1000,
        )
        for item, counts in packed.items()
    )


def digest_interval_s(contacts: int) -> float:
    """Return the seconds between digests that limit a node to ``DIGESTS_PER_S`` messages."""
    return max(MIN_DIGEST_INTERVAL_S, contacts / DIGESTS_PER_S)


def split_changes(
    before: dict[str, UpstreamState], states: dict[str, UpstreamState]
) -> tuple[list[UpstreamState], dict[str, int]]:
    """Return the changed states, and the load levels where nothing else changed."""
    changed: list[UpstreamState] = []
    levels: dict[str, int] = {}
    for name, state in states.items():
        known = before.get(name)
        if known is state or known == state:
            continue
        if known is not None and replace(known, load_level=state.load_level) == state:
            levels[name] = state.load_level
        else:
            changed.append(state)
    return changed, levels


def hash_vms(vms: list[Vm]) -> str:
    """Return a hash of a VM list sorted by name."""
    return hashlib.blake2b(msgspec.msgpack.encode(vms), digest_size=8).hexdigest()


def index_rates(rates: Iterable[ItemRate]) -> dict[tuple[str, str], ItemRate]:
    """Return rates by zone and item."""
    return {(rate.availability_zone, rate.item): rate for rate in rates}


def collect_changed_rates(
    sent_state: SentState, rates: dict[tuple[str, str], ItemRate]
) -> list[ItemRate]:
    """Return the rates that changed enough since they were sent, and record them as sent."""
    changed = []
    for key, rate in rates.items():
        sent = sent_state.rates.get(key)
        if sent is None or abs(rate.rate - sent.rate) > MIN_RATE_CHANGE_FRACTION * max(
            sent.rate, RATE_COMPARISON_FLOOR_PER_S
        ):
            changed.append(rate)
            sent_state.rates[key] = rate
    return changed


def version_sort_key(version: SubjectVersion) -> tuple[int, int]:
    """Return the sort key of the versions of one subject."""
    return (version.generation, version.revision)


def add_demand(before: ModelDemand | None, demand: ModelDemand) -> ModelDemand:
    """Return the sum of two demand reports on one target; the larger ``waiting`` is kept."""
    if before is None:
        return demand
    return ModelDemand(
        item=demand.item,
        arrivals=before.arrivals + demand.arrivals,
        waiting=max(before.waiting, demand.waiting),
        late=before.late + demand.late,
        finished=before.finished + demand.finished,
        busy_s=before.busy_s + demand.busy_s,
    )
