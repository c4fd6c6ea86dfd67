"""A relay before the project's stand-in of the store, one for each node.

It passes every call on. ``decide`` may choose another way for one: ``silent``, as the store does
for a machine that it turns away; or the seconds after which the call is carried out, while its
answer is lost, as the store may do with writes.
"""

from __future__ import annotations

import asyncio
import contextlib

from typing import TYPE_CHECKING

from harness import wire

if TYPE_CHECKING:
    from collections.abc import Callable

PASS = "pass"
SILENT = "silent"


class StoreRelay:
    """Relays the calls of one node to the store."""

    def __init__(self, store_port: int) -> None:
        self._store_port = store_port
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.port = 0
        self.decide: Callable[[wire.Message], str | float] = lambda message: PASS

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=2**22)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(Exception):
            while (request := await wire.read_message(reader)) is not None:
                way = self.decide(request)
                if way == PASS:
                    answer = await self._forward(request)
                    # The node may have been turned away while its call waited.
                    if self.decide(request) == PASS:
                        writer.write(answer)
                        continue
                elif isinstance(way, float):
                    task = asyncio.ensure_future(self._forward_later(request, way))
                    self._tasks.add(task)
                await reader.read()  # nothing further comes on this connection
        wire.close(writer)

    async def _forward_later(self, request: wire.Message, seconds: float) -> None:
        await asyncio.sleep(seconds)
        await self._forward(request)

    async def _forward(self, request: wire.Message) -> bytes:
        reader, writer = await asyncio.open_connection("127.0.0.1", self._store_port, limit=2**22)
        try:
            head = {"Host": f"127.0.0.1:{self._store_port}", "Connection": "close"}
            writer.write(wire.encode(request.first_line, head, request.body))
            answer = await wire.read_message(reader)
            if answer is None:
                raise ConnectionError("the store closed the connection")
            kept = {name: value for name, value in answer.headers.items() if name == "store-era"}
            return wire.encode(answer.first_line, kept, answer.body)
        finally:
            wire.close(writer)
