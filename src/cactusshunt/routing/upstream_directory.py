"""All upstreams known to this VM, from the store's entries and the order holder's updates."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

import msgspec

from cactusshunt.membership.zone_work import limit_report
from cactusshunt.node_log import log_event
from cactusshunt.notices.departures import Departures
from cactusshunt.notices.departures import Run
from cactusshunt.platform.boot import split_address
from cactusshunt.platform.documents import READY
from cactusshunt.platform.documents import UPSTREAMS_PREFIX
from cactusshunt.platform.documents import decode_upstream_entry
from cactusshunt.platform.documents import is_upstream_name
from cactusshunt.routing.entry_positions import EntryPositions
from cactusshunt.routing.restored_entries import RestoredEntries
from cactusshunt.routing.upstream import PEER_REPORT_MAX_AGE_S
from cactusshunt.routing.upstream import HeldItems
from cactusshunt.routing.upstream import Upstream

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Iterable
    from collections.abc import Sequence

    from cactusshunt.membership.messages import EngineItems
    from cactusshunt.membership.messages import EngineWork
    from cactusshunt.membership.messages import EntryState
    from cactusshunt.membership.messages import PlannedLoads
    from cactusshunt.membership.messages import Status
    from cactusshunt.membership.messages import ZoneWork
    from cactusshunt.notices.departures import Departure
    from cactusshunt.platform.documents import UpstreamEntry
    from cactusshunt.platform.store import StoredItem

# For this long after an order holder's update, the models in an engine's entry are ignored: engines
# write it to the store each second, and it is seen up to 1 s later.
HOLDER_UPDATE_MAX_AGE_S = 3.0
ZONE_PREFIX = "zone/"  # before the name of a zone whose VMs' work is known as one sum; no VM's name
GONE = "gone"  # in the log, in place of an entry's state
REMOVED_ENTRY_DRAIN_FRACTION = 0.6  # time to the deletion of a removed upstream / drain_s


@dataclass(frozen=True, kw_only=True)
class _LastReport:
    """Number of a VM's or zone's last report, the upstreams with work, and until when it counts."""

    number: int
    ends_at: float
    upstreams: frozenset[str]


class UpstreamDirectory:
    """Upstreams by name and by service.

    An upstream is removed when its entry in the store is, and deleted here some time later.
    ``drain_s`` is the time limit drain_ms of the settings, in seconds.
    ``on_change`` is called after each change of an upstream's entry or items, ``wake_later`` with
    the seconds after which an adapter is expected, ``on_expired`` with each upstream that is
    deleted, ``on_left_or_back`` with the name of one that left or came back as the store says.
    """

    def __init__(self, *, drain_s: float, clock: Callable[[], float]) -> None:
        self._drain_s = drain_s
        self._clock = clock
        self._upstreams: dict[str, Upstream] = {}
        self._by_service: defaultdict[str, dict[str, Upstream]] = defaultdict(dict)
        self._restored = RestoredEntries()
        self._positions = EntryPositions()
        self._departures = Departures()
        self._last_reports: dict[str, _LastReport] = {}  # by reporting VM or zone
        self._old_reports_due_at = 0.0
        # the order of the last update on planned loads, and when each item is expected, by service
        self._planned_loads: dict[str, tuple[tuple[int, int], dict[str, float]]] = {}
        self.on_change: Callable[[], None] = lambda: None
        self.wake_later: Callable[[float], None] = lambda seconds: None
        self.on_expired: Callable[[Upstream], None] = lambda upstream: None
        self.on_left_or_back: Callable[[str], None] = lambda name: None

    def all(self) -> list[Upstream]:
        """Return all upstreams whose entry was not removed."""
        self._apply_deferred_changes()
        return [found for found in self._upstreams.values() if found.removed_at is None]

    def of_service(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service whose entry was not removed."""
        self._apply_deferred_changes()
        return [found for found in self._by_service[service].values() if found.removed_at is None]

    def find(self, name: str) -> Upstream | None:
        """Return an upstream by name."""
        return self._upstreams.get(name)

    def serves(self, name: str, service: str) -> bool:
        """Return whether an upstream is known, and one of a service."""
        found = self._upstreams.get(name)
        return found is not None and found.entry.service == service

    def usable(self, service: str) -> list[Upstream]:
        """Delete upstreams removed long ago; return those of a service that may get requests.

        Upstreams whose entry was removed recently are returned only if there are no others: after
        an outage of the store, the entries of running upstreams expire and reappear. The same holds
        for those of which another VM says so.
        """
        self._apply_deferred_changes()
        self._expire()
        self._forget_old_reports()
        ready = [found for found in self._by_service[service].values() if found.ready]
        registered = [found for found in ready if _is_registered(found)]
        return registered or ready

    def may_use(self, upstream: Upstream) -> bool:
        """Return whether an upstream that was chosen may still get a request, by its entry."""
        if upstream.removed_at is not None or upstream.entry.state != READY:
            return False
        return not upstream.told_gone or not any(
            found.ready and _is_registered(found)
            for found in self._by_service[upstream.entry.service].values()
        )

    def list_leaving(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service whose answers say that they leave."""
        return [found for found in self.of_service(service) if found.leaving]

    def find_departure(self, upstream: Upstream) -> Departure | None:
        """Return since when an upstream is known to leave, ``None`` if it has not said so."""
        return self._departures.find(_run_of(upstream))

    def list_departures(self) -> dict[Run, Departure]:
        """Return the runs of upstreams that have said that they leave, the latest last."""
        return self._departures.list_all()

    def record_departure(self, run: Run, departure: Departure) -> bool:
        """Stop using a run of an upstream that says that it leaves; return whether that is new."""
        if not self._departures.record(run, departure):
            return False
        self._show_departure(run.upstream)
        return True

    def record_staying(self, run: Run, sent_at: float) -> None:
        """Use a run again whose answer to a request sent at a time shows that it does not leave."""
        if self._departures.record_staying(run, sent_at):
            log_event("leaving_disproved", upstream=run.upstream, born=run.born)
            self._show_departure(run.upstream)

    def list_doubtful(self) -> list[Upstream]:
        """Return the upstreams of which only another start is known to leave."""
        return [
            found
            for found in self._upstreams.values()
            if found.leaving and self._departures.is_doubtful(_run_of(found))
        ]

    def expected_at(
        self, service: str, item: str, software_version: str | None = None
    ) -> float | None:
        """Return when an upstream is expected to hold an item; ``None`` if no load is planned.

        With a software version only its upstreams count; planned loads may be for others.
        """
        times = [
            found.held.coming[item]
            for found in self._by_service[service].values()
            if item in found.held.coming
            and not found.leaving
            and software_version in (None, found.software_version)
        ]
        if software_version is not None:
            return min(times, default=None)
        _, planned = self._planned_loads.get(service, (None, {}))
        if planned.get(item, 0.0) > self._clock():  # else the order holder no longer reports
            times.append(planned[item])
        return min(times, default=None)

    def apply_stored_entry(self, item: StoredItem) -> None:
        """Apply a change of an upstream's entry in the store, or its removal."""
        name = item.key.removeprefix(UPSTREAMS_PREFIX)
        entry = None
        if item.value is not None:
            entry = decode_upstream_entry(item.value) if is_upstream_name(name) else None
            if entry is None:
                self._discard(name, item)
                return
        if self._restored.defer(name, item, entry, self._clock()):
            log_event("entry_deferred", upstream=name, missing=entry is None)
            return
        if item.from_copy:
            self._positions.forget(name)
        elif self._positions.is_outdated(name, item.position, self._clock()):
            log_event("entry_outdated", upstream=name, revision=item.revision)
            return
        before = self._positions.find(name)
        if entry is None:
            self._remove(name, item)
        else:
            self._apply_entry(
                name, self._keep_draining(name, entry) if item.from_copy else entry, item
            )
        if not item.from_copy and _has_left_or_come_back(before, self._positions.find(name)):
            self.on_left_or_back(name)
        self.on_change()

    def apply_told_state(self, state: EntryState, *, era: int, source: str) -> bool:
        """Apply what another VM has read of an entry; return whether this VM knows it now.

        Only the state is taken over: a run that this VM has not read of stays unknown.
        """
        found = self._upstreams.get(state.upstream)
        if found is None or found.entry.born != state.born:
            return False
        if not self._positions.record_told(state, era, self._clock()):
            return self._positions.is_known(state, era)
        found.told_gone = not state.state
        if found.told_gone:
            self._restored.record_removal(found.name, state.born, self._clock())
        else:
            found.entry = msgspec.structs.replace(found.entry, state=state.state)
            found.removed_at = None
        log_event(
            "upstream_told",
            upstream=state.upstream,
            state=state.state or GONE,
            revision=state.revision,
            source=source,
        )
        self.on_change()
        return True

    def list_read_states(self, names: Iterable[str]) -> list[tuple[int, EntryState]]:
        """Return what the entries of upstreams say as far as this VM knows, each with its era."""
        return self._positions.list_states(names)

    def apply_engine_items(self, engine_items: EngineItems, token: int) -> None:
        """Apply the order holder's update about one engine, unless a later one is known."""
        found = self._upstreams.get(engine_items.upstream)
        if found is None or engine_items.born != found.entry.born:
            return
        order = (token, engine_items.update_number)
        if found.held.born == engine_items.born and order <= found.held.order:
            return
        now = self._clock()
        self._set_held(
            found,
            HeldItems(
                born=engine_items.born,
                order=order,
                received_at=now,
                models={name: frozenset(held) for name, held in engine_items.models.items()},
                coming={item: now + ms / 1000.0 for item, ms in engine_items.coming.items()},
            ),
        )

    def apply_planned_loads(self, loads: PlannedLoads, token: int) -> None:
        """Apply the order holder's list of planned loads, unless a later one is known."""
        order = (token, loads.update_number)
        known = self._planned_loads.get(loads.service)
        if known is not None and order <= known[0]:
            return
        now = self._clock()
        expected_at = {item: now + ms / 1000.0 for item, ms in loads.ready_in_ms.items()}
        self._planned_loads[loads.service] = (order, expected_at)
        self.on_change()

    def apply_status(self, status: Status, max_age_s: float = PEER_REPORT_MAX_AGE_S) -> None:
        """Record another VM's work at the upstreams, which counts for some seconds."""
        self._forget_old_reports()
        last = self._last_reports.get(status.vm)
        if last is not None and last.number == status.status_number:
            return
        self._record_work(
            status.vm, status.status_number, status.work, self._clock(), max_age_s=max_age_s
        )

    def apply_zone_work(self, summary: ZoneWork, *, replaced: Sequence[str]) -> None:
        """Record the work of a zone's VMs, instead of what some of them reported themselves."""
        self._forget_old_reports()
        observed_at = self._clock() - max(0, summary.age_ms) / 1000.0
        for vm in replaced:
            self._end_work(vm, observed_at)
        zone = f"{ZONE_PREFIX}{summary.zone}"
        self._record_work(zone, summary.summary_number, summary.work, observed_at)

    def _record_work(
        self,
        reporter: str,
        number: int,
        work: Sequence[EngineWork],
        observed_at: float,
        *,
        max_age_s: float = PEER_REPORT_MAX_AGE_S,
    ) -> None:
        """Replace what a VM or a zone reported; only upstreams that either report names are read.

        Load pattern: hundreds of reports a second, each on a few of thousands of upstreams.
        """
        reported = {
            entry.upstream: limit_report(entry)
            for entry in work
            if entry.upstream in self._upstreams
        }
        self._end_work(reporter, observed_at, except_at=reported)
        for name, entry in reported.items():
            self._upstreams[name].record_peer_work(reporter, entry, observed_at, max_age_s)
        self._last_reports[reporter] = _LastReport(
            number=number, ends_at=self._clock() + max_age_s, upstreams=frozenset(reported)
        )

    def _end_work(
        self, reporter: str, observed_at: float, *, except_at: Collection[str] = ()
    ) -> None:
        """End what a VM or a zone last reported, except at some upstreams."""
        last = self._last_reports.get(reporter)
        if last is None:
            return
        for name in last.upstreams.difference(except_at):
            found = self._upstreams.get(name)
            if found is not None:
                found.record_peer_work(reporter, None, observed_at)
        self._last_reports[reporter] = replace(last, upstreams=frozenset())

    def _forget_old_reports(self) -> None:
        """Forget VMs and zones that report no more, whose measured rates would count for good."""
        now = self._clock()
        if now < self._old_reports_due_at:
            return
        self._old_reports_due_at = now + PEER_REPORT_MAX_AGE_S
        for reporter in [name for name, last in self._last_reports.items() if now >= last.ends_at]:
            self._end_work(reporter, now)
            del self._last_reports[reporter]

    def mark_replaced(self, upstream: Upstream) -> None:
        """Stop sending requests to an upstream at whose address another instance answers.

        ``removed_at`` lies in the past, so that the next ``usable`` deletes it.
        """
        if upstream.removed_at is None:
            upstream.removed_at = self._clock() - self._drain_s
            self._restored.record_removal(upstream.name, upstream.entry.born, self._clock())
            log_event("upstream_leaving", upstream=upstream.name, source="answer")

    def _apply_deferred_changes(self) -> None:
        for item in self._restored.take_due(self._clock()):
            self.apply_stored_entry(replace(item, from_copy=False))

    def _keep_draining(self, name: str, entry: UpstreamEntry) -> UpstreamEntry:
        """Return an entry of a copy with the state of an upstream that is known to be leaving."""
        found = self._upstreams.get(name)
        if found is None or found.entry.state == READY or found.entry.born != entry.born:
            return entry
        return msgspec.structs.replace(entry, state=found.entry.state)

    def _apply_entry(self, name: str, entry: UpstreamEntry, item: StoredItem) -> None:
        found = self._upstreams.get(name)
        if found is None:
            found = Upstream(name=name, entry=entry)
            self._upstreams[name] = found
            log_event("upstream_seen", upstream=name, service=entry.service, state=entry.state)
        elif found.entry.state != entry.state:
            log_event("upstream_state", upstream=name, state=entry.state, revision=item.revision)
        if found.entry.born != entry.born:
            log_event("upstream_restarted", upstream=name, born=entry.born)
            found.reset_after_restart()
        self._by_service[found.entry.service].pop(name, None)
        self._by_service[entry.service][name] = found
        found.entry = entry
        found.leaving = self.find_departure(found) is not None
        found.address = split_address(entry.address)
        found.removed_at = None
        found.told_gone = False
        self._positions.record_read(name, item.position, entry.born, entry.state)
        self._apply_reported_models(found, entry)

    def _show_departure(self, name: str) -> None:
        found = self._upstreams.get(name)
        if found is not None:
            found.leaving = self.find_departure(found) is not None
            self.on_change()

    def _apply_reported_models(self, found: Upstream, entry: UpstreamEntry) -> None:
        """Apply the models in an engine's entry, unless the order holder's update is recent."""
        now = self._clock()
        if found.held.born == entry.born and now - found.held.received_at < HOLDER_UPDATE_MAX_AGE_S:
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
        found.missing_at_version = {}
        self.on_change()
        self._schedule_adapter_wakes(held)

    def _schedule_adapter_wakes(self, held: HeldItems) -> None:
        """Schedule a wake-up of waiting requests for when each adapter should be loaded."""
        now = self._clock()
        for item, at in held.coming.items():
            if "/" in item and at > now:
                self.wake_later(at - now + 0.001)

    def _remove(self, name: str, item: StoredItem) -> None:
        found = self._upstreams.get(name)
        if found is not None and found.removed_at is None:
            found.removed_at = self._clock()
            self._restored.record_removal(name, found.entry.born, found.removed_at)
            self._positions.record_read(name, item.position, found.entry.born, "")
            log_event("upstream_gone", upstream=name, revision=item.revision)

    def _discard(self, name: str, item: StoredItem) -> None:
        """Stop using an upstream whose entry was replaced by one that names none."""
        log_event("entry_unreadable", upstream=name)
        self._restored.forget(name)
        self._remove(name, item)
        found = self._upstreams.get(name)
        if found is not None:
            # Not even if there are no others: the next ``usable`` deletes it.
            found.removed_at = self._clock() - self._drain_s
        self.on_change()

    def _expire(self) -> None:
        limit = self._clock() - self._drain_s * REMOVED_ENTRY_DRAIN_FRACTION
        for name in [
            name
            for name, found in self._upstreams.items()
            if found.removed_at is not None and found.removed_at <= limit
        ]:
            found = self._upstreams.pop(name)
            self._by_service[found.entry.service].pop(name, None)
            self.on_expired(found)


def _has_left_or_come_back(before: EntryState | None, after: EntryState | None) -> bool:
    """Return whether a run that was known has left, or come back, by its entry."""
    if before is None or after is None or before.born != after.born:
        return False
    return (before.state == READY) != (after.state == READY)


def _is_registered(upstream: Upstream) -> bool:
    """Return whether an upstream has an entry, as far as this VM or another one has read."""
    return upstream.removed_at is None and not upstream.told_gone


def _run_of(upstream: Upstream) -> Run:
    return Run(upstream=upstream.name, born=upstream.entry.born)
