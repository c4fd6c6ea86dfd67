"""Serves the metrics of a process over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import CONTENT_TYPE_LATEST
from prometheus_client import generate_latest

from cactusshunt.internal_page import InternalPage

if TYPE_CHECKING:
    from prometheus_client import CollectorRegistry

    from cactusshunt.http1.caller_connection import CallerConnection
    from cactusshunt.http1.caller_connection import ReceivedRequest

METRICS_PATH = b"/metrics"


class MetricsPage(InternalPage):
    """HTTP handler of ``/metrics``; answers 404 to other paths."""

    def __init__(self, *, registry: CollectorRegistry) -> None:
        self._registry = registry

    def handle(self, request: ReceivedRequest, connection: CallerConnection) -> None:
        """Answer with all metrics in the Prometheus text format."""
        if request.target.partition(b"?")[0] != METRICS_PATH:
            connection.answer(404, [], b"")
            return
        headers = [(b"Content-Type", CONTENT_TYPE_LATEST.encode())]
        connection.answer(200, headers, generate_latest(self._registry))
