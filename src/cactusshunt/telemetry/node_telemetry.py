"""Assembles a node's metrics from its log events and its current state."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry
from prometheus_client import ProcessCollector

from cactusshunt.node_log import event_log
from cactusshunt.platform.boot import split_address
from cactusshunt.tasks.metrics import Metrics
from cactusshunt.telemetry.event_metrics import EventMetrics
from cactusshunt.telemetry.gauges import GaugeCollector
from cactusshunt.telemetry.metrics_page import MetricsPage

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from cactusshunt.telemetry.gauges import GaugeReading


class NodeTelemetry:
    """Collects metrics from its creation on; ``page`` answers scrapes."""

    def __init__(self, *, read_gauges: Callable[[], Iterable[GaugeReading]], statsd: str) -> None:
        registry = CollectorRegistry()
        ProcessCollector(registry=registry)
        GaugeCollector(registry=registry, read=read_gauges)
        observer = EventMetrics(registry=registry, statsd=_create_statsd_client(statsd))
        event_log.observers.append(observer.record_event)
        self.page = MetricsPage(registry=registry)


def _create_statsd_client(address: str) -> Metrics | None:
    if not address:
        return None
    host, port = split_address(address)
    return Metrics(address=host, port=port, role="node")
