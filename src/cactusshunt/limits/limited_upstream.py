"""One limited upstream as this VM uses it: permits, waiting requests, and when there are more."""

from __future__ import annotations

from bisect import bisect_left
from bisect import insort
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cactusshunt.permits.permit_pool import PermitPool

if TYPE_CHECKING:
    from cactusshunt.limits.limit_register import KnownLimit
    from cactusshunt.membership.messages import UpstreamPermits
    from cactusshunt.permits.permit_pool import Permit

Place = tuple[int, int]
# The wait assumed if the issuer did not report for GRANT_MAX_AGE_S: that of two datagrams.
USUAL_ANSWER_S = 0.01
GRANT_MAX_AGE_S = 1.5
IDLE_ISSUER_MAX_AGE_S = 0.3  # of an answer that the issuer has too few shares so far
UNKNOWN_WAIT_S = 1e9  # while no issuer may be asked, or none issues permits
NO_ISSUER_RETURN_S = 2.0  # within which another issuer has this VM's share
RETURN_HORIZON_S = 30.0  # callers are not told to return later; few would


@dataclass(kw_only=True)
class LimitUsage:
    """Requests of this VM since the last log line, and in total since the limit became known.

    ``held_back`` counts choices that left the upstream out or waited for lack of a permit.
    """

    sent: int = 0
    held_back: int = 0
    refused: int = 0
    sent_total: int = 0
    held_back_total: int = 0
    refused_total: int = 0

    def count_sent(self) -> None:
        """Count a request that was sent."""
        self.sent += 1
        self.sent_total += 1

    def count_held_back(self) -> None:
        """Count a choice without a permit."""
        self.held_back += 1
        self.held_back_total += 1

    def count_refused(self) -> None:
        """Count a request that was refused."""
        self.refused += 1
        self.refused_total += 1

    def begin_interval(self) -> None:
        """Begin the interval of the next log line."""
        self.sent = self.held_back = self.refused = 0


class LimitedUpstream:
    """Mutable record of a limited upstream; times are reactor time in seconds."""

    limit: KnownLimit

    def __init__(self, *, name: str) -> None:
        self.name = name
        self.pool = PermitPool()
        # priority and number of each waiting request, in the order in which they get permits
        self._waiting: list[Place] = []
        self._last_number = 0
        self.usage = LimitUsage()
        self.issuer: str | None = None
        self._demand_due_at = 0.0
        self._sent_waiting = 0
        self._answer: tuple[float, UpstreamPermits] | None = None
        self._next_return_at = 0.0

    def is_due(self, now: float) -> bool:
        """Return whether demand or the share has to be sent again."""
        return now >= self._demand_due_at

    def has_other_demand(self) -> bool:
        """Return whether more or fewer requests wait than the issuer was told."""
        return len(self._waiting) != self._sent_waiting

    def has_answer_since(self, at: float) -> bool:
        """Return whether the issuer answered after ``at``."""
        return self._answer is not None and self._answer[0] > at

    def begin_wait(self, priority: int) -> Place:
        """Add a waiting request, and return its place for ``end_wait``."""
        self._last_number += 1
        place = (priority, self._last_number)
        insort(self._waiting, place)
        return place

    def end_wait(self, place: Place) -> None:
        """Remove a waiting request, if the limit is the one for which it began to wait."""
        if place in self._waiting:
            self._waiting.remove(place)

    def read_waiting(self) -> dict[int, int]:
        """Return the requests that wait for permits, by priority."""
        return dict(Counter(priority for priority, _ in self._waiting))

    def record_sent(self, due_at: float) -> None:
        """Record that the demand was sent; it is due again at ``due_at``."""
        self._sent_waiting = len(self._waiting)
        self._demand_due_at = due_at

    def postpone(self, due_at: float) -> None:
        """Record that no issuer can be asked until ``due_at``."""
        self._demand_due_at = due_at
        self._answer = None

    def apply_permits(self, permits: UpstreamPermits, *, ends_at: float, now: float) -> None:
        """Add permits, and keep what determines when there are more."""
        self._answer = (now, permits)
        self._sent_waiting = max(0, self._sent_waiting - permits.count)
        if now < ends_at:
            self.pool.add(permits.count, ends_at)

    def take_permit(self, priority: int, place: Place | None, now: float) -> Permit | None:
        """Take a permit, unless requests that wait before this one need those at hand.

        ``place`` is that of a waiting request, ``None`` for a new one.
        """
        if self.pool.count(now) <= self._count_before(priority, place):
            return None
        return self.pool.take(self.name, now)

    def estimate_wait_s(self, priority: int, place: Place | None, now: float) -> float:
        """Return how long a request probably waits for a permit, 0 if there is one."""
        before = self._count_before(priority, place)
        if self.pool.count(now) > before:
            return 0.0
        if self.issuer is None:
            return UNKNOWN_WAIT_S
        if self._answer is None:
            return USUAL_ANSWER_S
        answered_at, answer = self._answer
        max_age_s = GRANT_MAX_AGE_S if answer.per_s > 0.0 else IDLE_ISSUER_MAX_AGE_S
        if now - answered_at >= max_age_s:
            return USUAL_ANSWER_S
        if answer.per_s <= 0.0:
            return UNKNOWN_WAIT_S
        ahead = before + sum(
            count for other, count in answer.waiting_elsewhere.items() if other <= priority
        )
        ready_at = answered_at + (ahead + 1.0 - answer.saved) / answer.per_s
        return max(USUAL_ANSWER_S, ready_at - now)

    def plan_return_s(self, wanted_s: float, now: float) -> float:
        """Return after how many seconds a refused caller should return, at least ``wanted_s``.

        Callers get successive times at this VM's part of the rate, or all would return at once.
        """
        interval_s = 1.0 / self.limit.rate_per_s
        if self._answer is not None and self._answer[1].per_s > 0.0:
            interval_s = max(1, self._answer[1].asking_vms) / self._answer[1].per_s
        if wanted_s >= UNKNOWN_WAIT_S / 2.0:
            wanted_s = NO_ISSUER_RETURN_S
        earliest_at = max(now + wanted_s, self._next_return_at)
        return_at = min(earliest_at, now + RETURN_HORIZON_S)
        self._next_return_at = return_at + interval_s
        return return_at - now

    @property
    def waiting(self) -> int:
        """Return how many requests wait for permits."""
        return len(self._waiting)

    @property
    def share_per_s(self) -> float | None:
        """Return the rate of the issuer's permits by asking VM, ``None`` if it is not known."""
        if self._answer is None:
            return None
        return round(self._answer[1].per_s / max(1, self._answer[1].asking_vms), 3)

    def _count_before(self, priority: int, place: Place | None) -> int:
        """Return how many waiting requests get permits first."""
        return bisect_left(self._waiting, place or (priority, self._last_number + 1))
