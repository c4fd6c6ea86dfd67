"""Assigns requests to upstreams with free capacity, combining admission and routing."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cactusshunt.decisions.admission import Admission
from cactusshunt.decisions.admission import Refusal
from cactusshunt.decisions.admission import Ticket

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Iterable

    from cactusshunt.decisions.router import Router


@dataclass(frozen=True, kw_only=True)
class DispatchRequest:
    """An attempt that needs an upstream; ``candidates`` returns the eligible ones at any time.

    ``prefix`` is the key of the prompt's beginning, for cache affinity; ``excluded`` names the
    upstreams that earlier attempts used.
    """

    ticket: Ticket
    candidates: Callable[[], Collection[str]]
    prefix: str | None = None
    excluded: frozenset[str] = frozenset()


@dataclass(frozen=True, kw_only=True)
class Assignment:
    """The upstream chosen for a request; it uses one of its slots until ``Dispatch.release``."""

    request_id: str
    upstream: str


@dataclass(frozen=True, kw_only=True)
class Queued:
    """A request that waits; a later assignment or refusal carries its ``request_id``."""

    request_id: str


class Dispatch:
    """Waiting requests and upstreams of one entry process."""

    def __init__(self, *, router: Router, weight_of: Callable[[str], int]) -> None:
        self.router = router
        self.admission = Admission(weight_of=weight_of)
        self._waiting_requests: dict[str, DispatchRequest] = {}

    @property
    def has_waiting(self) -> bool:
        """Tell whether any request waits."""
        return bool(self._waiting_requests)

    def submit(self, request: DispatchRequest, now: float) -> Assignment | Queued | Refusal:
        """Assign a new request to an upstream at once, queue it, or refuse it."""
        ticket = request.ticket
        if not self.admission.waiting_for(ticket.item):
            name = self._choose(request, now)
            if name is not None:
                self.admission.admit_directly(ticket, now)
                self.router.begin(name)
                return Assignment(request_id=ticket.request_id, upstream=name)
        refusal = self.admission.enqueue(ticket, now)
        if refusal is not None:
            return refusal
        self._waiting_requests[ticket.request_id] = request
        return Queued(request_id=ticket.request_id)

    def release(self, name: str, now: float) -> list[Assignment | Refusal]:
        """Record the end of an attempt, and admit waiting requests to the freed upstream."""
        self.router.finish(name)
        if not self._waiting_requests:
            return []
        upstream = self.router.upstreams.get(name)
        if upstream is None:
            return []
        waiting = self.admission.waiting_items()
        items = upstream.items if upstream.role == "engine" else waiting
        return self._admit([item for item in items if self.admission.waiting_for(item)], now)

    def process_queue(self, now: float) -> list[Assignment | Refusal]:
        """Refuse requests whose wait deadline passed, and admit the others while capacity lasts."""
        decisions: list[Assignment | Refusal] = []
        for refusal in self.admission.expire(now):
            self._waiting_requests.pop(refusal.ticket.request_id, None)
            decisions.append(refusal)
        return decisions + self._admit(self.admission.waiting_items(), now)

    def withdraw(self, request_id: str) -> None:
        """Remove a request whose caller disconnected."""
        self.admission.withdraw(request_id)
        self._waiting_requests.pop(request_id, None)

    def _admit(self, items: Iterable[str], now: float) -> list[Assignment | Refusal]:
        """Admit requests for the items in fair order while any upstream has capacity for them."""
        decisions: list[Assignment | Refusal] = []
        upstream_by_item = {item: self._choose_for_next(item, now) for item in items}
        while True:
            ready = [item for item, name in upstream_by_item.items() if name is not None]
            ticket = self.admission.admit_next(ready, now)
            if ticket is None:
                return decisions
            name = upstream_by_item[ticket.item]
            assert name is not None
            del self._waiting_requests[ticket.request_id]
            self.router.begin(name)
            decisions.append(Assignment(request_id=ticket.request_id, upstream=name))
            for item, candidate in upstream_by_item.items():
                if candidate == name or item == ticket.item:
                    upstream_by_item[item] = self._choose_for_next(item, now)

    def _choose_for_next(self, item: str, now: float) -> str | None:
        ticket = self.admission.peek(item)
        return (
            self._choose(self._waiting_requests[ticket.request_id], now)
            if ticket is not None
            else None
        )

    def _choose(self, request: DispatchRequest, now: float) -> str | None:
        return self.router.choose(
            request.candidates(),
            now,
            item=request.ticket.item,
            prefix=request.prefix,
            excluded=request.excluded,
        )
