"""Keeps streams at the software version that began them, over attempts, VMs and restarts."""

from __future__ import annotations

import secrets

from collections import defaultdict
from dataclasses import dataclass
from dataclasses import replace
from functools import partial
from traceback import format_exc
from typing import TYPE_CHECKING
from typing import Any

from cactusshunt.decisions.rendezvous import rank_nodes
from cactusshunt.exceptions import CompareFailedError
from cactusshunt.exceptions import StoreError
from cactusshunt.membership.tenure import STORE_SILENCE_S
from cactusshunt.node_log import log_event
from cactusshunt.platform.documents import UPSTREAMS_PREFIX
from cactusshunt.platform.documents import decode_upstream_entry
from cactusshunt.platform.store import ABSENT
from cactusshunt.requests.admission import Refusal
from cactusshunt.streams.shared_read import SharedRead
from cactusshunt.streams.stream_records import STREAMS_PREFIX
from cactusshunt.streams.stream_records import decode_streams
from cactusshunt.streams.stream_records import encode_streams
from cactusshunt.streams.stream_records import make_settled_key
from cactusshunt.streams.stream_records import make_streams_key
from cactusshunt.streams.stream_records import read_settled_service
from cactusshunt.streams.version_rule import UNKNOWN_ORIGIN
from cactusshunt.streams.version_rule import OriginSource
from cactusshunt.streams.version_rule import StreamOrigin
from cactusshunt.streams.version_rule import choose_settled
from cactusshunt.streams.version_rule import compute_settling_wait_s
from cactusshunt.streams.version_rule import find_origin
from cactusshunt.streams.version_rule import needs_record
from cactusshunt.tasks.periodic import pause
from cactusshunt.tasks.periodic import start_coroutine

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from cactusshunt.configuration.store_era import StoreEra
    from cactusshunt.membership.peer_link import PeerLink
    from cactusshunt.platform.documents import Configuration
    from cactusshunt.platform.store import PlatformStore
    from cactusshunt.platform.store import StoredItem
    from cactusshunt.requests.job import Job
    from cactusshunt.routing.upstream import Upstream
    from cactusshunt.routing.upstream_directory import UpstreamDirectory
    from cactusshunt.streams.version_rule import StreamRecords

CALL_TIMEOUT_S = 0.5
READ_ATTEMPTS = 2
WRITE_INTERVAL_S = 0.05  # streams that begin within it are written in one call
WRITE_RETRY_S = 0.2
# Longest wait of a first event for its record. Callers abandon a stream after 2 s without an event,
# so that the answer at its end still reaches them. A prompt's prefill usually takes longer than a
# write: events hardly ever wait while the store answers.
MAX_HOLD_S = 1.5
KEEP_MARGIN_S = 5.0  # beyond the longest timeout of a route whose streams may be resumed
# After the store was silent, VMs that are alive write their records again within this time.
SILENCE_AFTERMATH_S = 3.0
SETTLING_RANK_DELAY_S = 3.0  # the preferred VM settles a version; others if it did not
MAX_SETTLING_RANK = 10
MAX_REMOVED_KEYS = 10  # in one transaction
NOT_KNOWN = Refusal(
    reason="the software version that began the stream is not known", retry_after_s=0.5
)
NOT_RECORDABLE = Refusal(
    reason="the software version that would begin the stream cannot be recorded", retry_after_s=0.5
)


@dataclass(frozen=True, kw_only=True)
class _OwnStream:
    """A stream that this VM began: its version, and until when callers may take it up.

    ``recorded`` means that this VM's record names it, ``acknowledged`` that the store has that.
    """

    version: str
    recorded: bool
    ends_at: float
    acknowledged: bool = False


class StreamVersions:
    """Records which versions begin streams, and finds it out for streams that are taken up."""

    def __init__(
        self,
        *,
        reactor: Any,
        vm: str,
        store: PlatformStore,
        era: StoreEra,
        directory: UpstreamDirectory,
        link: PeerLink,
        measure_store_silence_s: Callable[[], float],
    ) -> None:
        self._reactor = reactor
        self._vm = vm
        self._store = store
        self._directory = directory
        self._link = link
        self._measure_store_silence_s = measure_store_silence_s
        self._key = make_streams_key(vm, secrets.token_hex(4))
        self._key_revision = ABSENT  # as far as it is known
        self._services: frozenset[str] = frozenset()
        self._keep_s = KEEP_MARGIN_S
        self._settled: dict[str, tuple[str, int]] = {}  # version and the key's revision
        self._away_since: dict[str, float] = {}  # when a service's settled version was missed
        self._own: dict[str, _OwnStream] = {}
        self._write_due = False
        self._writing = False
        self._on_written: list[Callable[[], None]] = []
        self._record_reads = SharedRead(read=self._read_records)
        self._version_reads = SharedRead(read=self._read_all_versions)
        self._store_silent_at: float | None = None
        self._records_doubtful = False  # the store was silent since the last write
        # keys of all VMs' streams: revision and when this VM saw the last change
        self._stored_keys: dict[str, tuple[int, float]] = {}
        self._copied_at: float | None = None  # when the store came back from a copy
        era.on_change.append(self._handle_copy)

    @property
    def recorded(self) -> int:
        """Return how many streams this VM's record in the store names."""
        return sum(stream.recorded for stream in self._own.values())

    def set_configuration(self, configuration: Configuration) -> None:
        """Apply the routes whose streams may be resumed."""
        routes = [route for route in configuration.routes if route.can_resume]
        services = {route.service for route in routes if route.service}
        services |= {split.service for route in routes for split in route.traffic_split}
        self._services = frozenset(services)
        longest_ms = max((route.timeout_ms for route in routes), default=0.0)
        self._keep_s = max(self._keep_s, longest_ms / 1000.0 + KEEP_MARGIN_S)

    def apply_stored_item(self, item: StoredItem) -> None:
        """Apply a change of a settled version, or of a VM's record."""
        if item.key.startswith(STREAMS_PREFIX):
            if item.value is None:
                self._stored_keys.pop(item.key, None)
            else:
                self._stored_keys[item.key] = (item.revision, self._now())
            return
        service = read_settled_service(item.key)
        if item.value is None:
            self._settled.pop(service, None)
            return
        version = item.value.decode(errors="replace")
        if self.settled_version(service) != version:
            log_event("version_settled", service=service, version=version)
        self._settled[service] = (version, item.revision)

    def settled_version(self, service: str) -> str | None:
        """Return the version that began the service's streams without a record, if it is known."""
        return self._settled[service][0] if service in self._settled else None

    def prefer_version(self, job: Job) -> str | None:
        """Return the version that should begin a stream because records can't be written."""
        if not job.route.can_resume or job.stream_version is not None:
            return None
        return self.settled_version(job.service) if self._store_is_silent() else None

    async def find_version(self, job: Job) -> Refusal | None:
        """Set the only version at which a taken-up stream may go on; a refusal if it is unknown."""
        origin = await self._find_origin(job)
        request, resumes = job.request_id.decode("latin-1"), job.begun_by.decode("latin-1")
        if origin.version is None:
            log_event("stream_not_taken_up", request=request, resumes=resumes)
            return NOT_KNOWN
        log_event(
            "stream_taken_up",
            request=request,
            resumes=resumes,
            version=origin.version,
            source=origin.source.value,
        )
        job.stream_version = origin.version
        return None

    def check_begin(self, job: Job, upstream: Upstream) -> Refusal | None:
        """Return why an upstream may not begin a stream now, ``None`` if it may.

        While the store is silent a record would not be written in time, so the caller had better
        try another VM, which may reach the store.
        """
        if self._store_is_silent() and self._record_is_due(job, upstream.software_version):
            return NOT_RECORDABLE
        return None

    def begin(self, job: Job, upstream: Upstream, *, abandon: Callable[[], None]) -> None:
        """Record, if need be, the version of an attempt that may begin a stream.

        The attempt's events are held back until the store has acknowledged the record: other VMs
        take a stream without one for the settled version's. ``abandon`` is called if that takes
        too long.
        """
        version = upstream.software_version
        job.attempt_version = version
        if not job.route.can_resume or job.stream_version is not None:
            return
        attempt = job.request_id.decode("latin-1")
        due = self._record_is_due(job, version)
        known = self._own.get(attempt)
        recorded = due or (known is not None and known.recorded)
        if recorded or len(self._list_versions(job.service)) > 1:
            self._own[attempt] = _OwnStream(
                version=version,
                recorded=recorded,
                ends_at=self._now() + self._keep_s,
                acknowledged=recorded and not due,
            )
        if due:
            log_event("stream_begun", request=attempt, upstream=upstream.name, version=version)
            hold = job.sink.hold_events()
            self._on_written.append(lambda: job.sink.release_events(hold))
            self._reactor.callLater(MAX_HOLD_S, self._end_hold, job, hold, abandon)
            self._write_soon()

    def _record_is_due(self, job: Job, version: str) -> bool:
        """Return whether an attempt at a version may begin a stream that needs a record."""
        if not job.route.can_resume or job.stream_version is not None:
            return False
        known = self._own.get(job.request_id.decode("latin-1"))
        recorded = known if known is not None and known.recorded else None
        # Another VM that the request was passed on to may have recorded another version.
        if job.passed_on or (recorded is not None and not recorded.acknowledged):
            return True
        in_service = self._list_versions(job.service)
        # The VM that passed the request on here may have recorded another version, too.
        if job.is_detour and len(in_service) > 1:
            return True
        return needs_record(
            version,
            recorded=recorded.version if recorded is not None else None,
            settled=self.settled_version(job.service),
            in_service=in_service,
        )

    def _end_hold(self, job: Job, hold: int, abandon: Callable[[], None]) -> None:
        """Abandon a stream whose record the store has not acknowledged in time."""
        if job.sink.is_holding(hold):
            log_event("stream_unrecorded", request=job.request_id.decode("latin-1"))
            abandon()

    def tick(self) -> None:
        """Forget streams that are over, settle versions, and remove records of ended processes."""
        now = self._now()
        if self._store_is_silent():
            self._store_silent_at = now
            self._records_doubtful = True
        elif self._records_doubtful:
            self._write_again()
        self._own = {name: found for name, found in self._own.items() if found.ends_at > now}
        for service in self._services:
            self._settle_if_due(service, now)
        self._remove_old_records(now)

    def _store_is_silent(self) -> bool:
        return self._measure_store_silence_s() >= STORE_SILENCE_S

    def _store_was_silent(self) -> bool:
        """Return whether the store is or was silent of late, so that records may be missing."""
        at = self._store_silent_at
        return self._store_is_silent() or (
            at is not None and self._now() - at < SILENCE_AFTERMATH_S
        )

    def _list_versions(self, service: str) -> set[str]:
        return {found.software_version for found in self._directory.of_service(service)}

    async def _find_origin(self, job: Job) -> StreamOrigin:
        attempt = job.begun_by.decode("latin-1")
        own = self._own.get(attempt)
        if own is not None:
            return StreamOrigin(version=own.version, source=OriginSource.OWN)
        records = await self._record_reads.request()
        find = partial(
            find_origin,
            attempt=attempt,
            records=records,
            settled=self.settled_version(job.service),
            records_may_be_missing=self._store_was_silent(),
        )
        origin = find(in_service=None)
        if origin is not UNKNOWN_ORIGIN or records is None:
            return origin
        if len(self._list_versions(job.service)) > 1:
            return origin
        return find(in_service=await self._read_versions(job.service))

    async def _read_versions(self, service: str) -> set[str] | None:
        """Return the software versions of a service's upstreams, ``None`` if they are not known.

        Those that this VM knows count too: the entry of a running upstream may be missing. After
        the store came back from a copy, entries of upstreams that no VM remembers may be, too.
        """
        stored = await self._version_reads.request()
        at = self._copied_at
        if stored is None or (at is not None and self._now() - at < SILENCE_AFTERMATH_S):
            return None
        return stored[service] | self._list_versions(service)

    async def _read_records(self) -> StreamRecords | None:
        items = await self._read_items(STREAMS_PREFIX)
        return None if items is None else decode_streams(items)

    async def _read_all_versions(self) -> defaultdict[str, set[str]] | None:
        items = await self._read_items(UPSTREAMS_PREFIX)
        if items is None:
            return None
        versions: defaultdict[str, set[str]] = defaultdict(set)
        for item in items:
            entry = decode_upstream_entry(item.value or b"")
            if entry is not None:
                versions[entry.service].add(entry.software_version)
        return versions

    async def _read_items(self, prefix: str) -> Sequence[StoredItem] | None:
        for _ in range(READ_ATTEMPTS):
            try:
                deadline = self._now() + CALL_TIMEOUT_S
                return (await self._store.read_prefix(prefix, deadline=deadline)).items
            except StoreError as error:
                log_event("stream_records_unread", reason=error.reason)
        return None

    def _handle_copy(self) -> None:
        self._copied_at = self._now()
        self._write_again()

    def _write_again(self) -> None:
        """Write the record again, which the store may have lost."""
        self._store_silent_at = self._now()
        self._records_doubtful = False
        if self.recorded:
            self._write_soon()

    def _write_soon(self) -> None:
        self._write_due = True
        if not self._writing:
            self._writing = True
            start_coroutine(self._write_while_due())

    async def _write_while_due(self) -> None:
        while self._write_due:
            self._write_due = False
            on_written, self._on_written = self._on_written, []
            if await self._write_once():
                for release in on_written:
                    _call_safely(release)
                await pause(self._reactor, WRITE_INTERVAL_S)
            else:
                self._write_due = bool(self.recorded)
                self._on_written = on_written + self._on_written
                await pause(self._reactor, WRITE_RETRY_S)
        self._writing = False

    async def _write_once(self) -> bool:
        """Write the record over the revision that is known; return whether the store has it.

        Only this VM writes the key. A write without an answer may be carried out seconds later; the
        condition keeps it from replacing a newer record, which then has another revision.
        """
        versions = {name: found.version for name, found in self._own.items() if found.recorded}
        value = encode_streams(versions)
        try:
            try:
                await self._replace_record(value)
            except CompareFailedError as error:  # an earlier write was carried out unanswered
                log_event("stream_records_replaced", streams=len(versions))
                await self._find_revision(error)
                await self._replace_record(value)
        except StoreError as error:
            log_event("stream_records_unwritten", streams=len(versions), reason=error.reason)
            return False
        except Exception:  # must not end the writes that follow
            log_event("task_failed", reason=format_exc(limit=-4))
            return False
        self._acknowledge(versions)
        return True

    async def _replace_record(self, value: bytes) -> None:
        position = await self._store.commit(
            expected={self._key: self._key_revision},
            puts={},
            unleased_puts={self._key: value},
            deadline=self._now() + CALL_TIMEOUT_S,
        )
        self._key_revision = position.revision

    async def _find_revision(self, error: CompareFailedError) -> None:
        """Find out the record's revision; the answer to a failed write need not name it."""
        revision = error.revisions.get(self._key)
        if revision is None:
            found = await self._store.read_prefix(self._key, deadline=self._now() + CALL_TIMEOUT_S)
            revision = next((item.revision for item in found.items), ABSENT)
        self._key_revision = revision

    def _acknowledge(self, versions: dict[str, str]) -> None:
        """Note that the store's record names these versions of attempts."""
        for attempt, version in versions.items():
            known = self._own.get(attempt)
            if known is not None and known.version == version:
                self._own[attempt] = replace(known, acknowledged=True)

    def _settle_if_due(self, service: str, now: float) -> None:
        """Settle the version of most upstreams once no unrecorded stream of another is open."""
        upstreams = self._directory.of_service(service)
        in_service = {found.software_version for found in upstreams}
        settled = self.settled_version(service)
        if not upstreams or settled in in_service or self._store_is_silent():
            self._away_since.pop(service, None)
            return
        since = self._away_since.setdefault(service, now)
        wait_s = compute_settling_wait_s(
            settled=settled, in_service=in_service, keep_s=self._keep_s
        )
        rank_delay_s = SETTLING_RANK_DELAY_S * min(MAX_SETTLING_RANK, self._rank(service))
        if now >= since + wait_s + rank_delay_s:
            del self._away_since[service]
            version = choose_settled(found.software_version for found in upstreams)
            start_coroutine(self._settle(service, version))

    def _rank(self, subject: str) -> int:
        return rank_nodes([self._vm, *self._link.peers], f"versions/{subject}").index(self._vm)

    async def _settle(self, service: str, version: str) -> None:
        key = make_settled_key(service)
        revision = self._settled[service][1] if service in self._settled else ABSENT
        try:
            await self._store.commit(
                expected={key: revision},
                puts={},
                unleased_puts={key: version.encode()},
                deadline=self._now() + CALL_TIMEOUT_S,
            )
        except CompareFailedError:
            return  # another VM settled one
        except StoreError as error:
            log_event("version_not_settled", service=service, reason=error.reason)

    def _remove_old_records(self, now: float) -> None:
        """Remove records that have not changed for twice the time that streams stay open."""
        old = [
            key
            for key, (_, changed_at) in self._stored_keys.items()
            if now - changed_at > 2.0 * self._keep_s
        ][:MAX_REMOVED_KEYS]
        if old and not self._store_is_silent() and self._rank(STREAMS_PREFIX) == 0:
            start_coroutine(self._remove(old))

    async def _remove(self, keys: list[str]) -> None:
        expected = {key: self._stored_keys[key][0] for key in keys if key in self._stored_keys}
        try:
            await self._store.commit(
                expected=expected,
                puts={},
                removals=keys,
                deadline=self._now() + CALL_TIMEOUT_S,
            )
        except StoreError as error:
            log_event("stream_records_unremoved", keys=len(keys), reason=error.reason)

    def _now(self) -> float:
        return self._reactor.seconds()  # type: ignore[no-any-return]


def _call_safely(run: Callable[[], None]) -> None:
    """Call a function of one stream, whose error must not end the writes for all."""
    try:
        run()
    except Exception:
        log_event("task_failed", reason=format_exc(limit=-4))
