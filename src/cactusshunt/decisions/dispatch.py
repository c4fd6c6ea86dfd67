"""Gives requests to upstreams as these have room: admission and routing together."""

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
    """What one attempt needs: its ticket and the upstreams that can serve it."""

    ticket: Ticket
    candidates: Callable[[], Collection[str]]
    prefix: str | None = None
    excluded: frozenset[str] = frozenset()


@dataclass(frozen=True, kw_only=True)
class Assignment:
    """An upstream for a request; its room is taken until ``release``."""

    request_id: str
    upstream: str


@dataclass(frozen=True, kw_only=True)
class Queued:
    """A request that waits; a later decision names it."""

    request_id: str


class Dispatch:
    """Waiting requests and upstreams of one entry process."""

    def __init__(self, *, router: Router, weight_of: Callable[[str], int]) -> None:
        self.router = router
        self.admission = Admission(weight_of=weight_of)
        self._wishes: dict[str, DispatchRequest] = {}

    @property
    def has_waiting(self) -> bool:
        """Tell whether any request waits."""
        return bool(self._wishes)

    def submit(self, request: DispatchRequest, now: float) -> Assignment | Queued | Refusal:
        """Decide on a new request: an upstream at once, a place in the queue, or a refusal."""
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
        self._wishes[ticket.request_id] = request
        return Queued(request_id=ticket.request_id)

    def release(self, name: str, now: float) -> list[Assignment | Refusal]:
        """Return an upstream's room after an attempt, and give it to who waits for it."""
        self.router.finish(name)
        if not self._wishes:
            return []
        upstream = self.router.upstreams.get(name)
        if upstream is None:
            return []
        waiting = self.admission.waiting_items()
        items = upstream.items if upstream.role == "engine" else waiting
        return self._admit([item for item in items if self.admission.waiting_for(item)], now)

    def process_queue(self, now: float) -> list[Assignment | Refusal]:
        """Refuse the requests that are late, and admit every other one that finds room."""
        decisions: list[Assignment | Refusal] = []
        for refusal in self.admission.expire(now):
            self._wishes.pop(refusal.ticket.request_id, None)
            decisions.append(refusal)
        return decisions + self._admit(self.admission.waiting_items(), now)

    def withdraw(self, request_id: str) -> None:
        """Remove a request whose caller left."""
        self.admission.withdraw(request_id)
        self._wishes.pop(request_id, None)

    def _admit(self, items: Iterable[str], now: float) -> list[Assignment | Refusal]:
        """Admit requests for the items in fair order while any of them finds room."""
        decisions: list[Assignment | Refusal] = []
        found = {item: self._choose_for(item, now) for item in items}
        while True:
            ready = [item for item, name in found.items() if name is not None]
            ticket = self.admission.admit_next(ready, now)
            if ticket is None:
                return decisions
            name = found[ticket.item]
            assert name is not None
            del self._wishes[ticket.request_id]
            self.router.begin(name)
            decisions.append(Assignment(request_id=ticket.request_id, upstream=name))
            for item, chosen in found.items():
                if chosen == name or item == ticket.item:
                    found[item] = self._choose_for(item, now)

    def _choose_for(self, item: str, now: float) -> str | None:
        ticket = self.admission.peek(item)
        return self._choose(self._wishes[ticket.request_id], now) if ticket is not None else None

    def _choose(self, request: DispatchRequest, now: float) -> str | None:
        return self.router.choose(
            request.candidates(),
            now,
            item=request.ticket.item,
            prefix=request.prefix,
            excluded=request.excluded,
        )
