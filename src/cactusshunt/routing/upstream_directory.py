"""All upstreams known to this VM, from the store's entries and the holder's news."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import replace
from typing import TYPE_CHECKING

from cactusshunt.node_log import log_event
from cactusshunt.platform.boot import split_address
from cactusshunt.platform.documents import ENGINES_PREFIX
from cactusshunt.platform.documents import decode_engine_entry
from cactusshunt.routing.upstream import HeldItems
from cactusshunt.routing.upstream import Upstream

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactusshunt.membership.messages import EngineItems
    from cactusshunt.membership.messages import Status
    from cactusshunt.platform.documents import EngineEntry
    from cactusshunt.platform.store import StoredItem

HOLDER_WORD_S = 3.0  # engines write to the store about every second, seen up to a second later
LAST_RESORT_PART = 0.6  # of the drain bound in which a removed entry may still be used


class UpstreamDirectory:
    """Upstreams by name and by service."""

    def __init__(self, *, drain_s: float, clock: Callable[[], float]) -> None:
        self._drain_s = drain_s
        self._clock = clock
        self._upstreams: dict[str, Upstream] = {}
        self._by_service: defaultdict[str, dict[str, Upstream]] = defaultdict(dict)
        self._sent: dict[str, int] = {}
        self.on_change: Callable[[], None] = lambda: None
        self.wake_later: Callable[[float], None] = lambda seconds: None
        self.on_expired: Callable[[Upstream], None] = lambda upstream: None

    def all(self) -> list[Upstream]:
        """Return all upstreams whose entry stands."""
        return [found for found in self._upstreams.values() if found.removed_at is None]

    def of_service(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service whose entry stands."""
        return [found for found in self._by_service[service].values() if found.removed_at is None]

    def find(self, name: str) -> Upstream | None:
        """Return an upstream by name."""
        return self._upstreams.get(name)

    def usable(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service that may be given work.

        An entry that was removed a moment ago is used only where no other is left: after an outage
        of the store entries of living upstreams lapse and return.
        """
        self._expire()
        ready = [found for found in self._by_service[service].values() if found.ready]
        standing = [found for found in ready if found.removed_at is None]
        return standing or ready

    def expected_at(self, service: str, item: str) -> float | None:
        """Return when an item is expected on some upstream, if one is under way."""
        times = [
            found.held.coming[item]
            for found in self._by_service[service].values()
            if item in found.held.coming
        ]
        return min(times, default=None)

    def apply_item(self, item: StoredItem) -> None:
        """Take an upstream's entry, or its removal."""
        name = item.key.removeprefix(ENGINES_PREFIX)
        entry = decode_engine_entry(item.value) if item.value is not None else None
        if item.value is not None and entry is None:
            log_event("entry_unreadable", upstream=name)
        if entry is None:
            self._remove(name)
        else:
            self._set(name, entry)
        self.on_change()

    def apply_holdings(self, holdings: EngineItems, token: int) -> None:
        """Take the order holder's word about one engine, unless a later one is known."""
        found = self._upstreams.get(holdings.upstream)
        if found is None or holdings.born != found.entry.born:
            return
        order = (token, holdings.update_number)
        if found.held.born == holdings.born and order <= found.held.order:
            return
        now = self._clock()
        self._set_held(
            found,
            HeldItems(
                born=holdings.born,
                order=order,
                said_at=now,
                models={name: frozenset(held) for name, held in holdings.models.items()},
                coming={item: now + ms / 1000.0 for item, ms in holdings.coming.items()},
            ),
        )

    def apply_status(self, status: Status) -> None:
        """Take another VM's work at the upstreams."""
        if self._sent.get(status.vm, -1) == status.status_number:
            return
        self._sent[status.vm] = status.status_number
        now = self._clock()
        work = {entry.upstream: entry for entry in status.work}
        for found in self._upstreams.values():
            found.record_peer_work(status.vm, work.get(found.name), now)

    def mark_leaving(self, upstream: Upstream) -> None:
        """Give an upstream no more work because it said itself that it leaves."""
        if upstream.removed_at is None:
            upstream.removed_at = self._clock() - self._drain_s
            log_event("upstream_leaving", upstream=upstream.name, source="answer")

    def _set(self, name: str, entry: EngineEntry) -> None:
        found = self._upstreams.get(name)
        if found is None:
            found = Upstream(name=name, entry=entry)
            self._upstreams[name] = found
            log_event("upstream_seen", upstream=name, service=entry.service, state=entry.state)
        elif found.entry.state != entry.state:
            log_event("upstream_state", upstream=name, state=entry.state)
        if found.entry.born != entry.born:
            log_event("upstream_restarted", upstream=name, born=entry.born)
            found.forget_state()
        self._by_service[found.entry.service].pop(name, None)
        self._by_service[entry.service][name] = found
        found.entry = entry
        found.address = split_address(entry.address)
        found.removed_at = None
        self._take_own_word(found, entry)

    def _take_own_word(self, found: Upstream, entry: EngineEntry) -> None:
        """Take what an engine wrote about its models, unless the holder spoke just now."""
        now = self._clock()
        if found.held.born == entry.born and now - found.held.said_at < HOLDER_WORD_S:
            return
        models = {model.name: frozenset(model.adapters) for model in entry.models}
        held = HeldItems(born=entry.born, order=found.held.order, models=models)
        self._set_held(found, held)

    def _set_held(self, found: Upstream, held: HeldItems) -> None:
        for model in found.held.models:
            if model not in held.models:
                found.cache.clear()
        version = found.held.version + 1
        found.held = replace(held, version=version)
        found.missing = {}
        self.on_change()
        self._announce_coming(held)

    def _announce_coming(self, held: HeldItems) -> None:
        """Wake those who wait when adapters that are under way should be there."""
        now = self._clock()
        for item, at in held.coming.items():
            if "/" in item and at > now:
                self.wake_later(at - now + 0.001)

    def _remove(self, name: str) -> None:
        found = self._upstreams.get(name)
        if found is not None and found.removed_at is None:
            found.removed_at = self._clock()
            log_event("upstream_gone", upstream=name)

    def _expire(self) -> None:
        limit = self._clock() - self._drain_s * LAST_RESORT_PART
        for name in [
            name
            for name, found in self._upstreams.items()
            if found.removed_at is not None and found.removed_at <= limit
        ]:
            found = self._upstreams.pop(name)
            self._by_service[found.entry.service].pop(name, None)
            self.on_expired(found)
