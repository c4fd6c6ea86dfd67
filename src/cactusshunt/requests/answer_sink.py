"""Takes an upstream's answer: streams go on to the caller, others are kept until whole."""

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

    ``longest_gap_s`` is the longest pause between parts that were passed on.
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
        self._passed_at: float | None = None
        self.longest_gap_s = 0.0
        self._connection = connection
        self._request_id = request_id
        self._streams = streams
        self._parts: list[bytes] = []
        self._passing = False
        self.events = EventSplitter()
        self.begun = False
        self.status = 0
        self.headers: Headers = []
        self.foreign = False
        self.on_first_data: Callable[[], None] | None = None

    @property
    def body(self) -> bytes:
        """Return the body that was kept."""
        return b"".join(self._parts)

    @property
    def succeeded(self) -> bool:
        """Tell whether the upstream answered with success."""
        return 200 <= self.status < 300

    def begin(self, status: int, headers: Headers) -> bool:
        """Take the head; refuses an answer that is not the upstream's to this request."""
        self.status = status
        self.headers = headers
        self._parts = []
        self._passing = False
        answered = names.find_header(headers, names.REQUEST_ID)
        if answered is not None and answered != self._request_id:
            self.foreign = True
            return False
        if not self.succeeded:
            return True
        sealed = names.find_header(headers, names.RESPONSE_SEAL) is not None
        encoded = names.find_header(headers, names.CONTENT_ENCODING) is not None
        if not sealed or encoded or answered is None:
            self.foreign = True
            return False
        self._passing = self._streams
        return True

    def add(self, data: bytes) -> None:
        """Take a part of the body."""
        if self.on_first_data is not None:
            on_first_data, self.on_first_data = self.on_first_data, None
            on_first_data()
        if not self._passing:
            self._parts.append(data)
            return
        whole = self.events.add(data)
        if whole:
            self._pass_on(whole)

    def finish_stream(self) -> None:
        """End a stream that is whole."""
        rest = self.events.rest
        if rest:
            self.events.restart()
        self._pass_on(rest)
        self._connection.finish()

    def reset(self) -> None:
        """Forget an answer that was not whole; what was passed on stays."""
        self._parts = []
        self.status = 0
        self.foreign = False
        self.events.restart()

    def _pass_on(self, data: bytes) -> None:
        if not self.begun:
            self.begun = True
            self._connection.begin(self.status, names.select_forwarded_headers(self.headers))
        if data:
            now = self._clock()
            if self._passed_at is not None:
                self.longest_gap_s = max(self.longest_gap_s, now - self._passed_at)
            self._passed_at = now
            self._connection.write(data)
