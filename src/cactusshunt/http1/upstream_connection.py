"""One connection to an upstream: one request at a time, its answer handed on as it comes."""

from __future__ import annotations

import enum

from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol as Interface

import h11

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol
from twisted.internet.protocol import connectionDone

from cactusshunt.http1.sockets import tune_socket

if TYPE_CHECKING:
    from twisted.python.failure import Failure

Headers = list[tuple[bytes, bytes]]
LARGEST_HEAD_BYTES = 65_536  # four times what callers may send by default


class ExchangeEnd(enum.Enum):
    """How one request on a connection ended."""

    COMPLETE = "whole"
    UNANSWERED = "closed before the first byte of an answer"
    BROKEN = "answer broke off"
    MALFORMED = "bytes that are no answer"
    CANCELLED = "cancelled here"


class AnswerReceiver(Interface):
    """Takes an answer as it arrives."""

    def begin(self, status: int, headers: Headers) -> bool:
        """Take status and headers; ``False`` refuses the answer and drops the connection."""

    def add(self, data: bytes) -> None:
        """Take a part of the body."""


class UpstreamConnection(Protocol):
    """Frames requests and answers with h11; never sends a request twice."""

    def __init__(self) -> None:
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=LARGEST_HEAD_BYTES)
        self._receiver: AnswerReceiver | None = None
        self._done: Deferred[ExchangeEnd] | None = None
        self._answered = False
        self._lost = False
        self._closing = False
        self.idle_since = 0.0
        self.idle_limit_s: float | None = None

    @property
    def usable(self) -> bool:
        """Tell whether the next request may be sent."""
        return not self._lost and not self._closing and self._done is None

    def connectionMade(self) -> None:  # noqa: N802
        """Set the socket's time-outs."""
        tune_socket(self.transport)

    def exchange(
        self, method: bytes, target: bytes, headers: Headers, body: bytes, receiver: AnswerReceiver
    ) -> Deferred[ExchangeEnd]:
        """Send one request; the result comes when its answer has ended."""
        self._receiver = receiver
        self._answered = False
        self._done = Deferred()
        done = self._done
        request = h11.Request(method=method, target=target, headers=headers)
        payload = self._http.send(request) or b""
        if body:
            payload += self._http.send(h11.Data(data=body)) or b""
        payload += self._http.send(h11.EndOfMessage()) or b""
        self._write(payload)
        return done

    def cancel(self) -> None:
        """Close the connection, which ends its request at the upstream."""
        self._finish(ExchangeEnd.CANCELLED)
        self.drop()

    def drop(self) -> None:
        """Close the connection and use it no more."""
        self._closing = True
        transport: Any = self.transport
        if transport is not None and not self._lost:
            transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse what came; bytes that no request asked for end the connection."""
        if self._closing:
            return
        if self._done is None:
            self.drop()
            return
        try:
            self._http.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError:
            self._finish(ExchangeEnd.MALFORMED)
            self.drop()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Decide whether the answer was whole when the connection ended."""
        self._lost = True
        if self._done is None:
            return
        if reason.check(ConnectionDone) is not None and self._answered:
            try:
                self._http.receive_data(b"")
                self._read_events()
            except h11.RemoteProtocolError:
                pass
        self._finish(ExchangeEnd.BROKEN if self._answered else ExchangeEnd.UNANSWERED)

    def _read_events(self) -> None:
        while self._done is not None:
            event = self._http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.ConnectionClosed):
                return
            if isinstance(event, h11.Response):
                self._begin(event)
            elif isinstance(event, h11.Data):
                assert self._receiver is not None
                self._receiver.add(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._end_answer()

    def _begin(self, event: h11.Response) -> None:
        assert self._receiver is not None
        self._answered = True
        headers = event.headers.raw_items()
        if not self._receiver.begin(event.status_code, headers):
            self._finish(ExchangeEnd.MALFORMED)
            self.drop()
            return
        self._note_keep_alive(event.headers)

    def _note_keep_alive(self, headers: Any) -> None:
        for name, value in headers:
            if name == b"keep-alive":
                for part in value.split(b","):
                    key, _, seconds = part.strip().partition(b"=")
                    if key == b"timeout" and seconds.isdigit():
                        self.idle_limit_s = float(seconds)

    def _end_answer(self) -> None:
        trailing, _closed = self._http.trailing_data
        reusable = (
            not trailing
            and self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
            and not self._lost
        )
        if reusable:
            self._http.start_next_cycle()
        else:
            self._closing = True
        self._finish(ExchangeEnd.COMPLETE)
        if not reusable:
            self.drop()

    def _write(self, payload: bytes) -> None:
        transport: Any = self.transport
        transport.write(payload)

    def _finish(self, end: ExchangeEnd) -> None:
        done, self._done = self._done, None
        self._receiver = None
        if done is not None:
            done.callback(end)
