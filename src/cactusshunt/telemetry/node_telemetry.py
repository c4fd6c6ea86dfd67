"""All metrics of a node: counted from its log's events, and read from its state."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry
from prometheus_client import ProcessCollector

from cactusshunt.node_log import event_log
from cactusshunt.telemetry.event_metrics import EventMetrics
from cactusshunt.telemetry.gauges import Gauges
from cactusshunt.telemetry.metrics_page import MetricsPage
from cactusshunt.telemetry.statsd_sender import StatsdSender

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from cactusshunt.telemetry.gauges import Reading


class NodeTelemetry:
    """Observes the log from now on; ``page`` answers scrapes."""

    def __init__(self, *, read_gauges: Callable[[], Iterable[Reading]], statsd: str) -> None:
        registry = CollectorRegistry()
        ProcessCollector(registry=registry)
        Gauges(registry=registry, read=read_gauges)
        self._statsd = StatsdSender.from_address(statsd)
        observer = EventMetrics(registry=registry, statsd=self._statsd)
        event_log.observers.append(observer.take)
        self.page = MetricsPage(registry=registry)

    def flush(self) -> None:
        """Send what statsd is owed."""
        if self._statsd is not None:
            self._statsd.flush()
