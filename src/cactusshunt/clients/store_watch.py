"""Watch on the platform's key-value service."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec

from twisted.internet.protocol import Protocol
from twisted.web.http_headers import Headers

from cactusshunt.clients.body import BytesProducer
from cactusshunt.clients.tuned_endpoint import make_agent
from cactusshunt.schema.decoding import UNREADABLE_ERRORS

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.base import ReactorBase
    from twisted.internet.defer import Deferred
    from twisted.python.failure import Failure
    from twisted.web.client import Response

MAX_PARTIAL_LINE_BYTES = 8 * 1024 * 1024


class StoreWatch:
    """Reads newline-delimited JSON messages from a streamed answer until it ends."""

    def __init__(
        self,
        *,
        reactor: ReactorBase,
        receive: Callable[[dict[str, Any]], None],
        end: Callable[[], None],
    ) -> None:
        self._agent = make_agent(reactor)
        self._receive = receive
        self._end = end
        self._request: Deferred[Any] | None = None
        self._reader: _LineReader | None = None
        self._stopped = False

    def open(self, url: str, body: bytes) -> None:
        """Send the watch request."""
        headers = Headers({"Content-Type": ["application/json"]})
        self._request = self._agent.request(
            b"POST", url.encode(), headers, BytesProducer(body=body)
        )
        self._request.addCallbacks(self._start_reading, self._handle_failure)

    def stop(self) -> None:
        """Close the connection without calling ``end``."""
        self._stopped = True
        if self._reader is not None:
            self._reader.close()
        elif self._request is not None:
            self._request.cancel()

    def _start_reading(self, response: Response) -> None:
        if self._stopped or response.code != 200:
            self._finish()
            return
        self._reader = _LineReader(receive=self._receive, end=self._finish)
        response.deliverBody(self._reader)

    def _handle_failure(self, failure: Failure) -> None:
        del failure
        self._finish()

    def _finish(self) -> None:
        if self._stopped:
            return
        self._stopped = True
        self._end()


class _LineReader(Protocol):
    def __init__(
        self, *, receive: Callable[[dict[str, Any]], None], end: Callable[[], None]
    ) -> None:
        self._receive = receive
        self._end = end
        self._buffer = b""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Decode and forward each complete line."""
        self._buffer += data
        *lines, self._buffer = self._buffer.split(b"\n")
        if len(self._buffer) > MAX_PARTIAL_LINE_BYTES:
            self.close()
            return
        for line in lines:
            if line.strip():
                self._receive_line(line)

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        """Report the end of the watch."""
        del reason
        self._end()

    def close(self) -> None:
        """Abort the connection."""
        if self.transport is not None:
            abort = getattr(self.transport, "abortConnection", self.transport.loseConnection)
            abort()

    def _receive_line(self, line: bytes) -> None:
        try:
            message = msgspec.json.decode(line, type=dict[str, Any])
        except UNREADABLE_ERRORS:
            self.close()
            return
        self._receive(message)
