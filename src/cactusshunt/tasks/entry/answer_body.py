"""Reading of upstreams' answers: whole bodies, and event streams passed on as they come."""

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

    WHOLE = "whole"
    BROKEN = "broken"
    SILENT = "silent"
    TOO_LARGE = "too_large"
    CANCELLED = "cancelled"


class AnswerReader(Protocol):
    """Base of the readers; ends an answer that stays silent for too long.

    ``ended`` fires once with a ``BodyEnd``. ``silence_s`` is the longest time between bytes.
    """

    def __init__(self, *, reactor: ReactorBase, silence_s: float) -> None:
        self._reactor = reactor
        self._silence_s = silence_s
        self._heard_at = reactor.seconds()
        self._paused = False
        self._check: IDelayedCall | None = reactor.callLater(silence_s, self._check_silence)
        self.ended: Deferred[BodyEnd] = Deferred()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take bytes as they come."""
        self._heard_at = self._reactor.seconds()
        self.take(data)

    def take(self, data: bytes) -> None:
        """Take bytes; for the readers to define."""
        raise NotImplementedError

    def is_whole(self, reason: Failure) -> bool:
        """Tell whether the answer ended as it should."""
        raise NotImplementedError

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        """Take the end of the body."""
        whole = reason is not None and self.is_whole(reason)
        self.finish(BodyEnd.WHOLE if whole else BodyEnd.BROKEN)

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop reading while the caller does not keep up."""
        self._paused = True
        producer = cast("IPushProducer | None", self.transport)
        if producer is not None:
            producer.pauseProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        """Read on."""
        self._paused = False
        self._heard_at = self._reactor.seconds()
        producer = cast("IPushProducer | None", self.transport)
        if producer is not None:
            producer.resumeProducing()

    def stopProducing(self) -> None:  # noqa: N802
        """Stop, because the caller left."""
        self.cancel(BodyEnd.CANCELLED)

    def cancel(self, end: BodyEnd) -> None:
        """Close the connection and end with the given result."""
        if self.ended.called:
            return
        self.finish(end)
        if self.transport is not None:
            abort = getattr(self.transport, "abortConnection", self.transport.loseConnection)
            abort()

    def finish(self, end: BodyEnd) -> None:
        """End once."""
        if self._check is not None and self._check.active():
            self._check.cancel()
        self._check = None
        if not self.ended.called:
            self.ended.callback(end)

    def _check_silence(self) -> None:
        left = self._heard_at + self._silence_s - self._reactor.seconds()
        if left > 0 or self._paused:
            self._check = self._reactor.callLater(max(left, 1.0), self._check_silence)
            return
        self.cancel(BodyEnd.SILENT)


class WholeBody(AnswerReader):
    """Collects a whole body up to a limit in bytes."""

    def __init__(
        self, *, reactor: ReactorBase, silence_s: float, limit: int, response: Response
    ) -> None:
        super().__init__(reactor=reactor, silence_s=silence_s)
        self._limit = limit
        self._expected: object = response.length
        self._parts: list[bytes] = []
        self._size = 0

    @property
    def body(self) -> bytes:
        """Return what was read."""
        return b"".join(self._parts)

    def take(self, data: bytes) -> None:
        """Collect bytes."""
        self._parts.append(data)
        self._size += len(data)
        if self._size > self._limit:
            self.cancel(BodyEnd.TOO_LARGE)

    def is_whole(self, reason: Failure) -> bool:
        """Tell whether the length that was announced, or the last chunk, has come."""
        if not reason.check(ResponseDone):
            return False
        return self._expected is UNKNOWN_LENGTH or self._expected == self._size


class EventStream(AnswerReader):
    """Passes on whole server-sent events, never a part of one."""

    def __init__(
        self, *, reactor: ReactorBase, silence_s: float, write: Callable[[bytes], None]
    ) -> None:
        super().__init__(reactor=reactor, silence_s=silence_s)
        self._write = write
        self._rest = b""
        self._last = b""
        self._done = False
        self.events = 0

    @property
    def last_event_id(self) -> str | None:
        """Return the identity of the last event that was passed on."""
        found = _EVENT_ID.findall(self._last)
        return found[-1].decode() if found else None

    def take(self, data: bytes) -> None:
        """Pass on all events that are complete."""
        if self._rest:
            data = self._rest + data
        end = data.rfind(EVENT_END)
        if end < 0:
            self._rest = data
            return
        end += len(EVENT_END)
        events, self._rest = data[:end], data[end:]
        self.events += events.count(EVENT_END)
        if events.endswith(STREAM_END):
            self._done = True
        if len(events) > len(STREAM_END) or not self._done:
            self._last = events
        self._write(events)

    def is_whole(self, reason: Failure) -> bool:
        """Tell whether the stream's own end mark has come."""
        del reason
        return self._done and not self._rest
