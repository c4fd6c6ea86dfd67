"""Gives waiting requests to upstreams as these have room."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result
from twisted.internet.defer import Deferred

from cactusshunt.decisions.admission import Admission
from cactusshunt.decisions.admission import Refusal
from cactusshunt.decisions.admission import Ticket
from cactusshunt.decisions.retry_budget import RetryBudget

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection

    from twisted.internet.base import ReactorBase
    from twisted.internet.interfaces import IDelayedCall

    from cactusshunt.decisions.catalogue import Catalogue
    from cactusshunt.decisions.router import Router

PUMP_INTERVAL_S = 0.05


@dataclass(frozen=True, kw_only=True)
class Wish:
    """What one attempt needs: its ticket and the upstreams that can serve it."""

    ticket: Ticket
    candidates: Callable[[], Collection[str]]
    prefix: str | None = None
    excluded: frozenset[str] = frozenset()


@dataclass(frozen=True, kw_only=True)
class _Waiter:
    wish: Wish
    deferred: Deferred[Result[str, Refusal]]


class Dispatcher:
    """Owns admission and routing in one entry process."""

    def __init__(self, *, reactor: ReactorBase, router: Router) -> None:
        self._reactor = reactor
        self.router = router
        self.admission = Admission(weight_of=self._weight_of)
        self._budgets: dict[str, RetryBudget] = defaultdict(RetryBudget)
        self._waiters: dict[str, _Waiter] = {}
        self._catalogue: Catalogue | None = None
        self._pump_call: IDelayedCall | None = None

    def set_catalogue(self, catalogue: Catalogue) -> None:
        """Take the settings in force."""
        self._catalogue = catalogue

    def budget(self, team: str) -> RetryBudget:
        """Return a team's retry budget."""
        return self._budgets[team]

    def retry_balances(self) -> dict[str, float]:
        """Return the retries that each team can still spend."""
        return {team: round(found.balance, 2) for team, found in self._budgets.items()}

    async def acquire(self, wish: Wish) -> Result[str, Refusal]:
        """Return an upstream with room, waiting for it no longer than the ticket allows."""
        now = self._reactor.seconds()
        ticket = wish.ticket
        if not self.admission.waiting_for(ticket.item):
            name = self._choose(wish, now)
            if name is not None:
                self.admission.admit_directly(ticket, now)
                self.router.begin(name)
                return Ok(name)
        refusal = self.admission.offer(ticket, now)
        if refusal is not None:
            return Error(refusal)
        deferred: Deferred[Result[str, Refusal]] = Deferred(
            lambda _: self._withdraw(ticket.request_id)
        )
        self._waiters[ticket.request_id] = _Waiter(wish=wish, deferred=deferred)
        self._schedule_pump()
        return await deferred

    def release(self, name: str) -> None:
        """Return an upstream after an attempt and give its room to who waits."""
        self.router.finish(name)
        if self._waiters:
            self.pump()

    def pump(self) -> None:
        """Admit every waiting request that finds room, and refuse the late ones."""
        now = self._reactor.seconds()
        for refusal in self.admission.expire(now):
            self._answer(refusal.ticket.request_id, Error(refusal))
        blocked: set[str] = set()
        while True:
            ready = self._items_with_room(blocked, now)
            ticket = self.admission.admit_next(ready, now)
            if ticket is None:
                return
            waiter = self._waiters[ticket.request_id]
            name = self._choose(waiter.wish, now)
            if name is None:
                blocked.add(ticket.item)
                self._put_back(waiter, now)
                continue
            self.router.begin(name)
            self._answer(ticket.request_id, Ok(name))

    def _put_back(self, waiter: _Waiter, now: float) -> None:
        refusal = self.admission.offer(waiter.wish.ticket, now)
        if refusal is not None:
            self._answer(waiter.wish.ticket.request_id, Error(refusal))

    def _items_with_room(self, blocked: set[str], now: float) -> list[str]:
        ready = []
        for item in self.admission.waiting_items():
            if item in blocked:
                continue
            waiter = self._next_waiter(item)
            if waiter is not None and self._choose(waiter.wish, now) is not None:
                ready.append(item)
        return ready

    def _next_waiter(self, item: str) -> _Waiter | None:
        ticket = self.admission.peek(item)
        return self._waiters.get(ticket.request_id) if ticket is not None else None

    def _choose(self, wish: Wish, now: float) -> str | None:
        return self.router.choose(
            wish.candidates(),
            now,
            item=wish.ticket.item,
            prefix=wish.prefix,
            excluded=wish.excluded,
        )

    def _answer(self, request_id: str, result: Result[str, Refusal]) -> None:
        waiter = self._waiters.pop(request_id, None)
        if waiter is not None:
            self._reactor.callLater(0, self._deliver, waiter.deferred, result)

    def _deliver(
        self, deferred: Deferred[Result[str, Refusal]], result: Result[str, Refusal]
    ) -> None:
        """Pass on a result; an upstream that nobody waits for any more is returned."""
        if deferred.called:
            if result.is_ok():
                self.release(result.ok)
            return
        deferred.callback(result)

    def _withdraw(self, request_id: str) -> None:
        self.admission.withdraw(request_id)
        self._waiters.pop(request_id, None)

    def _schedule_pump(self) -> None:
        if self._pump_call is None or not self._pump_call.active():
            self._pump_call = self._reactor.callLater(PUMP_INTERVAL_S, self._pump_again)

    def _pump_again(self) -> None:
        self.pump()
        if self._waiters:
            self._schedule_pump()

    def _weight_of(self, team: str) -> int:
        access = self._catalogue.access.get(team) if self._catalogue is not None else None
        return access.share_weight if access is not None else 10
