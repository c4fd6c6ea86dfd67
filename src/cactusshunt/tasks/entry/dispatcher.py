"""Waiting requests of the entry process and their coroutines."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from expression import Error
from expression import Ok
from expression import Result
from twisted.internet.defer import Deferred

from cactusshunt.decisions.admission import Refusal
from cactusshunt.decisions.dispatch import Assignment
from cactusshunt.decisions.dispatch import Dispatch
from cactusshunt.decisions.retry_budget import RetryBudget

if TYPE_CHECKING:
    from collections.abc import Iterable

    from twisted.internet.base import ReactorBase
    from twisted.internet.interfaces import IDelayedCall

    from cactusshunt.decisions.catalogue import Catalogue
    from cactusshunt.decisions.dispatch import DispatchRequest
    from cactusshunt.decisions.router import Router

QUEUE_CHECK_INTERVAL_S = 0.05
DEFAULT_SHARE_WEIGHT = 10


class Dispatcher:
    """Turns the decisions on waiting requests into results of their coroutines."""

    def __init__(self, *, reactor: ReactorBase, router: Router) -> None:
        self._reactor = reactor
        self.router = router
        self._dispatch = Dispatch(router=router, weight_of=self._weight_of)
        self._budgets: dict[str, RetryBudget] = defaultdict(RetryBudget)
        self._waiters: dict[str, Deferred[Result[str, Refusal]]] = {}
        self._catalogue: Catalogue | None = None
        self._queue_check_call: IDelayedCall | None = None

    @property
    def waiting(self) -> int:
        """Return the number of waiting requests."""
        return self._dispatch.admission.waiting

    def set_catalogue(self, catalogue: Catalogue) -> None:
        """Take the settings in force."""
        self._catalogue = catalogue

    def budget(self, team: str) -> RetryBudget:
        """Return a team's retry budget."""
        return self._budgets[team]

    def retry_balances(self) -> dict[str, float]:
        """Return the retries that each team can still spend."""
        return {team: round(found.balance, 2) for team, found in self._budgets.items()}

    async def acquire(self, request: DispatchRequest) -> Result[str, Refusal]:
        """Return an upstream with room, waiting for it no longer than the ticket allows."""
        decision = self._dispatch.submit(request, self._reactor.seconds())
        if isinstance(decision, Assignment):
            return Ok(decision.upstream)
        if isinstance(decision, Refusal):
            return Error(decision)
        waiter: Deferred[Result[str, Refusal]] = Deferred()
        self._waiters[decision.request_id] = waiter
        self._schedule_queue_check()
        return await waiter

    def release(self, name: str) -> None:
        """Return an upstream after an attempt and give its room to who waits."""
        self._carry_out(self._dispatch.release(name, self._reactor.seconds()))

    def process_queue(self) -> None:
        """Admit every waiting request that finds room, and refuse the late ones."""
        if self._waiters:
            self._carry_out(self._dispatch.process_queue(self._reactor.seconds()))

    def _carry_out(self, decisions: Iterable[Assignment | Refusal]) -> None:
        for decision in decisions:
            if isinstance(decision, Assignment):
                self._answer(decision.request_id, Ok(decision.upstream))
            else:
                self._answer(decision.ticket.request_id, Error(decision))

    def _answer(self, request_id: str, result: Result[str, Refusal]) -> None:
        self._reactor.callLater(0, self._waiters.pop(request_id).callback, result)

    def _schedule_queue_check(self) -> None:
        if self._queue_check_call is None or not self._queue_check_call.active():
            self._queue_check_call = self._reactor.callLater(
                QUEUE_CHECK_INTERVAL_S, self._check_queue
            )

    def _check_queue(self) -> None:
        self.process_queue()
        if self._waiters:
            self._schedule_queue_check()

    def _weight_of(self, team: str) -> int:
        access = self._catalogue.access.get(team) if self._catalogue is not None else None
        return access.share_weight if access is not None else DEFAULT_SHARE_WEIGHT
