"""Part that the system's own addresses have in common: small requests, answered at once."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusshunt.http1.caller_connection import RequestLimits

if TYPE_CHECKING:
    from cactusshunt.http1.caller_connection import CallerConnection

LIMITS = RequestLimits(
    header_bytes=8_192, body_bytes=1_024, header_timeout_s=2.0, idle_timeout_s=30.0
)


class InternalPage:
    """Base of handlers that keep nothing of their connections."""

    def limits(self) -> RequestLimits:
        """Return what may be sent."""
        return LIMITS

    def stopping(self) -> bool:
        """Keep connections; the process ends them."""
        return False

    def connection_opened(self, connection: CallerConnection) -> None:
        """Nothing is kept."""

    def connection_closed(self, connection: CallerConnection) -> None:
        """Nothing is kept."""
