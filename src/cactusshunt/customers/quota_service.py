"""Issues credit to the VMs that delegate their shares of customers' quotas to this one."""

from __future__ import annotations

import math

from collections import OrderedDict
from collections import defaultdict
from typing import TYPE_CHECKING

from cactusshunt.customers.customer_usage import GROUPS
from cactusshunt.customers.customer_usage import CreditOutlook
from cactusshunt.customers.customer_usage import choose_group
from cactusshunt.customers.quota_rate import CREDIT_LIFETIME_S
from cactusshunt.customers.quota_rate import LARGEST_COUNTED_PART
from cactusshunt.customers.quota_rate import compute_quota_rate
from cactusshunt.membership.messages import QuotaGrant
from cactusshunt.permits.issuer_choice import MAX_DATAGRAM_DELAY_S
from cactusshunt.permits.permit_issuer import PermitAsk
from cactusshunt.permits.permit_issuer import PermitDemand
from cactusshunt.permits.permit_issuer import PermitIssuer
from cactusshunt.permits.shares import Shares

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from cactusshunt.customers.customer import Quota
    from cactusshunt.membership.membership_task import MembershipTask
    from cactusshunt.membership.messages import QuotaAsk
    from cactusshunt.membership.messages import QuotaRequest

# A process that was just started may have issued credit before, and does not know all VMs yet.
FIRST_ISSUE_AFTER_S = 2.0
COUNT_INTERVAL_S = 0.1  # between two counts of the VMs
# A VM repeats what it asks until it has the grant; a grant that was lost is sent again meanwhile.
GRANT_RETENTION_S = CREDIT_LIFETIME_S + MAX_DATAGRAM_DELAY_S
# A process that was suspended for longer reads datagrams that are older than MAX_DATAGRAM_DELAY_S
# allows: the shares in them may be delegated to another issuer by then.
LONGEST_PAUSE_S = MAX_DATAGRAM_DELAY_S
STALE_DATAGRAMS_S = 0.3  # to read what 820 VMs sent in a pause of 3 s, at 0.1 ms a datagram
MAX_REORDERED = 1_000  # messages of a VM; a process that starts again begins at another number
MAX_REMEMBERED_VMS = 4_096  # far more than are registered at once
# Of an issuer without shares: longer than a quota's window (8 s) and the time that credit is valid.
DEBT_RETENTION_S = 10.0
RETURN_HORIZON_S = 30.0  # callers are not told to return later; few would


class QuotaService:
    """Issuers of customers' quotas; ``send`` gets each grant and its receiver."""

    def __init__(
        self,
        *,
        vm: str,
        clock: Callable[[], float],
        membership: MembershipTask,
        send: Callable[[QuotaGrant, str], None],
    ) -> None:
        self._vm = vm
        self._clock = clock
        self._membership = membership
        self._send = send
        self._quotas: Mapping[str, Quota] | None = None
        self._customers_by_group: dict[int, list[str]] = {}
        self._shares: dict[int, Shares] = {}
        self._issuers: dict[str, PermitIssuer] = {}
        self._unused_since: dict[int, float] = {}  # groups without shares
        # by VM and group, the customers of which the VM has waiting requests
        self._asking: dict[tuple[str, int], set[str]] = {}
        # by VM and number, the message that a grant answered, and when; the latest last
        self._granted: OrderedDict[tuple[str, int], tuple[int, float]] = OrderedDict()
        self._last_request: dict[str, int] = {}
        # by customer, when the next refused request may return, and the rate at which it may
        self._return_at: dict[str, tuple[float, float]] = {}
        self._first_issue_at = clock() + FIRST_ISSUE_AFTER_S
        self._ticked_at = clock()
        self._stale_until = 0.0
        self._vms = 1
        self._count_due_at = 0.0

    def list_issued(self) -> dict[str, float]:
        """Return the amounts a second that this VM issues, by customer."""
        if self._clock() < self._first_issue_at:
            return {}
        return {
            name: issuer.rate.per_s
            for name, issuer in self._issuers.items()
            if issuer.rate.per_s > 0.0
        }

    def estimate(self, customer: str, amount: float, priority: int) -> CreditOutlook | None:
        """Return when a further request could get credit, ``None`` if that is not known here.

        Issuers are not updated; what they saved since their last update is added to the estimate.
        """
        now = self._clock()
        issuer = self._issuers.get(customer)
        may_issue = self._membership.store_was_read and now >= self._first_issue_at
        if issuer is None or not may_issue or issuer.rate.per_s <= 0.0:
            return None
        if amount > issuer.rate.largest:
            if not self._is_large(issuer):
                return None
            return CreditOutlook(wait_s=math.inf, return_s=RETURN_HORIZON_S)
        needed = issuer.measure_up_to(priority) + min(amount, issuer.rate.most_saved)
        wait_s = max(0.0, (needed - issuer.estimate_saved(now)) / issuer.rate.per_s)
        return_s = max(wait_s, self._find_return_s(customer, issuer.rate.per_s, now))
        return CreditOutlook(wait_s=wait_s, return_s=min(RETURN_HORIZON_S, return_s))

    def set_quotas(self, quotas: Mapping[str, Quota]) -> None:
        """Apply the quotas of a configuration, by customer."""
        earlier = self._quotas or {}
        if not earlier:
            self._ticked_at = self._clock()
        self._quotas = quotas
        by_group: defaultdict[int, list[str]] = defaultdict(list)
        for customer in quotas:
            by_group[choose_group(customer)].append(customer)
        self._customers_by_group = dict(by_group)
        for customer in list(self._issuers):
            if customer not in quotas:
                del self._issuers[customer]
            elif customer in earlier:
                part = _compute_kept_debt(earlier[customer], quotas[customer])
                self._issuers[customer].reduce_debt(part)
        for group, shares in self._shares.items():
            self._add_issuers(group, shares)
        # Customers without a quota have no issuer that could go on with what was asked before.
        for asking in self._asking.values():
            asking.intersection_update(quotas)
        for customer in self._return_at.keys() - quotas.keys():
            del self._return_at[customer]

    def apply_request(self, request: QuotaRequest) -> None:
        """Take a VM's shares and demand, and answer with the credit that may be issued now."""
        now = self._clock()
        if self._quotas is None or self._is_outdated(request):
            return
        is_stale = request.vm != self._vm and self._notice_pause(now)
        for group, delegates in request.groups.items():
            if is_stale:
                # The shares may be at another issuer by now. Demand is still answered: its credit
                # ends by the clock of the VM that asked.
                break
            if delegates and 0 <= group < GROUPS and group in self._customers_by_group:
                self._find_shares(group, now).delegate(request.vm, now, request.vms)
        is_asking = any((request.vm, group) in self._asking for group in request.groups)
        if not request.asks and not request.probes and not is_asking:
            return
        answer: list[int] = []
        by_customer = self._select_new(request, answer)
        touched = set(by_customer)
        for group in request.groups:
            touched |= self._asking.pop((request.vm, group), set())
        for customer in touched:
            self._set_demand(request, customer, by_customer.get(customer, []), now)
        refused = self._issue(touched, request.vm, answer, request.request_number)
        if request.asks or request.probes:
            grant = QuotaGrant(
                vm=self._vm,
                request_number=request.request_number,
                granted=answer,
                refused=refused,
            )
            self._send(grant, request.vm)

    def tick(self) -> None:
        """Issue the credit that may be issued now."""
        now = self._clock()
        self._notice_pause(now)
        self._ticked_at = now
        for group, shares in list(self._shares.items()):
            shares.expire(now)
            if shares.count:
                self._unused_since.pop(group, None)
            elif now - self._unused_since.setdefault(group, now) >= DEBT_RETENTION_S:
                self._forget_group(group)
        for customer, issuer in self._issuers.items():
            self._update(customer, issuer, now)
        waiting = [name for name, issuer in self._issuers.items() if issuer.has_waiting]
        if waiting:
            self._issue(waiting, None, [], 0)
        while self._granted:
            key, (_, granted_at) = next(iter(self._granted.items()))
            if now - granted_at < GRANT_RETENTION_S:
                break
            del self._granted[key]

    def _is_outdated(self, request: QuotaRequest) -> bool:
        """Return whether a message is older than one of its VM that came before."""
        last = self._last_request.get(request.vm)
        if last is not None and 0 < last - request.request_number < MAX_REORDERED:
            return True
        if len(self._last_request) > MAX_REMEMBERED_VMS:
            self._last_request.clear()
        self._last_request[request.vm] = request.request_number
        return False

    def _notice_pause(self, now: float) -> bool:
        """Return whether datagrams that arrive now may have waited while this process did not run.

        The process was suspended if its timer is late.
        """
        if self._quotas and now - self._ticked_at > LONGEST_PAUSE_S:
            self._stale_until = now + STALE_DATAGRAMS_S
            self._ticked_at = now
        return now < self._stale_until

    def _select_new(self, request: QuotaRequest, answer: list[int]) -> dict[str, list[QuotaAsk]]:
        """Return the requests without a grant by customer, and send grants again that were lost.

        Numbers of requests that need no credit are added to ``answer``.
        """
        assert self._quotas is not None
        by_customer: defaultdict[str, list[QuotaAsk]] = defaultdict(list)
        lost: defaultdict[int, list[int]] = defaultdict(list)
        for ask in request.asks:
            known = self._granted.get((request.vm, ask.number))
            if known is not None:
                lost[known[0]].append(ask.number)
            elif ask.customer not in self._quotas:
                answer.append(ask.number)
            elif ask.amount > 0:
                by_customer[ask.customer].append(ask)
        for request_number, numbers in lost.items():
            grant = QuotaGrant(vm=self._vm, request_number=request_number, granted=numbers)
            self._send(grant, request.vm)
        return by_customer

    def _set_demand(
        self, request: QuotaRequest, customer: str, asks: Iterable[QuotaAsk], now: float
    ) -> None:
        group = choose_group(customer)
        issuer = self._issuers.get(customer)
        if issuer is None:
            self._find_shares(group, now)
            issuer = self._issuers[customer]
        self._update(customer, issuer, now)
        # What exceeds the present part waits without a place, so that it keeps nothing back.
        takes_all = self._is_large(issuer)
        possible = [ask for ask in asks if takes_all or ask.amount <= issuer.rate.largest]
        issuer.set_demand(
            request.vm,
            PermitDemand(
                request_number=request.request_number,
                asks=[
                    PermitAsk(
                        number=ask.number,
                        priority=ask.priority,
                        amount=float(ask.amount),
                        wait_s=ask.wait_ms / 1000.0,
                    )
                    for ask in possible
                ],
                received_at=now,
            ),
        )
        if possible:
            self._asking.setdefault((request.vm, group), set()).add(customer)

    def _is_large(self, issuer: PermitIssuer) -> bool:
        """Return whether no other issuer can have a larger part of the shares."""
        return issuer.shares.count >= LARGEST_COUNTED_PART * self._count_vms(issuer)

    def _issue(
        self, customers: Iterable[str], vm: str | None, answer: list[int], answer_number: int
    ) -> dict[int, int]:
        """Send credit, and return what is refused of the VM that asked.

        Numbers that answer the message ``answer_number`` of ``vm`` are added to ``answer``.
        """
        now = self._clock()
        refused: dict[int, int] = {}
        if not self._membership.store_was_read or now < self._first_issue_at:
            return refused
        grants: defaultdict[tuple[str, int], list[int]] = defaultdict(list)
        for customer in customers:
            issuer = self._issuers[customer]
            if vm is not None:
                refused |= self._refuse_impossible(issuer, vm)
            for receiver, issued in issuer.issue(now).items():
                for ask in issued.asks:
                    self._granted[receiver, ask.number] = (issued.request_number, now)
                    grants[receiver, issued.request_number].append(ask.number)
            if vm is not None:
                refused |= self._refuse_late(customer, issuer, vm, now)
        for (receiver, request_number), numbers in grants.items():
            if receiver == vm and request_number == answer_number:
                answer += numbers
                continue
            grant = QuotaGrant(vm=self._vm, request_number=request_number, granted=numbers)
            self._send(grant, receiver)
        return refused

    def _refuse_impossible(self, issuer: PermitIssuer, vm: str) -> dict[int, int]:
        """Withdraw and return a VM's requests that are larger than any issuer can issue."""
        refused = {}
        for ask in issuer.list_asks(vm):
            if ask.amount > issuer.rate.largest:
                refused[ask.number] = int(RETURN_HORIZON_S * 1000)
                issuer.withdraw(vm, ask.number)
        return refused

    def _find_return_s(self, customer: str, per_s: float, now: float) -> float:
        """Return in how many seconds the next refused request may return, at a customer's rate."""
        last_at, last_per_s = self._return_at.get(customer, (now, per_s))
        # Scaled, as the rate at which the time was computed differs if the quota or this issuer's
        # part of it changed since.
        return (last_at - now) * last_per_s / per_s

    def _refuse_late(
        self, customer: str, issuer: PermitIssuer, vm: str, now: float
    ) -> dict[int, int]:
        """Withdraw and return a VM's requests that would wait too long, with times to return.

        Callers get successive times at the issuer's rate, or all would return at once.
        """
        refused: dict[int, int] = {}
        per_s = issuer.rate.per_s
        if per_s <= 0.0:
            return refused
        for ask in issuer.list_asks(vm):
            needed = min(ask.amount, issuer.rate.most_saved)
            before = issuer.measure_before(vm, ask.number)
            wait_s = (before + needed - issuer.saved) / per_s
            if wait_s <= ask.wait_s:
                continue
            issuer.withdraw(vm, ask.number)
            return_at = now + max(wait_s, self._find_return_s(customer, per_s, now))
            if return_at - now < RETURN_HORIZON_S:
                self._return_at[customer] = (return_at + ask.amount / per_s, per_s)
            refused[ask.number] = math.ceil(min(RETURN_HORIZON_S, return_at - now) * 1000)
        return refused

    def _find_shares(self, group: int, now: float) -> Shares:
        shares = self._shares.get(group)
        if shares is None:
            shares = self._shares[group] = Shares(now=now)
            self._add_issuers(group, shares)
        return shares

    def _add_issuers(self, group: int, shares: Shares) -> None:
        for customer in self._customers_by_group.get(group, ()):
            if customer not in self._issuers:
                self._issuers[customer] = PermitIssuer(now=self._clock(), shares=shares)

    def _forget_group(self, group: int) -> None:
        """Forget a group without shares; what its issuers owed is outside any window by now."""
        del self._shares[group]
        del self._unused_since[group]
        for customer in self._customers_by_group.get(group, ()):
            self._issuers.pop(customer, None)
            self._return_at.pop(customer, None)

    def _update(self, customer: str, issuer: PermitIssuer, now: float) -> None:
        assert self._quotas is not None
        if now >= self._count_due_at:
            self._count_due_at = now + COUNT_INTERVAL_S
            self._vms = self._membership.count_recent_vms(now)
        quota = self._quotas[customer]
        issuer.update(
            compute_rate=lambda shares: compute_quota_rate(
                quota=quota, shares=shares, vms=self._count_vms(issuer)
            ),
            now=now,
        )

    def _count_vms(self, issuer: PermitIssuer) -> int:
        """Return how many VMs have a share.

        One that was just started does not know of those whose registrations ended before.
        """
        return max(self._vms, issuer.shares.most_vms)


def _compute_kept_debt(earlier: Quota, quota: Quota) -> float:
    """Return which part of what is owed under the earlier quota remains owed under the new one.

    It is paid back in the time that it would have taken, and no sooner: if each lower rate forgave
    all, rates that change slightly and often would add to what a quota allows.
    """
    if quota.unit is not earlier.unit:
        return 0.0
    return min(1.0, quota.rate_per_s / earlier.rate_per_s)
