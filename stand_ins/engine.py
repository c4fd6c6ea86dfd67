"""Stand-in for a model engine with orders, delayed reports and faults.

``POST /control`` takes the fields of ``StreamFaults`` and these: ``draining`` refuses requests and
reports it, ``says_draining`` only reports it, ``silence_open`` stops answering on the connections
seen so far, ``restart`` clears the memory, ``die`` ends the process, and ``lose_orders``,
``delay_orders_ms`` and ``double_orders`` (executes an order again 2 s later) affect orders.
"""

from __future__ import annotations

import sys
import uuid

from typing import Any
from urllib.parse import unquote
from weakref import WeakSet

from twisted.internet import task
from twisted.web.client import Agent
from twisted.web.client import readBody
from twisted.web.server import NOT_DONE_YET
from twisted.web.server import Request

from stand_ins.engine_memory import EngineMemory
from stand_ins.engine_streams import EngineStreams
from stand_ins.http import abort_connection
from stand_ins.http import encode_answer
from stand_ins.http import read_json
from stand_ins.http import read_path
from stand_ins.http import serve
from stand_ins.reactor import reactor

REPORT_LAG_S = 0.5


class EngineServer:
    """HTTP server of one engine; ``POST /control`` injects faults."""

    def __init__(
        self,
        *,
        name: str,
        capacity_mib: int,
        slots: int,
        checks_fence: bool,
        weights_url: str,
    ) -> None:
        self._name = name
        self._slots = slots
        self._weights_url = weights_url
        self._agent = Agent(reactor)
        self._incarnation = uuid.uuid4().hex
        self._draining = False
        self._reports_draining = False
        # Weak references: the id of a closed connection may be that of a later one.
        self._seen_connections: WeakSet[Any] = WeakSet()
        self._silenced_connections: WeakSet[Any] = WeakSet()
        self._order_faults = {"lose_orders": 0, "delay_orders_ms": 0, "double_orders": 0}
        self.streams = EngineStreams(slots=slots)
        self.memory = EngineMemory(
            capacity_mib=capacity_mib,
            checks_fence=checks_fence,
            fetch_weights=self._fetch_weights,
            is_in_use=self.streams.is_in_use,
        )
        self._report = self._make_report()

    def handle(self, request: Request) -> Any:
        """Answer a control call, a report call, an order or an inference request."""
        path = read_path(request)
        if path.startswith("/control"):
            return self._handle_control(read_json(request))
        if path == "/v2/report":
            return self._report
        if path.startswith("/v2/repository/models/"):
            return self._handle_order(request, path)
        return self._serve(request, path)

    def step(self) -> None:
        """Generate one token for each running request and finish pending unloads."""
        self.streams.step()
        self.memory.finish_unloads()

    def refresh_report(self) -> None:
        """Take a new report, which is returned until the next refresh."""
        self._report = self._make_report()

    def _is_silent(self, request: Request) -> bool:
        """Return whether the request's connection must not be answered."""
        channel = request.channel
        self._seen_connections.add(channel)
        return self.streams.faults.silent_connections or channel in self._silenced_connections

    def _serve(self, request: Request, path: str) -> Any:
        faults = self.streams.faults
        if self._is_silent(request):
            return NOT_DONE_YET
        if faults.fail_fast > 0:
            faults.fail_fast -= 1
            return encode_answer(request, {"error": "failed"}, 500)
        body = read_json(request)
        item = body.get("model", "")
        if self._draining or item not in self.memory.resident or item in self.memory.unloading:
            request.setHeader("X-Draining", "true" if self._draining else "false")
            request.setHeader("X-Request-Id", request.getHeader("X-Request-Id") or "")
            return encode_answer(request, {"error": "not served here"}, 503)
        self.streams.submit(request, body, chat=path == "/v1/chat/completions")
        return NOT_DONE_YET

    def _handle_order(self, request: Request, path: str) -> Any:
        name, _, action = path.removeprefix("/v2/repository/models/").rpartition("/")
        item = unquote(name)
        parameters = read_json(request)["parameters"]
        if self._order_faults["lose_orders"] > 0:
            self._order_faults["lose_orders"] -= 1
            return NOT_DONE_YET
        if self._order_faults["double_orders"] > 0:
            self._order_faults["double_orders"] -= 1
            reactor.callLater(2.0, self.memory.apply_order, action, item, parameters)
        delay_s = self._order_faults["delay_orders_ms"] / 1000
        if delay_s:
            reactor.callLater(delay_s, self.memory.apply_order, action, item, parameters)
            return NOT_DONE_YET
        status = self.memory.apply_order(action, item, parameters)
        return encode_answer(request, {"status": status}, status)

    def _fetch_weights(self, item: str, done: Any) -> None:
        request = self._agent.request(b"GET", f"{self._weights_url}/weights/{item}".encode())
        request.addCallback(
            lambda response: readBody(response).addCallback(lambda _: response.code == 200)
        )
        request.addErrback(lambda _: False)
        request.addCallback(done)

    def _handle_control(self, request_body: dict[str, Any]) -> dict[str, Any]:
        for name, value in request_body.items():
            if name in self._order_faults:
                self._order_faults[name] = value
            elif name == "draining":
                self._draining = value
            elif name == "says_draining":
                self._reports_draining = value
            elif name == "silence_open":
                self._silenced_connections, self._seen_connections = (
                    self._seen_connections,
                    WeakSet(),
                )
            elif name == "restart":
                self._restart()
            elif name == "die":
                reactor.callLater(0, sys.exit, 1)
            else:
                setattr(self.streams.faults, name, value)
        return {
            "executions": dict(self.streams.executions),
            "overcommitted": self.memory.overcommitted,
            "used_mib": self.memory.used_mib(),
            "capacity_mib": self.memory.capacity_mib,
            "resident": sorted(self.memory.resident),
            "loads": self.memory.loads,
            "unloads": self.memory.unloads,
            "running": len(self.streams.running),
            "cancelled": self.streams.cancelled,
        }

    def _restart(self) -> None:
        self._incarnation = uuid.uuid4().hex
        self.memory.resident.clear()
        self.memory.loading.clear()
        self.memory.unloading.clear()
        self.memory.settled.clear()
        self.memory.highest_fence = 0
        for run in [*self.streams.running, *self.streams.waiting]:
            abort_connection(run.request)

    def _make_report(self) -> dict[str, Any]:
        memory = self.memory
        return {
            "engine": self._name,
            "incarnation": self._incarnation,
            "capacity_mib": memory.capacity_mib,
            "resident": [_describe_resident(item, mib) for item, mib in memory.resident.items()],
            "loading": [_describe_resident(item, mib) for item, mib in memory.loading.items()],
            "unloading": sorted(memory.unloading),
            "settled_orders": list(memory.settled),
            "highest_fence": memory.highest_fence,
            "running": len(self.streams.running),
            "waiting": len(self.streams.waiting),
            "slots": self._slots,
            "draining": self._draining or self._reports_draining,
            "taken_at": reactor.seconds(),
        }


def _describe_resident(item: str, memory_mib: int) -> dict[str, Any]:
    return {"item": item, "memory_mib": memory_mib}


def main() -> None:
    """Serve: ``engine PORT NAME CAPACITY_MIB SLOTS TOKEN_MS fenced|unfenced WEIGHTS_URL``."""
    server = EngineServer(
        name=sys.argv[2],
        capacity_mib=int(sys.argv[3]),
        slots=int(sys.argv[4]),
        checks_fence=sys.argv[6] == "fenced",
        weights_url=sys.argv[7],
    )
    task.LoopingCall(server.step).start(float(sys.argv[5]) / 1000)
    task.LoopingCall(server.refresh_report).start(REPORT_LAG_S)
    serve(server.handle, int(sys.argv[1]))


if __name__ == "__main__":
    main()
