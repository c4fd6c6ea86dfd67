"""Derives counters and histograms from the events of the node's log."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from prometheus_client import Counter
from prometheus_client import Histogram

if TYPE_CHECKING:
    from prometheus_client import CollectorRegistry

    from cactusshunt.tasks.metrics import Metrics

PREFIX = "cactusshunt"
MAX_NAMED_CUSTOMERS = 64  # bounds the label values, as for routes; deployments have 16
MAX_NAMED_ROUTES = 64  # bounds the label values; a configuration may have thousands of routes
# Latency objectives are 0.2 to 4 s.
REQUEST_BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)
LOAD_BUCKETS_S = (0.1, 0.3, 0.6, 1.0, 1.5, 2.5, 4.0, 6.0, 10.0, 20.0)  # loads take 0.6 s to 10 s
OTHER = "other"


class EventMetrics:
    """Observer of the log; ``record_event`` gets every event, also those that are not written."""

    def __init__(self, *, registry: CollectorRegistry, statsd: Metrics | None = None) -> None:
        self._statsd = statsd
        self._routes: set[str] = set()
        self._customers: set[str] = set()
        self._events = _create_counter(registry, "events", "Log events by kind.", "event")
        self._requests = _create_counter(
            registry,
            "requests",
            "Requests by outcome and reason.",
            *("route", "kind", "outcome", "reason"),
        )
        self._customer_requests = _create_counter(
            registry,
            "customer_requests",
            "Requests of customers by outcome.",
            *("customer", "outcome"),
        )
        self._attempts = _create_counter(
            registry, "attempts", "Attempts at upstreams by outcome.", "kind", "outcome"
        )
        self._second_sends = _create_counter(
            registry,
            "second_sends",
            "Second sends of requests that were late, by outcome.",
            "outcome",
        )
        self._orders = _create_counter(
            registry, "orders", "Orders to engines by outcome.", "operation", "source", "outcome"
        )
        self._store_calls = _create_counter(
            registry, "store_calls", "Calls to the store by result.", "call", "result"
        )
        self._first_byte = _create_histogram(
            registry,
            "first_byte_seconds",
            "Time from arrival to the first byte.",
            REQUEST_BUCKETS_S,
            "kind",
        )
        self._queue = _create_histogram(
            registry,
            "queue_seconds",
            "Time from arrival to the last attempt.",
            REQUEST_BUCKETS_S,
            "kind",
        )
        self._upstream = _create_histogram(
            registry, "upstream_seconds", "Duration of one attempt.", REQUEST_BUCKETS_S, "kind"
        )
        self._gaps = _create_histogram(
            registry, "stream_gap_seconds", "Longest pause in each stream.", REQUEST_BUCKETS_S
        )
        self._loads = _create_histogram(
            registry,
            "load_seconds",
            "Time from a load or unload order to its completion.",
            LOAD_BUCKETS_S,
        )
        self._recorders = {
            "request_answered": self._record_answered,
            "request_failed": self._record_failed,
            "key_unknown": self._record_unknown_key,
            "attempt": self._record_attempt,
            "second_send": self._record_second_send,
            "order": self._record_order,
            "order_done": self._record_order_done,
            "store_call": self._record_store_call,
        }

    def record_event(self, kind: str, fields: dict[str, Any]) -> None:
        """Count one event."""
        self._events.labels(kind).inc()
        record = self._recorders.get(kind)
        if record is not None:
            record(fields)

    def _record_answered(self, fields: dict[str, Any]) -> None:
        kind = fields["kind"]
        status = f"{fields['status'] // 100}xx"
        self._count_request(fields, "answered", status)
        _observe_ms(self._first_byte.labels(kind), fields["first_after_ms"])
        _observe_ms(self._queue.labels(kind), fields["queued_ms"])
        _observe_ms(self._gaps, fields["longest_gap_ms"])
        if self._statsd is not None and fields["first_after_ms"] is not None:
            self._statsd.time(f"first_byte.{kind}", fields["first_after_ms"] / 1000.0)

    def _record_failed(self, fields: dict[str, Any]) -> None:
        self._count_request(fields, "failed" if fields["ran"] else "refused", fields["reason"])

    def _record_unknown_key(self, fields: dict[str, Any]) -> None:
        self._customer_requests.labels("", "unauthorized").inc()

    def _count_request(self, fields: dict[str, Any], outcome: str, reason: str) -> None:
        kind = fields.get("kind", OTHER)
        route = _limit_label(self._routes, fields.get("route", OTHER), MAX_NAMED_ROUTES)
        self._requests.labels(route, kind, outcome, reason).inc()
        if fields.get("customer"):
            customer = _limit_label(self._customers, fields["customer"], MAX_NAMED_CUSTOMERS)
            self._customer_requests.labels(customer, outcome).inc()
        if self._statsd is not None:
            self._statsd.count(f"requests.{kind}.{outcome}")

    def _record_attempt(self, fields: dict[str, Any]) -> None:
        self._attempts.labels(fields["kind"], fields["outcome"]).inc()
        _observe_ms(self._upstream.labels(fields["kind"]), fields["took_ms"])

    def _record_second_send(self, fields: dict[str, Any]) -> None:
        self._second_sends.labels(fields["outcome"]).inc()

    def _record_order(self, fields: dict[str, Any]) -> None:
        operation = "load" if fields["load"] else "unload"
        self._orders.labels(operation, fields["source"], fields["outcome"]).inc()
        if self._statsd is not None:
            self._statsd.count(f"orders.{operation}")

    def _record_order_done(self, fields: dict[str, Any]) -> None:
        _observe_ms(self._loads, fields["took_ms"])

    def _record_store_call(self, fields: dict[str, Any]) -> None:
        self._store_calls.labels(fields["call"], fields["result"]).inc()
        if self._statsd is not None:
            self._statsd.count(f"store_calls.{fields['call']}.{fields['result']}")


def _limit_label(named: set[str], value: str, limit: int) -> str:
    """Return the label value of a name; names beyond the limit share ``OTHER``."""
    if value in named:
        return value
    if len(named) >= limit:
        return OTHER
    named.add(value)
    return value


def _create_counter(
    registry: CollectorRegistry, name: str, help_text: str, *labels: str
) -> Counter:
    return Counter(f"{PREFIX}_{name}", help_text, labels, registry=registry)


def _create_histogram(
    registry: CollectorRegistry, name: str, help_text: str, buckets: tuple[float, ...], *labels: str
) -> Histogram:
    return Histogram(f"{PREFIX}_{name}", help_text, labels, buckets=buckets, registry=registry)


def _observe_ms(histogram: Histogram, ms: int | None) -> None:
    if ms is not None:
        histogram.observe(ms / 1000.0)
