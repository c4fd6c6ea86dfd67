"""Answers of a stand-in whose heads end early, at a given byte."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from stand_ins.http import abort_connection

if TYPE_CHECKING:
    from twisted.web.server import Request

BODY = b"id: 1\ndata: token 1\n\n"


class HeadCut:
    """Writes the first bytes of an answer's head and ends the connection, while it is set."""

    def __init__(self) -> None:
        self._at: int | None = None
        self._resets = False
        self.runs: list[str] = []

    def configure(self, body: dict[str, Any]) -> None:
        """Apply a test call: the head's bytes to write, ``at``, and whether it ``resets``."""
        self._at, self._resets = body.get("at"), bool(body.get("resets", False))

    def spoil(self, request: Request) -> bool:
        """Cut a request's answer off; return whether that is done."""
        transport: Any = request.transport
        if self._at is None or transport is None:
            return False
        request_id = request.getHeader("X-Request-Id") or ""
        self.runs.append(request_id)
        transport.write(make_head(request_id)[: self._at])
        if self._resets:
            abort_connection(request)
        else:
            transport.loseConnection()
        return True


def make_head(request_id: str) -> bytes:
    """Return the head of a successful answer."""
    lines = [
        "HTTP/1.1 200 OK",
        f"X-Request-Id: {request_id}",
        "X-Response-Seal: seal-cut",
        "Content-Type: text/event-stream",
        f"Content-Length: {len(BODY)}",
    ]
    return "".join(f"{line}\r\n" for line in lines).encode() + b"\r\n"
