"""Stand-in for the store of the users' platform: keys, leases, transactions and long-poll watches.

Run as ``python -m stand_ins.platform_store PORT PORT:OFFSET ...``. Who reads on one of the further
ports sees the addresses of upstreams with ports that are larger by its offset, so that each VM can
have links of its own to them. ``POST /test/put`` writes keys as the operator
does, ``POST /test/mode`` with ``down`` makes calls fail, ``POST /test/turn-away`` those on one
``port``: ``how`` is a status, ``reset`` or ``silent``, and ``null`` ends it. ``GET /test/counts``
returns the number of calls by action.

``POST /test/save`` makes a copy of the store. ``POST /test/restore`` with ``away_s`` makes it come
back from that copy after a time in which calls fail: the copy's revisions and lease IDs are given
out again, leases and the keys bound to them are gone, and ``Store-Era`` is larger by one. With
``names_era`` false answers no longer have that header.
"""

from __future__ import annotations

import base64
import json
import sys

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from twisted.web.server import NOT_DONE_YET

from stand_ins.http import abort_connection
from stand_ins.http import encode_answer
from stand_ins.http import listen
from stand_ins.http import read_json
from stand_ins.http import read_path
from stand_ins.http import send_answer
from stand_ins.http import serve
from stand_ins.reactor import reactor

if TYPE_CHECKING:
    from twisted.web.server import Request

MAX_HISTORY_EVENTS = 10_000  # kept for watches that start at an older revision


@dataclass(frozen=True, kw_only=True)
class StoreCopy:
    """What a copy of the store keeps; leases and the keys bound to them are lost."""

    revision: int
    items: dict[str, dict[str, Any]]
    history: list[dict[str, Any]]
    next_lease: int


class PlatformStoreStandIn:
    """The store's HTTP interface and its state in memory."""

    def __init__(self, offsets: dict[int, int]) -> None:
        self._offsets = offsets
        self._revision = 1
        self._items: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._next_lease = 1
        self._watches: list[tuple[Request, str, int]] = []
        self._down = False
        self._counts: Counter[str] = Counter()
        self._turned_away: dict[int, str] = {}  # how the calls on a port fail
        self._era = 1
        self._names_era = True
        self._copy: StoreCopy | None = None

    def handle(self, request: Request) -> Any:
        """Answer a call, or abort its connection while the store is down."""
        path = read_path(request)
        if path.startswith("/test/"):
            return self._handle_control(path, request)
        self._counts[path.split("/")[2]] += 1
        self._expire_leases()
        if self._down:
            abort_connection(request)
            return NOT_DONE_YET
        how = self._turned_away.get(request.getHost().port)
        if how is not None:
            return self._turn_away(request, how)
        if self._names_era:
            request.setHeader("Store-Era", str(self._era))
        action = path.split("/")[2]
        return getattr(self, "_" + action.replace("kv-", "do_").replace("-", "_"))(request)

    def _handle_control(self, path: str, request: Request) -> Any:
        if path == "/test/counts":
            request.setHeader("Store-Era", str(self._era))
            return dict(self._counts)
        if path == "/test/save":
            self._save()
            return {"at": self._revision}
        body = read_json(request)
        if path == "/test/mode":
            self._down = bool(body["down"])
            return {}
        if path == "/test/turn-away":
            self._turned_away.pop(body["port"], None)
            if body["how"] is not None:
                self._turned_away[body["port"]] = body["how"]
                for watch in list(self._watches):
                    if watch[0].getHost().port == body["port"]:
                        self._remove_watch(watch)
                        self._turn_away(watch[0], body["how"])
            return {}
        if path == "/test/restore":
            self._names_era = bool(body.get("names_era", True))
            self._down = True
            self._abort_watches()
            reactor.callLater(float(body["away_s"]), self._restore)
            return {}
        for key, value in body["items"].items():
            encoded = base64.b64encode(value.encode()).decode()
            if self._items.get(key, {}).get("value") != encoded:  # heartbeats raise no event
                self._write(key, encoded, 0)
        self._answer_watches()
        return {"at": self._revision}

    def _turn_away(self, request: Request, how: str) -> Any:
        if how == "reset":
            abort_connection(request)
        elif how.isdigit():
            send_answer(request, {}, int(how))
        return NOT_DONE_YET

    def _save(self) -> None:
        self._copy = StoreCopy(
            revision=self._revision,
            items={key: item for key, item in self._items.items() if not item["lease"]},
            history=list(self._history),
            next_lease=self._next_lease,
        )

    def _restore(self) -> None:
        assert self._copy is not None
        self._revision = self._copy.revision
        self._items = dict(self._copy.items)
        self._history = list(self._copy.history)
        self._next_lease = self._copy.next_lease
        self._leases = {}
        self._era += 1
        self._down = False

    def _abort_watches(self) -> None:
        for watch in list(self._watches):
            self._remove_watch(watch)
            abort_connection(watch[0])

    def _do_range(self, request: Request) -> Any:
        prefix = _read_argument(request, "prefix")
        items = [item for key, item in sorted(self._items.items()) if key.startswith(prefix)]
        items = self._localize(request, items)
        return {"items": items, "morePages": False, "currentRev": self._revision}

    def _do_watch(self, request: Request) -> Any:
        prefix = _read_argument(request, "prefix")
        after = int(_read_argument(request, "after"))
        if after > self._revision:
            return encode_answer(request, {}, 410)
        events = self._list_events(prefix, after)
        if events:
            events = self._localize(request, events)
            return {"events": events, "currentRev": self._revision}
        watch = (request, prefix, after)
        self._watches.append(watch)
        request.notifyFinish().addBoth(lambda _: self._remove_watch(watch))
        reactor.callLater(
            int(_read_argument(request, "waitMs")) / 1000.0, self._answer_watch, watch
        )
        return NOT_DONE_YET

    def _do_txn(self, request: Request) -> Any:
        body = read_json(request)
        mismatched = [
            row for row in body["expected"] if self._get_revision(row["key"]) != row["modRevision"]
        ]
        if mismatched:
            found = [self._items[row["key"]] for row in mismatched if row["key"] in self._items]
            return encode_answer(request, {"items": found}, 412)
        if any(put.get("lease") and put["lease"] not in self._leases for put in body["setKeys"]):
            return encode_answer(request, {}, 404)
        self._revision += 1
        for put in body["setKeys"]:
            self._write(put["key"], put["value"], put.get("lease", 0), same_revision=True)
        for key in body["remove"]:
            self._remove(key)
        self._answer_watches()
        return {"modRevision": self._revision}

    def _do_lease(self, request: Request) -> Any:
        ttl_s = read_json(request)["ttlMs"] / 1000.0
        lease = self._next_lease
        self._next_lease += 1
        self._leases[lease] = (ttl_s, reactor.seconds() + ttl_s)
        return {"lease": lease, "ttlMs": int(ttl_s * 1000)}

    def _do_keep(self, request: Request) -> Any:
        lease = int(read_path(request).rsplit("/", 1)[1])
        if lease not in self._leases:
            return encode_answer(request, {}, 404)
        ttl_s = self._leases[lease][0]
        self._leases[lease] = (ttl_s, reactor.seconds() + ttl_s)
        return {"ttlMs": int(ttl_s * 1000)}

    def _do_lease_end(self, request: Request) -> Any:
        self._end_lease(int(read_path(request).rsplit("/", 1)[1]))
        self._answer_watches()
        return {}

    def _expire_leases(self) -> None:
        now = reactor.seconds()
        for lease in [lease for lease, (_, end) in self._leases.items() if end <= now]:
            self._end_lease(lease)
        self._answer_watches()

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key in [key for key, item in self._items.items() if item["lease"] == lease]:
            self._remove(key)

    def _write(self, key: str, value: str, lease: int, *, same_revision: bool = False) -> None:
        if not same_revision:
            self._revision += 1
        created = self._items.get(key, {}).get("created", self._revision)
        item = {
            "key": key,
            "value": value,
            "modRevision": self._revision,
            "created": created,
            "lease": lease,
        }
        self._items[key] = item
        self._history.append(item)
        del self._history[:-MAX_HISTORY_EVENTS]

    def _remove(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._history.append({"key": key, "modRevision": self._revision, "deleted": True})

    def _get_revision(self, key: str) -> int:
        item = self._items.get(key)
        return int(item["modRevision"]) if item else 0

    def _list_events(self, prefix: str, after: int) -> list[dict[str, Any]]:
        return [
            event
            for event in self._history
            if event["modRevision"] > after and event["key"].startswith(prefix)
        ]

    def _localize(self, request: Request, items: list[dict[str, Any]]) -> list[dict[str, Any]]:
        """Return items with the addresses that the reader of this port uses."""
        offset = self._offsets.get(request.getHost().port, 0)
        return [_move_address(item, offset) for item in items] if offset else items

    def _answer_watches(self) -> None:
        for watch in list(self._watches):
            if self._list_events(watch[1], watch[2]):
                self._answer_watch(watch)

    def _answer_watch(self, watch: tuple[Request, str, int]) -> None:
        if watch in self._watches:
            self._remove_watch(watch)
            events = self._localize(watch[0], self._list_events(watch[1], watch[2]))
            send_answer(watch[0], {"events": events, "currentRev": self._revision})

    def _remove_watch(self, watch: tuple[Request, str, int]) -> None:
        if watch in self._watches:
            self._watches.remove(watch)


def _move_address(item: dict[str, Any], offset: int) -> dict[str, Any]:
    """Return an upstream's item with the port in its address moved; other items stay.

    So do the odd ones that another writer has left among them.
    """
    if not item["key"].startswith("servers/") or "value" not in item:
        return item
    try:
        entry = json.loads(base64.b64decode(item["value"]))
        host, _, port = entry["address"].rpartition(":")
        entry["address"] = f"{host}:{int(port) + offset}"
    except (ValueError, LookupError, TypeError, RecursionError):
        return item
    return {**item, "value": base64.b64encode(json.dumps(entry).encode()).decode()}


def _read_argument(request: Request, name: str) -> str:
    values = request.args.get(name.encode(), [b""])
    return str(values[0].decode())


if __name__ == "__main__":
    port_offsets = {
        int(port): int(offset) for port, _, offset in (pair.partition(":") for pair in sys.argv[2:])
    }
    store = PlatformStoreStandIn(port_offsets)
    for port in port_offsets:
        listen(store.handle, port)
    serve(store.handle, int(sys.argv[1]))
