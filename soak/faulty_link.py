"""TCP proxies on loopback whose connections can be delayed, stalled or reset."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import socket
import struct
import threading

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from typing import Any

CHUNK_BYTES = 65_536
DELAY_S = 0.15  # about 30 times the usual duration of a call
POLL_INTERVAL_S = 0.02  # how often a link that holds data back checks its mode


class LinkMode(enum.Enum):
    """How a link treats data; ``SILENT`` holds back both directions, each cut only one.

    ``REFUSE`` closes new connections at once and lets open ones live on.
    """

    NORMAL = "normal"
    DELAY = "delay"
    SILENT = "silent"
    CUT_TO_SERVER = "cut to the server"
    CUT_FROM_SERVER = "cut from the server"
    REFUSE = "refuse"


class FaultyLinks:
    """All proxies of a run; they share an event loop that runs in its own thread."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._modes: dict[int, LinkMode] = {}
        self._writers: dict[int, set[asyncio.StreamWriter]] = {}
        self._servers: list[asyncio.Server] = []
        threading.Thread(target=self._loop.run_forever, daemon=True).start()

    def open(self, port: int, target: int) -> None:
        """Listen on a port and forward its connections to the target port."""
        self._modes[port] = LinkMode.NORMAL
        self._writers[port] = set()
        server = asyncio.start_server(self._accept(port, target), "127.0.0.1", port)
        self._servers.append(self._run(server))

    def close(self) -> None:
        """Close all ports and reset their connections."""
        self._run(self._close_servers())
        for port in self._modes:
            self.reset(port)

    async def _close_servers(self) -> None:
        for server in self._servers:
            server.close()

    def set_mode(self, port: int, mode: LinkMode) -> None:
        """Set the mode of a port's link, which also applies to open connections."""
        self._modes[port] = mode

    def reset(self, port: int) -> None:
        """Reset all open connections of a port's link."""
        self._loop.call_soon_threadsafe(self._reset, port)

    def _reset(self, port: int) -> None:
        for writer in list(self._writers[port]):
            tcp_socket = writer.get_extra_info("socket")
            with contextlib.suppress(OSError):  # it is closed already
                if tcp_socket is not None:
                    linger = struct.pack("ii", 1, 0)
                    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

    def _accept(self, port: int, target: int) -> Any:
        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            if self._modes[port] is LinkMode.REFUSE:
                writer.transport.abort()
                return
            try:
                server_reader, server_writer = await asyncio.open_connection("127.0.0.1", target)
            except OSError:
                writer.transport.abort()
                return
            self._writers[port] |= {writer, server_writer}
            to_server = self._forward(port, reader, server_writer, LinkMode.CUT_TO_SERVER)
            from_server = self._forward(port, server_reader, writer, LinkMode.CUT_FROM_SERVER)
            await asyncio.gather(to_server, from_server)
            self._writers[port] -= {writer, server_writer}

        return accept

    async def _forward(
        self,
        port: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        cut: LinkMode,
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                while self._modes[port] in (LinkMode.SILENT, cut):
                    await asyncio.sleep(POLL_INTERVAL_S)
                if self._modes[port] is LinkMode.DELAY:
                    await asyncio.sleep(DELAY_S)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.close()

    def _run(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(5.0)
