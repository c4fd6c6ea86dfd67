"""Keeps each customer's requests within its quota over all VMs together.

A request of a customer with a quota is handled once it has credit. VMs delegate their shares of the
quotas of a group of customers to one VM, and ask it for credit request by request (see
docs/design/quotas.md). While no customer has a quota, nothing is sent or computed.
"""

from __future__ import annotations

import secrets

from collections import OrderedDict
from collections import defaultdict
from functools import singledispatchmethod
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.defer import Deferred

from cactusshunt.customers.customer_usage import CreditWait
from cactusshunt.customers.customer_usage import CustomerUsage
from cactusshunt.customers.customer_usage import QuotaRefusal
from cactusshunt.customers.customer_usage import WaitingRequest
from cactusshunt.customers.customer_usage import choose_asked
from cactusshunt.customers.customer_usage import choose_group
from cactusshunt.customers.quota_amount import compute_amount
from cactusshunt.customers.quota_amount import compute_largest_amount
from cactusshunt.customers.quota_amount import compute_rank
from cactusshunt.customers.quota_rate import CREDIT_LIFETIME_S
from cactusshunt.customers.quota_service import RETURN_HORIZON_S
from cactusshunt.customers.quota_service import QuotaService
from cactusshunt.membership.messages import QuotaAsk
from cactusshunt.membership.messages import QuotaDoubt
from cactusshunt.membership.messages import QuotaGrant
from cactusshunt.membership.messages import QuotaRequest
from cactusshunt.node_log import log_event
from cactusshunt.permits.issuer_choice import MAX_DATAGRAM_DELAY_S
from cactusshunt.permits.issuer_choice import IssuerChooser
from cactusshunt.permits.permit_pool import Permit
from cactusshunt.permits.shares import DELEGATION_LIFETIME_S

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from cactusshunt.customers.customer import Customer
    from cactusshunt.membership.membership_task import MembershipTask
    from cactusshunt.membership.peer_link import PeerLink
    from cactusshunt.requests.job import Job

# reasons of refusals
TOO_LARGE = "larger than the quota allows"
USED_UP = "quota"
TICK_S = 0.05  # delays credit by half of it on average
DEMAND_GATHER_S = 0.002  # puts requests that begin to wait together into one datagram
DEMAND_INTERVAL_S = 0.2  # demand that is not repeated ends after DEMAND_LIFETIME_S, 0.5 s
SHARE_INTERVAL_S = 0.6  # shares that are not renewed end after DELEGATION_LIFETIME_S, 1.5 s
# Between two doubts of the same issuer, since a slow one would cause many messages to all VMs. Also
# for how long another VM's doubt counts at this VM unless the issuer answers it.
DOUBT_INTERVAL_S = 3.0
DOUBT_S = 0.3  # an issuer that leaves demand unanswered for so long gets no shares meanwhile
# An issuer that has not answered for so long has to answer messages without demand, too. Far above
# the time of two datagrams.
PROBE_AFTER_S = 0.1
PROBE_INTERVAL_S = 0.5  # of issuers that did not answer; bounds how late they get shares again
# Candidates that are asked at once when an issuer does not answer. If one zone of five is cut off,
# four of five candidates are out of reach, and one after the other took over 1 s each.
CANDIDATES_AHEAD = 6
ANSWER_AGE_S = 1.0  # a candidate that answered within it is taken to be within reach
CANDIDATES_INTERVAL_S = 0.2  # between two looks at who can issue, which cost time in large fleets
WAIT_FRACTION = 0.25  # longest wait for credit / latency objective of the route
ANSWER_S = 0.01  # two datagrams; credit granted so close to the end of a wait comes too late
MIN_WAIT_S = 0.2  # the longest wait is at least this, unless the request's deadline is earlier
# Retry-After of requests that no issuer answered: another one has the shares by about then.
NO_ISSUER_RETURN_S = 2.0
MAX_ASKS = 40  # in a message of one Ethernet packet; the others follow TICK_S later
MAX_ABANDONED = 256  # requests that stopped waiting, whose credit may still arrive
USAGE_LOG_INTERVAL_S = 5.0
MAX_USAGE_LINES = 20  # in each interval; customers with refused requests come first


class CustomerQuotas:
    """Quotas, credit and shares of this VM; issues credit to VMs that ask it."""

    def __init__(
        self, *, reactor: Any, vm: str, membership: MembershipTask, link: PeerLink
    ) -> None:
        self._reactor = reactor
        self._vm = vm
        self._link = link
        self._membership = membership
        self._chooser = IssuerChooser(vm=vm, probes=True)
        self._service = QuotaService(
            vm=vm, clock=reactor.seconds, membership=membership, send=self._send_grant
        )
        self._usages: dict[str, CustomerUsage] = {}
        self._groups: dict[int, list[CustomerUsage]] = {}
        self._issuers: dict[int, str | None] = {}
        self._due_at: dict[int, float] = {}  # by group, when its issuer gets the next message
        self._waiting: dict[int, WaitingRequest] = {}
        # customer and amount by number, the latest last
        self._abandoned: OrderedDict[int, tuple[str, float]] = OrderedDict()
        self._last_number = secrets.randbits(40)
        self._request_number = secrets.randbits(40)
        self._sent_at: dict[int, float] = {}  # by number of the message, the latest last
        # Shares that this VM delegated before it was started again have ended by then.
        self._first_share_at = reactor.seconds() + DELEGATION_LIFETIME_S + MAX_DATAGRAM_DELAY_S
        self._unsent_groups: set[int] = set()
        self._demand_scheduled = False
        self._ticking = False
        self._usage_due_at = 0.0
        self._candidates_due_at = 0.0
        self._vms = 1
        self._probes_due_at = 0.0
        # by issuer, the time from which on all VMs may be told again that it does not answer
        self._next_doubt_at: dict[str, float] = {}
        self._answered_at: dict[str, float] = {}  # by issuer
        # issuers of which another VM said that they do not answer; they get no shares until this
        # time, or until they answer this VM
        self._doubted_until: dict[str, float] = {}

    def list_all(self) -> dict[str, CustomerUsage]:
        """Return the customers with quotas by name."""
        return self._usages

    def list_issued(self) -> dict[str, float]:
        """Return the amounts a second that this VM issues to others and itself, by customer."""
        return self._service.list_issued()

    def find_issuer(self, usage: CustomerUsage) -> str | None:
        """Return the VM that issues a customer's credit to this one, ``None`` if none does."""
        return self._issuers.get(usage.group)

    def find_wait(self, usage: CustomerUsage, job: Job, amount: float) -> CreditWait | None:
        """Return how a request would wait for its credit now, ``None`` if it would not wait.

        Nothing is taken or asked for. For how long is known only at the issuer.
        """
        now = self._now()
        at_hand = usage.pool.measure_amount(now)
        if amount <= 0.0 or (not usage.waiting and at_hand >= amount):
            return None
        issuer = self.find_issuer(usage)
        longest_s = _find_longest_wait_s(job, now)
        priority = compute_rank(usage.quota, amount, job.route.priority)
        outlook = None
        if issuer == self._vm:
            outlook = self._service.estimate(usage.name, amount, priority)
        is_late = outlook is not None and outlook.wait_s > longest_s - ANSWER_S
        return CreditWait(issuer=issuer, longest_s=longest_s, outlook=outlook, is_refused=is_late)

    def set_customers(self, customers: Sequence[Customer] | None) -> None:
        """Apply the customers of a configuration; those without a quota are not limited."""
        quotas = {found.name: found.quota for found in customers or () if found.quota is not None}
        usages = {}
        for name, quota in quotas.items():
            usage = self._usages.pop(name, None)
            if usage is None:
                usage = CustomerUsage(name=name, quota=quota, group=choose_group(name))
            usage.quota = quota
            usages[name] = usage
        removed, self._usages = self._usages, usages
        for usage in removed.values():
            for waiting in list(usage.waiting.values()):
                self._settle(waiting, None)
        groups: defaultdict[int, list[CustomerUsage]] = defaultdict(list)
        for usage in usages.values():
            groups[usage.group].append(usage)
        self._groups = dict(groups)
        # Issuers of other groups are not asked any more, so that nothing shows whether they answer.
        self._issuers = {
            group: issuer for group, issuer in self._issuers.items() if group in self._groups
        }
        self._service.set_quotas(quotas)
        if usages and not self._ticking:
            self._ticking = True
            self._usage_due_at = self._now() + USAGE_LOG_INTERVAL_S
            self._tick()

    async def admit(self, job: Job) -> QuotaRefusal | None:
        """Wait until a request has credit; return a refusal if that would take too long."""
        assert job.customer is not None
        usage = self._usages.get(job.customer.name)
        if usage is None:
            return None
        amount = compute_amount(usage.quota, job.request.headers)
        if amount > compute_largest_amount(usage.quota):
            usage.count_refused(amount)
            return QuotaRefusal(reason=TOO_LARGE, retry_after_s=RETURN_HORIZON_S)
        now = self._now()
        permit = None
        if amount <= 0.0:
            permit = Permit(name=usage.name, ends_at=now, amount=0.0)
        elif not usage.waiting:
            permit = usage.pool.take(usage.name, now, amount)
        found = permit or await self._wait(usage, job, amount, now)
        if isinstance(found, QuotaRefusal):
            usage.count_refused(amount)
            return found
        job.quota_permit = found
        usage.count_admitted(amount)
        return None

    def give_back(self, job: Job) -> None:
        """Take back the credit of a request that ended without having been sent."""
        permit, job.quota_permit = job.quota_permit, None
        usage = self._usages.get(permit.name) if permit is not None else None
        if permit is None or usage is None:
            return
        usage.count_given_back()
        self._add_credit(usage, permit.amount, permit.ends_at)

    def apply_message(self, message: Any) -> None:
        """Apply a message of another VM, or of this one to itself."""
        self._apply(message)

    @singledispatchmethod
    def _apply(self, message: Any) -> None:
        raise TypeError(f"not a message on quotas: {type(message).__name__}")

    @_apply.register
    def _apply_request(self, request: QuotaRequest) -> None:
        self._service.apply_request(request)

    @_apply.register
    def _apply_grant(self, grant: QuotaGrant) -> None:
        self._chooser.record_answer(grant.vm)
        self._answered_at[grant.vm] = self._now()
        self._doubted_until.pop(grant.vm, None)
        sent_at = self._sent_at.get(grant.request_number)
        if sent_at is None:
            return
        ends_at = sent_at + CREDIT_LIFETIME_S
        for number in grant.granted:
            self._apply_credit(number, ends_at)
        for number, retry_after_ms in grant.refused.items():
            waiting = self._waiting.get(number)
            if waiting is not None:
                retry_after_s = retry_after_ms / 1000.0
                self._settle(waiting, QuotaRefusal(reason=USED_UP, retry_after_s=retry_after_s))

    @_apply.register
    def _apply_doubt(self, doubt: QuotaDoubt) -> None:
        """Ask an issuer that does not answer another VM, unless a question to it is open."""
        now = self._now()
        groups = [group for group, issuer in self._issuers.items() if issuer == doubt.issuer]
        self._next_doubt_at[doubt.issuer] = now + DOUBT_INTERVAL_S
        if not groups or self._chooser.has_been_silent_s(doubt.issuer, now) > 0.0:
            return
        self._probe(doubt.issuer)
        self._doubted_until[doubt.issuer] = now + DOUBT_INTERVAL_S
        self._chooser.record_question(doubt.issuer, now)
        for group in groups:
            self._due_at[group] = min(self._due_at.get(group, now), now + DEMAND_INTERVAL_S)

    def _apply_credit(self, number: int, ends_at: float) -> None:
        if self._now() >= ends_at:
            return
        waiting = self._waiting.get(number)
        if waiting is not None:
            permit = Permit(name=waiting.customer, ends_at=ends_at, amount=waiting.amount)
            self._settle(waiting, permit)
            return
        customer, amount = self._abandoned.pop(number, ("", 0.0))
        usage = self._usages.get(customer)
        if usage is not None:
            self._add_credit(usage, amount, ends_at)

    def _add_credit(self, usage: CustomerUsage, amount: float, ends_at: float) -> None:
        """Give credit at hand to the requests that wait, the rest to later ones."""
        now = self._now()
        if amount <= 0.0 or now >= ends_at:
            return
        usage.pool.add_amount(amount, ends_at)
        for waiting in sorted(usage.waiting.values(), key=lambda found: found.rank):
            if waiting.number not in self._waiting:
                continue  # an earlier one ended at once, and its credit came back here
            permit = usage.pool.take(usage.name, now, waiting.amount)
            if permit is None:
                return
            self._abandon(waiting)
            self._settle(waiting, permit)

    async def _wait(
        self, usage: CustomerUsage, job: Job, amount: float, now: float
    ) -> Permit | QuotaRefusal | None:
        wait_s = _find_longest_wait_s(job, now)
        self._last_number += 1
        waiting = WaitingRequest(
            customer=usage.name,
            number=self._last_number,
            priority=compute_rank(usage.quota, amount, job.route.priority),
            amount=amount,
            ends_at=now + wait_s,
            settled=Deferred(),
        )
        waiting.timer = self._reactor.callLater(wait_s, self._end_wait, waiting)
        usage.waiting[waiting.number] = self._waiting[waiting.number] = waiting
        self._unsent_groups.add(usage.group)
        if not self._demand_scheduled:
            self._demand_scheduled = True
            self._reactor.callLater(DEMAND_GATHER_S, self._send_gathered_demand)
        return await waiting.settled

    def _end_wait(self, waiting: WaitingRequest) -> None:
        self._abandon(waiting)
        self._settle(waiting, QuotaRefusal(reason=USED_UP, retry_after_s=NO_ISSUER_RETURN_S))

    def _abandon(self, waiting: WaitingRequest) -> None:
        """Remember a request that no longer needs the credit for which it asked."""
        self._abandoned[waiting.number] = (waiting.customer, waiting.amount)
        if len(self._abandoned) > MAX_ABANDONED:
            self._abandoned.popitem(last=False)

    def _settle(self, waiting: WaitingRequest, result: Permit | QuotaRefusal | None) -> None:
        if self._waiting.pop(waiting.number, None) is None:
            return
        usage = self._usages.get(waiting.customer)
        if usage is not None:
            usage.waiting.pop(waiting.number, None)
        if waiting.timer.active():
            waiting.timer.cancel()
        waiting.settled.callback(result)

    def _tick(self) -> None:
        if not self._usages:
            self._ticking = False
            self._due_at.clear()
            self._service.tick()
            return
        self._reactor.callLater(TICK_S, self._tick)
        now = self._now()
        self._service.tick()
        due = [group for group in self._groups if now >= self._due_at.get(group, 0.0)]
        if due:
            self._send_demand(due, now)
        self._report_doubts(now)
        if now >= self._probes_due_at:
            self._probes_due_at = now + PROBE_INTERVAL_S
            self._probe_silent(now)
        self._forget_old_requests(now)
        if now >= self._usage_due_at:
            self._usage_due_at = now + USAGE_LOG_INTERVAL_S
            self._log_usage()

    def _send_gathered_demand(self) -> None:
        self._demand_scheduled = False
        groups, self._unsent_groups = self._unsent_groups, set()
        self._send_demand([group for group in groups if group in self._groups], self._now())

    def _send_demand(self, groups: Iterable[int], now: float) -> None:
        """Send this VM's shares and demand of some groups to their issuers."""
        holds_share = self._membership.holds_share(now)
        if now >= self._candidates_due_at:
            self._candidates_due_at = now + CANDIDATES_INTERVAL_S
            self._chooser.set_candidates([self._vm, *self._link.list_customer_peers()])
            self._vms = self._membership.count_recent_vms(now)
        by_issuer: defaultdict[str, dict[int, bool]] = defaultdict(dict)
        asking: defaultdict[str, list[WaitingRequest]] = defaultdict(list)
        probed: dict[str, bool] = {}
        for group in groups:
            choice = self._chooser.choose(str(group), now)
            self._issuers[group] = choice.issuer if choice is not None else None
            if choice is None:
                self._due_at[group] = now + TICK_S
                continue
            waiting = [found for usage in self._groups[group] for found in usage.waiting.values()]
            silent_s = self._chooser.has_been_silent_s(choice.issuer, now)
            # Without a share this VM delegates none, to itself neither. An issuer issues only what
            # delegated shares allow, so that it issues nothing once these have ended.
            may_delegate = holds_share and now >= self._first_share_at
            is_doubted = self._is_doubted(choice.issuer, now)
            delegates = choice.delegates and may_delegate and not is_doubted
            probes = silent_s >= PROBE_AFTER_S or is_doubted
            wants_answer = bool(waiting) or probes
            self._chooser.record_sent(
                str(group), choice, asks=wants_answer, delegates=delegates, now=now
            )
            self._due_at[group] = now + (DEMAND_INTERVAL_S if wants_answer else SHARE_INTERVAL_S)
            probed[choice.issuer] = probes
            by_issuer[choice.issuer][group] = delegates
            asking[choice.issuer] += waiting
        for issuer, delegations in by_issuer.items():
            self._request_number += 1
            asks = [_describe(found, now) for found in choose_asked(asking[issuer], MAX_ASKS)]
            if len(asking[issuer]) > MAX_ASKS:
                self._due_at |= dict.fromkeys(delegations, now + TICK_S)
            if asks:
                self._sent_at[self._request_number] = now
            request = QuotaRequest(
                vm=self._vm,
                request_number=self._request_number,
                groups=delegations,
                asks=asks,
                probes=probed[issuer],
                vms=self._vms,
            )
            if issuer == self._vm:
                self._service.apply_request(request)
            else:
                self._link.send(request, [issuer])

    def _report_doubts(self, now: float) -> None:
        """Tell all VMs of issuers that do not answer; most VMs have no demand that shows it."""
        for issuer in {found for found in self._issuers.values() if found is not None}:
            is_silent = self._chooser.has_been_silent_s(issuer, now) >= DOUBT_S
            if is_silent and now >= self._next_doubt_at.get(issuer, now):
                self._next_doubt_at[issuer] = now + DOUBT_INTERVAL_S
                doubt = QuotaDoubt(vm=self._vm, issuer=issuer)
                self._link.send(doubt, self._link.list_customer_peers())

    def _probe_silent(self, now: float) -> None:
        """Ask the issuers that did not answer, and those that would replace them."""
        for issuer in self._chooser.list_silent(now):
            self._probe(issuer)
        self._answered_at = {
            vm: at for vm, at in self._answered_at.items() if now < at + ANSWER_AGE_S
        }
        for candidate in sorted(self._list_ahead(now)):
            self._probe(candidate)
            self._chooser.record_question(candidate, now)

    def _list_ahead(self, now: float) -> set[str]:
        """Return the candidates that may get shares next and did not answer of late.

        Each that is out of reach would hold the share for a delegation's time otherwise.
        """
        ahead: set[str] = set()
        for group in self._groups:
            subject = str(group)
            found = self._chooser.list_next(subject, now)
            lacks_issuer = self._chooser.passes_over(
                subject, now
            ) and not self._chooser.has_delegated(subject, found[0], now)
            if not lacks_issuer and not self._is_doubted(found[0], now):
                continue
            for candidate in found[:CANDIDATES_AHEAD]:
                if candidate == self._vm or self._has_answered(candidate, now):
                    break
                ahead.add(candidate)
        return ahead

    def _is_doubted(self, issuer: str, now: float) -> bool:
        is_silent = self._chooser.has_been_silent_s(issuer, now) >= DOUBT_S
        return is_silent or now < self._doubted_until.get(issuer, 0.0)

    def _has_answered(self, issuer: str, now: float) -> bool:
        return issuer in self._answered_at and not self._is_doubted(issuer, now)

    def _probe(self, issuer: str) -> None:
        self._request_number += 1
        probe = QuotaRequest(
            vm=self._vm, request_number=self._request_number, groups={}, probes=True
        )
        self._link.send(probe, [issuer])

    def _forget_old_requests(self, now: float) -> None:
        """Forget the messages whose credit would have ended."""
        while self._sent_at:
            number, sent_at = next(iter(self._sent_at.items()))
            if now < sent_at + CREDIT_LIFETIME_S:
                return
            del self._sent_at[number]

    def _send_grant(self, grant: QuotaGrant, vm: str) -> None:
        if vm == self._vm:
            self._apply_grant(grant)
        else:
            self._link.send(grant, [vm])

    def _log_usage(self) -> None:
        used = [usage for usage in self._usages.values() if not usage.recent.is_empty]
        used.sort(key=lambda usage: (-usage.recent.refused, -usage.recent.admitted_amount))
        for usage in used[:MAX_USAGE_LINES]:
            log_event(
                "quota_usage",
                customer=usage.name,
                interval_s=USAGE_LOG_INTERVAL_S,
                rate_per_s=usage.quota.rate_per_s,
                burst=usage.quota.burst,
                unit=usage.quota.unit.value,
                issuer=self.find_issuer(usage),
                waiting=len(usage.waiting),
                admitted=usage.recent.admitted,
                admitted_amount=usage.recent.admitted_amount,
                refused=usage.recent.refused,
                refused_amount=usage.recent.refused_amount,
                given_back=usage.recent.given_back,
            )
        for usage in used:
            usage.begin_interval()

    def _now(self) -> float:
        return self._reactor.seconds()  # type: ignore[no-any-return]


def _find_longest_wait_s(job: Job, now: float) -> float:
    longest_s = max(MIN_WAIT_S, WAIT_FRACTION * job.route.target_latency_ms / 1000.0)
    return max(0.0, min(longest_s, job.deadline - now))


def _describe(waiting: WaitingRequest, now: float) -> QuotaAsk:
    return QuotaAsk(
        customer=waiting.customer,
        number=waiting.number,
        priority=waiting.priority,
        amount=int(waiting.amount),
        wait_ms=max(0, int((waiting.ends_at - now - ANSWER_S) * 1000)),
    )
