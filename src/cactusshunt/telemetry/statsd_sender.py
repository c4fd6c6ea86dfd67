"""Metrics by statsd, where the settings name an address."""

from __future__ import annotations

from statsd import StatsClient

PREFIX = "cactusshunt.node"


class StatsdSender:
    """Sends counters and times in one datagram at a time; a lost one is no error."""

    def __init__(self, *, host: str, port: int) -> None:
        self._pipeline = StatsClient(host=host, port=port, prefix=PREFIX).pipeline()

    @classmethod
    def from_address(cls, address: str) -> StatsdSender | None:
        """Return a sender to ``HOST:PORT``, ``None`` for an empty address."""
        if not address:
            return None
        host, _, port = address.rpartition(":")
        return cls(host=host, port=int(port))

    def count(self, name: str) -> None:
        """Add one to a counter."""
        self._pipeline.incr(name)

    def time(self, name: str, ms: float) -> None:
        """Record a time in ms."""
        self._pipeline.timing(name, ms)

    def flush(self) -> None:
        """Send what was collected."""
        self._pipeline.send()
