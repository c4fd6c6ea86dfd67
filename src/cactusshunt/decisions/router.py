"""Choice of an upstream for one attempt.

Power of two choices (Mitzenmacher, 2001), based on this process's own outstanding attempts and
on the upstreams' delayed load reports, whose weight decreases with their age.
"""

from __future__ import annotations

import math
import random

from collections import defaultdict
from typing import TYPE_CHECKING

from cactusshunt.decisions.ejection import Ejection
from cactusshunt.decisions.names import target_of
from cactusshunt.decisions.rendezvous import hash_score

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

    from cactusshunt.schema.generated.messages import UpstreamState


REPORT_DECAY_TIME_CONSTANT_S = 5.0  # report age at which its weight has fallen to 1/e
STALE_REPORT_WEIGHT = 0.2  # factor for the last report of an upstream that stopped reporting
SLOW_START_S = 10.0  # time over which a new replica is ramped up to its full share
SLOW_START_PENALTY = 0.5  # load added at the start of the ramp, as a fraction of the slots
REMOTE_ZONE_PENALTY = 0.15  # load added to upstreams of other zones, as a fraction of the slots
PREFIX_AFFINITY_MARGIN = 0.25  # extra load accepted where the prompt prefix is likely cached
LEAVING_NOTICE_MAX_AGE_S = 30.0  # how long an upstream's own notice is trusted
FULL_LOAD_LEVEL = 8  # load level at which running and waiting requests equal the slots


class Router:
    """Upstreams known to one entry process, with its own outstanding attempts at each."""

    def __init__(self, *, availability_zone: str, seed: int) -> None:
        self._availability_zone = availability_zone
        self._random = random.Random(seed)
        self._upstreams: dict[str, UpstreamState] = {}
        self._outstanding: dict[str, int] = defaultdict(int)
        self._holders: dict[str, list[str]] = {}
        self._items_by_target: dict[str, list[str]] = {}
        self._pools: dict[str, list[str]] = {}
        self._first_held_at: dict[tuple[str, str], float] = {}
        self._leaving_until: dict[str, float] = {}
        self._entries = 1
        self._received_at = 0.0
        self.ejection = Ejection()

    @property
    def upstreams(self) -> dict[str, UpstreamState]:
        """Return the known upstreams by name."""
        return self._upstreams

    def set_entries(self, entries: int) -> None:
        """Set the number of entry processes that share the upstreams."""
        self._entries = max(1, entries)

    def replace_upstreams(self, upstreams: Iterable[UpstreamState], now: float) -> None:
        """Replace all known upstreams by a complete list."""
        fresh = {upstream.vm: upstream for upstream in upstreams}
        for gone in self._upstreams.keys() - fresh.keys():
            self.ejection.forget(gone)
        self._upstreams = fresh
        self._received_at = now
        self._rebuild_index(now)

    def update_upstreams(
        self, upstreams: Iterable[UpstreamState], removed: Iterable[str], now: float
    ) -> None:
        """Apply changes since the last list; changed load levels alone do not rebuild the index."""
        needs_reindex = False
        for name in removed:
            needs_reindex |= self._upstreams.pop(name, None) is not None
            self.ejection.forget(name)
        for upstream in upstreams:
            known = self._upstreams.get(upstream.vm)
            needs_reindex |= known is None or _routing_key(known) != _routing_key(upstream)
            self._upstreams[upstream.vm] = upstream
        self._received_at = now
        if needs_reindex or any(until <= now for until in self._leaving_until.values()):
            self._rebuild_index(now)

    def mark_leaving(self, name: str, now: float) -> None:
        """Stop sending requests to an upstream that gave notice that it is leaving.

        The notice expires, since a restarted VM keeps its name; by then the upstream's
        reports and the VM list show whether it left.
        """
        self._leaving_until[name] = now + LEAVING_NOTICE_MAX_AGE_S
        self._rebuild_index(now)

    def outstanding(self, name: str) -> int:
        """Return this process's unfinished attempts at an upstream."""
        return self._outstanding.get(name, 0)

    def begin(self, name: str) -> None:
        """Count the start of an attempt at an upstream."""
        self._outstanding[name] += 1

    def finish(self, name: str) -> None:
        """Count the end of an attempt at an upstream."""
        self._outstanding[name] -= 1
        if self._outstanding[name] <= 0:
            del self._outstanding[name]

    def holders(self, item: str) -> list[str]:
        """Return the engines that hold an item and are not leaving."""
        return self._holders.get(item, [])

    def items_of(self, target: str) -> list[str]:
        """Return the items (versions) of a target that some engine holds."""
        return self._items_by_target.get(target, [])

    def pool(self, kind: str) -> list[str]:
        """Return the upstreams of a service kind that are not leaving."""
        return self._pools.get(kind, [])

    def has_capacity(self, name: str, now: float) -> bool:
        """Tell whether this process may start another attempt at an upstream."""
        return self.outstanding(name) < self.attempt_limit(name, now)

    def attempt_limit(self, name: str, now: float) -> int:
        """Return how many attempts this process may have in flight at an upstream.

        The limit is this process's even share of the slots, or more while load reports show that
        other entry processes leave slots unused.
        """
        upstream = self._upstreams.get(name)
        if upstream is None:
            return 0
        share = math.ceil(upstream.slots / self._entries)
        reported = upstream.load_level * upstream.slots / FULL_LOAD_LEVEL
        used_by_others = max(0.0, reported - self.outstanding(name)) * self._report_weight(
            upstream, now
        )
        return max(share, int(upstream.slots - used_by_others))

    def choose(
        self,
        candidates: Collection[str],
        now: float,
        *,
        item: str = "",
        prefix: str | None = None,
        excluded: Collection[str] = (),
    ) -> str | None:
        """Return the upstream for one attempt, or ``None`` if no candidate has capacity."""
        known = [name for name in candidates if name in self._upstreams and name not in excluded]
        usable = self.ejection.filter_usable(known, now)
        with_capacity = [name for name in usable if self.has_capacity(name, now)]
        if not with_capacity:
            return None
        first, second = self._draw_two(with_capacity)
        best = min((first, second), key=lambda name: self.load(name, item, now))
        if prefix is None:
            return best
        return self._prefer_cached(best, with_capacity, prefix, item, now)

    def load(self, name: str, item: str, now: float) -> float:
        """Return the estimated load of an upstream as a fraction of its slots."""
        upstream = self._upstreams[name]
        slots = max(1, upstream.slots)
        reported = upstream.load_level / FULL_LOAD_LEVEL * self._report_weight(upstream, now)
        own = self.outstanding(name) / slots
        remote = upstream.availability_zone != self._availability_zone
        return (
            max(reported, own)
            + own / 2
            + (REMOTE_ZONE_PENALTY if remote else 0.0)
            + self._slow_start(name, item, now)
        )

    def _draw_two(self, names: list[str]) -> tuple[str, str]:
        if len(names) == 1:
            return names[0], names[0]
        first, second = self._random.sample(range(len(names)), 2)
        return names[first], names[second]

    def _prefer_cached(
        self, best: str, names: list[str], prefix: str, item: str, now: float
    ) -> str:
        likely_cached = max(names, key=lambda name: hash_score(name, prefix))
        margin = self.load(best, item, now) + PREFIX_AFFINITY_MARGIN
        return likely_cached if self.load(likely_cached, item, now) <= margin else best

    def _report_weight(self, upstream: UpstreamState, now: float) -> float:
        age = max(0.0, now - self._received_at)
        return math.exp(-age / REPORT_DECAY_TIME_CONSTANT_S) * (
            STALE_REPORT_WEIGHT if upstream.stale else 1.0
        )

    def _slow_start(self, name: str, item: str, now: float) -> float:
        held_since = self._first_held_at.get((name, item))
        if held_since is None:
            return 0.0
        left = 1.0 - (now - held_since) / SLOW_START_S
        return SLOW_START_PENALTY * left if left > 0.0 else 0.0

    def _rebuild_index(self, now: float) -> None:
        self._leaving_until = {n: t for n, t in self._leaving_until.items() if t > now}
        holders: dict[str, list[str]] = defaultdict(list)
        pools: dict[str, list[str]] = defaultdict(list)
        held: dict[tuple[str, str], float] = {}
        for name, upstream in self._upstreams.items():
            if upstream.leaving or name in self._leaving_until:
                continue
            if upstream.role == "service":
                pools[upstream.kind].append(name)
            for item in upstream.items:
                holders[item].append(name)
                held[(name, item)] = self._first_held_at.get((name, item), now)
        self._holders = dict(holders)
        self._items_by_target = defaultdict(list)
        for item in holders:
            self._items_by_target[target_of(item)].append(item)
        self._pools = dict(pools)
        self._first_held_at = held


def _routing_key(upstream: UpstreamState) -> tuple[object, ...]:
    """Return the fields of a state that decide which requests an upstream can serve."""
    return (upstream.role, upstream.kind, upstream.leaving, tuple(upstream.items))
