"""Loopback proxy of one port whose connections can be delayed, cut, silenced or reset."""

from __future__ import annotations

import asyncio
import enum
import socket
import struct
import threading

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from typing import Any

CHUNK_BYTES = 65_536
DELAY_S = 0.15  # some thirty times a call's usual time
STEP_S = 0.02  # between two looks at a link that passes nothing on


class LinkMode(enum.Enum):
    """What a link does to bytes; ``SILENT`` loses both ways, the cuts one way."""

    CALM = "calm"
    DELAY = "delay"
    SILENT = "silent"
    CUT_TO_SERVER = "cut to the server"
    CUT_FROM_SERVER = "cut from the server"


class FaultyLinks:
    """All proxies of a run, on one event loop in a thread of its own."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._modes: dict[int, LinkMode] = {}
        self._writers: dict[int, set[asyncio.StreamWriter]] = {}
        threading.Thread(target=self._loop.run_forever, daemon=True).start()

    def open(self, port: int, target: int) -> None:
        """Listen on a port and pass connections on to another one."""
        self._modes[port] = LinkMode.CALM
        self._writers[port] = set()
        self._run(asyncio.start_server(self._accept(port, target), "127.0.0.1", port))

    def set_mode(self, port: int, mode: LinkMode) -> None:
        """Change what befalls bytes from now on, on open connections too."""
        self._modes[port] = mode

    def reset(self, port: int) -> None:
        """Reset all open connections."""
        self._loop.call_soon_threadsafe(self._reset, port)

    def _reset(self, port: int) -> None:
        for writer in list(self._writers[port]):
            found = writer.get_extra_info("socket")
            if found is not None:
                found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

    def _accept(self, port: int, target: int) -> Any:
        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                far_reader, far_writer = await asyncio.open_connection("127.0.0.1", target)
            except OSError:
                writer.transport.abort()
                return
            self._writers[port] |= {writer, far_writer}
            to_server = self._pass(port, reader, far_writer, LinkMode.CUT_TO_SERVER)
            from_server = self._pass(port, far_reader, writer, LinkMode.CUT_FROM_SERVER)
            await asyncio.gather(to_server, from_server)
            self._writers[port] -= {writer, far_writer}

        return accept

    async def _pass(
        self,
        port: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        cut: LinkMode,
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                while self._modes[port] in (LinkMode.SILENT, cut):
                    await asyncio.sleep(STEP_S)
                if self._modes[port] is LinkMode.DELAY:
                    await asyncio.sleep(DELAY_S)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.close()

    def _run(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(5.0)
