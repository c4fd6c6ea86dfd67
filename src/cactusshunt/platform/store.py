"""Client of the platform's store.

Values are sent as base64 text. A call that was sent but not answered may have taken effect, or may
still do so. Deadlines are points in reactor time, in seconds.
"""

from __future__ import annotations

import base64

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import TypeVar
from urllib.parse import quote

import msgspec

from cactusshunt.configuration.store_era import NO_ERA
from cactusshunt.configuration.store_era import StorePosition
from cactusshunt.exceptions import CompareFailedError
from cactusshunt.exceptions import HistoryLostError
from cactusshunt.exceptions import LeaseEndedError
from cactusshunt.exceptions import StoreOutcomeUnknownError
from cactusshunt.exceptions import StoreUnavailableError
from cactusshunt.exceptions import UpstreamError
from cactusshunt.exceptions import UpstreamNotReachedError
from cactusshunt.http1.collected_answer import call
from cactusshunt.node_log import log_event
from cactusshunt.schema.decoding import UNREADABLE_ERRORS

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from twisted.internet.base import ReactorBase

    from cactusshunt.configuration.store_era import StoreEra
    from cactusshunt.http1.collected_answer import CollectedAnswer
    from cactusshunt.http1.connection_pool import Address
    from cactusshunt.http1.connection_pool import ConnectionPool

Document = TypeVar("Document")
ABSENT = 0  # expected revision of a key that must not exist
JSON_HEADERS = [(b"Content-Type", b"application/json")]
MAX_ERA_DIGITS = 12
ERA_HEADER = b"store-era"


class _Item(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    key: str
    value: str = ""
    mod_revision: int = 0
    lease: int = 0
    deleted: bool = False


class _RangePage(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    items: list[_Item] = []
    more_pages: bool = False
    current_rev: int = 0


class _CompareFailure(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    items: list[_Item] = []


class _WatchAnswer(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    events: list[_Item] = []
    current_rev: int = 0


class _CommitAnswer(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    mod_revision: int


class _LeaseAnswer(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    lease: int = 0
    ttl_ms: int = 0


class _ExpectedRevision(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    key: str
    mod_revision: int


class _Put(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    key: str
    value: str
    lease: int = 0


class _Transaction(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    expected: list[_ExpectedRevision]
    set_keys: list[_Put]
    remove: list[str]


class _LeaseRequest(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    ttl_ms: int


@dataclass(frozen=True, kw_only=True)
class StoredItem:
    """A key, its value (``None`` if it was removed) and the position of its last change.

    ``lease`` is the lease that the key is bound to, 0 for none. ``from_copy`` marks what was found
    when the store came back from a copy: the value may be older than the one before, and a key that
    is missing may not have been removed.
    """

    key: str
    value: bytes | None
    revision: int
    era: int = NO_ERA
    lease: int = 0
    from_copy: bool = False

    @property
    def position(self) -> StorePosition:
        """Return where the key's last change stands among all changes."""
        return StorePosition(era=self.era, revision=self.revision)


@dataclass(frozen=True, kw_only=True)
class StoredRange:
    """Items, and era and revision of the store when they, or the first page, were read."""

    items: tuple[StoredItem, ...]
    revision: int
    era: int = NO_ERA


class PlatformStore:
    """Reads and watches keys, writes conditional transactions, and manages leases.

    Every answer's era is checked: one of an earlier era counts as no answer, and ``era`` has the
    newest before a call returns.
    """

    def __init__(
        self, *, reactor: ReactorBase, address: Address, pool: ConnectionPool, era: StoreEra
    ) -> None:
        self._reactor = reactor
        self._address = address
        self._pool = pool
        self._era = era

    async def read_prefix(self, prefix: str, *, deadline: float) -> StoredRange:
        """Read all items below a prefix; the revision is the store's at the first page."""
        items: list[StoredItem] = []
        revision = 0
        era = NO_ERA
        after = ""
        while True:
            query = f"/v1/kv-range?prefix={quote(prefix, safe='')}"
            if after:
                query += f"&after={quote(after, safe='')}"
            page = self._decode(await self._call(b"GET", query, b"", deadline), _RangePage)
            if after and era != self._era.number:
                raise StoreOutcomeUnknownError(
                    reason="The store came back from a copy between two pages.",
                    remedy="Read the keys again.",
                )
            era = self._era.number
            revision = revision or page.current_rev
            items.extend(_decode_item(item, era) for item in page.items)
            if not page.more_pages or not page.items:
                return StoredRange(items=tuple(items), revision=revision, era=era)
            after = page.items[-1].key

    async def wait_for_changes(
        self, prefix: str, *, after: int, wait_s: float, deadline: float
    ) -> StoredRange:
        """Wait up to ``wait_s`` for changes after store revision ``after`` and return them.

        Raises ``HistoryLostError`` if the store no longer keeps them.
        """
        wait_ms = int(wait_s * 1000)
        query = f"/v1/kv-watch?prefix={quote(prefix, safe='')}&after={after}&waitMs={wait_ms}"
        answer = await self._call(b"GET", query, b"", deadline)
        if answer.status == 410:
            raise HistoryLostError(
                reason="Changes after the requested revision are no longer kept.",
                remedy="Read all keys again.",
            )
        found = self._decode(answer, _WatchAnswer)
        era = self._era.number
        items = tuple(_decode_item(item, era) for item in found.events)
        return StoredRange(items=items, revision=found.current_rev, era=era)

    async def commit(
        self,
        *,
        expected: Mapping[str, int],
        puts: Mapping[str, bytes],
        removals: Sequence[str] = (),
        lease: int = 0,
        unleased_puts: Mapping[str, bytes] | None = None,
        deadline: float,
    ) -> StorePosition:
        """Write everything or nothing in one transaction and return its position.

        ``expected`` maps keys to the revisions that they must have, ``ABSENT`` for a key that must
        not exist. ``puts`` are bound to ``lease`` (0 for none), ``unleased_puts`` to no lease.
        Raises ``CompareFailedError``, which has the keys' revisions, or ``LeaseEndedError``. A
        write without an answer may be carried out seconds later if ``expected`` holds then.
        """
        encoded_puts = [_encode_put(key, value, lease) for key, value in puts.items()]
        encoded_puts += [_encode_put(key, value, 0) for key, value in (unleased_puts or {}).items()]
        transaction = _Transaction(
            expected=[
                _ExpectedRevision(key=key, mod_revision=rev) for key, rev in expected.items()
            ],
            set_keys=encoded_puts,
            remove=list(removals),
        )
        body = msgspec.json.encode(transaction)
        answer = await self._call(b"POST", "/v1/kv-txn", body, deadline)
        if answer.status == 412:
            raise CompareFailedError(
                reason="Another writer changed a key first.",
                remedy="Read the keys again.",
                revisions=_read_revisions(answer),
            )
        _check_lease(answer)
        revision = self._decode(answer, _CommitAnswer).mod_revision
        return StorePosition(era=self._era.number, revision=revision)

    async def grant_lease(self, *, ttl_s: float, deadline: float) -> int:
        """Create a lease and return its ID."""
        body = msgspec.json.encode(_LeaseRequest(ttl_ms=int(ttl_s * 1000)))
        answer = await self._call(b"POST", "/v1/kv-lease", body, deadline)
        return self._decode(answer, _LeaseAnswer).lease

    async def renew_lease(self, lease: int, *, deadline: float) -> None:
        """Renew a lease; raises ``LeaseEndedError`` if it has ended."""
        answer = await self._call(b"POST", f"/v1/kv-keep/{lease}", b"", deadline)
        _check_lease(answer)
        self._decode(answer, _LeaseAnswer)

    async def end_lease(self, lease: int, *, deadline: float) -> None:
        """End a lease, which removes the keys bound to it."""
        await self._call(b"DELETE", f"/v1/kv-lease-end/{lease}", b"", deadline)

    async def _call(
        self, method: bytes, target: str, body: bytes, deadline: float
    ) -> CollectedAnswer:
        result = "unknown"
        try:
            answer = await call(
                reactor=self._reactor,
                pool=self._pool,
                address=self._address,
                method=method,
                target=target.encode(),
                headers=JSON_HEADERS if body else [],
                body=body,
                deadline=deadline,
            )
            result = "refused" if answer.status in (429, 503) else "ok"
            if not self._era.observe(_read_era(answer)):
                result = "unknown"
                raise StoreOutcomeUnknownError(
                    reason="The answer is from before the store came back from a copy.",
                    remedy="Read the keys again.",
                )
        except UpstreamNotReachedError as error:
            result = "unreached"
            raise StoreUnavailableError(reason=error.reason, remedy="Retry the call.") from error
        except UpstreamError as error:
            raise StoreOutcomeUnknownError(
                reason=error.reason, remedy="Read the keys again; a write may have taken effect."
            ) from error
        finally:
            log_event("store_call", call=_classify_call(target), result=result)
        if result == "refused":
            raise StoreUnavailableError(
                reason=f"The store refused the call (status {answer.status}).",
                remedy="Retry the call later.",
            )
        return answer

    def _decode(self, answer: CollectedAnswer, kind: type[Document]) -> Document:
        if answer.status != 200:
            raise StoreOutcomeUnknownError(
                reason=f"Unexpected status {answer.status}.",
                remedy="Read the keys again; a write may have taken effect.",
            )
        try:
            return msgspec.json.decode(answer.body, type=kind)
        except UNREADABLE_ERRORS as error:
            raise StoreOutcomeUnknownError(
                reason=f"{error}.", remedy="Read the keys again; a write may have taken effect."
            ) from error


def _read_era(answer: CollectedAnswer) -> int | None:
    """Return the era that an answer names; ``None`` if it names none that can be read."""
    for name, value in answer.headers:
        if name.lower() == ERA_HEADER:
            return int(value) if value.isdigit() and len(value) <= MAX_ERA_DIGITS else None
    return None


def _read_revisions(answer: CollectedAnswer) -> dict[str, int]:
    """Return the revisions that the answer to a failed transaction names, by key."""
    try:
        found = msgspec.json.decode(answer.body, type=_CompareFailure).items
    except UNREADABLE_ERRORS:
        return {}
    return {item.key: item.mod_revision for item in found if not item.deleted}


def _classify_call(target: str) -> str:
    """Return the kind of call for the log: lease, watch, write or read."""
    path = target.partition("?")[0]
    if "keep" in path or "lease" in path:
        return "lease"
    return {"/v1/kv-watch": "watch", "/v1/kv-txn": "write"}.get(path, "read")


def _check_lease(answer: CollectedAnswer) -> None:
    if answer.status == 404:
        raise LeaseEndedError(reason="The lease has ended.", remedy="Create a new one.")


def _encode_put(key: str, value: bytes, lease: int) -> _Put:
    return _Put(key=key, value=base64.b64encode(value).decode(), lease=lease)


def _decode_item(item: _Item, era: int) -> StoredItem:
    value = None if item.deleted else _decode_value(item.value)
    return StoredItem(
        key=item.key, value=value, revision=item.mod_revision, era=era, lease=item.lease
    )


def _decode_value(text: str) -> bytes:
    try:
        return base64.b64decode(text)
    except ValueError:
        return b""
