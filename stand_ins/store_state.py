"""State of the key-value store stand-ins: a subset of the etcd v3 API on decoded JSON messages."""

from __future__ import annotations

import base64

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from collections.abc import Callable


@dataclass(kw_only=True)
class StoredKey:
    """The current value of a key, its revisions and its lease."""

    value: str
    create_revision: int
    mod_revision: int
    lease: int = 0


@dataclass(kw_only=True)
class Watcher:
    """An open watch on the keys in ``[start, end)``, or on ``start`` alone if ``end`` is empty."""

    start: bytes
    end: bytes
    send: Callable[[dict[str, Any]], None]


@dataclass(kw_only=True)
class StoreState:
    """Keys, leases and watches; callers pass the current time ``now`` in seconds."""

    keys: dict[bytes, StoredKey] = field(default_factory=dict)
    revision: int = 1
    leases: dict[int, tuple[int, float]] = field(default_factory=dict)
    watchers: list[Watcher] = field(default_factory=list)
    history: list[tuple[int, dict[str, Any]]] = field(default_factory=list)
    next_lease: int = 1000

    def read_range(self, query: dict[str, Any]) -> dict[str, Any]:
        """Answer a range request."""
        start = base64.b64decode(query["key"])
        end = base64.b64decode(query.get("range_end", ""))
        after = int(query.get("min_mod_revision", 0))
        limit = int(query.get("limit", 0)) or len(self.keys) + 1
        inside = [name for name in sorted(self.keys) if self._is_in_range(name, start, end)]
        found = [name for name in inside if self.keys[name].mod_revision >= after]
        return {
            "header": self._header(),
            "kvs": [self._describe(name) for name in found[:limit]],
            "more": len(found) > limit,
            "count": str(len(inside)),
        }

    def transact(self, query: dict[str, Any]) -> dict[str, Any]:
        """Answer a transaction, whose writes all get the same revision."""
        self.revision += 1
        writes: list[bool] = []
        answer = self._transact(query, writes)
        if not any(writes):
            self.revision -= 1
        return {"header": self._header(), **answer}

    def put(self, query: dict[str, Any]) -> dict[str, Any]:
        """Answer a put request."""
        return self.transact({"success": [{"request_put": query}]})

    def grant(self, ttl_s: int, now: float) -> dict[str, Any]:
        """Create a lease."""
        self.next_lease += 1
        self.leases[self.next_lease] = (ttl_s, now + ttl_s)
        return {"header": self._header(), "ID": str(self.next_lease), "TTL": str(ttl_s)}

    def keep_alive(self, lease: int, now: float) -> dict[str, Any]:
        """Renew a lease; the answer has no ``TTL`` if the lease has expired."""
        found = self.leases.get(lease)
        result: dict[str, Any] = {"header": self._header(), "ID": str(lease)}
        if found is not None:
            self.leases[lease] = (found[0], now + found[0])
            result["TTL"] = str(found[0])
        return {"result": result}

    def revoke(self, lease: int) -> dict[str, Any]:
        """End a lease and delete its keys."""
        self.leases.pop(lease, None)
        attached = [name for name, key in self.keys.items() if key.lease == lease]
        if attached:
            self.revision += 1
        for name in attached:
            self._delete(name)
        return {"header": self._header()}

    def expire_leases(self, now: float) -> None:
        """Revoke each lease whose time-to-live has passed."""
        for lease in [number for number, found in self.leases.items() if found[1] <= now]:
            self.revoke(lease)

    def open_watch(self, query: dict[str, Any], send: Callable[[dict[str, Any]], None]) -> Watcher:
        """Send the changes since the start revision, then each new change."""
        request = query["create_request"]
        watcher = Watcher(
            start=base64.b64decode(request["key"]),
            end=base64.b64decode(request.get("range_end", "")),
            send=send,
        )
        send({"result": {"header": self._header(), "created": True}})
        since = int(request.get("start_revision", 0))
        missed_events = [event for revision, event in self.history if 0 < since <= revision]
        self._notify_watcher(watcher, missed_events)
        self.watchers.append(watcher)
        return watcher

    def close_watch(self, watcher: Watcher) -> None:
        """Stop sending changes to a watch."""
        if watcher in self.watchers:
            self.watchers.remove(watcher)

    def _transact(self, query: dict[str, Any], writes: list[bool]) -> dict[str, Any]:
        succeeded = all(self._matches(compare) for compare in query.get("compare", []))
        operations = query.get("success" if succeeded else "failure", [])
        responses = [self._apply_operation(operation, writes) for operation in operations]
        return {"succeeded": succeeded, "responses": responses}

    def _apply_operation(self, operation: dict[str, Any], writes: list[bool]) -> dict[str, Any]:
        if "request_txn" in operation:
            return {"response_txn": self._transact(operation["request_txn"], writes)}
        if "request_range" in operation:
            return {"response_range": self.read_range(operation["request_range"])}
        writes.append(True)
        if "request_put" in operation:
            self._put(operation["request_put"])
            return {"response_put": {}}
        self._delete(base64.b64decode(operation["request_delete_range"]["key"]))
        return {"response_delete_range": {}}

    def _matches(self, compare: dict[str, Any]) -> bool:
        key = self.keys.get(base64.b64decode(compare["key"]))
        if compare["target"] == "MOD":
            return (key.mod_revision if key else 0) == int(compare["mod_revision"])
        return (key.create_revision if key else 0) == int(compare["create_revision"])

    def _put(self, request: dict[str, Any]) -> None:
        name = base64.b64decode(request["key"])
        before = self.keys.get(name)
        self.keys[name] = StoredKey(
            value=request.get("value", ""),
            create_revision=before.create_revision if before else self.revision,
            mod_revision=self.revision,
            lease=int(request.get("lease", 0)),
        )
        self._notify({"kv": self._describe(name)})

    def _delete(self, name: bytes) -> None:
        if self.keys.pop(name, None) is None:
            return
        deleted_key = {"key": base64.b64encode(name).decode(), "mod_revision": str(self.revision)}
        self._notify({"type": "DELETE", "kv": deleted_key})

    def _notify(self, event: dict[str, Any]) -> None:
        self.history.append((self.revision, event))
        del self.history[:-10000]
        for watcher in list(self.watchers):
            self._notify_watcher(watcher, [event])

    def _notify_watcher(self, watcher: Watcher, events: list[dict[str, Any]]) -> None:
        wanted = [
            event
            for event in events
            if self._is_in_range(base64.b64decode(event["kv"]["key"]), watcher.start, watcher.end)
        ]
        if wanted:
            watcher.send({"result": {"header": self._header(), "events": wanted}})

    def _is_in_range(self, name: bytes, start: bytes, end: bytes) -> bool:
        return start <= name < end if end else name == start

    def _header(self) -> dict[str, str]:
        return {"cluster_id": "1", "revision": str(self.revision)}

    def _describe(self, name: bytes) -> dict[str, Any]:
        key = self.keys[name]
        return {
            "key": base64.b64encode(name).decode(),
            "value": key.value,
            "create_revision": str(key.create_revision),
            "mod_revision": str(key.mod_revision),
            "lease": str(key.lease),
        }
