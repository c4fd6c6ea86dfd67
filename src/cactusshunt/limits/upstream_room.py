"""Keeps requests from brittle upstreams, which fall over when they turn too many away.

Such an upstream gets no more requests at once than it has slots, over all VMs together. The VMs'
reports on their work are some tenths of a second old, so each VM may use its equal part of the
slots freely, and more only while half of the slots are free.
"""

from __future__ import annotations

import math

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cactusshunt.exceptions import HeaderValueError
from cactusshunt.node_log import log_event
from cactusshunt.platform import headers as names

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactusshunt.platform.headers import Headers
    from cactusshunt.routing.upstream import Upstream

BRITTLE_S = 3.0  # after the last answer of the service that says so
FREE_FRACTION = 0.5  # of the slots, from which on a VM may use more than its part
TURNED_AWAY_WINDOW_S = 1.0


@dataclass(frozen=True, kw_only=True)
class Brittleness:
    """How many requests a second a service's upstreams may turn away, and until when that holds."""

    turned_away_per_s: int
    ends_at: float


class UpstreamRoom:
    """Which services are brittle, and whether an upstream has room for one more request.

    Times are reactor time in seconds.
    """

    def __init__(self, *, clock: Callable[[], float], count_vms: Callable[[], int]) -> None:
        self._clock = clock
        self._count_vms = count_vms
        self._services: dict[str, Brittleness] = {}

    def record_answer(self, upstream: Upstream, headers: Headers) -> None:
        """Learn from the head of an answer whether the upstream's service is brittle."""
        try:
            per_s = names.read_brittleness(headers)
        except HeaderValueError as error:
            log_event("limit_unreadable", upstream=upstream.name, reason=error.reason)
            return
        if per_s is None:
            return
        service = upstream.entry.service
        if not self._is_brittle(service):
            log_event("brittle_named", service=service, per_s=per_s)
        self._services[service] = Brittleness(
            turned_away_per_s=per_s, ends_at=self._clock() + BRITTLE_S
        )

    def record_turned_away(self, upstream: Upstream) -> None:
        """Let a brittle upstream rest for so long that all VMs keep within what it turns away."""
        found = self._services.get(upstream.entry.service)
        if found is None or not self._is_brittle(upstream.entry.service):
            return
        vms_for_each = self._count_vms() / max(1, found.turned_away_per_s)
        rest_s = TURNED_AWAY_WINDOW_S * max(1.0, vms_for_each)
        upstream.turned_away_until = self._clock() + rest_s

    def has_room(self, upstream: Upstream) -> bool:
        """Return whether a request may be sent to an upstream, brittle or not."""
        if not self._is_brittle(upstream.entry.service):
            return True
        now = self._clock()
        if now < upstream.turned_away_until:
            return False
        slots = upstream.entry.slots
        running = upstream.total_running(now)
        own_part = max(1, math.floor(slots / self._count_vms()))
        if upstream.running < own_part:
            return running < slots
        return running < slots * FREE_FRACTION

    def _is_brittle(self, service: str) -> bool:
        found = self._services.get(service)
        return found is not None and self._clock() < found.ends_at
