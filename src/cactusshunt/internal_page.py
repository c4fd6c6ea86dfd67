"""Common part of the internal pages (readiness, metrics): small requests, answered at once."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusshunt.http1.caller_connection import RequestLimits

if TYPE_CHECKING:
    from cactusshunt.http1.caller_connection import CallerConnection

LIMITS = RequestLimits(
    header_bytes=8_192, body_bytes=1_024, request_timeout_s=2.0, idle_timeout_s=30.0
)


class InternalPage:
    """Base of the internal pages; keeps no state about connections."""

    def limits(self) -> RequestLimits:
        """Return the limits of a request's size and time."""
        return LIMITS

    def stopping(self) -> bool:
        """Return whether connections are closed after an answer: not before the process ends."""
        return False

    def connection_opened(self, connection: CallerConnection) -> None:
        """Do nothing."""

    def connection_closed(self, connection: CallerConnection) -> None:
        """Do nothing."""
