"""Runs of engines that may have crashed while this VM's links were cut, with their requests.

A cut breaks connections to sound engines as well, so that they prove nothing by themselves: a VM
whose links work, or the engine's next start, has to.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cactusshunt.quarantine.crash_evidence import Crash
    from cactusshunt.quarantine.subject import Subject
    from cactusshunt.routing.upstream_directory import UpstreamDirectory

# Engines are back some seconds after a crash, and their entries ``ENTRY_LAG_S`` later. An end that
# comes later than that after the connection broke has another cause.
RETENTION_S = 15.0
MAX_RUNS = 256
QUESTION_INTERVAL_S = 0.5  # between two questions on one run


@dataclass(kw_only=True)
class UnprovenCrash:
    """A run whose connection broke at a time, and the subjects that it had not answered."""

    crash: Crash
    service: str
    subjects: set[Subject]
    broke_at: float
    next_question_at: float


class UnprovenCrashes:
    """Remembers runs until their crash is proven or out of the question.

    Times are reactor time in seconds.
    """

    def __init__(self, *, directory: UpstreamDirectory) -> None:
        self._directory = directory
        self._runs: OrderedDict[tuple[str, int], UnprovenCrash] = OrderedDict()

    @property
    def is_empty(self) -> bool:
        """Return whether no run is in question."""
        return not self._runs

    def add(self, crash: Crash, service: str, subjects: set[Subject], now: float) -> bool:
        """Remember a run; return whether the other VMs are to be asked about it now."""
        known = self._runs.get(crash.run)
        if known is None:
            known = UnprovenCrash(
                crash=crash,
                service=service,
                subjects=set(),
                broke_at=now,
                next_question_at=now,
            )
            self._runs[crash.run] = known
            if len(self._runs) > MAX_RUNS:
                self._runs.popitem(last=False)
        known.subjects |= subjects
        if now < known.next_question_at:
            return False
        known.next_question_at = now + QUESTION_INTERVAL_S
        return True

    def extend(self, run: tuple[str, int], subjects: set[Subject]) -> None:
        """Add subjects to a run if it is remembered."""
        known = self._runs.get(run)
        if known is not None:
            known.subjects |= subjects

    def take(self, run: tuple[str, int]) -> UnprovenCrash | None:
        """Forget a run, and return it if it was remembered."""
        return self._runs.pop(run, None)

    def take_ended(self, now: float) -> list[UnprovenCrash]:
        """Return and forget the runs whose engines have started again since.

        Those of engines that leave are forgotten: they end for that reason.
        """
        ended = []
        for run, unproven in list(self._runs.items()):
            found = self._directory.find(unproven.crash.upstream)
            if found is not None and found.entry.born > unproven.crash.born:
                ended.append(self._runs.pop(run))
            elif now >= unproven.broke_at + RETENTION_S or (found is not None and not found.ready):
                del self._runs[run]
        return ended
