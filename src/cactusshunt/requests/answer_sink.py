"""Receives an upstream's answer: forwards streams to the caller, buffers other answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusshunt.http1.memory_budget import MemoryBudget
from cactusshunt.http1.memory_budget import Reservation
from cactusshunt.http1.source_gate import PauseReason
from cactusshunt.platform import headers as names
from cactusshunt.requests.event_stream import EventSplitter

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactusshunt.http1.caller_connection import CallerConnection
    from cactusshunt.platform.headers import Headers


MAX_BUFFERED_BYTES = 16_777_216  # of an answer that is no stream; four times callers' bodies
MAX_HELD_BYTES = 65_536  # of events that wait for their release; beyond it reading is paused
MAX_EVENT_BYTES = 1_048_576  # events hold a few tokens; a longer one is bytes without end


class AnswerSink:
    """Receiver of one or, for a resumed stream, several upstreams' answers to one request.

    ``longest_gap_s`` is the longest pause between two chunks forwarded to the caller;
    ``forwarding_started`` means that the caller has received a part of the answer;
    ``identified`` means that the latest answer has the request's id; ``unfinished`` that a stream
    ended inside an event, or that an answer that should go on with it brought no event;
    ``rejected`` means that ``receive_head`` rejected the latest answer; ``on_head`` is called when
    it accepted one with the request's id, ``on_begin`` before the first part is forwarded.
    ``extra_headers`` are added to the answer. With ``waits_past_strays`` an answer to an earlier
    request is passed over, and ``on_stray`` called.
    """

    def __init__(
        self,
        *,
        connection: CallerConnection,
        request_id: bytes | None,
        streams: bool,
        clock: Callable[[], float],
        budget: MemoryBudget | None = None,
    ) -> None:
        self._clock = clock
        self._memory = Reservation(budget or MemoryBudget())
        self._last_forwarded_at: float | None = None
        self.longest_gap_s = 0.0
        self._connection = connection
        self._request_id = request_id
        self._streams = streams
        self._buffered = bytearray()  # not a list: chunks of a byte would take 40 each
        self._forwards_body = False
        self._content_type = b""  # of the answer of which the caller has a part
        self._resumes = False  # the latest answer should go on with a stream
        self._events_before = 0
        self.events = EventSplitter()
        self.forwarding_started = False
        self.status = 0
        self.headers: Headers = []
        self.rejected = False
        self.identified = False
        self.on_first_byte: Callable[[], None] | None = None
        self.on_head: Callable[[], None] = lambda: None
        self.on_begin: Callable[[], None] = lambda: None
        self.waits_past_strays = False
        self.on_stray: Callable[[], None] = lambda: None
        self.extra_headers: Headers = []
        self._hold = 0  # number of the latest hold
        self._holds = False
        self._held = bytearray()
        self._finish_due = False

    @property
    def body(self) -> bytes:
        """Return the buffered body."""
        return bytes(self._buffered)

    @property
    def succeeded(self) -> bool:
        """Return whether the upstream answered with a 2xx status."""
        return 200 <= self.status < 300

    @property
    def unfinished(self) -> bool:
        """Return whether a stream's latest answer cannot be its end."""
        brought_nothing = self._resumes and self.events.count == self._events_before
        return bool(self.events.incomplete_bytes) or brought_nothing

    def is_stray(self, headers: Headers) -> bool:
        """Return whether to wait for another answer, since this one belongs to an earlier request.

        Only requests that may run once wait; others are better sent again.
        """
        if not self.waits_past_strays or not self._request_id:
            return False
        if names.find_header(headers, names.REQUEST_ID) == self._request_id:
            return False
        self.on_stray()
        return True

    def receive_head(self, status: int, headers: Headers) -> bool:
        """Record status and headers; ``False`` if the answer is rejected.

        An answer with another request's id is rejected, and a successful answer without an id or a
        signature, with a content encoding, or of another type than the stream that it goes on with.
        """
        self.status = status
        self.headers = headers
        self._buffered = bytearray()
        self._forwards_body = False
        answered = names.find_header(headers, names.REQUEST_ID)
        self.identified = answered is not None and answered == self._request_id
        if answered is not None and answered != self._request_id:
            self.rejected = True
            return False
        if not self.succeeded:
            if self.identified:
                self.on_head()
            return True
        signed = names.find_header(headers, names.RESPONSE_SEAL) is not None
        encoded = names.find_header(headers, names.CONTENT_ENCODING) is not None
        content_type = names.read_content_type(headers)
        other_type = self._resumes and content_type != self._content_type
        if not signed or encoded or answered is None or other_type:
            self.rejected = True
            return False
        self._forwards_body = self._streams
        self.on_head()
        return True

    def receive_body_part(self, data: bytes) -> bool:
        """Buffer or forward a part of the body; streams are forwarded in complete events.

        ``False`` if the body, or an event, exceeds the memory that one answer may take.
        """
        if self.on_first_byte is not None:
            on_first_byte, self.on_first_byte = self.on_first_byte, None
            on_first_byte()
        if not self._forwards_body:
            self._buffered += data
            fits = self._memory.resize(len(self._buffered))
            return self._keep_if(fits and len(self._buffered) <= MAX_BUFFERED_BYTES)
        complete = self.events.add(data, in_order=self._resumes)
        if complete is None:
            self.rejected = True
            return False
        if complete:
            self._forward(complete)
        fits = self._memory.resize(self.events.incomplete_bytes)
        return self._keep_if(fits and self.events.incomplete_bytes <= MAX_EVENT_BYTES)

    def _keep_if(self, fits: bool) -> bool:
        """Reject an answer that is too large, and drop what was kept of it."""
        if not fits:
            self.rejected = True
            self._buffered = bytearray()
            self.events.discard_incomplete()
            self.release_memory()
        return fits

    def release_memory(self) -> None:
        """Give back what the latest answer takes, as it is answered or discarded."""
        self._memory.release()

    def hold_events(self) -> int:
        """Hold the first events back, and return a number to release them with."""
        self._hold += 1
        self._holds = True
        return self._hold

    @property
    def holds_events(self) -> bool:
        """Return whether events are held back."""
        return self._holds

    def is_holding(self, hold: int) -> bool:
        """Return whether events are held back, and no other hold has begun since."""
        return self._holds and hold == self._hold

    def release_events(self, hold: int) -> None:
        """Forward what was held back, unless another hold has begun since."""
        if not self.is_holding(hold):
            return
        self._holds = False
        self._connection.gate.open(PauseReason.EVENTS_HELD)
        held, self._held = self._held, bytearray()
        if held:
            self._forward(bytes(held))
        if self._finish_due:
            self.finish_stream()

    def drop_held(self) -> None:
        """Discard what is held back, because the request is answered otherwise."""
        if self._holds:
            self._connection.gate.open(PauseReason.EVENTS_HELD)
        self._holds = self._finish_due = False
        self._held = bytearray()

    def finish_stream(self) -> None:
        """End the answer, after forwarding bytes that follow the last complete event, if any."""
        if self._holds:
            self._finish_due = True
            return
        incomplete = self.events.incomplete
        if incomplete:
            self.events.discard_incomplete()
        self._forward(incomplete)
        self._connection.finish()

    def reset(self) -> None:
        """Discard an incomplete answer, except for what was already forwarded."""
        self._buffered = bytearray()
        self.release_memory()
        self.status = 0
        self.rejected = False
        self.identified = False
        self._resumes = self.forwarding_started
        self.events.discard_incomplete()
        self._events_before = self.events.count
        if self._held:
            self.events = EventSplitter()
        self.drop_held()

    def _forward(self, data: bytes) -> None:
        if self._holds:
            self._held += data
            if len(self._held) > MAX_HELD_BYTES:
                self._connection.gate.close(PauseReason.EVENTS_HELD)
            return
        if not self.forwarding_started:
            self.forwarding_started = True
            self._content_type = names.read_content_type(self.headers)
            self.on_begin()
            forwarded = names.select_forwarded_headers(self.headers)
            self._connection.write_head(self.status, [*forwarded, *self.extra_headers])
        if data:
            now = self._clock()
            if self._last_forwarded_at is not None:
                self.longest_gap_s = max(self.longest_gap_s, now - self._last_forwarded_at)
            self._last_forwarded_at = now
            self._connection.write(data)
