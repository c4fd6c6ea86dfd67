"""Client of the platform's key-value service, the store, implemented for the etcd v3 JSON gateway.

The protocol is the etcd v3 API over HTTP and JSON (``/v3/kv``, ``/v3/lease``, ``/v3/watch``).
"""

from __future__ import annotations

import base64

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

import msgspec

from expression import Error
from expression import Ok
from expression import Result

from cactusshunt.clients.store_watch import StoreWatch
from cactusshunt.exceptions import CompareFailedError
from cactusshunt.exceptions import StoreError
from cactusshunt.exceptions import StoreOutcomeUnknownError
from cactusshunt.exceptions import StoreUnavailableError
from cactusshunt.schema.decoding import UNREADABLE_ERRORS

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from twisted.internet.base import ReactorBase

    from cactusshunt.clients.http_client import HttpClient

ABSENT = 0  # revision of a key that does not exist
MAX_ENTRIES_PER_PAGE = 5000


@dataclass(frozen=True, kw_only=True)
class StoreEntry:
    """A key with its value and the revisions that created and last modified it."""

    key: str
    value: bytes
    create_revision: int
    mod_revision: int


@dataclass(frozen=True, kw_only=True)
class Snapshot:
    """Entries below a prefix at one revision of the store.

    ``count`` is the number of all keys below the prefix, including those that
    ``changed_after`` leaves out of ``entries``.
    """

    revision: int
    entries: tuple[StoreEntry, ...]
    count: int


@dataclass(frozen=True, kw_only=True)
class Put:
    """A value to write, optionally bound to a lease."""

    key: str
    value: bytes
    lease_id: int = 0


@dataclass(frozen=True, kw_only=True)
class Commit:
    """A transaction that takes effect only if all keys have the required revisions.

    ``expected`` maps keys to required modification revisions. ``created`` maps keys to required
    creation revisions. ``ABSENT`` requires that the key does not exist.
    """

    expected: Mapping[str, int] = field(default_factory=dict)
    created: Mapping[str, int] = field(default_factory=dict)
    puts: Sequence[Put] = ()
    deletes: Sequence[str] = ()


@dataclass(frozen=True, kw_only=True)
class Change:
    """One change of a key; ``value`` is ``None`` for a deletion."""

    key: str
    value: bytes | None
    mod_revision: int
    create_revision: int


class Store(Protocol):
    """Interface to the platform's key-value service; deadlines are in Unix seconds."""

    async def read_prefix(
        self, prefix: str, *, deadline: float, changed_after: int = 0
    ) -> Result[Snapshot, StoreError]:
        """Read the entries below a prefix that changed after a revision."""

    async def read_key(self, key: str, *, deadline: float) -> Result[Snapshot, StoreError]:
        """Read one key; the snapshot has no entry if it does not exist."""

    async def commit(self, commit: Commit, *, deadline: float) -> Result[int, StoreError]:
        """Write a transaction and return its revision."""

    async def commit_each(
        self, commits: Sequence[Commit], *, deadline: float
    ) -> Result[list[bool], StoreError]:
        """Write independent transactions in one call; return which took effect."""

    async def grant_lease(self, ttl_s: int, *, deadline: float) -> Result[int, StoreError]:
        """Create a lease and return its ID."""

    async def renew_lease(self, lease_id: int, *, deadline: float) -> Result[int, StoreError]:
        """Renew a lease and return its time-to-live in seconds; 0 if it has expired."""

    async def revoke_lease(self, lease_id: int, *, deadline: float) -> Result[None, StoreError]:
        """Revoke a lease; the store deletes the keys bound to it."""

    def watch(
        self,
        prefix: str,
        *,
        after: int,
        receive: Callable[[int, list[Change]], None],
        end: Callable[[], None],
    ) -> StoreWatch:
        """Watch changes below a prefix after a revision.

        ``receive`` gets the store's revision and the changes of each message. ``end`` is called
        once when the watch ends for any reason but ``stop()``.
        """


class EtcdStore:
    """Implementation for the etcd v3 JSON gateway; a call skips URLs that are unreachable."""

    def __init__(self, *, reactor: ReactorBase, client: HttpClient, urls: Sequence[str]) -> None:
        self._reactor = reactor
        self._client = client
        self._urls = list(urls)
        self.calls = 0

    async def read_prefix(
        self, prefix: str, *, deadline: float, changed_after: int = 0
    ) -> Result[Snapshot, StoreError]:
        """Read the entries below a prefix, page by page, all at the first page's revision."""
        entries: list[StoreEntry] = []
        start = encode_key(prefix)
        revision = 0
        count = 0
        while True:
            query: dict[str, Any] = {
                "key": start,
                "range_end": encode_key(prefix_end(prefix)),
                "limit": str(MAX_ENTRIES_PER_PAGE),
            }
            if changed_after:
                query["min_mod_revision"] = str(changed_after + 1)
            if revision:
                query["revision"] = str(revision)
            result = await self._call("/v3/kv/range", query, deadline)
            if result.is_error():
                return Error(result.error)
            answer = result.ok
            if not revision:
                revision = int(answer["header"]["revision"])
                count = int(answer.get("count", 0))
            page = [_decode_entry(key_value) for key_value in answer.get("kvs", [])]
            entries.extend(page)
            if not answer.get("more") or not page:
                return Ok(Snapshot(revision=revision, entries=tuple(entries), count=count))
            start = encode_key(page[-1].key + "\0")

    async def read_key(self, key: str, *, deadline: float) -> Result[Snapshot, StoreError]:
        """Read one key."""
        result = await self._call("/v3/kv/range", {"key": encode_key(key)}, deadline)
        if result.is_error():
            return Error(result.error)
        entries = tuple(_decode_entry(key_value) for key_value in result.ok.get("kvs", []))
        revision = int(result.ok["header"]["revision"])
        return Ok(Snapshot(revision=revision, entries=entries, count=len(entries)))

    async def commit(self, commit: Commit, *, deadline: float) -> Result[int, StoreError]:
        """Write a transaction and return its revision."""
        result = await self._call("/v3/kv/txn", _encode_transaction(commit), deadline)
        if result.is_error():
            return Error(result.error)
        if not result.ok.get("succeeded"):
            return Error(
                CompareFailedError(
                    reason="A key does not have the required revision.",
                    remedy="Read the keys again, then retry.",
                )
            )
        return Ok(int(result.ok["header"]["revision"]))

    async def commit_each(
        self, commits: Sequence[Commit], *, deadline: float
    ) -> Result[list[bool], StoreError]:
        """Write independent transactions as nested transactions of one call."""
        nested = [{"request_txn": _encode_transaction(commit)} for commit in commits]
        result = await self._call("/v3/kv/txn", {"success": nested}, deadline)
        if result.is_error():
            return Error(result.error)
        return Ok(
            [
                bool(response.get("response_txn", {}).get("succeeded"))
                for response in result.ok.get("responses", [])
            ]
        )

    async def grant_lease(self, ttl_s: int, *, deadline: float) -> Result[int, StoreError]:
        """Create a lease and return its ID."""
        result = await self._call("/v3/lease/grant", {"TTL": str(ttl_s)}, deadline)
        return result.map(lambda answer: int(answer["ID"]))

    async def renew_lease(self, lease_id: int, *, deadline: float) -> Result[int, StoreError]:
        """Renew a lease and return its time-to-live in seconds; 0 if it has expired."""
        result = await self._call("/v3/lease/keepalive", {"ID": str(lease_id)}, deadline)
        return result.map(lambda answer: int(answer.get("result", {}).get("TTL", 0)))

    async def revoke_lease(self, lease_id: int, *, deadline: float) -> Result[None, StoreError]:
        """Revoke a lease; the store deletes the keys bound to it."""
        result = await self._call("/v3/lease/revoke", {"ID": str(lease_id)}, deadline)
        return result.map(lambda answer: None)

    def watch(
        self,
        prefix: str,
        *,
        after: int,
        receive: Callable[[int, list[Change]], None],
        end: Callable[[], None],
    ) -> StoreWatch:
        """Open a watch on the URL that calls try first."""
        query = {
            "create_request": {
                "key": encode_key(prefix),
                "range_end": encode_key(prefix_end(prefix)),
                "start_revision": str(after + 1),
            }
        }
        self.calls += 1
        watch = StoreWatch(
            reactor=self._reactor, receive=make_watch_message_receiver(receive), end=end
        )
        watch.open(f"{self._urls[0]}/v3/watch", msgspec.json.encode(query))
        return watch

    async def _call(
        self, path: str, query: Mapping[str, Any], deadline: float
    ) -> Result[dict[str, Any], StoreError]:
        """Call the first reachable URL.

        Another URL is tried only if no byte was sent to the previous one, so that a call
        never takes effect twice.
        """
        body = msgspec.json.encode(query)
        reason = "no URL"
        for url in list(self._urls):
            self.calls += 1
            result = await self._client.call("POST", url + path, deadline=deadline, body=body)
            if result.is_ok():
                return _decode_answer(result.ok.status, result.ok.body)
            reason = result.error.reason
            if result.error.sent:
                return Error(_outcome_unknown(reason))
            self._urls.append(self._urls.pop(0))
        return Error(
            StoreUnavailableError(
                reason=f"The key-value service could not be reached ({reason}).",
                remedy="Check store_urls and the state of the key-value service.",
            )
        )


def prefix_end(prefix: str) -> str:
    """Return the end of the key range of a prefix (exclusive)."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


def _outcome_unknown(reason: str) -> StoreOutcomeUnknownError:
    return StoreOutcomeUnknownError(
        reason=f"The key-value service returned no valid answer ({reason}).",
        remedy="The call may have taken effect; read the state again before you repeat it.",
    )


def _decode_answer(status: int, body: bytes) -> Result[dict[str, Any], StoreError]:
    if status != 200:
        return Error(_outcome_unknown(f"status {status}"))
    try:
        return Ok(msgspec.json.decode(body, type=dict[str, Any]))
    except UNREADABLE_ERRORS:
        return Error(_outcome_unknown("answer is not JSON"))


def encode_key(text: str) -> str:
    """Return a key or prefix in base64, as the gateway expects it."""
    return base64.b64encode(text.encode()).decode()


def _decode_base64(text: str) -> bytes:
    return base64.b64decode(text)


def _decode_entry(key_value: Mapping[str, Any]) -> StoreEntry:
    return StoreEntry(
        key=_decode_base64(key_value["key"]).decode(),
        value=_decode_base64(key_value.get("value", "")),
        create_revision=int(key_value.get("create_revision", 0)),
        mod_revision=int(key_value.get("mod_revision", 0)),
    )


def _encode_transaction(commit: Commit) -> dict[str, Any]:
    compares = [
        {"key": encode_key(key), "target": "MOD", "mod_revision": str(revision), "result": "EQUAL"}
        for key, revision in commit.expected.items()
    ]
    compares += [
        {
            "key": encode_key(key),
            "target": "CREATE",
            "create_revision": str(revision),
            "result": "EQUAL",
        }
        for key, revision in commit.created.items()
    ]
    operations: list[dict[str, Any]] = []
    for put in commit.puts:
        request = {"key": encode_key(put.key), "value": base64.b64encode(put.value).decode()}
        if put.lease_id:
            request["lease"] = str(put.lease_id)
        operations.append({"request_put": request})
    operations += [{"request_delete_range": {"key": encode_key(key)}} for key in commit.deletes]
    return {"compare": compares, "success": operations}


def make_watch_message_receiver(
    receive: Callable[[int, list[Change]], None],
) -> Callable[[dict[str, Any]], None]:
    """Return a function that decodes a message and passes its revision and changes on."""

    def receive_message(message: dict[str, Any]) -> None:
        result = message.get("result", {})
        changes = [_decode_change(event) for event in result.get("events", [])]
        receive(int(result.get("header", {}).get("revision", 0)), changes)

    return receive_message


def _decode_change(event: Mapping[str, Any]) -> Change:
    key_value = event["kv"]
    deleted = event.get("type") == "DELETE"
    return Change(
        key=_decode_base64(key_value["key"]).decode(),
        value=None if deleted else _decode_base64(key_value.get("value", "")),
        mod_revision=int(key_value.get("mod_revision", 0)),
        create_revision=int(key_value.get("create_revision", 0)),
    )
