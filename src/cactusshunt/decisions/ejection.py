"""Ejection of failing upstreams, with a floor under the part of a pool that stays in use."""

from __future__ import annotations

from dataclasses import dataclass

FAILURES_TO_EJECT = 3  # failures in a row
FIRST_EJECTION_S = 1.0
LONGEST_EJECTION_S = 30.0
SMALLEST_PART_IN_USE = 0.5  # of a pool


@dataclass(frozen=True, kw_only=True)
class UpstreamHealth:
    """Failures in a row of one upstream, and until when it is left out, in Unix seconds."""

    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0


class Ejection:
    """Health of the upstreams as one entry process sees it."""

    def __init__(self) -> None:
        self._health: dict[str, UpstreamHealth] = {}

    def record_success(self, upstream: str) -> None:
        """Forget an upstream's failures."""
        self._health.pop(upstream, None)

    def record_failure(self, upstream: str, now: float) -> None:
        """Count a failure and eject the upstream after several in a row."""
        health = self._health.get(upstream, UpstreamHealth())
        failures = health.failures + 1
        if failures < FAILURES_TO_EJECT:
            self._health[upstream] = UpstreamHealth(
                failures=failures,
                ejections=health.ejections,
                ejected_until=health.ejected_until,
            )
            return
        length = min(FIRST_EJECTION_S * 2**health.ejections, LONGEST_EJECTION_S)
        self._health[upstream] = UpstreamHealth(
            failures=FAILURES_TO_EJECT - 1,
            ejections=health.ejections + 1,
            ejected_until=now + length,
        )

    def forget(self, upstream: str) -> None:
        """Drop what is known of an upstream that no longer exists."""
        self._health.pop(upstream, None)

    def filter_usable(self, upstreams: list[str], now: float) -> list[str]:
        """Return the upstreams to use; at least half of a pool, those back soonest first."""
        usable = [name for name in upstreams if self._ejected_until(name) <= now]
        needed = max(1, int(len(upstreams) * SMALLEST_PART_IN_USE)) if upstreams else 0
        if len(usable) >= needed:
            return usable
        ejected = sorted(
            (name for name in upstreams if self._ejected_until(name) > now),
            key=self._ejected_until,
        )
        return usable + ejected[: needed - len(usable)]

    def ejected(self, now: float) -> list[str]:
        """Return the upstreams that are ejected now."""
        return sorted(name for name, health in self._health.items() if health.ejected_until > now)

    def _ejected_until(self, upstream: str) -> float:
        health = self._health.get(upstream)
        return health.ejected_until if health is not None else 0.0
