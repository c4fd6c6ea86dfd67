"""Ejection of failing upstreams; a minimum fraction of each pool always stays in use."""

from __future__ import annotations

from dataclasses import dataclass

FAILURES_TO_EJECT = 3  # consecutive failures
INITIAL_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
MIN_FRACTION_IN_USE = 0.5  # of a pool


@dataclass(frozen=True, kw_only=True)
class UpstreamHealth:
    """Consecutive failures and ejections of an upstream; ``ejected_until`` in Unix seconds."""

    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0


class Ejection:
    """Health of the upstreams as observed by one entry process."""

    def __init__(self) -> None:
        self._health: dict[str, UpstreamHealth] = {}

    def record_success(self, upstream: str) -> None:
        """Reset an upstream's failures and ejections."""
        self._health.pop(upstream, None)

    def record_failure(self, upstream: str, now: float) -> None:
        """Count a failure; eject the upstream after ``FAILURES_TO_EJECT`` consecutive ones."""
        health = self._health.get(upstream, UpstreamHealth())
        failures = health.failures + 1
        if failures < FAILURES_TO_EJECT:
            self._health[upstream] = UpstreamHealth(
                failures=failures,
                ejections=health.ejections,
                ejected_until=health.ejected_until,
            )
            return
        duration_s = min(INITIAL_EJECTION_S * 2**health.ejections, MAX_EJECTION_S)
        self._health[upstream] = UpstreamHealth(
            failures=FAILURES_TO_EJECT - 1,
            ejections=health.ejections + 1,
            ejected_until=now + duration_s,
        )

    def forget(self, upstream: str) -> None:
        """Remove the health record of an upstream that no longer exists."""
        self._health.pop(upstream, None)

    def filter_usable(self, upstreams: list[str], now: float) -> list[str]:
        """Return those not ejected; if fewer than half, also those whose ejection ends first."""
        usable = [name for name in upstreams if self._ejected_until(name) <= now]
        needed = max(1, int(len(upstreams) * MIN_FRACTION_IN_USE)) if upstreams else 0
        if len(usable) >= needed:
            return usable
        ejected = sorted(
            (name for name in upstreams if self._ejected_until(name) > now),
            key=self._ejected_until,
        )
        return usable + ejected[: needed - len(usable)]

    def ejected(self, now: float) -> list[str]:
        """Return the upstreams that are ejected now, sorted by name."""
        return sorted(name for name, health in self._health.items() if health.ejected_until > now)

    def _ejected_until(self, upstream: str) -> float:
        health = self._health.get(upstream)
        return health.ejected_until if health is not None else 0.0
