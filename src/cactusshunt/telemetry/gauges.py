"""Gauges that are computed from the process state when metrics are scraped."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from prometheus_client.core import GaugeMetricFamily

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from prometheus_client import CollectorRegistry
    from prometheus_client import Metric


@dataclass(frozen=True, kw_only=True)
class GaugeReading:
    """One gauge: name, help text, and values by label value; ``label`` is empty without a label."""

    name: str
    text: str
    label: str = ""
    values: dict[str, float]


class GaugeCollector:
    """Collector that calls ``read`` only when metrics are scraped."""

    def __init__(
        self, *, registry: CollectorRegistry, read: Callable[[], Iterable[GaugeReading]]
    ) -> None:
        self._read = read
        registry.register(self)

    def collect(self) -> Iterable[Metric]:
        """Return the current value of each gauge."""
        for reading in self._read():
            labels = [reading.label] if reading.label else []
            family = GaugeMetricFamily(f"cactusshunt_{reading.name}", reading.text, labels=labels)
            for label_value, value in reading.values.items():
                family.add_metric([label_value] if labels else [], value)
            yield family
