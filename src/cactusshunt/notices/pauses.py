"""Pauses that upstreams have asked for, and how requests return after them.

A pause that this VM was asked for itself binds it. One that an upstream asked another VM for is
avoided while others can take the request. After a pause one request goes first, at a moment that
differs from VM to VM, and the others follow once it has been answered.
"""

from __future__ import annotations

import time

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from collections.abc import Callable

    from cactusshunt.notices.departures import Run

# With all VMs back, each slot has been asked once in this time on average.
RETURN_INTERVAL_S = 0.3
MAX_RETURN_SPREAD_S = 5.0
TRIAL_S = 1.0  # the next request may go if the first one has no answer for so long
NEVER = float("-inf")
# A start counts as later than a pause if it is by more than clocks may differ.
MAX_CLOCK_ERROR_S = 5.0
# A pause counts for so long for another start than the one for which it was recorded.
MAX_CARRIED_PAUSE_S = 30.0


@dataclass(frozen=True, kw_only=True)
class Pause:
    """A pause of one run of an upstream.

    It binds this VM until ``binds_until`` and ends at ``ends_at``, as the upstream said it to any
    VM; this VM's first request goes from ``returns_at`` on, and ``trial_ends_at`` is until when its
    answer is awaited. ``began_at`` is when it became known, ``asked_at`` when the latest answer
    that asked for it arrived, ``asked_unix_s`` the time of day then.
    """

    run: Run
    asked_unix_s: float
    began_at: float
    asked_at: float
    binds_until: float
    ends_at: float
    returns_at: float
    trial_ends_at: float = NEVER

    def binds(self, now: float) -> bool:
        """Return whether this VM may send nothing."""
        return now < self.binds_until

    def is_over(self, now: float) -> bool:
        """Return whether the next request may go, although others have to wait for its answer."""
        return now >= max(self.returns_at, self.trial_ends_at)

    @property
    def length_s(self) -> float:
        """Return how long the pause takes, after which a caller that is refused should come back.

        All callers wait for so long, so that they come back at the pace at which they came.
        """
        return self.returns_at - self.began_at


def compute_return_spread_s(vms: int, slots: int) -> float:
    """Return the time over which the first requests of all VMs are spread after a pause."""
    return min(MAX_RETURN_SPREAD_S, RETURN_INTERVAL_S * vms / max(1, slots))


class Pauses:
    """Pauses by upstream. Times are reactor time in seconds.

    The entry in the store may lag behind the process, so that what a run asks for may be recorded
    for another run of its name. A pause therefore counts for all runs of the upstream that did not
    certainly start after it.
    """

    def __init__(self, *, rng: random.Random, unix_clock: Callable[[], float] = time.time) -> None:
        self._random = rng
        self._unix_clock = unix_clock
        self._pauses: dict[str, Pause] = {}

    @property
    def is_empty(self) -> bool:
        """Return whether no upstream has asked for a pause."""
        return not self._pauses

    def find(self, run: Run) -> Pause | None:
        """Return the pause of a run, until an answer after it shows that requests are welcome."""
        pause = self._pauses.get(run.upstream)
        if pause is None or pause.run == run:
            return pause
        started_later = run.born > (pause.asked_unix_s + MAX_CLOCK_ERROR_S) * 1000.0
        if started_later and run.born > pause.run.born:
            return None
        latest_end = pause.asked_at + MAX_CARRIED_PAUSE_S
        return replace(
            pause,
            binds_until=min(pause.binds_until, latest_end),
            ends_at=min(pause.ends_at, latest_end),
            returns_at=min(pause.returns_at, latest_end),
        )

    def list_all(self) -> dict[Run, Pause]:
        """Return all pauses."""
        return {pause.run: pause for pause in self._pauses.values()}

    def record_own(self, run: Run, seconds: float, now: float, spread_s: float) -> None:
        """Record that a run asked this VM for a pause; it prolongs another one, never shortens it.

        With 0 seconds no pause begins.
        """
        self._record(run, now + seconds, now, spread_s, binds=True)

    def record_reported(self, run: Run, ends_at: float, now: float, spread_s: float) -> None:
        """Record that a run asked another VM for a pause."""
        self._record(run, ends_at, now, spread_s, binds=False)

    def begin_trial(self, run: Run, now: float) -> None:
        """Record that a request goes to a run that has asked for a pause."""
        known = self.find(run)
        if known is not None:
            self._pauses[run.upstream] = replace(known, trial_ends_at=now + TRIAL_S)

    def record_answer(self, run: Run, sent_at: float, now: float) -> bool:
        """Record an answer that asks for no pause; return whether it ends one.

        Answers to requests that were sent before the pause say nothing about it.
        """
        known = self.find(run)
        if known is None or known.binds(now) or sent_at <= known.asked_at:
            return False
        del self._pauses[run.upstream]
        return True

    def forget(self, run: Run) -> None:
        """Forget the pause of a run that has ended."""
        self._pauses.pop(run.upstream, None)

    def _record(
        self, run: Run, ends_at: float, now: float, spread_s: float, *, binds: bool
    ) -> None:
        if ends_at <= now:
            return
        known = self.find(run)
        binds_until = max(ends_at if binds else NEVER, known.binds_until if known else NEVER)
        if known is not None and known.ends_at >= ends_at:
            ends_at, returns_at = known.ends_at, known.returns_at
        else:
            returns_at = ends_at + self._random.uniform(0.0, spread_s)
        asked_at, asked_unix_s = now, self._unix_clock()
        if known is not None and not binds:
            asked_at, asked_unix_s = known.asked_at, known.asked_unix_s
        self._pauses[run.upstream] = Pause(
            run=run,
            asked_unix_s=asked_unix_s,
            began_at=known.began_at if known is not None and now < known.ends_at else now,
            asked_at=asked_at,
            binds_until=binds_until,
            ends_at=ends_at,
            returns_at=returns_at,
        )
