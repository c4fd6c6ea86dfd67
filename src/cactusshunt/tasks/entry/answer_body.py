"""Readers of upstream answers: complete bodies, and event streams forwarded as they arrive."""

from __future__ import annotations

import re

from enum import Enum
from typing import TYPE_CHECKING
from typing import cast

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol
from twisted.web.client import ResponseDone
from twisted.web.iweb import UNKNOWN_LENGTH

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.base import ReactorBase
    from twisted.internet.interfaces import IDelayedCall
    from twisted.internet.interfaces import IPushProducer
    from twisted.python.failure import Failure
    from twisted.web.client import Response

EVENT_END = b"\n\n"
STREAM_END = b"data: [DONE]\n\n"
_EVENT_ID = re.compile(rb"^id: ?(\d+)$", re.MULTILINE)


class BodyEnd(Enum):
    """How reading an answer ended."""

    COMPLETE = "complete"
    BROKEN = "broken"
    SILENT = "silent"
    TOO_LARGE = "too_large"
    CANCELLED = "cancelled"


class AnswerReader(Protocol):
    """Base class of the readers; aborts an answer whose upstream stays silent for too long.

    ``ended`` fires once with a ``BodyEnd``. ``silence_timeout_s`` is the longest time between bytes
    while reading is not paused.
    """

    def __init__(self, *, reactor: ReactorBase, silence_timeout_s: float) -> None:
        self._reactor = reactor
        self._silence_timeout_s = silence_timeout_s
        self._last_received_at = reactor.seconds()
        self._paused = False
        self._silence_timer: IDelayedCall | None = reactor.callLater(
            silence_timeout_s, self._check_silence
        )
        self.ended: Deferred[BodyEnd] = Deferred()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Record that the upstream is not silent, and process the bytes."""
        self._last_received_at = self._reactor.seconds()
        self.receive(data)

    def receive(self, data: bytes) -> None:
        """Process received bytes; subclasses implement this."""
        raise NotImplementedError

    def is_complete(self, reason: Failure) -> bool:
        """Return whether the whole answer has arrived; subclasses implement this."""
        raise NotImplementedError

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        """Finish when the body ends or the connection is lost."""
        complete = reason is not None and self.is_complete(reason)
        self.finish(BodyEnd.COMPLETE if complete else BodyEnd.BROKEN)

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop reading while the caller reads more slowly than the upstream sends."""
        self._paused = True
        producer = cast("IPushProducer | None", self.transport)
        if producer is not None:
            producer.pauseProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume reading and restart the silence timeout."""
        self._paused = False
        self._last_received_at = self._reactor.seconds()
        producer = cast("IPushProducer | None", self.transport)
        if producer is not None:
            producer.resumeProducing()

    def stopProducing(self) -> None:  # noqa: N802
        """Abort the answer, because the caller disconnected."""
        self.cancel(BodyEnd.CANCELLED)

    def cancel(self, end: BodyEnd) -> None:
        """Finish with the given result and abort the upstream connection."""
        if self.ended.called:
            return
        self.finish(end)
        if self.transport is not None:
            abort = getattr(self.transport, "abortConnection", self.transport.loseConnection)
            abort()

    def finish(self, end: BodyEnd) -> None:
        """Stop the silence check and fire ``ended``, on the first call only."""
        if self._silence_timer is not None and self._silence_timer.active():
            self._silence_timer.cancel()
        self._silence_timer = None
        if not self.ended.called:
            self.ended.callback(end)

    def _check_silence(self) -> None:
        left = self._last_received_at + self._silence_timeout_s - self._reactor.seconds()
        if left > 0 or self._paused:
            self._silence_timer = self._reactor.callLater(max(left, 1.0), self._check_silence)
            return
        self.cancel(BodyEnd.SILENT)


class BodyCollector(AnswerReader):
    """Collects a complete body; ends with ``TOO_LARGE`` above ``limit`` bytes."""

    def __init__(
        self, *, reactor: ReactorBase, silence_timeout_s: float, limit: int, response: Response
    ) -> None:
        super().__init__(reactor=reactor, silence_timeout_s=silence_timeout_s)
        self._limit_bytes = limit
        self._content_length: object = response.length
        self._parts: list[bytes] = []
        self._size_bytes = 0

    @property
    def body(self) -> bytes:
        """Return the bytes that have arrived."""
        return b"".join(self._parts)

    def receive(self, data: bytes) -> None:
        """Append bytes to the body."""
        self._parts.append(data)
        self._size_bytes += len(data)
        if self._size_bytes > self._limit_bytes:
            self.cancel(BodyEnd.TOO_LARGE)

    def is_complete(self, reason: Failure) -> bool:
        """Return whether all bytes of the Content-Length, or the last chunk, have arrived."""
        if not reason.check(ResponseDone):
            return False
        return self._content_length is UNKNOWN_LENGTH or self._content_length == self._size_bytes


class EventStream(AnswerReader):
    """Forwards complete server-sent events, never a part of one."""

    def __init__(
        self, *, reactor: ReactorBase, silence_timeout_s: float, write: Callable[[bytes], None]
    ) -> None:
        super().__init__(reactor=reactor, silence_timeout_s=silence_timeout_s)
        self._write = write
        self._partial_event = b""
        self._last_batch = b""
        self._end_mark_received = False
        self.events = 0

    @property
    def last_event_id(self) -> str | None:
        """Return the last event id in the last forwarded batch of events."""
        found = _EVENT_ID.findall(self._last_batch)
        return found[-1].decode() if found else None

    def receive(self, data: bytes) -> None:
        """Forward all complete events and keep the incomplete rest."""
        if self._partial_event:
            data = self._partial_event + data
        end = data.rfind(EVENT_END)
        if end < 0:
            self._partial_event = data
            return
        end += len(EVENT_END)
        events, self._partial_event = data[:end], data[end:]
        self.events += events.count(EVENT_END)
        if events.endswith(STREAM_END):
            self._end_mark_received = True
        # A batch that is only the end mark has no event id.
        if len(events) > len(STREAM_END) or not self._end_mark_received:
            self._last_batch = events
        self._write(events)

    def is_complete(self, reason: Failure) -> bool:
        """Return whether the stream's end mark has arrived, with nothing after it."""
        del reason
        return self._end_mark_received and not self._partial_event
