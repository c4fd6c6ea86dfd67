"""Client side of an HTTP/1.1 connection: one request at a time, its answer forwarded in parts."""

from __future__ import annotations

import enum
import math

from collections import deque
from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol as Interface

import h11

from h11._readers import ChunkedReader
from twisted.internet.defer import Deferred
from twisted.internet.defer import succeed
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol
from twisted.internet.protocol import connectionDone

from cactusshunt.http1.chunk_reader import MergingChunkReader
from cactusshunt.http1.input_turns import EVENTS_BETWEEN_CHECKS
from cactusshunt.http1.input_turns import INPUT_PIECE_BYTES
from cactusshunt.http1.sockets import tune_socket

if TYPE_CHECKING:
    from twisted.python.failure import Failure

    from cactusshunt.http1.input_turns import InputTurns

Headers = list[tuple[bytes, bytes]]
MAX_INTERIM_ANSWERS = 16  # 1xx heads before the answer; usually there is none or one
MAX_STRAY_ANSWERS = 2  # before the answer to a request, each an earlier one written once more
MAX_STRAY_BYTES = 1_048_576  # of their bodies
MAX_CARRIED = 256  # remembered IDs of earlier requests on a connection
STATUSES = range(200, 600)  # of answers: RFC 9110, section 15, defines five classes of codes
MAX_HEAD_BYTES = 65_536  # four times the 16,384 that callers may send without a configuration


class ExchangeEnd(enum.Enum):
    """How one request on a connection ended."""

    COMPLETE = "complete"
    UNANSWERED = "connection ended before the first byte of an answer"
    BROKEN = "connection ended before the answer was complete"
    MALFORMED = "invalid answer"  # or one that the receiver rejected, such as one without end
    CANCELLED = "cancelled by this process"  # also at a deadline
    UNWRITABLE = "request that HTTP/1.1 cannot carry"  # nothing of it was sent


class AnswerReceiver(Interface):
    """Receives an answer in parts, as they arrive."""

    def is_stray(self, headers: Headers) -> bool:
        """Return whether an answer belongs to an earlier request, and the own one may follow."""

    def receive_head(self, status: int, headers: Headers) -> bool:
        """Receive status and headers; ``False`` rejects the answer and aborts the connection."""

    def receive_body_part(self, data: bytes) -> bool:
        """Receive a part of the body; ``False`` rejects the answer and aborts the connection."""


class UpstreamConnection(Protocol):
    """Sends requests and parses answers with h11; never sends a request twice.

    ``turns`` bounds the time that parsing takes; without it what arrives is parsed at once.
    """

    def __init__(self, *, turns: InputTurns | None = None) -> None:
        self._turns = turns
        self._unparsed = bytearray()
        self.waits_turn = False
        self._paused_by_gate = False
        self._reading_paused = False
        self._closed_cleanly = False
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._receiver: AnswerReceiver | None = None
        self._exchange_done: Deferred[ExchangeEnd] | None = None
        self._answer_begun = False
        self._interim_answers = 0
        self._method = b""
        self._skipping = False  # a stray answer is being read
        self._stray_answers = 0
        self._stray_bytes = 0
        self._carried: deque[bytes] = deque(maxlen=MAX_CARRIED)
        self._lost = False
        self._closing = False
        self.idle_since = 0.0
        self.keep_alive_timeout_s: float | None = None

    @property
    def usable(self) -> bool:
        """Return whether the connection is open and free for the next request."""
        is_open = not self._lost and not self._closing
        return is_open and self._exchange_done is None and self._http.our_state is h11.IDLE

    def has_carried(self, request_id: bytes) -> bool:
        """Return whether a request with this ID was sent here, whose answer may come again."""
        return request_id in self._carried

    def record_carried(self, request_id: bytes) -> None:
        """Record the ID of the request that is sent next."""
        self._carried.append(request_id)

    def connectionMade(self) -> None:  # noqa: N802
        """Set the socket options."""
        tune_socket(self.transport)

    def exchange(
        self, method: bytes, target: bytes, headers: Headers, body: bytes, receiver: AnswerReceiver
    ) -> Deferred[ExchangeEnd]:
        """Send one request; the deferred fires with how its answer ended."""
        try:
            payload = self._encode(method, target, headers, body)
        except h11.LocalProtocolError:
            self.abort()
            return succeed(ExchangeEnd.UNWRITABLE)
        self._receiver = receiver
        self._answer_begun = False
        self._interim_answers = 0
        self._method = method
        self._skipping = False
        self._stray_answers = self._stray_bytes = 0
        self._exchange_done = Deferred()
        done = self._exchange_done
        self._write(payload)
        return done

    def _encode(self, method: bytes, target: bytes, headers: Headers, body: bytes) -> bytes:
        request = h11.Request(method=method, target=target, headers=headers)
        payload = self._http.send(request) or b""
        if body:
            payload += self._http.send(h11.Data(data=body)) or b""
        return payload + (self._http.send(h11.EndOfMessage()) or b"")

    def cancel(self) -> None:
        """Abort the connection, which cancels its request at the upstream."""
        self._abort_exchange(ExchangeEnd.CANCELLED)

    def give_up(self) -> None:
        """Abort the connection because the answer that arrived was another one."""
        if self._exchange_done is not None:
            self._reject_answer()

    def pause_reading(self) -> None:
        """Read nothing more for now, so that the upstream's writes wait."""
        self._paused_by_gate = True
        self._update_reading()

    def resume_reading(self) -> None:
        """Read on, unless the connection has ended or much of what arrived is not parsed."""
        self._paused_by_gate = False
        self._update_reading()

    def _update_reading(self) -> None:
        pauses = self._paused_by_gate or len(self._unparsed) >= INPUT_PIECE_BYTES
        if pauses == self._reading_paused or self._lost or self._closing:
            return
        self._reading_paused = pauses
        if pauses:
            self._transport_or_fail().pauseProducing()
        else:
            self._transport_or_fail().resumeProducing()

    def abort(self) -> None:
        """Abort the connection; it is never reused."""
        self._closing = True
        self._unparsed = bytearray()
        transport: Any = self.transport
        if transport is not None and not self._lost:
            transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse received bytes, now or in a later turn; those of no request end the connection."""
        if self._closing:
            return
        if self._exchange_done is None:
            self.abort()
            return
        if self._unparsed or self.waits_turn or len(data) > INPUT_PIECE_BYTES:
            self._unparsed += data
        else:
            self._http.receive_data(data)
        if self._turns is not None:
            self._turns.take(self)
        else:
            self.parse(math.inf)
        self._update_reading()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Determine whether the answer was complete, once all that arrived is parsed."""
        self._lost = True
        self._closed_cleanly = reason.check(ConnectionDone) is not None
        if not self.waits_turn:
            self._end_lost_exchange()

    @property
    def has_much_input(self) -> bool:
        """Return whether more has arrived than an ordinary answer's part, and is not parsed."""
        return len(self._unparsed) > INPUT_PIECE_BYTES

    def parse(self, until: float) -> bool:
        """Parse what arrived, up to a reactor time in s; return whether there is more."""
        more = False
        events = 0
        try:
            while self._exchange_done is not None and not more:
                if self._read_event():
                    events += 1
                    if self._turns is not None and events % EVENTS_BETWEEN_CHECKS == 0:
                        more = self._turns.now() >= until
                elif not self._give_parser_more():
                    break
            more = more and self._exchange_done is not None
        except h11.RemoteProtocolError:
            self._reject_answer()
        finally:
            if self._lost and not more:  # who waits for the answer must not wait for ever
                self._end_lost_exchange()
        self._update_reading()
        return more

    def _give_parser_more(self) -> bool:
        if not self._unparsed:
            return False
        piece = bytes(self._unparsed[:INPUT_PIECE_BYTES])
        del self._unparsed[:INPUT_PIECE_BYTES]
        self._http.receive_data(piece)
        return True

    def _end_lost_exchange(self) -> None:
        if self._exchange_done is None:
            return
        try:
            if self._closed_cleanly and self._answer_begun:
                self._http.receive_data(b"")
                while self._exchange_done is not None and self._read_event():
                    pass
        except h11.RemoteProtocolError:
            pass
        finally:
            end = ExchangeEnd.BROKEN if self._answer_begun else ExchangeEnd.UNANSWERED
            self._end_exchange(end)

    def _read_event(self) -> bool:
        """Handle what arrived next; return whether more may follow."""
        event = self._http.next_event()
        if event is h11.NEED_DATA or event is h11.PAUSED:
            return False
        if isinstance(event, h11.ConnectionClosed):
            return False
        if isinstance(event, h11.Response):
            self._begin_answer(event)
        elif isinstance(event, h11.InformationalResponse):
            self._interim_answers += 1
            if self._interim_answers > MAX_INTERIM_ANSWERS:
                self._reject_answer()
        elif isinstance(event, h11.Data):
            self._receive_body_part(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            if self._skipping:
                self._end_stray_answer()
            else:
                self._end_answer()
        return True

    def _receive_body_part(self, data: bytes) -> None:
        assert self._receiver is not None
        if self._skipping:
            self._stray_bytes += len(data)
            if self._stray_bytes > MAX_STRAY_BYTES:
                self._reject_answer()
        elif not self._receiver.receive_body_part(data):
            self._reject_answer()

    def _begin_answer(self, event: h11.Response) -> None:
        assert self._receiver is not None
        if isinstance(self._http._reader, ChunkedReader):
            self._http._reader = MergingChunkReader()
        headers = event.headers.raw_items()
        if event.status_code not in STATUSES:
            self._answer_begun = True
            self._reject_answer()
            return
        if self._stray_answers < MAX_STRAY_ANSWERS and self._receiver.is_stray(headers):
            self._stray_answers += 1
            self._skipping = True
            return
        self._answer_begun = True
        if not self._receiver.receive_head(event.status_code, headers):
            self._reject_answer()
            return
        self._record_keep_alive_timeout(event.headers)

    def _end_stray_answer(self) -> None:
        """Read on, as if the request had been written after the stray answer."""
        self._skipping = False
        try:
            self._http.start_next_cycle()
            self._http.send(
                h11.Request(method=self._method, target=b"/", headers=[(b"Host", b"upstream")])
            )
            self._http.send(h11.EndOfMessage())
        except h11.LocalProtocolError:  # the stray answer was the last one of the connection
            self._reject_answer()

    def _reject_answer(self) -> None:
        self._abort_exchange(ExchangeEnd.MALFORMED)

    def _record_keep_alive_timeout(self, headers: Any) -> None:
        for name, value in headers:
            if name == b"keep-alive":
                for part in value.split(b","):
                    key, _, seconds = part.strip().partition(b"=")
                    if key == b"timeout" and seconds.isdigit():
                        self.keep_alive_timeout_s = float(seconds)

    def _end_answer(self) -> None:
        trailing, _closed = self._http.trailing_data
        reusable = (
            not trailing
            and not self._unparsed
            and self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
            and not self._lost
        )
        if reusable:
            self._http.start_next_cycle()
        else:
            self._closing = True
        self._end_exchange(ExchangeEnd.COMPLETE)
        if not reusable:
            self.abort()

    def _write(self, payload: bytes) -> None:
        self._transport_or_fail().write(payload)

    def _transport_or_fail(self) -> Any:
        assert self.transport is not None
        return self.transport

    def _abort_exchange(self, end: ExchangeEnd) -> None:
        # Who waits for the exchange returns the connection to the pool at once, which keeps those
        # that are usable.
        self._closing = True
        self._end_exchange(end)
        self.abort()

    def _end_exchange(self, end: ExchangeEnd) -> None:
        done, self._exchange_done = self._exchange_done, None
        self._receiver = None
        if done is not None:
            done.callback(end)
