"""The latest request limit of each upstream, from this VM's answers and from peers' reports.

Each observation replaces an older one, whoever made it, so that all VMs arrive at the same limit.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace

# An upstream may name its limit in some answers only. It counts as lifted when an answer comes
# without it this long after the last one with it: one window over which upstreams count requests,
# and the time in which peers report an answer with it.
LIMIT_RETENTION_S = 5.0
# The least rate at which requests are sent, in requests a second: one in a window of 4 s. Without
# any answer a lifted limit would never be noticed.
MIN_LIMIT_PER_S = 0.25


@dataclass(frozen=True, kw_only=True)
class KnownLimit:
    """An upstream's limit in requests a second from all VMs, ``None`` once it was lifted.

    ``born`` identifies the start of the upstream's process, ``observed_at`` is the time of the
    latest answer that confirms the value, ``known_since`` when this VM learned it, ``source`` the
    VM that got the answer. Times are reactor time in seconds.
    """

    born: int
    per_s: float | None
    observed_at: float
    known_since: float
    source: str

    @property
    def rate_per_s(self) -> float:
        """Return the rate at which requests may be sent; only for a limit that holds."""
        assert self.per_s is not None
        return max(MIN_LIMIT_PER_S, self.per_s)


class LimitRegister:
    """Known limits by upstream name."""

    def __init__(self, *, vm: str) -> None:
        self._vm = vm
        self._limits: dict[str, KnownLimit] = {}

    def find(self, upstream: str) -> KnownLimit | None:
        """Return the limit that holds for an upstream, ``None`` if there is none."""
        known = self._limits.get(upstream)
        return known if known is not None and known.per_s is not None else None

    def list_all(self) -> dict[str, KnownLimit]:
        """Return all limits that hold, by upstream."""
        return {name: known for name, known in self._limits.items() if known.per_s is not None}

    def read_latest(self, upstream: str) -> KnownLimit | None:
        """Return the latest observation, also one that the limit was lifted."""
        return self._limits.get(upstream)

    def record_answer(self, upstream: str, born: int, per_s: float | None, now: float) -> bool:
        """Record an answer that names a limit, or none; return whether the limit changed."""
        known = self._limits.get(upstream)
        if known is not None and known.born != born:
            known = None
            del self._limits[upstream]
        if per_s is None and (
            known is None or known.per_s is None or now - known.observed_at < LIMIT_RETENTION_S
        ):
            return False
        return self._record(
            upstream,
            KnownLimit(born=born, per_s=per_s, observed_at=now, known_since=now, source=self._vm),
        )

    def apply_report(self, upstream: str, reported: KnownLimit) -> bool:
        """Apply a peer's observation unless a later one is known; return whether it changed."""
        known = self._limits.get(upstream)
        if (
            known is not None
            and known.born == reported.born
            and known.observed_at >= reported.observed_at
        ):
            return False
        return self._record(upstream, reported)

    def forget(self, upstream: str) -> None:
        """Forget an upstream that has left or was restarted."""
        self._limits.pop(upstream, None)

    def _record(self, upstream: str, found: KnownLimit) -> bool:
        known = self._limits.get(upstream)
        if known is not None and known.born == found.born and known.per_s == found.per_s:
            self._limits[upstream] = replace(known, observed_at=found.observed_at)
            return False
        self._limits[upstream] = found
        return found.per_s is not None or known is not None
