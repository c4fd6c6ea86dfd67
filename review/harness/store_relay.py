"""A relay before the project's stand-in of the store, one for each node.

It passes every call on. While the node is ``turned_away`` nothing is answered, as the store does
with a machine that it turns away, or when it is silent. ``delay`` may name the seconds after which
a call is carried out, while its answer is lost, as the store may do with writes.
"""

from __future__ import annotations

import asyncio
import contextlib

from typing import TYPE_CHECKING

from harness import wire

if TYPE_CHECKING:
    from collections.abc import Callable


class StoreRelay:
    """Relays the calls of one node to the store."""

    def __init__(self, store_port: int) -> None:
        self._store_port = store_port
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.port = 0
        self.turned_away = False
        self.delay: Callable[[wire.Message], float | None] = lambda message: None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=2**22)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(Exception):
            while (request := await wire.read_message(reader)) is not None:
                delay_s = None if self.turned_away else self.delay(request)
                if delay_s is not None:
                    task = asyncio.ensure_future(self._forward_later(request, delay_s))
                    self._tasks.add(task)
                elif not self.turned_away:
                    answer = await self._forward(request)
                    if not self.turned_away:  # else it was while its call waited
                        writer.write(answer)
                        continue
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
