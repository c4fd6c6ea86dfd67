"""Issues permits to the VMs that delegate their shares of limits to this one."""

from __future__ import annotations

import secrets

from collections import defaultdict
from typing import TYPE_CHECKING

from cactusshunt.limits.issue_rate import compute_issue_rate
from cactusshunt.membership.messages import PermitGrant
from cactusshunt.membership.messages import UpstreamPermits
from cactusshunt.permits.permit_issuer import PermitAsk
from cactusshunt.permits.permit_issuer import PermitDemand
from cactusshunt.permits.permit_issuer import PermitIssuer

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from cactusshunt.limits.limit_register import LimitRegister
    from cactusshunt.membership.membership_task import MembershipTask
    from cactusshunt.membership.messages import PermitRequest

# A process that was just started may have issued permits before, and does not know all VMs yet.
FIRST_ISSUE_AFTER_S = 2.0
COUNT_INTERVAL_S = 0.1  # between two counts of the VMs


class PermitService:
    """Issuers of limited upstreams; ``send`` gets each grant and its receiver."""

    def __init__(
        self,
        *,
        vm: str,
        clock: Callable[[], float],
        register: LimitRegister,
        membership: MembershipTask,
        send: Callable[[PermitGrant, str], None],
    ) -> None:
        self._vm = vm
        self._clock = clock
        self._register = register
        self._membership = membership
        self._send = send
        self._issuers: dict[str, PermitIssuer] = {}
        self._last_ask = 0
        self._grant_number = secrets.randbits(40)
        self._first_issue_at = clock() + FIRST_ISSUE_AFTER_S
        self._vms = 1
        self._count_due_at = 0.0

    @property
    def upstreams(self) -> list[str]:
        """Return the names of the upstreams for which this VM has issuers."""
        return list(self._issuers)

    def apply_request(self, request: PermitRequest) -> None:
        """Take a VM's shares and demand, and answer with the permits that may be issued now."""
        now = self._clock()
        asked = []
        for demand in request.demands:
            upstream = demand.limit.upstream
            if self._register.find(upstream) is None:
                continue
            issuer = self._issuers.get(upstream)
            if issuer is None:
                issuer = self._issuers[upstream] = PermitIssuer(now=now)
            self._update(upstream, issuer, now)
            if demand.delegates:
                issuer.shares.delegate(request.vm, now)
            waiting = {priority: n for priority, n in demand.waiting.items() if n > 0}
            issuer.set_demand(
                request.vm,
                PermitDemand(
                    request_number=request.request_number,
                    asks=self._number_asks(issuer, request.vm, waiting),
                    received_at=now,
                ),
            )
            if waiting:
                asked.append(upstream)
        self._issue(asked, (request.vm, request.request_number))

    def issue(self) -> None:
        """Issue the permits that may be issued now."""
        now = self._clock()
        for name, issuer in list(self._issuers.items()):
            self._update(name, issuer, now)
            if not issuer.shares.count and not issuer.asking_vms:
                del self._issuers[name]
        self._issue(self._issuers, None)

    def forget(self, upstream: str) -> None:
        """Stop issuing for an upstream that has left or no longer has a limit."""
        self._issuers.pop(upstream, None)

    def _number_asks(
        self, issuer: PermitIssuer, vm: str, waiting: Mapping[int, int]
    ) -> list[PermitAsk]:
        """Return a VM's waiting requests; of a priority, those that waited before come first."""
        earlier: defaultdict[int, list[PermitAsk]] = defaultdict(list)
        for ask in issuer.list_asks(vm):
            earlier[ask.priority].append(ask)
        asks = []
        for priority, count in waiting.items():
            known = earlier[priority][:count]
            asks += known
            for _ in range(count - len(known)):
                self._last_ask += 1
                asks.append(PermitAsk(number=self._last_ask, priority=priority))
        return asks

    def _issue(self, upstreams: Iterable[str], answer_to: tuple[str, int] | None) -> None:
        """Send permits; ``answer_to`` is a VM and its message, answered even without permits."""
        now = self._clock()
        may_issue = self._membership.store_was_read and now >= self._first_issue_at
        answers: defaultdict[tuple[str, int], list[UpstreamPermits]] = defaultdict(list)
        for name in upstreams:
            issuer = self._issuers[name]
            self._update(name, issuer, now)
            issued = issuer.issue(now) if may_issue else {}
            counts = {(vm, found.request_number): len(found.asks) for vm, found in issued.items()}
            if answer_to is not None:
                counts.setdefault(answer_to, 0)
            for key, count in counts.items():
                answers[key].append(
                    UpstreamPermits(
                        upstream=name,
                        count=count,
                        per_s=issuer.rate.per_s if may_issue else 0.0,
                        saved=round(issuer.saved, 2),
                        asking_vms=issuer.asking_vms,
                        waiting_elsewhere=issuer.count_waiting(key[0]),
                    )
                )
        for (vm, request_number), permits in answers.items():
            self._grant_number += 1
            grant = PermitGrant(
                vm=self._vm,
                grant_number=self._grant_number,
                request_number=request_number,
                permits=permits,
            )
            self._send(grant, vm)

    def _update(self, upstream: str, issuer: PermitIssuer, now: float) -> None:
        known = self._register.find(upstream)
        if now >= self._count_due_at:
            self._count_due_at = now + COUNT_INTERVAL_S
            self._vms = self._membership.count_recent_vms(now)
        issuer.update(
            compute_rate=lambda shares: compute_issue_rate(
                limit_per_s=known.rate_per_s if known is not None else 0.0,
                delegations=shares,
                vms=self._vms,
            ),
            now=now,
        )
