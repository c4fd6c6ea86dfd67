"""Client of the platform's store.

Values are sent as base64 text. A call that was sent but not answered may have taken effect, or may
still do so.
"""

from __future__ import annotations

import base64

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import TypeVar
from urllib.parse import quote

import msgspec

from cactusshunt.exceptions import CompareFailedError
from cactusshunt.exceptions import HistoryLostError
from cactusshunt.exceptions import LeaseEndedError
from cactusshunt.exceptions import StoreOutcomeUnknownError
from cactusshunt.exceptions import StoreUnavailableError
from cactusshunt.exceptions import UpstreamError
from cactusshunt.exceptions import UpstreamNotReachedError
from cactusshunt.http1.collected_answer import call
from cactusshunt.node_log import log_event

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from twisted.internet.base import ReactorBase

    from cactusshunt.http1.collected_answer import CollectedAnswer
    from cactusshunt.http1.connection_pool import Address
    from cactusshunt.http1.connection_pool import ConnectionPool

Answer = TypeVar("Answer")
ABSENT = 0  # expected revision of a key that must not exist
JSON_HEADERS = [(b"Content-Type", b"application/json")]


class _Item(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    key: str
    value: str = ""
    mod_revision: int = 0
    deleted: bool = False


class _RangePage(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    items: list[_Item] = []
    more_pages: bool = False
    current_rev: int = 0


class _WatchReply(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    events: list[_Item] = []
    current_rev: int = 0


class _CommitReply(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    mod_revision: int


class _LeaseReply(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
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
    """A key with its latest value and revision; ``value`` is ``None`` if the key was removed."""

    key: str
    value: bytes | None
    revision: int


@dataclass(frozen=True, kw_only=True)
class StoredRange:
    """Items and the store's revision when they, or the first page of them, were read."""

    items: tuple[StoredItem, ...]
    revision: int


class PlatformStore:
    """Reads and watches keys, writes conditional transactions, and manages leases."""

    def __init__(self, *, reactor: ReactorBase, address: Address, pool: ConnectionPool) -> None:
        self._reactor = reactor
        self._address = address
        self._pool = pool

    async def read_prefix(self, prefix: str, *, deadline: float) -> StoredRange:
        """Read all items below a prefix; the revision is that of the first page."""
        items: list[StoredItem] = []
        revision = 0
        after = ""
        while True:
            query = f"/v1/kv-range?prefix={quote(prefix, safe='')}"
            if after:
                query += f"&after={quote(after, safe='')}"
            page = self._decode(await self._call(b"GET", query, b"", deadline), _RangePage)
            revision = revision or page.current_rev
            items.extend(_decode_item(item) for item in page.items)
            if not page.more_pages or not page.items:
                return StoredRange(items=tuple(items), revision=revision)
            after = page.items[-1].key

    async def wait_for_changes(
        self, prefix: str, *, after: int, wait_s: float, deadline: float
    ) -> StoredRange:
        """Wait up to ``wait_s`` for changes after a revision and return them.

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
        found = self._decode(answer, _WatchReply)
        items = tuple(_decode_item(item) for item in found.events)
        return StoredRange(items=items, revision=found.current_rev)

    async def commit(
        self,
        *,
        expected: Mapping[str, int],
        puts: Mapping[str, bytes],
        removals: Sequence[str] = (),
        lease: int = 0,
        unleased_puts: Mapping[str, bytes] | None = None,
        deadline: float,
    ) -> int:
        """Write everything or nothing in one transaction and return its revision.

        ``expected`` maps keys to the revisions that they must have. ``puts`` are bound to
        ``lease``, ``unleased`` are not. Raises ``CompareFailedError`` or ``LeaseEndedError``.
        """
        rows = [_encode_put(key, value, lease) for key, value in puts.items()]
        rows += [_encode_put(key, value, 0) for key, value in (unleased_puts or {}).items()]
        transaction = _Transaction(
            expected=[
                _ExpectedRevision(key=key, mod_revision=rev) for key, rev in expected.items()
            ],
            set_keys=rows,
            remove=list(removals),
        )
        body = msgspec.json.encode(transaction)
        answer = await self._call(b"POST", "/v1/kv-txn", body, deadline)
        if answer.status == 412:
            raise CompareFailedError(
                reason="Another writer changed a key first.", remedy="Read the keys again."
            )
        _check_lease(answer)
        return self._decode(answer, _CommitReply).mod_revision

    async def grant_lease(self, *, ttl_s: float, deadline: float) -> int:
        """Create a lease and return its ID."""
        body = msgspec.json.encode(_LeaseRequest(ttl_ms=int(ttl_s * 1000)))
        answer = await self._call(b"POST", "/v1/kv-lease", body, deadline)
        return self._decode(answer, _LeaseReply).lease

    async def renew_lease(self, lease: int, *, deadline: float) -> None:
        """Renew a lease; raises ``LeaseEndedError`` if it has ended."""
        answer = await self._call(b"POST", f"/v1/kv-keep/{lease}", b"", deadline)
        _check_lease(answer)
        self._decode(answer, _LeaseReply)

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
        except UpstreamNotReachedError as error:
            result = "unreached"
            raise StoreUnavailableError(
                reason=error.reason, remedy="The call is retried."
            ) from error
        except UpstreamError as error:
            raise StoreOutcomeUnknownError(
                reason=error.reason, remedy="Read the keys to learn the outcome."
            ) from error
        finally:
            log_event("store_call", call=_classify_call(target), result=result)
        if result == "refused":
            raise StoreUnavailableError(
                reason=f"The store refused the call (status {answer.status}).",
                remedy="The call is retried later.",
            )
        return answer

    def _decode(self, answer: CollectedAnswer, kind: type[Answer]) -> Answer:
        if answer.status != 200:
            raise StoreOutcomeUnknownError(
                reason=f"Unexpected status {answer.status}.",
                remedy="Read the keys to learn the outcome.",
            )
        try:
            return msgspec.json.decode(answer.body, type=kind)
        except msgspec.DecodeError as error:
            raise StoreOutcomeUnknownError(
                reason=f"{error}.", remedy="Read the keys to learn the outcome."
            ) from error


def _classify_call(target: str) -> str:
    path = target.partition("?")[0]
    if "keep" in path or "lease" in path:
        return "lease"
    return {"/v1/kv-watch": "watch", "/v1/kv-txn": "write"}.get(path, "read")


def _check_lease(answer: CollectedAnswer) -> None:
    if answer.status == 404:
        raise LeaseEndedError(reason="The lease has ended.", remedy="A new one is created.")


def _encode_put(key: str, value: bytes, lease: int) -> _Put:
    return _Put(key=key, value=base64.b64encode(value).decode(), lease=lease)


def _decode_item(item: _Item) -> StoredItem:
    value = None if item.deleted else _decode_value(item.value)
    return StoredItem(key=item.key, value=value, revision=item.mod_revision)


def _decode_value(text: str) -> bytes:
    try:
        return base64.b64decode(text)
    except ValueError:
        return b""
