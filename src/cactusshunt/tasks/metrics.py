"""Metrics sent to statsd."""

from __future__ import annotations

from statsd import StatsClient

METRIC_PREFIX = "cactusshunt"


class Metrics:
    """Sends counters and durations over UDP; lost datagrams are not detected."""

    def __init__(self, *, address: str, port: int, role: str) -> None:
        self._client = StatsClient(host=address, port=port, prefix=f"{METRIC_PREFIX}.{role}")

    def count(self, name: str, amount: int = 1) -> None:
        """Increment a counter."""
        self._client.incr(name, amount)

    def time(self, name: str, elapsed_s: float) -> None:
        """Record a duration, sent in milliseconds."""
        self._client.timing(name, elapsed_s * 1000.0)
