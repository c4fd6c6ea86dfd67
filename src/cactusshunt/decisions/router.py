"""Choice of an upstream for one attempt.

Power of two choices (Mitzenmacher, 2001) over this process's own outstanding work and the
upstreams' lagged load reports, whose weight falls with their age.
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


REPORT_TRUST_S = 5.0  # age at which a load report's weight has fallen to 1/e
STALE_TRUST = 0.2  # weight of the last report of an upstream that was not heard lately
SLOW_START_S = 10.0  # time over which a new replica is ramped up to its full share
SLOW_START_PENALTY = 0.5  # load added at the beginning of the ramp, as a share of the slots
REMOTE_ZONE_PENALTY = 0.15  # load that another zone's upstream must have less to be preferred
AFFINITY_MARGIN = 0.25  # load that is accepted for a likely cached prefix
LEAVING_REPORT_MAX_AGE_S = 30.0
FULL_LEVEL = 8  # load level in eighths at which all slots are taken


class Router:
    """Upstreams known to one entry process, with its own outstanding work at each."""

    def __init__(self, *, availability_zone: str, seed: int) -> None:
        self._availability_zone = availability_zone
        self._random = random.Random(seed)
        self._upstreams: dict[str, UpstreamState] = {}
        self._outstanding: dict[str, int] = defaultdict(int)
        self._holders: dict[str, list[str]] = {}
        self._versions: dict[str, list[str]] = {}
        self._pools: dict[str, list[str]] = {}
        self._first_held_at: dict[tuple[str, str], float] = {}
        self._leaving_until: dict[str, float] = {}
        self._entries = 1
        self._heard_at = 0.0
        self.ejection = Ejection()

    @property
    def upstreams(self) -> dict[str, UpstreamState]:
        """Return the known upstreams by name."""
        return self._upstreams

    def set_entries(self, entries: int) -> None:
        """Set the number of entry processes that share the upstreams."""
        self._entries = max(1, entries)

    def replace_upstreams(self, upstreams: Iterable[UpstreamState], now: float) -> None:
        """Take a complete list of upstreams."""
        fresh = {upstream.vm: upstream for upstream in upstreams}
        for gone in self._upstreams.keys() - fresh.keys():
            self.ejection.forget(gone)
        self._upstreams = fresh
        self._heard_at = now
        self._index(now)

    def update_upstreams(
        self, upstreams: Iterable[UpstreamState], removed: Iterable[str], now: float
    ) -> None:
        """Take what changed since the last list; new load levels alone need no new index."""
        moved = False
        for name in removed:
            moved |= self._upstreams.pop(name, None) is not None
            self.ejection.forget(name)
        for upstream in upstreams:
            known = self._upstreams.get(upstream.vm)
            moved |= known is None or _placement_of(known) != _placement_of(upstream)
            self._upstreams[upstream.vm] = upstream
        self._heard_at = now
        if moved or any(until <= now for until in self._leaving_until.values()):
            self._index(now)

    def mark_leaving(self, name: str, now: float) -> None:
        """Stop giving work to an upstream that said itself that it is leaving.

        The word counts for a while only, since a VM that is restarted keeps its name; by then the
        upstream's reports and the VM list tell whether it left.
        """
        self._leaving_until[name] = now + LEAVING_REPORT_MAX_AGE_S
        self._index(now)

    def outstanding(self, name: str) -> int:
        """Return this process's unfinished attempts at an upstream."""
        return self._outstanding.get(name, 0)

    def begin(self, name: str) -> None:
        """Count an attempt that was given to an upstream."""
        self._outstanding[name] += 1

    def finish(self, name: str) -> None:
        """Count an attempt's end."""
        self._outstanding[name] -= 1
        if self._outstanding[name] <= 0:
            del self._outstanding[name]

    def holders(self, item: str) -> list[str]:
        """Return the engines that hold an item and are not leaving."""
        return self._holders.get(item, [])

    def items_of(self, target: str) -> list[str]:
        """Return the versions of a target that some engine holds."""
        return self._versions.get(target, [])

    def pool(self, kind: str) -> list[str]:
        """Return the services of a kind that are not leaving."""
        return self._pools.get(kind, [])

    def has_room(self, name: str, now: float) -> bool:
        """Tell whether this process may give one more attempt to an upstream."""
        return self.outstanding(name) < self.window(name, now)

    def window(self, name: str, now: float) -> int:
        """Return how many attempts this process may have open at an upstream.

        At least its even share of the slots; more while reports say that the others leave
        slots unused.
        """
        upstream = self._upstreams.get(name)
        if upstream is None:
            return 0
        share = math.ceil(upstream.slots / self._entries)
        reported = upstream.load_level * upstream.slots / FULL_LEVEL
        others = max(0.0, reported - self.outstanding(name)) * self._trust(upstream, now)
        return max(share, int(upstream.slots - others))

    def choose(
        self,
        candidates: Collection[str],
        now: float,
        *,
        item: str = "",
        prefix: str | None = None,
        excluded: Collection[str] = (),
    ) -> str | None:
        """Return the upstream for one attempt, or ``None`` if no candidate has room."""
        known = [name for name in candidates if name in self._upstreams and name not in excluded]
        usable = self.ejection.filter_usable(known, now)
        with_room = [name for name in usable if self.has_room(name, now)]
        if not with_room:
            return None
        first, second = self._draw_two(with_room)
        best = min((first, second), key=lambda name: self.load(name, item, now))
        if prefix is None:
            return best
        return self._prefer_cached(best, with_room, prefix, item, now)

    def load(self, name: str, item: str, now: float) -> float:
        """Return the estimated load of an upstream as a share of its slots."""
        upstream = self._upstreams[name]
        slots = max(1, upstream.slots)
        reported = upstream.load_level / FULL_LEVEL * self._trust(upstream, now)
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
        likely = max(names, key=lambda name: hash_score(name, prefix))
        margin = self.load(best, item, now) + AFFINITY_MARGIN
        return likely if self.load(likely, item, now) <= margin else best

    def _trust(self, upstream: UpstreamState, now: float) -> float:
        age = max(0.0, now - self._heard_at)
        return math.exp(-age / REPORT_TRUST_S) * (STALE_TRUST if upstream.stale else 1.0)

    def _slow_start(self, name: str, item: str, now: float) -> float:
        began = self._first_held_at.get((name, item))
        if began is None:
            return 0.0
        left = 1.0 - (now - began) / SLOW_START_S
        return SLOW_START_PENALTY * left if left > 0.0 else 0.0

    def _index(self, now: float) -> None:
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
        self._versions = defaultdict(list)
        for item in holders:
            self._versions[target_of(item)].append(item)
        self._pools = dict(pools)
        self._first_held_at = held


def _placement_of(upstream: UpstreamState) -> tuple[object, ...]:
    """Return the part of a state that decides which requests an upstream can get."""
    return (upstream.role, upstream.kind, upstream.leaving, tuple(upstream.items))
