"""Admission of requests to upstreams: shares between teams, bounded waits, early refusal.

Start-time fair queueing (Goyal, Vin and Cheng, 1996) between teams, then between the items of a
team, so that neither a team's surge nor another busy item on the same engine starves the others.
"""

from __future__ import annotations

import heapq

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable


ADMISSION_INTERVAL_SMOOTHING = 0.1  # weight of the newest interval between admissions
MAX_WAITING_REQUESTS = 4096  # in one process
MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 60.0
WEIGHT_FACTOR_PER_PRIORITY = 2.0  # factor of an item's weight for each step of priority


@dataclass(frozen=True, kw_only=True)
class Ticket:
    """A request that waits for an upstream; ``wait_deadline`` in Unix seconds.

    ``item`` is an item, or ``team/service`` for a service.
    """

    request_id: str
    team: str
    item: str
    priority: int
    wait_deadline: float


@dataclass(frozen=True, kw_only=True)
class Refusal:
    """A request refused for its expected wait or a full queue; ``retry_at`` in Unix seconds."""

    ticket: Ticket
    retry_at: float


@dataclass(frozen=True, kw_only=True)
class _QueueEntry:
    ticket: Ticket
    sequence: int

    def __lt__(self, other: _QueueEntry) -> bool:
        return (self.ticket.wait_deadline, self.sequence) < (
            other.ticket.wait_deadline,
            other.sequence,
        )


class Admission:
    """Requests that wait at one entry process, by item; ``weight_of`` returns a team's share."""

    def __init__(self, *, weight_of: Callable[[str], int]) -> None:
        self._weight_of = weight_of
        self._queues: dict[str, list[_QueueEntry]] = {}
        self._by_request: dict[str, _QueueEntry] = {}
        self._team_time: dict[str, float] = defaultdict(float)
        self._item_time: dict[str, float] = defaultdict(float)
        self._virtual_time = 0.0
        self._admission_interval_s: dict[str, float] = {}
        self._admitted_at: dict[str, float] = {}
        self._sequence = 0

    @property
    def waiting(self) -> int:
        """Return the number of waiting requests."""
        return len(self._by_request)

    def waiting_for(self, item: str) -> int:
        """Return the number of requests that wait for an item."""
        return len(self._queues.get(item, ()))

    def waiting_items(self) -> list[str]:
        """Return the items that requests wait for."""
        return [item for item, queue in self._queues.items() if queue]

    def peek(self, item: str) -> Ticket | None:
        """Return the request that is next in an item's queue."""
        queue = self._queues.get(item)
        return queue[0].ticket if queue else None

    def enqueue(self, ticket: Ticket, now: float) -> Refusal | None:
        """Queue a request, or refuse it if the queue is full or the expected wait too long."""
        expected = now + self.estimate_wait_s(ticket.item)
        if expected > ticket.wait_deadline or self.waiting >= MAX_WAITING_REQUESTS:
            return Refusal(ticket=ticket, retry_at=self._estimate_retry_at(ticket.item, now))
        self._sequence += 1
        waiting = _QueueEntry(ticket=ticket, sequence=self._sequence)
        self._by_request[ticket.request_id] = waiting
        queue = self._queues.setdefault(ticket.item, [])
        if not queue:
            self._activate(ticket)
        heapq.heappush(queue, waiting)
        return None

    def admit_directly(self, ticket: Ticket, now: float) -> None:
        """Charge a request that is admitted without waiting to its team and item."""
        self._activate(ticket)
        self._charge(ticket)
        self._record_admission(ticket.item, now)

    def admit_next(self, items: Iterable[str], now: float) -> Ticket | None:
        """Remove and return the next request in fair order among those that wait for ``items``."""
        ready = [item for item in items if self._queues.get(item)]
        if not ready:
            return None
        item = min(ready, key=self._turn_key)
        waiting = heapq.heappop(self._queues[item])
        self._remove(waiting)
        self._charge(waiting.ticket)
        self._record_admission(item, now)
        return waiting.ticket

    def withdraw(self, request_id: str) -> None:
        """Remove a request whose caller disconnected."""
        waiting = self._by_request.get(request_id)
        if waiting is None:
            return
        queue = self._queues[waiting.ticket.item]
        queue.remove(waiting)
        heapq.heapify(queue)
        self._remove(waiting)

    def expire(self, now: float) -> list[Refusal]:
        """Remove and return the requests whose wait deadline has passed."""
        refused = []
        for item, queue in list(self._queues.items()):
            while queue and queue[0].ticket.wait_deadline <= now:
                waiting = heapq.heappop(queue)
                refused.append(
                    Refusal(ticket=waiting.ticket, retry_at=self._estimate_retry_at(item, now))
                )
                self._remove(waiting)
        return refused

    def estimate_wait_s(self, item: str) -> float:
        """Return the expected wait in seconds of a request that joins an item's queue."""
        queue = self._queues.get(item)
        if not queue:
            return 0.0
        return (len(queue) + 1) * self._admission_interval_s.get(item, 0.0)

    def _turn_key(self, item: str) -> tuple[float, float, float]:
        ticket = self._queues[item][0].ticket
        return (self._team_time[ticket.team], self._item_time[item], ticket.wait_deadline)

    def _activate(self, ticket: Ticket) -> None:
        """Move the virtual times of an idle team and item forward to those of the active ones."""
        self._team_time[ticket.team] = max(self._team_time[ticket.team], self._virtual_time)
        lowest_time = min(
            (self._item_time[item] for item, queue in self._queues.items() if queue), default=0.0
        )
        self._item_time[ticket.item] = max(self._item_time[ticket.item], lowest_time)

    def _charge(self, ticket: Ticket) -> None:
        self._virtual_time = max(self._virtual_time, self._team_time[ticket.team])
        self._team_time[ticket.team] += 1.0 / self._weight_of(ticket.team)
        self._item_time[ticket.item] += 1.0 / WEIGHT_FACTOR_PER_PRIORITY**ticket.priority

    def _remove(self, waiting: _QueueEntry) -> None:
        self._by_request.pop(waiting.ticket.request_id, None)
        if not self._queues.get(waiting.ticket.item):
            self._queues.pop(waiting.ticket.item, None)

    def _record_admission(self, item: str, now: float) -> None:
        """Update the mean interval between admissions of an item while requests wait for it."""
        previous_at = self._admitted_at.get(item)
        self._admitted_at[item] = now
        if previous_at is None or not self._queues.get(item):
            return
        interval = now - previous_at
        mean_interval_s = self._admission_interval_s.get(item, interval)
        self._admission_interval_s[item] = (
            mean_interval_s + (interval - mean_interval_s) * ADMISSION_INTERVAL_SMOOTHING
        )

    def _estimate_retry_at(self, item: str, now: float) -> float:
        wait_s = self.estimate_wait_s(item)
        return now + min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
