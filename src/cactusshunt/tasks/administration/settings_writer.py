"""Writes whole subtrees by compare-and-swap and resolves writes whose answer was lost."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

import msgspec

from expression import Error
from expression import Ok
from expression import Result

from cactusshunt.clients.store import ABSENT
from cactusshunt.clients.store import Commit
from cactusshunt.clients.store import Put
from cactusshunt.decisions.settings_keys import accepted_key
from cactusshunt.exceptions import CompareFailedError
from cactusshunt.exceptions import StoreError
from cactusshunt.schema.codec import decode_record
from cactusshunt.schema.codec import encode_record
from cactusshunt.schema.generated.messages import Subtree

if TYPE_CHECKING:
    from collections.abc import Mapping

    from twisted.internet.base import ReactorBase

    from cactusshunt.clients.store import Snapshot
    from cactusshunt.clients.store import Store

HISTORY_PREFIX = "history/"
MAX_HISTORY_BYTES = 512 * 1024  # of the encoded history; the oldest versions are dropped first
MAX_HISTORY_VERSIONS = 50
STORE_TIMEOUT_S = 2.0
MAX_WRITE_RETRIES = 3


@dataclass(frozen=True, kw_only=True)
class StoredSubtree:
    """The stored state of a subject.

    ``written`` holds operators' documents as text and revision by path; ``accepted`` is the last
    version of them that was checked and recorded for adoption by the nodes.
    """

    accepted: Subtree | None
    accepted_revision: int
    written: Mapping[str, tuple[str, int]]
    history: tuple[Subtree, ...]
    history_revision: int

    @property
    def documents(self) -> dict[str, str]:
        """Return the texts of the written documents by path."""
        return {path: found[0] for path, found in self.written.items()}


class SettingsWriter:
    """Reads and writes subtrees in the store for the administration API."""

    def __init__(self, *, reactor: ReactorBase, store: Store) -> None:
        self._reactor = reactor
        self._store = store

    async def read(self, subject: str) -> Result[StoredSubtree, StoreError]:
        """Return the accepted version, the written documents and the history of a subject."""
        snapshots = []
        for key in (accepted_key(subject), f"{HISTORY_PREFIX}{subject}"):
            snapshot = await self._store.read_key(key, deadline=self._deadline())
            if snapshot.is_error():
                return Error(snapshot.error)
            snapshots.append(snapshot.ok)
        written = await self._store.read_prefix(f"{subject}/", deadline=self._deadline())
        if written.is_error():
            return Error(written.error)
        return Ok(_decode_stored_subtree(subject, snapshots[0], snapshots[1], written.ok))

    async def write(self, stored: StoredSubtree, subtree: Subtree) -> Result[Subtree, StoreError]:
        """Write a checked subtree, if the version that was read is still current.

        The same transaction is sent again after a lost answer. It takes effect at most once,
        because it compares the revisions that were read. If the comparison fails, the write_id in
        the store shows whether this write or another one succeeded.
        """
        commit = _make_commit(stored, subtree)
        result: Result[int, StoreError] = await self._store.commit(
            commit, deadline=self._deadline()
        )
        for _ in range(MAX_WRITE_RETRIES):
            if result.is_ok():
                return Ok(replace(subtree, revision=result.ok))
            if isinstance(result.error, CompareFailedError):
                return await self._find_write(subtree, result.error)
            result = await self._store.commit(commit, deadline=self._deadline())
        return Error(result.error)

    async def _find_write(self, subtree: Subtree, error: StoreError) -> Result[Subtree, StoreError]:
        """Return the stored version with this write_id: the write succeeded without an answer."""
        found = await self.read(subtree.subject)
        if found.is_error():
            return Error(found.error)
        accepted = found.ok.accepted
        if accepted is not None and accepted.write_id == subtree.write_id:
            return Ok(accepted)
        for version in found.ok.history:
            if version.write_id == subtree.write_id:
                return Ok(version)
        return Error(error)

    def _deadline(self) -> float:
        return self._reactor.seconds() + STORE_TIMEOUT_S


def _decode_stored_subtree(
    subject: str, accepted: Snapshot, history: Snapshot, written: Snapshot
) -> StoredSubtree:
    current = None
    revision = ABSENT
    for entry in accepted.entries:
        revision = entry.mod_revision
        decoded = decode_record(entry.value, Subtree)
        current = replace(decoded.ok, revision=revision) if decoded.is_ok() else None
    versions: list[Subtree] = []
    history_revision = ABSENT
    for entry in history.entries:
        history_revision = entry.mod_revision
        versions = decode_record(entry.value, list[Subtree]).default_value([])
    return StoredSubtree(
        accepted=current,
        accepted_revision=revision,
        written={
            entry.key.removeprefix(f"{subject}/"): (
                entry.value.decode(errors="replace"),
                entry.mod_revision,
            )
            for entry in written.entries
        },
        history=tuple(versions),
        history_revision=history_revision,
    )


def _make_commit(stored: StoredSubtree, subtree: Subtree) -> Commit:
    subject = subtree.subject
    changed = {
        path: text
        for path, text in subtree.documents.items()
        if stored.written.get(path, ("", ABSENT))[0] != text or path not in stored.written
    }
    removed = [path for path in stored.written if path not in subtree.documents]
    history_key = f"{HISTORY_PREFIX}{subject}"
    return Commit(
        expected={
            accepted_key(subject): stored.accepted_revision,
            history_key: stored.history_revision,
            **{f"{subject}/{path}": found[1] for path, found in stored.written.items()},
        },
        puts=[
            *(Put(key=f"{subject}/{path}", value=text.encode()) for path, text in changed.items()),
            Put(key=accepted_key(subject), value=encode_record(subtree)),
            Put(key=history_key, value=_extend_history(stored)),
        ],
        deletes=[f"{subject}/{path}" for path in removed],
    )


def _extend_history(stored: StoredSubtree) -> bytes:
    """Return the encoded history with the replaced version appended, within its limits."""
    versions = list(stored.history)
    accepted = stored.accepted
    if accepted is not None and all(v.revision != accepted.revision for v in versions):
        versions.append(accepted)
    versions = versions[-MAX_HISTORY_VERSIONS:]
    data = msgspec.json.encode(versions)
    while len(data) > MAX_HISTORY_BYTES and versions:
        versions.pop(0)
        data = msgspec.json.encode(versions)
    return data
