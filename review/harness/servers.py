"""Servers as the users' pages describe them: model engines and plain services."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from harness import wire

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from harness.record import Record

HEARTBEAT_S = 1.2
REPORT_PATH, ORDER_PATH, HEALTH_PATH = "/v1/report", "/v1/order", "/healthz"


class Link:
    """A server's link, which lets so many bytes through in a second."""

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._free_at = 0.0

    async def write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Write data when the link is free and the peer has read what was written before."""
        now = time.monotonic()
        self._free_at = max(now, self._free_at) + len(data) / self._bytes_per_s
        if self._free_at - now > 0.002:
            await asyncio.sleep(self._free_at - now)
        writer.write(data)
        await writer.drain()


@dataclass(kw_only=True)
class Run:
    """A request that an engine began to work on."""

    request_id: str
    at: float
    route: str
    ended: str = "open"


@dataclass(kw_only=True, eq=False)
class Server:
    """One server; it loads nothing, as the models that it holds never change.

    Streams have ``events`` events, one each ``gap_s``; plain answers take ``work_s``. ``trouble``
    answers a request instead, if it is set.
    """

    name: str
    service: str
    record: Record
    store_port: int
    zone: str
    version: str = ""
    models: tuple[str, ...] = ()
    slots: int = 64
    events: int = 57
    gap_s: float = 0.1
    work_s: float = 0.045
    body: bytes = b"x" * 800
    trouble: Callable[[wire.Message, asyncio.StreamWriter], Awaitable[None]] | None = None
    runs: list[Run] = field(default_factory=list)
    running: int = 0
    port: int = 0

    async def start(self) -> None:
        """Listen on a free port and report to the store."""
        self.born = int(time.time() * 1000)
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=2**20)
        self.port = self._server.sockets[0].getsockname()[1]
        self._heart = asyncio.ensure_future(self._beat())
        await self.register()

    async def register(self) -> None:
        """Write the server's entry into the store."""
        entry = {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 0,
            "born": self.born,
            "models": self._list_models(),
        }
        items = {"items": {f"servers/{self.name}": json.dumps(entry)}}
        await wire.call(self.store_port, "POST", "/test/put", items)

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            with contextlib.suppress(Exception):
                await self.register()

    def _list_models(self) -> list[dict[str, object]]:
        return [{"name": name, "version": 1, "adapters": []} for name in self.models]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await wire.read_message(reader)) is not None:
                await self._answer(request, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            wire.close(writer)

    async def _answer(self, request: wire.Message, writer: asyncio.StreamWriter) -> None:
        found = request.headers
        headers = {"X-Instance-Id": self.name}
        if "x-request-id" in found:
            headers["X-Request-Id"] = found["x-request-id"]
        if found.get("x-expect-instance", self.name) != self.name:
            writer.write(wire.encode("HTTP/1.1 421 Misdirected Request", headers))
        elif request.target == HEALTH_PATH:
            writer.write(wire.encode("HTTP/1.1 200 OK", headers))
        elif request.target == REPORT_PATH:
            report = {
                "phase": "both",
                "models": self._list_models(),
                "busy": False,
                "sequence": 0,
                "queued": 0,
                "running": self.running,
                "kvUsed": 0,
                "kvTotal": 141956,
                "handles": 0,
                "born": self.born,
            }
            headers["Content-Type"] = "application/json"
            writer.write(wire.encode("HTTP/1.1 200 OK", headers, json.dumps(report).encode()))
        elif request.target == ORDER_PATH:
            # Another order is always in progress: the models stay where they are.
            writer.write(wire.encode("HTTP/1.1 409 Conflict", headers))
        elif "x-model" in found and found["x-model"] not in self.models:
            writer.write(wire.encode("HTTP/1.1 421 Misdirected Request", headers))
        elif self.running >= self.slots:
            headers["X-Not-Executed"] = "1"
            writer.write(wire.encode("HTTP/1.1 503 Service Unavailable", headers))
        else:
            await self._run(request, headers, writer)

    async def _run(
        self, request: wire.Message, headers: wire.Headers, writer: asyncio.StreamWriter
    ) -> None:
        request_id = request.headers.get("x-request-id", "")
        run = Run(request_id=request_id, at=self.record.now(), route=request.target)
        self.runs.append(run)
        self.running += 1
        last = request.headers.get("last-event-id", "-")
        self.record.write(
            "run", server=self.name, version=self.version, id=request_id, last_event=last
        )
        try:
            headers["X-Response-Seal"] = f"seal.{self.name}.{request_id}"
            if self.trouble is not None:
                await self.trouble(request, writer)
            elif "x-model" in request.headers:
                await self._stream(request, headers, writer)
            else:
                await asyncio.sleep(self.work_s)
                writer.write(wire.encode("HTTP/1.1 200 OK", headers, self.body))
            run.ended = "complete"
        except ConnectionError:
            run.ended = "cut off"
            raise
        finally:
            self.running -= 1
            self.record.write("ran", server=self.name, id=request_id, end=run.ended)

    async def _stream(
        self, request: wire.Message, headers: wire.Headers, writer: asyncio.StreamWriter
    ) -> None:
        """Send the events after the one that the request names, each with the version."""
        first = int(request.headers.get("last-event-id", "0")) + 1
        headers |= {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        await asyncio.sleep(self.gap_s)
        writer.write(wire.encode("HTTP/1.1 200 OK", headers, None))
        for number in range(first, self.events + 1):
            event = f"id: {number}\ndata: {number} made by {self.version or self.name}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(self.gap_s)
        writer.write(b"0\r\n\r\n")
