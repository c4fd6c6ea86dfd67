"""Limits on callers' connections, headers and bodies."""

from __future__ import annotations

import io

from typing import TYPE_CHECKING
from typing import Any
from typing import cast

from twisted.web.http import HTTPChannel
from twisted.web.server import Request
from twisted.web.server import Site

if TYPE_CHECKING:
    from twisted.internet.interfaces import IAddress
    from twisted.web.resource import IResource

IDLE_TIMEOUT_S = 75
HEADER_LIMIT_BYTES = 16384
DISCARD_LIMIT_FACTOR = 16  # multiple of the body limit that is read before the connection is closed

_TOO_LARGE_HEADERS = (
    b'{"type":"urn:cactusshunt:problem:headers-too-large","title":"headers too large",'
    b'"status":431,"detail":"The headers are larger than this entry takes.",'
    b'"remedy":"Send fewer or shorter headers.","outcome":"not_run"}'
)
_TOO_MANY_CONNECTIONS = (
    b'{"type":"urn:cactusshunt:problem:too-many-connections","title":"too many connections",'
    b'"status":503,"detail":"This entry has no connection left.","remedy":"Ask again.",'
    b'"outcome":"not_run"}'
)


def _encode_answer(status: bytes, body: bytes, extra_headers: bytes = b"") -> bytes:
    return (
        b"HTTP/1.1 " + status + b"\r\nContent-Type: application/problem+json\r\n"
        b"Content-Length: "
        + str(len(body)).encode()
        + b"\r\n"
        + extra_headers
        + b"Connection: close\r\n"
        b"\r\n" + body
    )


class LimitedRequest(Request):
    """Keeps the body in memory, up to the site's limit in bytes.

    A larger body is read and discarded up to a multiple of the limit: closing the connection while
    the caller still writes would lose the answer.
    """

    too_large = False
    _received_bytes = 0

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Record whether the announced length exceeds the limit."""
        self.content = io.BytesIO()
        self.too_large = length is not None and length > self._limit_bytes()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Store a chunk, or discard the body once it exceeds the limit."""
        self._received_bytes += len(data)
        self.too_large = self.too_large or self._received_bytes > self._limit_bytes()
        if not self.too_large:
            super().handleContentChunk(data)  # type: ignore[no-untyped-call]
            return
        self.content = io.BytesIO()
        if self._received_bytes > self._limit_bytes() * DISCARD_LIMIT_FACTOR:
            cast("LimitedChannel", self.channel).loseConnection()  # type: ignore[no-untyped-call]

    def _limit_bytes(self) -> int:
        return cast("LimitedChannel", self.channel).site.body_limit_bytes


class LimitedChannel(HTTPChannel):
    """Connection that answers 431 to headers that are too large."""

    totalHeadersSize = HEADER_LIMIT_BYTES  # noqa: N815
    site: CallerSite

    def answer_and_close(self, answer: bytes) -> None:
        """Send a raw answer and close the connection."""
        if self.transport is not None:
            self.transport.write(answer)
            self.transport.loseConnection()

    def _respondToBadRequestAndDisconnect(self) -> None:  # noqa: N802
        if self._receivedHeaderSize <= self.totalHeadersSize:
            super()._respondToBadRequestAndDisconnect()  # type: ignore[no-untyped-call]
            return
        self.answer_and_close(
            _encode_answer(b"431 Request Header Fields Too Large", _TOO_LARGE_HEADERS)
        )


class CallerSite(Site):
    """Site that limits the number of connections and the size of bodies (``body_limit`` bytes)."""

    protocol = LimitedChannel  # type: ignore[assignment]

    def __init__(
        self, *, resource: IResource, body_limit_bytes: int, connection_limit: int
    ) -> None:
        super().__init__(resource, requestFactory=LimitedRequest, timeout=IDLE_TIMEOUT_S)  # type: ignore[no-untyped-call]
        self.body_limit_bytes = body_limit_bytes
        self.connections = 0
        self.refused_connections = 0
        self._connection_limit = connection_limit

    def buildProtocol(self, addr: IAddress | None) -> Any:  # noqa: N802
        """Return a protocol that counts its connection and refuses it above the limit."""
        protocol = super().buildProtocol(addr)  # type: ignore[no-untyped-call]
        return _limit_connections(protocol, self, self._connection_limit)


def _limit_connections(protocol: Any, site: CallerSite, limit: int) -> Any:
    on_made, on_lost = protocol.connectionMade, protocol.connectionLost

    def connection_made() -> None:
        site.connections += 1
        if site.connections > limit:
            site.refused_connections += 1
            extra_headers = b"Retry-After: 1\r\n"
            protocol.transport.write(
                _encode_answer(b"503 Service Unavailable", _TOO_MANY_CONNECTIONS, extra_headers)
            )
            protocol.transport.loseConnection()
            return
        on_made()

    def connection_lost(reason: Any) -> None:
        site.connections -= 1
        on_lost(reason)

    protocol.connectionMade = connection_made
    protocol.connectionLost = connection_lost
    return protocol
