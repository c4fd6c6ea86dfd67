"""Clients as the users' pages describe them."""

from __future__ import annotations

import asyncio
import contextlib
import re
import secrets

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from harness import wire

if TYPE_CHECKING:
    from harness.record import Record

_EVENT = re.compile(rb"id: (\d+)\ndata: \d+ made by ([^\n]+)\n\n")


@dataclass(kw_only=True)
class Stream:
    """A stream over all attempts of its client: events with the versions that made them."""

    first_id: str = ""
    events: list[tuple[int, str]] = field(default_factory=list)
    attempts: list[str] = field(default_factory=list)
    complete: bool = False
    writer: asyncio.StreamWriter | None = None

    def break_connection(self) -> None:
        """Reset the connection, as that of a phone that changes networks."""
        if self.writer is not None:
            wire.close(self.writer, reset=True)

    @property
    def versions(self) -> set[str]:
        """Return the versions of the servers that made the events."""
        return {version for _, version in self.events}


async def read_stream(
    record: Record,
    stream: Stream,
    port: int,
    path: str,
    *,
    model: str,
    host: str = "ficu95.example",
    deadline_ms: int = 12_000,
    leave_after: int | None = None,
) -> str:
    """Make one attempt, on a new connection; return how it ended.

    The connection breaks after ``leave_after`` events, as that of a phone that changes networks.

    An attempt after the first event names the last event and the attempt that brought the first.
    """
    request_id = secrets.token_hex(8)
    headers = {
        "Host": host,
        "X-Request-Id": request_id,
        "X-Model": model,
        "X-Token-Count": "400,171",
        "X-Prompt-Prefix": f"{secrets.token_hex(4)}:200,{secrets.token_hex(4)}:200",
        "X-Deadline-Ms": str(deadline_ms),
    }
    if stream.events:
        headers["Last-Event-Id"] = str(stream.events[-1][0])
        headers["Resumes"] = stream.first_id
    resumed = bool(stream.events)
    record.write("sent", id=request_id, port=port, resumes=stream.first_id if resumed else "-")
    end = "no answer"
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        end = "not connected"
    else:
        stream.writer = writer
        try:
            writer.write(wire.encode(f"POST {path} HTTP/1.1", headers, b"p" * 400))
            head = await wire.read_head(reader)
            if head is not None and head.status != 200:
                body = b"".join([part async for part in wire.read_parts(head, reader)])
                end = f"status {head.status} {body[:120].decode('latin-1')}"
            elif head is not None:
                end = "broken off"
                data = b""
                async for part in wire.read_parts(head, reader):
                    data += part
                    end_of_last = 0
                    for found in _EVENT.finditer(data):
                        stream.first_id = stream.first_id or request_id
                        stream.events.append((int(found[1]), found[2].decode()))
                        end_of_last = found.end()
                    data = data[end_of_last:]
                    if leave_after is not None and len(stream.events) >= leave_after:
                        end = "connection broken"
                        break
                else:
                    stream.complete = True
                    end = "complete"
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            stream.writer = None
            wire.close(writer, reset=True)
    versions = ",".join(sorted(stream.versions))
    record.write(
        "answered", id=request_id, end=repr(end), events=len(stream.events), versions=versions
    )
    stream.attempts.append(end)
    return end


async def ask(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    record: Record,
    method: str,
    path: str,
    *,
    host: str = "ficu95.example",
    deadline_ms: int = 3000,
    body: bytes = b"",
    headers: wire.Headers | None = None,
) -> tuple[str, str, wire.Message | None]:
    """Send one request on an open connection; return its id, how it ended, and the answer."""
    request_id = secrets.token_hex(8)
    fields = {
        "Host": host,
        "X-Request-Id": request_id,
        "X-Deadline-Ms": str(deadline_ms),
        **(headers or {}),
    }
    record.write("sent", id=request_id, path=path)
    end, answer = "closed without an answer", None
    with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
        writer.write(wire.encode(f"{method} {path} HTTP/1.1", fields, body))
        answer = await wire.read_message(reader)
        if answer is not None:
            end = f"status {answer.status}"
    record.write("answered", id=request_id, end=repr(end))
    return request_id, end, answer
