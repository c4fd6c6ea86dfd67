"""Request bodies held in memory."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred
from twisted.internet.defer import succeed
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

if TYPE_CHECKING:
    from twisted.internet.interfaces import IConsumer


@implementer(IBodyProducer)
class BytesProducer:
    """Writes a body that is in memory; ``written`` is true once it has been written."""

    def __init__(self, *, body: bytes) -> None:
        self._body = body
        self.length = len(body)
        self.written = False

    def startProducing(self, consumer: IConsumer) -> Deferred[None]:  # noqa: N802
        """Write the whole body immediately."""
        self.written = True
        consumer.write(self._body)
        return succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing; the whole body was written already."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing; the whole body was written already."""

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing; the whole body was written already."""
