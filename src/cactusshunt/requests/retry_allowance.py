"""Limits how many retries this VM may send.

When many requests fail at once, the retries of all VMs together stay within a ratio of the
requests in a sliding window, also when VMs restart or don't receive each other's reports.
"""

from __future__ import annotations

from collections import defaultdict
from collections import deque

SAFETY_FRACTION = 0.75  # of the deployment's limit; the rest is for VMs this one does not know yet


class RetryAllowance:
    """Counts requests and retries by service in a sliding window.

    Allows a retry for ``ratio`` of the requests, and ``spare`` retries per window for all VMs
    together, however few the requests; each VM may use an equal part of ``spare``. This part grows
    from zero during the first window, or a VM that restarts could use it twice in one window.
    """

    def __init__(self, *, ratio: float, window_s: float, spare: float, started_at: float) -> None:
        self._ratio = ratio
        self._window_s = window_s
        self._spare = spare
        self._started_at = started_at
        self._requests: dict[str, deque[float]] = defaultdict(deque)
        self._retries: dict[str, deque[float]] = defaultdict(deque)
        self._vms = 1

    def set_vm_count(self, vms: int) -> None:
        """Set the number of VMs that share the spare retries; a lower number is ignored."""
        self._vms = max(self._vms, vms)

    def count_request(self, service: str, now: float) -> None:
        """Count a caller's request."""
        times = self._requests[service]
        times.append(now)
        self._count_recent(times, now)  # forgets those before the window

    def spend(self, service: str, now: float) -> bool:
        """Use one retry; ``False`` if none is left in the window."""
        if self.remaining(service, now) < 1.0:
            return False
        self._retries[service].append(now)
        return True

    def give_back(self, service: str, spent_at: float) -> None:
        """Return a retry that was not sent, unless it has left the window."""
        retries = self._retries[service]
        if spent_at in retries:
            retries.remove(spent_at)

    def remaining(self, service: str, now: float) -> float:
        """Return how many retries are left in the window."""
        requests = self._count_recent(self._requests[service], now)
        retries = self._count_recent(self._retries[service], now)
        elapsed_fraction = min(1.0, (now - self._started_at) / self._window_s)
        allowed = SAFETY_FRACTION * (
            self._ratio * requests + elapsed_fraction * self._spare / self._vms
        )
        return allowed - retries

    def services(self) -> list[str]:
        """Return the services for which requests were counted."""
        return list(self._requests)

    def _count_recent(self, times: deque[float], now: float) -> int:
        while times and times[0] <= now - self._window_s:
            times.popleft()
        return len(times)
