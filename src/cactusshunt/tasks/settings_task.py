"""Settings of one node: watches the store, accepts operators' writes and adopts versions.

Operators write documents below ``teams/`` and ``deployment/``. A write becomes an accepted version
when a node checks the whole subtree and stores it at ``accepted/<subject>`` by compare-and-swap.
Nodes adopt (put in force) only accepted versions, ordered by generation and by that key's revision.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

from logbook import Logger

from cactusshunt.clients.store import ABSENT
from cactusshunt.clients.store import Commit
from cactusshunt.clients.store import Put
from cactusshunt.decisions.adoption import AdoptedSettings
from cactusshunt.decisions.adoption import AdoptionVerdict
from cactusshunt.decisions.adoption import subtree_version
from cactusshunt.decisions.catalogue import Catalogue
from cactusshunt.decisions.catalogue import build_catalogue
from cactusshunt.decisions.settings_keys import ACCEPTED_PREFIX
from cactusshunt.decisions.settings_keys import WRITTEN_PREFIXES
from cactusshunt.decisions.settings_keys import accepted_key
from cactusshunt.decisions.settings_keys import merge_documents
from cactusshunt.decisions.settings_keys import split_key
from cactusshunt.decisions.subtree import check_subtree
from cactusshunt.schema.codec import decode_record
from cactusshunt.schema.codec import encode_record
from cactusshunt.schema.generated.messages import Subtree
from cactusshunt.tasks.control_messages import DutiesAssigned
from cactusshunt.tasks.control_messages import SettingsAdopted
from cactusshunt.tasks.control_messages import SubtreesReceived
from cactusshunt.tasks.periodic import Periodic
from cactusshunt.tasks.periodic import start_coroutine

if TYPE_CHECKING:
    from twisted.internet.base import ReactorBase

    from cactusshunt.clients.store import Change
    from cactusshunt.clients.store import Snapshot
    from cactusshunt.clients.store import Store
    from cactusshunt.clients.store_watch import StoreWatch
    from cactusshunt.exceptions import SettingsError
    from cactusshunt.tasks.message_bus import MessageBus

log = Logger("settings")

STORE_TIMEOUT_S = 2.0
CHECK_INTERVAL_S = 3.0  # a watch that ended silently is noticed after this time
ACCEPT_DELAY_S = 0.15  # collects an operator's writes of several keys into one version
REGRESSION_RETRY_S = 1.0  # until the watches are closed; the next store check then reads everything
REGRESSION_CONFIRMATIONS = 2  # consecutive reads of an older version that confirm a restore


class SettingsTask:
    """Maintains the settings in force at this node."""

    def __init__(
        self, *, reactor: ReactorBase, bus: MessageBus, store: Store, extra_accept_delay_s: float
    ) -> None:
        self._reactor = reactor
        self._bus = bus
        self._store = store
        self._accept_delay_s = ACCEPT_DELAY_S + extra_accept_delay_s
        self._adopted = AdoptedSettings()
        self._catalogue = Catalogue()
        self._written: dict[str, dict[str, tuple[str, int]]] = defaultdict(dict)
        self._accepted_records: dict[str, Subtree] = {}
        self._rejected: dict[str, tuple[SettingsError, ...]] = {}
        self._scheduled_accepts: set[str] = set()
        self._regression_counts: dict[str, int] = defaultdict(int)
        self._watches: list[StoreWatch] = []
        self._watches_store = True
        self._checked_revision = 0
        self._store_reachable = False
        self._store_checks = Periodic(
            reactor=reactor, interval_s=CHECK_INTERVAL_S, run=self._check_store
        )
        bus.subscribe(SubtreesReceived, self._receive_subtrees)
        bus.subscribe(DutiesAssigned, self._receive_duties)

    @property
    def adopted(self) -> AdoptedSettings:
        """Return the settings in force; read-only for other tasks."""
        return self._adopted

    @property
    def catalogue(self) -> Catalogue:
        """Return the settings in force, decoded into models, services and administrators."""
        return self._catalogue

    @property
    def rejected(self) -> dict[str, tuple[SettingsError, ...]]:
        """Return the errors of each subject whose documents or accepted version were rejected."""
        return self._rejected

    def start(self) -> None:
        """Start checking and watching the store."""
        self._store_checks.start()

    def stop(self) -> None:
        """Stop checking the store and close the watches."""
        self._store_checks.stop()
        self._close_watches()

    def dump(self) -> dict[str, Any]:
        """Return this task's state."""
        return {
            "versions": self._adopted.versions(),
            "rejected": {
                subject: [str(error) for error in errors]
                for subject, errors in self._rejected.items()
            },
            "store_reachable": self._store_reachable,
            "store_regressed_to": self._adopted.store_regressed_to,
            "watching": len(self._watches),
        }

    def written_documents(self, subject: str) -> dict[str, str]:
        """Return the documents that operators wrote for a subject, accepted or not."""
        return {path: found[0] for path, found in self._written.get(subject, {}).items()}

    def _receive_duties(self, message: DutiesAssigned) -> None:
        if message.duties.watches_store == self._watches_store:
            return
        self._watches_store = message.duties.watches_store
        if self._watches_store:
            self._store_checks.trigger()
        else:
            self._close_watches()

    def _receive_subtrees(self, message: SubtreesReceived) -> None:
        adopted = [subtree for subtree in message.subtrees if self._adopt(subtree)]
        if adopted:
            self._publish()

    def _adopt(self, subtree: Subtree) -> bool:
        adoption_result = self._adopted.adopt_if_newer(subtree)
        if adoption_result.verdict is AdoptionVerdict.REJECTED:
            log.error("accepted version of {} rejected at this node", subtree.subject)
            self._rejected[subtree.subject] = adoption_result.errors
        return adoption_result.verdict is AdoptionVerdict.ADOPTED

    def _publish(self) -> None:
        self._catalogue = build_catalogue(self._adopted.subtrees)
        self._bus.publish(
            SettingsAdopted(catalogue=self._catalogue, subtrees=tuple(self._adopted.subtrees))
        )

    async def _check_store(self) -> None:
        """Compare the store with what the watches reported; reload after a missed change."""
        if not self._watches_store:
            return
        if not self._watches:
            await self._load_all()
            return
        for prefix in (ACCEPTED_PREFIX, *WRITTEN_PREFIXES):
            result = await self._store.read_prefix(
                prefix, deadline=self._deadline(), changed_after=self._checked_revision
            )
            if result.is_error():
                self._store_reachable = False
                return
            if self._has_missed_changes(prefix, result.ok):
                log.warning(
                    "the store differs from what the watches reported; reading all settings again"
                )
                await self._load_all()
                return
            if prefix == WRITTEN_PREFIXES[-1]:
                self._checked_revision = result.ok.revision
        self._store_reachable = True

    def _has_missed_changes(self, prefix: str, snapshot: Snapshot) -> bool:
        """Return whether the store differs from what the watches reported."""
        known = self._known_revisions(prefix)
        changed = any(known.get(entry.key) != entry.mod_revision for entry in snapshot.entries)
        count_differs = snapshot.count != len(known)
        return (
            changed or count_differs or not self._adopted.observe_store_revision(snapshot.revision)
        )

    def _known_revisions(self, prefix: str) -> dict[str, int]:
        if prefix == ACCEPTED_PREFIX:
            return {
                accepted_key(name): found.revision for name, found in self._accepted_records.items()
            }
        return {
            f"{subject}/{path}": revision
            for subject, documents in self._written.items()
            if f"{subject}/".startswith(prefix)
            for path, (_, revision) in documents.items()
        }

    async def _load_all(self) -> None:
        self._close_watches()
        snapshots: dict[str, Snapshot] = {}
        for prefix in (ACCEPTED_PREFIX, *WRITTEN_PREFIXES):
            result = await self._store.read_prefix(prefix, deadline=self._deadline())
            if result.is_error():
                self._store_reachable = False
                return
            snapshots[prefix] = result.ok
        self._store_reachable = True
        self._checked_revision = snapshots[ACCEPTED_PREFIX].revision
        self._adopted.observe_store_revision(self._checked_revision)
        self._apply_accepted_snapshot(snapshots[ACCEPTED_PREFIX])
        self._apply_written_snapshots([snapshots[prefix] for prefix in WRITTEN_PREFIXES])
        self._repair_regression()
        self._open_watches(snapshots)

    def _apply_accepted_snapshot(self, snapshot: Snapshot) -> None:
        self._accepted_records = {}
        changed = False
        for entry in snapshot.entries:
            changed |= self._apply_accepted_record(entry.key, entry.value, entry.mod_revision)
        if changed:
            self._publish()

    def _apply_accepted_record(self, key: str, value: bytes, revision: int) -> bool:
        subject = key.removeprefix(ACCEPTED_PREFIX)
        result = decode_record(value, Subtree)
        if result.is_error():
            log.error("accepted record {} could not be decoded: {}", key, result.error)
            # Generation -1 sorts before every valid version.
            self._accepted_records[subject] = Subtree(
                subject=subject, generation=-1, revision=revision, documents={}
            )
            return False
        self._accepted_records[subject] = replace(result.ok, subject=subject, revision=revision)
        return self._adopt(self._accepted_records[subject])

    def _apply_written_snapshots(self, snapshots: list[Snapshot]) -> None:
        before = set(self._written)
        self._written.clear()
        for snapshot in snapshots:
            for entry in snapshot.entries:
                self._record_written(entry.key, entry.value, entry.mod_revision)
        for subject in before | set(self._written):
            self._schedule_accept(subject)

    def _record_written(self, key: str, value: bytes | None, revision: int) -> str:
        subject, path = split_key(key)
        if value is None:
            self._written[subject].pop(path, None)
        else:
            self._written[subject][path] = (value.decode(errors="replace"), revision)
        return subject

    def _open_watches(self, snapshots: dict[str, Snapshot]) -> None:
        for prefix, snapshot in snapshots.items():
            receive = self._receive_accepted if prefix == ACCEPTED_PREFIX else self._receive_written
            self._watches.append(
                self._store.watch(
                    prefix, after=snapshot.revision, receive=receive, end=self._close_watches
                )
            )

    def _close_watches(self) -> None:
        for watch in self._watches:
            watch.stop()
        self._watches = []

    def _receive_accepted(self, revision: int, changes: list[Change]) -> None:
        del revision
        changed = False
        for change in changes:
            if change.value is not None:
                changed |= self._apply_accepted_record(
                    change.key, change.value, change.mod_revision
                )
        if changed:
            self._publish()

    def _receive_written(self, revision: int, changes: list[Change]) -> None:
        del revision
        for change in changes:
            self._schedule_accept(
                self._record_written(change.key, change.value, change.mod_revision)
            )

    def _schedule_accept(self, subject: str) -> None:
        if subject in self._scheduled_accepts:
            return
        self._scheduled_accepts.add(subject)
        self._reactor.callLater(
            self._accept_delay_s, lambda: start_coroutine(self._accept(subject))
        )

    async def _accept(self, subject: str) -> None:
        """Check what was written and store it as accepted, unless another node did."""
        self._scheduled_accepts.discard(subject)
        documents = self.written_documents(subject)
        stored = self._accepted_records.get(subject)
        if stored is not None and dict(stored.documents) == documents:
            self._rejected.pop(subject, None)
            return
        if self._is_regressed(subject) or (stored is None and not documents):
            return
        errors = check_subtree(subject, documents)
        if errors:
            self._rejected[subject] = tuple(errors)
            log.warning("settings of {} rejected: {}", subject, "; ".join(map(str, errors)))
            return
        self._rejected.pop(subject, None)
        subtree = self._make_subtree(subject, documents, stored.generation if stored else 0)
        await self._commit(subtree, documents)

    def _make_subtree(self, subject: str, documents: dict[str, str], generation: int) -> Subtree:
        return Subtree(
            subject=subject,
            generation=generation,
            documents=documents,
            accepted_at=self._reactor.seconds(),
        )

    async def _commit(self, subtree: Subtree, written: dict[str, str]) -> None:
        """Store an accepted version, unless the subject changed since it was checked.

        ``written`` holds the documents that the subject's own keys should contain; documents that
        differ are written in the same transaction.
        """
        subject = subtree.subject
        before = self._written.get(subject, {})
        stored = self._accepted_records.get(subject)
        puts = [Put(key=accepted_key(subject), value=encode_record(subtree))]
        for path, text in written.items():
            if path not in before or before[path][0] != text:
                puts.append(Put(key=f"{subject}/{path}", value=text.encode()))
        result = await self._store.commit(
            Commit(
                expected={
                    accepted_key(subject): stored.revision if stored is not None else ABSENT,
                    **{f"{subject}/{path}": found[1] for path, found in before.items()},
                },
                puts=puts,
                deletes=[f"{subject}/{path}" for path in before if path not in written],
            ),
            deadline=self._deadline(),
        )
        if result.is_error():
            log.info(
                "accepted version of {} not stored, will be retried: {}", subject, result.error
            )
            self._close_watches()
            return
        accepted = replace(subtree, revision=result.ok)
        self._accepted_records[subject] = accepted
        self._regression_counts.pop(subject, None)
        self._receive_subtrees(SubtreesReceived(subtrees=(accepted,)))

    def _is_regressed(self, subject: str) -> bool:
        """Return whether the store holds an older version than the one in force at this node."""
        adopted = self._adopted.get(subject)
        if adopted is None:
            return False
        stored = self._accepted_records.get(subject)
        return stored is None or subtree_version(stored) < subtree_version(adopted)

    def _repair_regression(self) -> None:
        """Count loads with older versions; write adopted versions back to a restored store.

        A single read may return an older version because it raced with a write, so the store must
        return older versions in ``REGRESSION_CONFIRMATIONS`` loads in a row.
        """
        for subtree in self._adopted.subtrees:
            subject = subtree.subject
            if not self._is_regressed(subject):
                self._regression_counts.pop(subject, None)
                continue
            self._regression_counts[subject] += 1
            if self._regression_counts[subject] >= REGRESSION_CONFIRMATIONS:
                start_coroutine(self._write_back(subtree))
        if self._regression_counts:
            self._reactor.callLater(REGRESSION_RETRY_S, self._close_watches)

    async def _write_back(self, adopted: Subtree) -> None:
        """Store an adopted version as a new generation, merged with documents written since."""
        subject = adopted.subject
        log.error(
            "the store holds an older version of {} than this node; writing this node's version",
            subject,
        )
        stored = self._accepted_records.get(subject)
        older = dict(stored.documents) if stored is not None else {}
        merged = merge_documents(older, self.written_documents(subject), dict(adopted.documents))
        valid = not check_subtree(subject, merged)
        documents = merged if valid else dict(adopted.documents)
        await self._commit(self._make_subtree(subject, documents, adopted.generation + 1), merged)

    def _deadline(self) -> float:
        return self._reactor.seconds() + STORE_TIMEOUT_S
