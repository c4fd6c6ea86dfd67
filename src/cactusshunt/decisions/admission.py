"""Admission of requests to upstreams: shares between teams, bounded waits, early refusal.

Start-time fair queueing (Goyal, Vin and Cheng, 1996) between teams, then between the items of a
team, so that neither a team's surge nor a busy neighbour on an engine starves the others.
"""

from __future__ import annotations

import heapq

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable


RELEASE_INTERVAL_WEIGHT = 0.1  # weight of the newest interval between releases
LONGEST_QUEUE = 4096  # waiting requests in one process
SHORTEST_RETRY_S = 0.5
LONGEST_RETRY_S = 60.0
PRIORITY_SCALE = 2.0  # an item's weight doubles with each step of priority


@dataclass(frozen=True, kw_only=True)
class Ticket:
    """One request that waits for an upstream; ``wait_deadline`` in Unix seconds."""

    request_id: str
    team: str
    item: str
    priority: int
    wait_deadline: float


@dataclass(frozen=True, kw_only=True)
class Refusal:
    """A request that cannot make its deadline, with the Unix time to come back at."""

    ticket: Ticket
    retry_at: float


@dataclass(frozen=True, kw_only=True)
class _Waiting:
    ticket: Ticket
    sequence: int

    def __lt__(self, other: _Waiting) -> bool:
        return (self.ticket.wait_deadline, self.sequence) < (
            other.ticket.wait_deadline,
            other.sequence,
        )


class Admission:
    """Requests that wait at one entry process, by item."""

    def __init__(self, *, weight_of: Callable[[str], int]) -> None:
        self._weight_of = weight_of
        self._queues: dict[str, list[_Waiting]] = {}
        self._by_request: dict[str, _Waiting] = {}
        self._team_time: dict[str, float] = defaultdict(float)
        self._item_time: dict[str, float] = defaultdict(float)
        self._virtual_time = 0.0
        self._release_interval: dict[str, float] = {}
        self._released_at: dict[str, float] = {}
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
        """Queue a request, or refuse it at once if its turn would come too late."""
        expected = now + self.expect_wait(ticket.item)
        if expected > ticket.wait_deadline or self.waiting >= LONGEST_QUEUE:
            return Refusal(ticket=ticket, retry_at=self._come_back_at(ticket.item, now))
        self._sequence += 1
        waiting = _Waiting(ticket=ticket, sequence=self._sequence)
        self._by_request[ticket.request_id] = waiting
        queue = self._queues.setdefault(ticket.item, [])
        if not queue:
            self._join(ticket)
        heapq.heappush(queue, waiting)
        return None

    def admit_directly(self, ticket: Ticket, now: float) -> None:
        """Charge a request that found room without waiting."""
        self._join(ticket)
        self._charge(ticket)
        self._note_release(ticket.item, now)

    def admit_next(self, items: Iterable[str], now: float) -> Ticket | None:
        """Return the request whose turn it is among those that wait for ``items``."""
        ready = [item for item in items if self._queues.get(item)]
        if not ready:
            return None
        item = min(ready, key=self._turn_of)
        waiting = heapq.heappop(self._queues[item])
        self._drop(waiting)
        self._charge(waiting.ticket)
        self._note_release(item, now)
        return waiting.ticket

    def withdraw(self, request_id: str) -> None:
        """Remove a request whose caller left."""
        waiting = self._by_request.get(request_id)
        if waiting is None:
            return
        queue = self._queues[waiting.ticket.item]
        queue.remove(waiting)
        heapq.heapify(queue)
        self._drop(waiting)

    def expire(self, now: float) -> list[Refusal]:
        """Remove and return the requests whose wait deadline has passed."""
        refused = []
        for item, queue in list(self._queues.items()):
            while queue and queue[0].ticket.wait_deadline <= now:
                waiting = heapq.heappop(queue)
                refused.append(
                    Refusal(ticket=waiting.ticket, retry_at=self._come_back_at(item, now))
                )
                self._drop(waiting)
        return refused

    def expect_wait(self, item: str) -> float:
        """Return the expected wait in seconds of a request that joins an item's queue."""
        queue = self._queues.get(item)
        if not queue:
            return 0.0
        return (len(queue) + 1) * self._release_interval.get(item, 0.0)

    def _turn_of(self, item: str) -> tuple[float, float, float]:
        ticket = self._queues[item][0].ticket
        return (self._team_time[ticket.team], self._item_time[item], ticket.wait_deadline)

    def _join(self, ticket: Ticket) -> None:
        """Let a team or item that was idle start at the present virtual time."""
        self._team_time[ticket.team] = max(self._team_time[ticket.team], self._virtual_time)
        floor = min(
            (self._item_time[item] for item, queue in self._queues.items() if queue), default=0.0
        )
        self._item_time[ticket.item] = max(self._item_time[ticket.item], floor)

    def _charge(self, ticket: Ticket) -> None:
        self._virtual_time = max(self._virtual_time, self._team_time[ticket.team])
        self._team_time[ticket.team] += 1.0 / self._weight_of(ticket.team)
        self._item_time[ticket.item] += 1.0 / PRIORITY_SCALE**ticket.priority

    def _drop(self, waiting: _Waiting) -> None:
        self._by_request.pop(waiting.ticket.request_id, None)
        if not self._queues.get(waiting.ticket.item):
            self._queues.pop(waiting.ticket.item, None)

    def _note_release(self, item: str, now: float) -> None:
        """Measure the interval between admissions while requests wait."""
        before = self._released_at.get(item)
        self._released_at[item] = now
        if before is None or not self._queues.get(item):
            return
        interval = now - before
        known = self._release_interval.get(item, interval)
        self._release_interval[item] = known + (interval - known) * RELEASE_INTERVAL_WEIGHT

    def _come_back_at(self, item: str, now: float) -> float:
        wait = self.expect_wait(item)
        return now + min(max(wait, SHORTEST_RETRY_S), LONGEST_RETRY_S)
