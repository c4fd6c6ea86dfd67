"""Pauses the reading of an answer while its receiver cannot take more of it."""

from __future__ import annotations

import enum
import math

from typing import TYPE_CHECKING
from typing import Protocol as Interface

from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer

if TYPE_CHECKING:
    from collections.abc import Callable


# Shortest total of a source's pauses that may be the cause of its end: upstreams close connections
# that are not read for some seconds, and shorter pauses are usual.
MIN_UNREAD_S = 1.0
# For this long after a pause it may still be the cause: what had arrived before the end is read and
# written first.
UNREAD_NOTICE_S = 1.0


class PauseReason(enum.Enum):
    """Why nothing more is read from the source."""

    CALLER_FULL = "the caller does not read what was written"
    EVENTS_HELD = "events are held back"


class Source(Interface):
    """What is read from, usually the connection to an upstream."""

    def pause_reading(self) -> None:
        """Read nothing more for now; the peer's writes then wait."""

    def resume_reading(self) -> None:
        """Read on."""


@implementer(IPushProducer)
class SourceGate:
    """Lets a source be read while there is no reason against it.

    It is the producer of the caller's transport, which pauses it when its buffer is full.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._source: Source | None = None
        self._reasons: set[PauseReason] = set()
        self._paused_since: float | None = None
        self._paused_s = 0.0  # in all earlier pauses of the source
        self._resumed_at = -math.inf

    @property
    def is_full(self) -> bool:
        """Return whether the caller's transport has enough to write."""
        return PauseReason.CALLER_FULL in self._reasons

    def attach(self, source: Source) -> None:
        """Control the reading from a source."""
        self._source = source
        self._paused_s = 0.0
        self._paused_since = None
        if self._reasons:
            self._pause(source)

    def detach(self, source: Source) -> None:
        """Leave a source, which is read again.

        One that was replaced is not controlled any more: a request that was answered at its
        deadline may end after the next one on the caller's connection has begun.
        """
        if source is not self._source:
            return
        self._source = None
        if self._reasons:
            self._resume(source)

    def was_unread(self) -> bool:
        """Return whether the latest source may have ended because it was not read for so long."""
        now = self._clock()
        paused_s = self._paused_s
        if self._paused_since is not None:
            paused_s += now - self._paused_since
        elif now - self._resumed_at > UNREAD_NOTICE_S:
            return False
        return paused_s >= MIN_UNREAD_S

    def close(self, reason: PauseReason) -> None:
        """Pause the reading."""
        if not self._reasons and self._source is not None:
            self._pause(self._source)
        self._reasons.add(reason)

    def open(self, reason: PauseReason) -> None:
        """Read on, unless there is another reason against it."""
        if reason not in self._reasons:
            return
        self._reasons.discard(reason)
        if not self._reasons and self._source is not None:
            self._resume(self._source)

    def _pause(self, source: Source) -> None:
        self._paused_since = self._clock()
        source.pause_reading()

    def _resume(self, source: Source) -> None:
        now = self._clock()
        if self._paused_since is not None:
            self._paused_s += now - self._paused_since
        self._paused_since = None
        self._resumed_at = now
        source.resume_reading()

    def pauseProducing(self) -> None:  # noqa: N802
        """Pause, as the caller's transport has enough to write."""
        self.close(PauseReason.CALLER_FULL)

    def resumeProducing(self) -> None:  # noqa: N802
        """Read on, as the caller's transport has written everything."""
        self.open(PauseReason.CALLER_FULL)

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing, as the request is told that its caller left."""


@implementer(IPushProducer)
class WrittenNotice:
    """Calls a function when a transport's buffer is full, and one once it is written."""

    def __init__(self, note_full: Callable[[], None], note_written: Callable[[], None]) -> None:
        self._note_full = note_full
        self._note_written = note_written

    def pauseProducing(self) -> None:  # noqa: N802
        """Tell that the buffer is full."""
        self._note_full()

    def resumeProducing(self) -> None:  # noqa: N802
        """Tell that everything was written."""
        self._note_written()

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing, as the connection's end is told otherwise."""
