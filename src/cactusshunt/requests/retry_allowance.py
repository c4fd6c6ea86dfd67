"""How often this VM may send a request once more.

Answers the load pattern "many requests fail at once": the sum over all VMs stays within a ratio of
the requests, in a sliding window, also when VMs restart or don't hear each other.
"""

from __future__ import annotations

from collections import defaultdict
from collections import deque

SAFE_PART = 0.75  # of the deployment's bound; the rest covers VMs that are not known yet


class RetryAllowance:
    """Counts requests and repeats by service in a sliding window."""

    def __init__(self, *, ratio: float, window_s: float, spare: float, started_at: float) -> None:
        self._ratio = ratio
        self._window_s = window_s
        self._spare = spare
        self._started_at = started_at
        self._requests: dict[str, deque[float]] = defaultdict(deque)
        self._repeats: dict[str, deque[float]] = defaultdict(deque)
        self._vms = 1

    def set_vm_count(self, vms: int) -> None:
        """Take the number of VMs that share the spare repeats; it never shrinks."""
        self._vms = max(self._vms, vms)

    def count_request(self, service: str, now: float) -> None:
        """Count a caller's request."""
        self._requests[service].append(now)

    def spend(self, service: str, now: float) -> bool:
        """Take one repeat; ``False`` if none is left in the window."""
        if self.remaining(service, now) < 1.0:
            return False
        self._repeats[service].append(now)
        return True

    def remaining(self, service: str, now: float) -> float:
        """Return the repeats that are left in the window."""
        requests = self._count(self._requests[service], now)
        repeats = self._count(self._repeats[service], now)
        grown = min(1.0, (now - self._started_at) / self._window_s)
        allowed = SAFE_PART * (self._ratio * requests + grown * self._spare / self._vms)
        return allowed - repeats

    def services(self) -> list[str]:
        """Return the services that requests were counted for."""
        return list(self._requests)

    def _count(self, times: deque[float], now: float) -> int:
        while times and times[0] <= now - self._window_s:
            times.popleft()
        return len(times)
