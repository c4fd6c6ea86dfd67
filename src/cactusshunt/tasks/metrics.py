"""Metrics by statsd."""

from __future__ import annotations

from statsd import StatsClient

METRIC_PREFIX = "cactusshunt"


class Metrics:
    """Sends counters, gauges and times; a lost datagram is no error."""

    def __init__(self, *, address: str, port: int, role: str) -> None:
        self._client = StatsClient(host=address, port=port, prefix=f"{METRIC_PREFIX}.{role}")

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self._client.incr(name, amount)

    def time(self, name: str, elapsed_s: float) -> None:
        """Record a time, sent in ms."""
        self._client.timing(name, elapsed_s * 1000.0)
