"""State of the process at the moment at which its metrics are read."""

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
    """One gauge: its name, meaning, and values by the value of its one label, if it has one."""

    name: str
    text: str
    label: str = ""
    values: dict[str, float]


class GaugeCollector:
    """Collector that asks for readings only when metrics are read."""

    def __init__(
        self, *, registry: CollectorRegistry, read: Callable[[], Iterable[GaugeReading]]
    ) -> None:
        self._read = read
        registry.register(self)

    def collect(self) -> Iterable[Metric]:
        """Return the gauges as they are now."""
        for reading in self._read():
            labels = [reading.label] if reading.label else []
            family = GaugeMetricFamily(f"cactusshunt_{reading.name}", reading.text, labels=labels)
            for value_of_label, value in reading.values.items():
                family.add_metric([value_of_label] if labels else [], value)
            yield family
