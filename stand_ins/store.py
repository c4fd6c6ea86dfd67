"""Stand-in for the platform's key-value store with outages, delays and lost answers."""

from __future__ import annotations

import json
import sys

from dataclasses import dataclass
from typing import Any

from twisted.internet import task
from twisted.web.server import NOT_DONE_YET
from twisted.web.server import Request

from stand_ins.http import abort_connection
from stand_ins.http import read_json
from stand_ins.http import read_path
from stand_ins.http import send_answer
from stand_ins.http import serve
from stand_ins.reactor import reactor
from stand_ins.store_state import StoreState


@dataclass(kw_only=True)
class StoreFaults:
    """Faults that ``POST /control`` sets."""

    down: bool = False
    delay_ms: int = 0
    lose_answers: int = 0
    mute_watches: bool = False


class StoreServer:
    """Serves the JSON gateway of the etcd v3 API."""

    def __init__(self) -> None:
        self.state = StoreState()
        self.faults = StoreFaults()
        self.calls: dict[str, int] = {}
        self._saved: StoreState | None = None

    def handle(self, request: Request) -> Any:
        """Answer a control call, or a store call after the configured delay."""
        path = read_path(request)
        if path.startswith("/control"):
            return self._handle_control(path, read_json(request))
        self.calls[path] = self.calls.get(path, 0) + 1
        if self.faults.down:
            abort_connection(request)
            return NOT_DONE_YET
        request_body = read_json(request)
        if path == "/v3/watch":
            self._watch(request, request_body)
            return NOT_DONE_YET
        reactor.callLater(self.faults.delay_ms / 1000, self._answer, request, path, request_body)
        return NOT_DONE_YET

    def revoke_expired_leases(self) -> None:
        """Revoke expired leases."""
        self.state.expire_leases(reactor.seconds())

    def _answer(self, request: Request, path: str, request_body: dict[str, Any]) -> None:
        if self.faults.down:
            abort_connection(request)
            return
        now = reactor.seconds()
        handlers = {
            "/v3/kv/range": lambda: self.state.read_range(request_body),
            "/v3/kv/txn": lambda: self.state.transact(request_body),
            "/v3/kv/put": lambda: self.state.put(request_body),
            "/v3/lease/grant": lambda: self.state.grant(int(request_body["TTL"]), now),
            "/v3/lease/keepalive": lambda: self.state.keep_alive(int(request_body["ID"]), now),
            "/v3/lease/revoke": lambda: self.state.revoke(int(request_body["ID"])),
        }
        answer = handlers[path]()
        if self.faults.lose_answers > 0 and path == "/v3/kv/txn":
            self.faults.lose_answers -= 1
            abort_connection(request)
            return
        send_answer(request, answer)

    def _watch(self, request: Request, request_body: dict[str, Any]) -> None:
        def send(message: dict[str, Any]) -> None:
            if not self.faults.mute_watches and not request._disconnected:
                request.write(json.dumps(message).encode() + b"\n")

        watcher = self.state.open_watch(request_body, send)
        request.notifyFinish().addBoth(lambda _: self.state.close_watch(watcher))

    def _handle_control(self, path: str, request_body: dict[str, Any]) -> dict[str, Any]:
        if path == "/control/save":
            self._saved = StoreState(keys=dict(self.state.keys), revision=self.state.revision)
        if path == "/control/restore" and self._saved is not None:
            self.state = StoreState(keys=dict(self._saved.keys), revision=self._saved.revision)
        for name, value in request_body.items():
            setattr(self.faults, name, value)
        return {"faults": vars(self.faults), "calls": self.calls, "revision": self.state.revision}


def main() -> None:
    """Serve on the port given as the first argument."""
    server = StoreServer()
    task.LoopingCall(server.revoke_expired_leases).start(0.2)
    serve(server.handle, int(sys.argv[1]))


if __name__ == "__main__":
    main()
