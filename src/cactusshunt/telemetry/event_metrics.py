"""Counts the log's events: what happened to requests, engines, orders and the store."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from prometheus_client import Counter
from prometheus_client import Histogram

if TYPE_CHECKING:
    from prometheus_client import CollectorRegistry

    from cactusshunt.tasks.metrics import Metrics

PREFIX = "cactusshunt"
MOST_ROUTES = 64  # named one by one; a configuration may have thousands
SECONDS = (0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)  # an objective is 0.2 to 4 s
LOAD_SECONDS = (0.1, 0.3, 0.6, 1.0, 1.5, 2.5, 4.0, 6.0, 10.0, 20.0)  # loads take 0.6 s to 10 s
OTHER = "other"


class EventMetrics:
    """Observer of the log; ``take`` is called for every event, written or not."""

    def __init__(self, *, registry: CollectorRegistry, statsd: Metrics | None = None) -> None:
        self._statsd = statsd
        self._routes: set[str] = set()
        self._events = _counter(registry, "events", "Events of the log by kind.", "event")
        self._requests = _counter(
            registry,
            "requests",
            "Requests by how they ended.",
            *("route", "kind", "outcome", "reason"),
        )
        self._attempts = _counter(
            registry, "attempts", "Sends to upstreams by outcome.", "kind", "outcome"
        )
        self._orders = _counter(
            registry, "orders", "Orders to engines.", "operation", "source", "outcome"
        )
        self._store = _counter(registry, "store_calls", "Calls to the store.", "call", "result")
        self._first = _histogram(
            registry, "first_byte_seconds", "Arrival to the first byte.", SECONDS, "kind"
        )
        self._queue = _histogram(
            registry, "queue_seconds", "Arrival to the last send.", SECONDS, "kind"
        )
        self._engine = _histogram(
            registry, "upstream_seconds", "One send to its end.", SECONDS, "kind"
        )
        self._gaps = _histogram(
            registry, "stream_gap_seconds", "Longest pause within a stream.", SECONDS
        )
        self._loads = _histogram(
            registry, "load_seconds", "Order of a load to its end.", LOAD_SECONDS
        )
        self._takers = {
            "request_answered": self._take_answered,
            "request_failed": self._take_failed,
            "attempt": self._take_attempt,
            "order": self._take_order,
            "order_done": self._take_order_done,
            "store_call": self._take_store_call,
        }

    def take(self, kind: str, fields: dict[str, Any]) -> None:
        """Count one event."""
        self._events.labels(kind).inc()
        taker = self._takers.get(kind)
        if taker is not None:
            taker(fields)

    def _take_answered(self, fields: dict[str, Any]) -> None:
        kind = fields["kind"]
        status = f"{fields['status'] // 100}xx"
        self._count_request(fields, "answered", status)
        _observe_ms(self._first.labels(kind), fields["first_after_ms"])
        _observe_ms(self._queue.labels(kind), fields["queued_ms"])
        _observe_ms(self._gaps, fields["longest_gap_ms"])
        if self._statsd is not None and fields["first_after_ms"] is not None:
            self._statsd.time(f"first_byte.{kind}", fields["first_after_ms"] / 1000.0)

    def _take_failed(self, fields: dict[str, Any]) -> None:
        self._count_request(fields, "failed" if fields["ran"] else "refused", fields["reason"])

    def _count_request(self, fields: dict[str, Any], outcome: str, reason: str) -> None:
        kind = fields.get("kind", OTHER)
        route = self._bound_route(fields.get("route", OTHER))
        self._requests.labels(route, kind, outcome, reason).inc()
        if self._statsd is not None:
            self._statsd.count(f"requests.{kind}.{outcome}")

    def _take_attempt(self, fields: dict[str, Any]) -> None:
        self._attempts.labels(fields["kind"], fields["outcome"]).inc()
        _observe_ms(self._engine.labels(fields["kind"]), fields["took_ms"])

    def _take_order(self, fields: dict[str, Any]) -> None:
        operation = "load" if fields["load"] else "unload"
        self._orders.labels(operation, fields["source"], fields["outcome"]).inc()
        if self._statsd is not None:
            self._statsd.count(f"orders.{operation}")

    def _take_order_done(self, fields: dict[str, Any]) -> None:
        _observe_ms(self._loads, fields["took_ms"])

    def _take_store_call(self, fields: dict[str, Any]) -> None:
        self._store.labels(fields["call"], fields["result"]).inc()
        if self._statsd is not None:
            self._statsd.count(f"store_calls.{fields['call']}.{fields['result']}")

    def _bound_route(self, route: str) -> str:
        """Return the route's name, or one name for all beyond the bound."""
        if route in self._routes:
            return route
        if len(self._routes) >= MOST_ROUTES:
            return OTHER
        self._routes.add(route)
        return route


def _counter(registry: CollectorRegistry, name: str, text: str, *labels: str) -> Counter:
    return Counter(f"{PREFIX}_{name}", text, labels, registry=registry)


def _histogram(
    registry: CollectorRegistry, name: str, text: str, buckets: tuple[float, ...], *labels: str
) -> Histogram:
    return Histogram(f"{PREFIX}_{name}", text, labels, buckets=buckets, registry=registry)


def _observe_ms(histogram: Histogram, ms: int | None) -> None:
    if ms is not None:
        histogram.observe(ms / 1000.0)
