"""Coroutines of the entry process that wait for an upstream."""

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
DEFAULT_SHARE_WEIGHT = 10  # of teams without access settings, when teams share free slots


class Dispatcher:
    """Resumes the coroutine of a waiting request once it is assigned an upstream or refused."""

    def __init__(self, *, reactor: ReactorBase, router: Router) -> None:
        self._reactor = reactor
        self.router = router
        self._dispatch = Dispatch(router=router, weight_of=self._get_share_weight)
        self._budgets: dict[str, RetryBudget] = defaultdict(RetryBudget)
        self._waiters: dict[str, Deferred[Result[str, Refusal]]] = {}
        self._catalogue: Catalogue | None = None
        self._queue_check_call: IDelayedCall | None = None

    @property
    def waiting(self) -> int:
        """Return the number of waiting requests."""
        return self._dispatch.admission.waiting

    def set_catalogue(self, catalogue: Catalogue) -> None:
        """Use a new catalogue, which holds the teams' share weights."""
        self._catalogue = catalogue

    def get_retry_budget(self, team: str) -> RetryBudget:
        """Return a team's retry budget, and create a new one on first use."""
        return self._budgets[team]

    def retry_balances(self) -> dict[str, float]:
        """Return how many retries each team's budget still allows."""
        return {team: round(found.balance, 2) for team, found in self._budgets.items()}

    async def acquire(self, request: DispatchRequest) -> Result[str, Refusal]:
        """Wait for an upstream with a free slot, at most until the ticket's wait deadline."""
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
        """Free the slot of an ended attempt at an upstream and assign it to a waiting request."""
        self._resolve_all(self._dispatch.release(name, self._reactor.seconds()))

    def process_queue(self) -> None:
        """Assign free slots to waiting requests, and refuse those past their wait deadline."""
        if self._waiters:
            self._resolve_all(self._dispatch.process_queue(self._reactor.seconds()))

    def _resolve_all(self, decisions: Iterable[Assignment | Refusal]) -> None:
        for decision in decisions:
            if isinstance(decision, Assignment):
                self._resolve(decision.request_id, Ok(decision.upstream))
            else:
                self._resolve(decision.ticket.request_id, Error(decision))

    def _resolve(self, request_id: str, result: Result[str, Refusal]) -> None:
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

    def _get_share_weight(self, team: str) -> int:
        access = self._catalogue.access.get(team) if self._catalogue is not None else None
        return access.share_weight if access is not None else DEFAULT_SHARE_WEIGHT
