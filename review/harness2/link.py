"""A link that forwards connections; on request it refuses new ones while open ones live on.

Run as ``python3 -m review.harness2.link CONTROL_PORT LISTEN:TARGET ...``. A line ``refuse`` or
``accept`` on the control port sets what happens to new connections.
"""

from __future__ import annotations

import asyncio
import contextlib
import sys

CHUNK_BYTES = 65_536


class Link:
    """Forwards one port."""

    def __init__(self, listen: int, target: int) -> None:
        self._listen = listen
        self._target = target
        self._server: asyncio.Server | None = None

    async def accept(self) -> None:
        """Accept new connections."""
        if self._server is None:
            self._server = await asyncio.start_server(self._forward, "127.0.0.1", self._listen)

    def refuse(self) -> None:
        """Refuse new connections; those that are open go on."""
        if self._server is not None:
            self._server.close()
            self._server = None

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            found = await asyncio.open_connection("127.0.0.1", self._target)
        except OSError:
            writer.transport.abort()
            return
        ways = [self._copy(reader, found[1]), self._copy(found[0], writer)]
        await asyncio.gather(*ways)

    async def _copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                writer.write(data)
                await writer.drain()
            with contextlib.suppress(OSError):
                writer.close()
        except OSError:
            writer.transport.abort()


async def main() -> None:
    """Forward until the process is ended."""
    links = [Link(*(int(port) for port in pair.split(":"))) for pair in sys.argv[2:]]
    for link in links:
        await link.accept()

    async def control(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := (await reader.readline()).strip():
            for link in links:
                if line == b"refuse":
                    link.refuse()
                else:
                    await link.accept()
            writer.write(b"done\n")

    async with await asyncio.start_server(control, "127.0.0.1", int(sys.argv[1])) as server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
