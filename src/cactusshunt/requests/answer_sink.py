"""Receives an upstream's answer: forwards streams to the caller, buffers other answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusshunt.platform import headers as names
from cactusshunt.requests.event_stream import EventSplitter

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactusshunt.http1.caller_connection import CallerConnection
    from cactusshunt.platform.headers import Headers


class AnswerSink:
    """Receiver of one or, for a resumed stream, several upstreams' answers to one request.

    ``longest_gap_s`` is the longest pause between two chunks forwarded to the caller;
    ``forwarding_started`` means that the caller has received a part of the answer;
    ``mismatched`` means that the latest answer does not belong to this request.
    """

    def __init__(
        self,
        *,
        connection: CallerConnection,
        request_id: bytes | None,
        streams: bool,
        clock: Callable[[], float],
    ) -> None:
        self._clock = clock
        self._last_forwarded_at: float | None = None
        self.longest_gap_s = 0.0
        self._connection = connection
        self._request_id = request_id
        self._streams = streams
        self._chunks: list[bytes] = []
        self._is_forwarding = False
        self.events = EventSplitter()
        self.forwarding_started = False
        self.status = 0
        self.headers: Headers = []
        self.mismatched = False
        self.on_first_data: Callable[[], None] | None = None

    @property
    def body(self) -> bytes:
        """Return the buffered body."""
        return b"".join(self._chunks)

    @property
    def succeeded(self) -> bool:
        """Return whether the upstream answered with a 2xx status."""
        return 200 <= self.status < 300

    def receive_head(self, status: int, headers: Headers) -> bool:
        """Record status and headers; ``False`` if the answer does not belong to this request.

        A successful answer must have the request's id and a signature, and no content encoding.
        """
        self.status = status
        self.headers = headers
        self._chunks = []
        self._is_forwarding = False
        answered = names.find_header(headers, names.REQUEST_ID)
        if answered is not None and answered != self._request_id:
            self.mismatched = True
            return False
        if not self.succeeded:
            return True
        signed = names.find_header(headers, names.RESPONSE_SEAL) is not None
        encoded = names.find_header(headers, names.CONTENT_ENCODING) is not None
        if not signed or encoded or answered is None:
            self.mismatched = True
            return False
        self._is_forwarding = self._streams
        return True

    def receive_body_part(self, data: bytes) -> None:
        """Buffer or forward a part of the body; streams are forwarded in complete events."""
        if self.on_first_data is not None:
            on_first_data, self.on_first_data = self.on_first_data, None
            on_first_data()
        if not self._is_forwarding:
            self._chunks.append(data)
            return
        complete = self.events.add(data)
        if complete:
            self._forward(complete)

    def finish_stream(self) -> None:
        """Forward what is left of a complete stream, and end the answer."""
        incomplete = self.events.incomplete
        if incomplete:
            self.events.discard_incomplete()
        self._forward(incomplete)
        self._connection.finish()

    def reset(self) -> None:
        """Discard an incomplete answer, except for what was already forwarded."""
        self._chunks = []
        self.status = 0
        self.mismatched = False
        self.events.discard_incomplete()

    def _forward(self, data: bytes) -> None:
        if not self.forwarding_started:
            self.forwarding_started = True
            self._connection.write_head(self.status, names.select_forwarded_headers(self.headers))
        if data:
            now = self._clock()
            if self._last_forwarded_at is not None:
                self.longest_gap_s = max(self.longest_gap_s, now - self._last_forwarded_at)
            self._last_forwarded_at = now
            self._connection.write(data)
