"""HTTP/1.1 on asyncio streams, as far as clients, servers and the store's relay need it."""

from __future__ import annotations

import asyncio
import contextlib
import json

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

Headers = dict[str, str]


@dataclass(kw_only=True)
class Message:
    """The head of a request or an answer, and the body if it was read; names in lower case."""

    first_line: str
    headers: Headers
    body: bytes = b""

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.first_line.split(" ")[0]

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.first_line.split(" ")[1]

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.first_line.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the next head, ``None`` at the connection's end."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    first_line, *lines = text[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(first_line=first_line, headers=headers)


async def read_parts(message: Message, reader: asyncio.StreamReader) -> AsyncIterator[bytes]:
    """Yield a body's parts; raises ``IncompleteReadError`` if it is cut off."""
    if message.headers.get("transfer-encoding") == "chunked":
        while True:
            line = await reader.readuntil(b"\r\n")
            size = int(line.split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return
            yield data[:-2]
    elif "content-length" in message.headers:
        size = int(message.headers["content-length"])
        if size:
            yield await reader.readexactly(size)


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message with its whole body."""
    message = await read_head(reader)
    if message is not None:
        message.body = b"".join([part async for part in read_parts(message, reader)])
    return message


def encode(first_line: str, headers: Headers, body: bytes | None = b"") -> bytes:
    """Return a message's bytes; with ``None`` the body's length is not named."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items())]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + (body or b"")


def close(writer: asyncio.StreamWriter, *, reset: bool = False) -> None:
    """Close a connection, with a reset if asked."""
    with contextlib.suppress(Exception):
        if reset:
            writer.transport.abort()
        else:
            writer.close()


async def call(port: int, method: str, target: str, body: Any = None, timeout_s: float = 5) -> Any:
    """Make one call and return its status and decoded body."""

    async def run() -> tuple[int, Any]:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            head = {"Host": f"127.0.0.1:{port}", "Connection": "close"}
            writer.write(encode(f"{method} {target} HTTP/1.1", head, data))
            answer = await read_message(reader)
            if answer is None:
                raise ConnectionError("no answer")
            with contextlib.suppress(ValueError):
                return answer.status, json.loads(answer.body)
            return answer.status, None
        finally:
            close(writer)

    return await asyncio.wait_for(run(), timeout_s)
