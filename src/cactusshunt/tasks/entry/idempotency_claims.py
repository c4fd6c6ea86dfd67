"""Claims on Idempotency-Keys, written to the store in batches.

While one call to the store is in progress, further writes are queued and sent together in the
next. At most one call is in progress, so calls per second can't exceed 1 / (the store's response
time), however many requests arrive.
"""

from __future__ import annotations

import base64
import uuid

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from expression import Error
from expression import Ok
from expression import Result
from logbook import Logger
from twisted.internet.defer import Deferred

from cactusshunt.clients.store import ABSENT
from cactusshunt.clients.store import Commit
from cactusshunt.clients.store import Put
from cactusshunt.decisions.idempotency import CLAIM_TTL_S
from cactusshunt.decisions.idempotency import ClaimVerdict
from cactusshunt.decisions.idempotency import classify_claim
from cactusshunt.decisions.idempotency import complete_claim
from cactusshunt.exceptions import StoreError
from cactusshunt.exceptions import StoreOutcomeUnknownError
from cactusshunt.exceptions import StoreUnavailableError
from cactusshunt.schema.codec import decode_record
from cactusshunt.schema.codec import encode_record
from cactusshunt.schema.generated.messages import OnceRecord
from cactusshunt.tasks.periodic import start_coroutine

if TYPE_CHECKING:
    from twisted.internet.base import ReactorBase

    from cactusshunt.clients.store import Store

log = Logger("claims")

STORE_CALL_TIMEOUT_S = 1.0
MAX_COMMITS_PER_CALL = 100  # etcd allows 128 operations in one transaction
# A lease is used for new claims for this long. Its TTL is CLAIM_TTL_S longer, so that the last of
# them is also kept for CLAIM_TTL_S.
LEASE_REUSE_S = 3600
MAX_STORED_ANSWER_BYTES = 16 * 1024


@dataclass(frozen=True, kw_only=True)
class Claim:
    """Result of a claim on a key, with the record in the store."""

    key: str
    verdict: ClaimVerdict
    record: OnceRecord


@dataclass(frozen=True, kw_only=True)
class _QueuedWrite:
    commit: Commit
    written: Deferred[Result[bool, StoreError]]


class IdempotencyClaims:
    """Claims keys for this entry process and records how the requests ended."""

    def __init__(self, *, reactor: ReactorBase, store: Store) -> None:
        self._reactor = reactor
        self._store = store
        self._queue: list[_QueuedWrite] = []
        self._writing = False
        self._lease_id = 0
        self._lease_until = 0.0
        self.calls = 0
        self.claims = 0

    def dump(self) -> dict[str, Any]:
        """Return the counters and the length of the queue."""
        return {"claims": self.claims, "calls": self.calls, "queued": len(self._queue)}

    async def claim(self, key: str, fingerprint: str) -> Result[Claim, StoreError]:
        """Try to claim a key; on an error the request must not be sent to an upstream."""
        lease = await self._get_lease()
        if lease.is_error():
            return Error(lease.error)
        record = OnceRecord(
            claim_id=uuid.uuid4().hex,
            fingerprint=fingerprint,
            state="claimed",
            claimed_at=self._reactor.seconds(),
        )
        self.claims += 1
        put = Put(key=key, value=encode_record(record), lease_id=lease.ok)
        written = await self._write(Commit(expected={key: ABSENT}, puts=[put]))
        if written.is_ok() and written.ok:
            return Ok(Claim(key=key, verdict=ClaimVerdict.GRANTED, record=record))
        if written.is_error() and isinstance(written.error, StoreUnavailableError):
            return Error(written.error)
        return await self._read_back(key, record)

    def complete(self, claim: Claim, *, status: int, content_type: str, body: bytes) -> None:
        """Record that a request ran, with its answer unless that is too large to store."""
        kept = len(body) <= MAX_STORED_ANSWER_BYTES
        done = complete_claim(
            claim.record,
            status=status,
            content_type=content_type,
            body=base64.b64encode(body).decode() if kept else "",
        )
        if not kept:
            done = OnceRecord(
                claim_id=done.claim_id,
                fingerprint=done.fingerprint,
                state="done",
                claimed_at=done.claimed_at,
            )
        put = Put(key=claim.key, value=encode_record(done), lease_id=self._lease_id)
        start_coroutine(self._write_in_background(Commit(puts=[put])))

    def release(self, claim: Claim) -> None:
        """Delete the claim of a request that certainly did not run."""
        start_coroutine(self._write_in_background(Commit(deletes=[claim.key])))

    async def _write_in_background(self, commit: Commit) -> None:
        written = await self._write(commit)
        if written.is_error():
            log.warning(
                "recording the end of a claimed request failed, its key stays claimed: {}",
                written.error,
            )

    async def _read_back(self, key: str, record: OnceRecord) -> Result[Claim, StoreError]:
        """Classify the stored record after a lost race or a lost answer of the store."""
        found = await self._store.read_key(
            key, deadline=self._reactor.seconds() + STORE_CALL_TIMEOUT_S
        )
        if found.is_error():
            return Error(found.error)
        for entry in found.ok.entries:
            stored = decode_record(entry.value, OnceRecord)
            if stored.is_ok():
                verdict = classify_claim(
                    stored.ok, claim_id=record.claim_id, fingerprint=record.fingerprint
                )
                return Ok(Claim(key=key, verdict=verdict, record=stored.ok))
        return Error(
            StoreUnavailableError(
                reason="No claim on the key was found after the store's answer was lost.",
                remedy="Send the request again with the same key.",
            )
        )

    async def _get_lease(self) -> Result[int, StoreError]:
        now = self._reactor.seconds()
        if self._lease_id and now < self._lease_until:
            return Ok(self._lease_id)
        granted = await self._store.grant_lease(
            CLAIM_TTL_S + LEASE_REUSE_S, deadline=now + STORE_CALL_TIMEOUT_S
        )
        if granted.is_ok():
            self._lease_id = granted.ok
            self._lease_until = now + LEASE_REUSE_S
        return granted

    async def _write(self, commit: Commit) -> Result[bool, StoreError]:
        queued = _QueuedWrite(commit=commit, written=Deferred())
        self._queue.append(queued)
        if not self._writing:
            start_coroutine(self._write_queue())
        return await queued.written

    async def _write_queue(self) -> None:
        self._writing = True
        try:
            while self._queue:
                batch = self._queue[:MAX_COMMITS_PER_CALL]
                del self._queue[: len(batch)]
                await self._write_batch(batch)
        finally:
            self._writing = False

    async def _write_batch(self, batch: list[_QueuedWrite]) -> None:
        self.calls += 1
        try:
            result = await self._store.commit_each(
                [queued.commit for queued in batch],
                deadline=self._reactor.seconds() + STORE_CALL_TIMEOUT_S,
            )
        except Exception as error:  # who waits for a write must not wait for ever
            log.exception("writing claims failed")
            result = Error(
                StoreOutcomeUnknownError(
                    reason=f"{error!r}.", remedy="Send the request again with the same key."
                )
            )
        for position, queued in enumerate(batch):
            answer: Result[bool, StoreError] = (
                Ok(result.ok[position]) if result.is_ok() else Error(result.error)
            )
            queued.written.callback(answer)
