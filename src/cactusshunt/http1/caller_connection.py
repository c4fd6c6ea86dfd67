"""Server side of an HTTP/1.1 connection: reads requests in sequence and writes their answers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol as Interface

import h11

from twisted.internet.protocol import Protocol
from twisted.internet.protocol import connectionDone

from cactusshunt.http1.chunk_reader import MergingChunkReader
from cactusshunt.http1.client_choice import Activity
from cactusshunt.http1.client_choice import ClientState
from cactusshunt.http1.client_guard import ClientGuard
from cactusshunt.http1.client_guard import ListenerGuard
from cactusshunt.http1.client_guard import Restriction
from cactusshunt.http1.input_turns import EVENTS_BETWEEN_CHECKS
from cactusshunt.http1.input_turns import INPUT_PIECE_BYTES
from cactusshunt.http1.input_turns import InputTurns
from cactusshunt.http1.last_response import await_written
from cactusshunt.http1.memory_budget import MemoryBudget
from cactusshunt.http1.memory_budget import Reservation
from cactusshunt.http1.sockets import tune_socket
from cactusshunt.http1.source_gate import SourceGate
from cactusshunt.http1.source_gate import WrittenNotice
from cactusshunt.node_log import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.base import ReactorBase
    from twisted.internet.interfaces import IDelayedCall
    from twisted.python.failure import Failure

Headers = list[tuple[bytes, bytes]]
CALLER_USER_TIMEOUT_MS = 5000  # mobile links may stall for seconds
TRANSPORT_BUFFER_BYTES = 65_536  # a transport with more to write tells when that was written
HEAD_TOO_LARGE = 431
STATUSES_WITHOUT_BODY = (204, 304)  # RFC 9110, section 6.4.1
FULL_RETRY_AFTER = b"0.5"  # seconds; bodies are usually read within it
MAX_EARLY_BYTES = 65_536  # of input that is not parsed yet, such as the next requests
# In process memory: a connection with its parser and timer takes 7 KB by tracemalloc, and a socket;
# a request in flight about 20 KB (``MAX_JOBS_IN_FLIGHT``), and a connection to an upstream.
CONNECTION_BYTES = 12_288
REQUEST_BYTES = 40_960
UNREAD_BYTES = 2 * TRANSPORT_BUFFER_BYTES  # a full buffer and the response that filled it


@dataclass(frozen=True, kw_only=True)
class ReceivedRequest:
    """A complete request; ``arrived_at`` is the reactor time in s of its first byte."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    arrived_at: float


@dataclass(frozen=True, kw_only=True)
class RequestLimits:
    """Limits: header and body bytes, seconds to send a whole request and to stay idle."""

    header_bytes: int
    body_bytes: int
    request_timeout_s: float
    idle_timeout_s: float


class RequestHandler(Interface):
    """Answers requests and is notified when connections open and close."""

    def handle(self, request: ReceivedRequest, connection: CallerConnection) -> None:
        """Answer a request through the connection."""

    def limits(self) -> RequestLimits:
        """Return the limits in force."""

    def stopping(self) -> bool:
        """Return whether this process is shutting down."""

    def connection_opened(self, connection: CallerConnection) -> None:
        """Record a new connection."""

    def connection_closed(self, connection: CallerConnection) -> None:
        """Record the end of a connection."""


class CallerConnection(Protocol):
    """Parses requests of one caller and writes answers, one request at a time.

    An exchange that ends leaves the connection free for the next request, or closed;
    ``exchange_number`` tells one from the next.
    ``gate`` pauses the source of an answer that is written in parts while the caller does not read.
    ``budget`` bounds the bodies of all callers, and the answers that are kept whole. ``guard``
    bounds what all connections hold, and their number; ``turns`` the time that parsing takes.
    """

    def __init__(
        self,
        *,
        reactor: ReactorBase,
        handler: RequestHandler,
        budget: MemoryBudget | None = None,
        guard: ListenerGuard | None = None,
        turns: InputTurns | None = None,
    ) -> None:
        self._reactor = reactor
        self._handler = handler
        limits = handler.limits()
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.header_bytes)
        self._limits = limits
        self._request: h11.Request | None = None
        self._in_chunks = False
        self._method = b""  # of the request that is answered
        self.exchange_number = 0
        self._body = bytearray()
        self._unparsed = bytearray()
        self._unread = False  # the transport's buffer is full of responses
        self._closing = False
        self._has_sent = False
        self.waits_turn = False
        self.counted_bytes = 0  # what ``guard`` last counted for this connection
        self._arrived_at = 0.0  # reactor time in s; 0.0 until the first byte arrives
        self._timer: IDelayedCall | None = None
        self._lost = False
        self._chunked = False
        self._reading_paused = False
        self._has_producer = False
        self._parsing = False
        self.gate = SourceGate(clock=reactor.seconds)
        self.budget = budget or MemoryBudget()
        self._guard = guard or ClientGuard(reactor=reactor).add_listener()
        self._turns = turns or InputTurns(reactor=reactor)
        self._written = WrittenNotice(self._note_full, self._note_written)
        self._request_memory = Reservation(self.budget)
        self._answer_memory = Reservation(self.budget)
        self.on_disconnect: Callable[[], None] | None = None
        self.busy = False
        self._idle_since: float = reactor.seconds()

    @property
    def disconnected(self) -> bool:
        """Return whether the connection has been lost or closed."""
        return self._lost

    @property
    def receiving(self) -> bool:
        """Return whether a request has begun to arrive and is not complete."""
        return self._request is not None or bool(self._arrived_at and not self.busy)

    def connectionMade(self) -> None:  # noqa: N802
        """Set the socket options and start the idle timeout."""
        tune_socket(self.transport, user_timeout_ms=CALLER_USER_TIMEOUT_MS)
        self._handler.connection_opened(self)
        self._start_timer(self._limits.idle_timeout_s)
        self._register_producer(self._written)
        self._guard.open(self, self._read_source(), CONNECTION_BYTES)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse received bytes, now or in a later turn."""
        if self._closing:
            return
        self._has_sent = True
        if not (self._arrived_at or self.busy or self._unread):
            self._arrived_at = self._reactor.seconds()
            self._start_timer(self._limits.request_timeout_s, self._reject_slow_request)
        if self.busy or self._unread:
            self._unparsed += data
            self._limit_input()
            return
        if self._unparsed or self.waits_turn or len(data) > INPUT_PIECE_BYTES:
            self._unparsed += data
        else:
            self._http.receive_data(data)
        self._turns.take(self)

    @property
    def has_much_input(self) -> bool:
        """Return whether the request is larger than usual, or more is received than parsed."""
        return len(self._unparsed) + len(self._body) > INPUT_PIECE_BYTES

    def parse(self, until: float) -> bool:
        """Parse what was received, up to a reactor time in s; return whether there is more.

        Complete requests are passed to the handler, one after the other is answered.
        """
        if self._parsing:  # a request was answered within the loop, which goes on
            return False
        self._parsing = True
        more = False
        events = 0
        try:
            while not (more or self.busy or self._unread or self._closing or self._lost):
                if self._read_event():
                    events += 1
                    if events % EVENTS_BETWEEN_CHECKS == 0:
                        more = self._reactor.seconds() >= until
                elif not self._give_parser_more():
                    break
        except h11.RemoteProtocolError as error:
            if error.error_status_hint == HEAD_TOO_LARGE:
                self._guard.record(self, Restriction.HEAD)
            self._reject(error.error_status_hint)
        finally:
            self._parsing = False
        self._limit_input()
        return more

    def _give_parser_more(self) -> bool:
        if not self._unparsed or self._http.their_state not in (h11.IDLE, h11.SEND_BODY):
            return False
        whole_body = self._request is not None and not self._in_chunks
        count = len(self._unparsed) if whole_body else INPUT_PIECE_BYTES
        piece = bytes(self._unparsed[:count])
        del self._unparsed[:count]
        self._http.receive_data(piece)
        return True

    def describe(self) -> ClientState:
        """Return what this connection does, and what it makes the process hold."""
        activity, since = Activity.IDLE, self._idle_since
        if self._unread:
            activity = Activity.UNREAD
        elif self.busy:
            activity = Activity.PIPELINED if self.has_much_input else Activity.RUNNING
        elif self.receiving:
            activity, since = Activity.RECEIVING, self._arrived_at
        elif not self._has_sent:
            activity = Activity.SILENT
        return ClientState(activity=activity, since=since, held_bytes=self.counted_bytes)

    def restrict(self, restriction: Restriction) -> None:
        """Refuse the request that arrives, or end the connection, to make room for others."""
        if self._lost:
            return
        if restriction is Restriction.MEMORY and self.receiving and not self._closing:
            self._reject(503, [(b"Retry-After", FULL_RETRY_AFTER)])
        else:
            self._abort_transport()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Notify the handler and the request in progress that the caller disconnected."""
        self._lost = True
        self._stop_timer()
        self._request_memory.release()
        self._answer_memory.release()
        self._unparsed = bytearray()
        self._body = bytearray()
        self._guard.close(self)
        self._handler.connection_closed(self)
        on_disconnect, self.on_disconnect = self.on_disconnect, None
        if on_disconnect is not None:
            on_disconnect()

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a complete answer.

        One to HEAD has no body, but the length that it would have: that of ``body``, or the
        ``Content-Length`` in ``headers``, as an upstream sent it.
        """
        if self._lost:
            return
        framed = headers
        if not any(name.lower() == b"content-length" for name, _ in headers):
            length = (b"Content-Length", str(len(body)).encode())
            framed = [*headers, length] if status not in STATUSES_WITHOUT_BODY else headers
        self._count_until_written(len(body))
        self._send_head(status, framed)
        if self._has_body(status):
            self._send(h11.Data, data=body)
        self.finish()

    def write_head(self, status: int, headers: Headers) -> None:
        """Write the head of an answer of unknown length, which is sent in chunks."""
        if self._lost:
            return
        self._chunked = True
        self._answer_memory.release()
        self._register_producer(self.gate)
        if status not in STATUSES_WITHOUT_BODY:
            headers = [*headers, (b"Transfer-Encoding", b"chunked")]
        self._send_head(status, headers)

    def write(self, data: bytes) -> None:
        """Write a part of the answer's body."""
        self._send(h11.Data, data=data)

    def _has_body(self, status: int) -> bool:
        return self._method != b"HEAD" and status not in STATUSES_WITHOUT_BODY

    def finish(self) -> None:
        """End the answer and wait for the next request."""
        if self._lost:
            return
        self._send(h11.EndOfMessage)
        self._release_source()
        self._request_memory.release()
        self.on_disconnect = None
        self.busy = False
        self._idle_since = self._reactor.seconds()
        if self._http.our_state is not h11.DONE or self._http.their_state is not h11.DONE:
            self._close()
            return
        self._http.start_next_cycle()
        self._start_timer(self._limits.idle_timeout_s)
        self._parse_next()

    def abort(self) -> None:
        """Abort the connection, so that the caller sees that the answer is incomplete."""
        self.on_disconnect = None
        self.busy = False
        self._abort_transport()

    def end_unanswered(self, exchange_number: int) -> None:
        """End the connection if an exchange that is over has left its request unanswered."""
        if self._lost or self._closing or not self.busy:
            return
        if exchange_number == self.exchange_number:
            log_event("exchange_unanswered", method=self._method.decode("latin-1"))
            self.abort()

    def close_idle(self, idle_since: float) -> None:
        """Close the connection if no request is being read or answered since a reactor time."""
        if not self.busy and not self.receiving and self._idle_since <= idle_since:
            self._close()

    def _parse_next(self) -> None:
        """Parse what was received while a request was answered, unless that is being done."""
        if self._parsing:
            return
        if self._unread:
            self._limit_input()
        else:
            self._turns.take(self)

    def _read_event(self) -> bool:
        """Handle what was received next; return whether more may follow."""
        event = self._http.next_event()
        if event is h11.NEED_DATA or event is h11.PAUSED:
            if self._http.they_are_waiting_for_100_continue:
                self._send(h11.InformationalResponse, status_code=100, headers=[])
            return False
        if isinstance(event, h11.ConnectionClosed):
            return False
        if isinstance(event, h11.Request):
            return self._accept_head(event)
        if isinstance(event, h11.Data):
            self._body += event.data
            if len(self._body) > self._limits.body_bytes:
                self._restrict_self(413, Restriction.BODY)
                return False
            if not self._request_memory.resize(len(self._body)):
                self._restrict_self(503, Restriction.MEMORY)
                return False
        elif isinstance(event, h11.EndOfMessage):
            self._handle_request()
        return True

    def _limit_input(self) -> None:
        """Read nothing more while much of what was received is not parsed, and count it."""
        if self._lost:
            return
        held = self._measure_held()
        if held != self.counted_bytes:
            self._guard.count(self, held)
        too_much = False
        if self._unparsed and not self._closing:
            limit = 1 if self._guard.is_pressed else MAX_EARLY_BYTES
            too_much = len(self._unparsed) >= limit
        if too_much == self._reading_paused or self._lost:
            return
        self._reading_paused = too_much
        transport: Any = self.transport
        if too_much:
            transport.pauseProducing()
        else:
            transport.resumeProducing()

    def _read_source(self) -> str:
        transport: Any = self.transport
        return str(getattr(transport.getPeer(), "host", ""))

    def _measure_held(self) -> int:
        held = CONNECTION_BYTES + len(self._unparsed) + len(self._body)
        return held + REQUEST_BYTES * self.busy + UNREAD_BYTES * self._unread

    def _note_full(self) -> None:
        """Answer no further request until the caller has read what was written."""
        self._unread = True

    def _note_written(self) -> None:
        self._answer_memory.release()
        was_unread, self._unread = self._unread, False
        if was_unread and not (self.busy or self._closing or self._lost):
            self._parse_next()

    def _release_source(self) -> None:
        """Let the source be read again; what is still to be written is bounded."""
        if self._chunked:
            self._chunked = False
            self._unread = self.gate.is_full
            self._register_producer(self._written)
        self.gate.resumeProducing()

    def _count_until_written(self, body_bytes: int) -> None:
        """Count an answer's body until the caller has read most of it."""
        if body_bytes > TRANSPORT_BUFFER_BYTES:
            self._answer_memory.resize(body_bytes)

    def _register_producer(self, producer: SourceGate | WrittenNotice | None) -> None:
        """Let the transport tell a producer when its buffer is full, and empty again."""
        transport: Any = self.transport
        if self._has_producer:
            transport.unregisterProducer()
        self._has_producer = producer is not None
        if producer is not None:
            transport.registerProducer(producer, True)

    def _accept_head(self, event: h11.Request) -> bool:
        if not self._arrived_at:
            self._arrived_at = self._reactor.seconds()
        self._request = event
        self._body = bytearray()
        length = b""
        self._in_chunks = False
        for name, value in event.headers:
            if name == b"content-length":
                length = value
            elif name == b"transfer-encoding":
                self._in_chunks = True
        if length and self._in_chunks:
            self._reject(400)
            return False
        if length.isdigit() and int(length) > self._limits.body_bytes:
            self._restrict_self(413, Restriction.BODY)
            return False
        if self._in_chunks:
            self._http._reader = MergingChunkReader()
        return True

    def _handle_request(self) -> None:
        assert self._request is not None
        request = ReceivedRequest(
            method=self._request.method,
            target=self._request.target,
            headers=self._request.headers.raw_items(),
            body=bytes(self._body),
            arrived_at=self._arrived_at,
        )
        self._method = self._request.method
        self.exchange_number += 1
        self._request = None
        self._body = bytearray()
        self._arrived_at = 0.0
        self._stop_timer()
        self.busy = True
        self._handler.handle(request, self)

    def _send_head(self, status: int, headers: Headers) -> None:
        if self._handler.stopping():
            headers = [*headers, (b"Connection", b"close")]
        self._send(h11.Response, status_code=status, headers=headers)

    def _send(self, kind: Any, **fields: Any) -> None:
        """Write a part of an answer; one that HTTP cannot carry ends the connection."""
        if self._lost or self._closing:
            return
        try:
            payload = self._http.send(kind(**fields))
        except h11.LocalProtocolError as error:
            method = self._method.decode("latin-1")
            log_event("answer_unwritable", method=method, reason=str(error))
            self._abort_transport()
            return
        if payload:
            transport: Any = self.transport
            transport.write(payload)

    def _reject(self, status: int, extra_headers: Headers | None = None) -> None:
        """Reject a request and close the connection, as the start of the next may be unknown."""
        self._request_memory.release()
        self._stop_timer()
        if self._lost:
            return
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            headers = [(b"Content-Length", b"0"), (b"Connection", b"close")]
            headers += extra_headers or []
            self._send(h11.Response, status_code=status, headers=headers)
            self._send(h11.EndOfMessage)
        self._close()

    def _restrict_self(self, status: int, restriction: Restriction) -> None:
        self._guard.record(self, restriction)
        full = status == 503
        self._reject(status, [(b"Retry-After", FULL_RETRY_AFTER)] if full else None)

    def _reject_slow_request(self) -> None:
        self._restrict_self(408, Restriction.TIME)

    def _abort_transport(self) -> None:
        self._closing = True
        self._unparsed = bytearray()
        self._body = bytearray()
        self._guard.close(self)
        transport: Any = self.transport
        if not self._lost:
            transport.abortConnection()

    def _close(self) -> None:
        if self._closing:
            return
        self._closing = True
        self._unparsed = bytearray()
        self._body = bytearray()
        self._release_source()
        self._register_producer(None)  # a transport with a paused producer does not close
        self._answer_memory.release()
        transport: Any = self.transport
        if not self._lost:
            self._limit_input()  # which reads on, so that the connection's end is seen
            await_written(transport, self._start_timer, self._abort_transport)
            transport.loseConnection()

    def _start_timer(self, seconds: float, end: Callable[[], None] | None = None) -> None:
        self._stop_timer()
        self._timer = self._reactor.callLater(seconds, end or self._close)

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
