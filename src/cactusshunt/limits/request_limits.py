"""Keeps this VM's requests within the request limits that upstreams name for all VMs together.

A limited upstream gets a request only with a permit. The VMs agree on limits by reports, delegate
their shares of each to one VM, and ask it for permits when requests need them (see
docs/design/limits.md). While no upstream names a limit, nothing is sent or computed.
"""

from __future__ import annotations

import math
import secrets

from collections import OrderedDict
from collections import defaultdict
from functools import singledispatchmethod
from typing import TYPE_CHECKING
from typing import Any

from cactusshunt.exceptions import HeaderValueError
from cactusshunt.limits.issue_rate import PERMIT_LIFETIME_S
from cactusshunt.limits.limit_register import KnownLimit
from cactusshunt.limits.limit_register import LimitRegister
from cactusshunt.limits.limited_upstream import LimitedUpstream
from cactusshunt.limits.permit_service import PermitService
from cactusshunt.limits.upstream_room import UpstreamRoom
from cactusshunt.membership.messages import LimitReport
from cactusshunt.membership.messages import PermitGrant
from cactusshunt.membership.messages import PermitRequest
from cactusshunt.membership.messages import UpstreamDemand
from cactusshunt.membership.messages import UpstreamLimit
from cactusshunt.node_log import log_event
from cactusshunt.permits.issuer_choice import IssuerChooser
from cactusshunt.platform import headers as names

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from cactusshunt.limits.limited_upstream import Place
    from cactusshunt.membership.membership_task import MembershipTask
    from cactusshunt.membership.peer_link import PeerLink
    from cactusshunt.permits.permit_pool import Permit
    from cactusshunt.platform.headers import Headers
    from cactusshunt.routing.upstream import Upstream
    from cactusshunt.routing.upstream_directory import UpstreamDirectory

TICK_S = 0.05  # delays a permit by half of it on average
DEMAND_GATHER_S = 0.002  # puts requests that begin to wait together into one datagram
DEMAND_INTERVAL_S = 0.2  # demand that is not repeated ends after DEMAND_LIFETIME_S
SHARE_INTERVAL_S = 0.6  # shares end after DELEGATION_LIFETIME_S
REPORT_INTERVAL_S = 2.0  # for VMs that missed a report; below LIMIT_RETENTION_S
REPORT_REPEAT_S = 0.15  # a changed limit is reported twice, because datagrams may be lost
MAX_REPORTED_LIMITS = 8  # by turns, which bounds the bytes when very many upstreams have limits
USAGE_LOG_INTERVAL_S = 5.0
MAX_USAGE_LINES = 20  # in each interval; upstreams that held requests back come first
MAX_REMEMBERED_GRANTS = 4_096  # to recognise duplicates, which follow within milliseconds


class RequestLimits:
    """Limits, permits and shares of this VM; issues permits to VMs that ask it.

    ``on_permits`` is called when permits arrive or a limit changes.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        vm: str,
        directory: UpstreamDirectory,
        membership: MembershipTask,
        link: PeerLink,
    ) -> None:
        self._reactor = reactor
        self._vm = vm
        self._directory = directory
        self._link = link
        self.room = UpstreamRoom(clock=reactor.seconds, count_vms=lambda: 1 + len(self._link.peers))
        self._register = LimitRegister(vm=vm)
        self._chooser = IssuerChooser(vm=vm)
        self._limited: dict[str, LimitedUpstream] = {}
        self._service = PermitService(
            vm=vm,
            clock=reactor.seconds,
            register=self._register,
            membership=membership,
            send=self._send_grant,
        )
        self._request_number = secrets.randbits(40)
        # times at which requests for permits were sent, and grants received, the latest last
        self._sent_at: dict[int, float] = {}
        self._grants: OrderedDict[tuple[str, int], None] = OrderedDict()
        self._demand_scheduled = False
        self._ticking = False
        self._known_peers: frozenset[str] = frozenset()
        self._report_due_at = 0.0
        self._usage_due_at = 0.0
        self._reported = 0
        self.on_permits: Callable[[], None] = lambda: None

    def find(self, upstream: str) -> LimitedUpstream | None:
        """Return what is known of a limited upstream, ``None`` if it has no limit."""
        return self._limited.get(upstream)

    def list_all(self) -> dict[str, LimitedUpstream]:
        """Return all limited upstreams by name."""
        return self._limited

    def record_answer(self, upstream: Upstream, headers: Headers) -> None:
        """Learn from the head of an answer what the upstream says of its limits."""
        instance = names.find_header(headers, names.INSTANCE_ID)
        if instance is not None and instance != upstream.name.encode():
            return
        self.room.record_answer(upstream, headers)
        try:
            per_s = names.read_request_limit(headers)
        except HeaderValueError as error:
            log_event("limit_unreadable", upstream=upstream.name, reason=error.reason)
            return
        now = self._now()
        if self._register.record_answer(upstream.name, upstream.entry.born, per_s, now):
            self._apply_change(upstream.name, now)
            self._report([upstream.name])
            self._reactor.callLater(REPORT_REPEAT_S, self._report, [upstream.name])
        else:
            self._confirm(upstream.name)

    def estimate_wait_ms(self, upstream: str, priority: int, place: Place | None) -> float:
        """Return how long a request would wait for a permit, 0 if it needs none or gets one."""
        limited = self._limited.get(upstream)
        if limited is None:
            return 0.0
        return 1000.0 * limited.estimate_wait_s(priority, place, self._now())

    def count_held_back(self, upstream: str) -> None:
        """Count a request that goes elsewhere for lack of a permit."""
        limited = self._limited.get(upstream)
        if limited is not None:
            limited.usage.count_held_back()

    def take_permit(self, upstream: str, priority: int, place: Place | None) -> Permit | None:
        """Take a permit, unless requests that wait before this one need those at hand."""
        limited = self._limited.get(upstream)
        return limited.take_permit(priority, place, self._now()) if limited is not None else None

    def return_permit(self, permit: Permit | None) -> None:
        """Give back a permit that was not used."""
        if permit is None or permit.name not in self._limited:
            return
        if permit.is_valid(self._now()):
            self._limited[permit.name].pool.add(1, permit.ends_at)
            self.on_permits()

    def may_send(self, upstream: str, permit: Permit | None) -> bool:
        """Return whether a request may be sent now, and count it."""
        limited = self._limited.get(upstream)
        if limited is None:
            return True
        if permit is None or not permit.is_valid(self._now()):
            return False
        limited.usage.count_sent()
        return True

    def begin_wait(self, upstream: str, priority: int) -> Place | None:
        """Ask for a permit until ``end_wait``; return the place among the waiting requests."""
        limited = self._limited.get(upstream)
        if limited is None:
            return None
        self._send_demand_soon()
        return limited.begin_wait(priority)

    def end_wait(self, upstream: str, place: Place | None) -> None:
        """Stop asking for one permit."""
        limited = self._limited.get(upstream)
        if limited is not None and place is not None:
            limited.end_wait(place)
            self._send_demand_soon()

    def _send_demand_soon(self) -> None:
        if not self._demand_scheduled:
            self._demand_scheduled = True
            self._reactor.callLater(DEMAND_GATHER_S, self._send_gathered_demand)

    def apply_message(self, message: Any) -> None:
        """Apply a message of another VM, or of this one to itself."""
        self._apply(message)

    @singledispatchmethod
    def _apply(self, message: Any) -> None:
        raise TypeError(f"not a message on request limits: {type(message).__name__}")

    @_apply.register
    def _apply_report(self, report: LimitReport) -> None:
        for limit in report.limits:
            self._learn(limit)

    @_apply.register
    def _apply_request(self, request: PermitRequest) -> None:
        for demand in request.demands:
            self._learn(demand.limit)
            if demand.limit.upstream not in self._limited:
                self._report_lifted(demand.limit.upstream, request.vm)
        self._service.apply_request(request)

    @_apply.register
    def _apply_grant(self, grant: PermitGrant) -> None:
        self._chooser.record_answer(grant.vm)
        sent_at = self._sent_at.get(grant.request_number)
        key = (grant.vm, grant.grant_number)
        if sent_at is None or key in self._grants:
            return
        self._grants[key] = None
        if len(self._grants) > MAX_REMEMBERED_GRANTS:
            self._grants.popitem(last=False)
        for permits in grant.permits:
            limited = self._limited.get(permits.upstream)
            if limited is not None:
                limited.apply_permits(permits, ends_at=sent_at + PERMIT_LIFETIME_S, now=self._now())
        self.on_permits()

    def _learn(self, limit: UpstreamLimit) -> None:
        upstream = self._directory.find(limit.upstream)
        if upstream is None or upstream.entry.born != limit.born:
            return
        now = self._now()
        observed_at = now - max(0, limit.age_ms) / 1000.0
        reported = KnownLimit(
            born=limit.born,
            per_s=limit.per_s,
            observed_at=observed_at,
            known_since=now,
            source=limit.source,
        )
        if self._register.apply_report(limit.upstream, reported):
            self._apply_change(limit.upstream, now)
        else:
            self._confirm(limit.upstream)

    def _confirm(self, upstream: str) -> None:
        """Take over when the limit was last observed."""
        known = self._register.find(upstream)
        if known is not None and upstream in self._limited:
            self._limited[upstream].limit = known

    def _apply_change(self, upstream: str, now: float) -> None:
        """Begin, change or end the limitation of an upstream after the register has changed."""
        known = self._register.read_latest(upstream)
        assert known is not None
        log_event(
            "limit_named",
            upstream=upstream,
            per_s=known.per_s,
            source=known.source,
            age_ms=int((now - known.observed_at) * 1000),
        )
        if known.per_s is None:
            self._end(upstream)
            return
        limited = self._limited.get(upstream)
        if limited is None:
            limited = self._limited[upstream] = LimitedUpstream(name=upstream)
        limited.limit = known
        found = self._directory.find(upstream)
        if found is not None:
            found.request_limit_per_s = known.rate_per_s
        self._send_demand([upstream], now)
        if not self._ticking:
            self._ticking = True
            self._usage_due_at = now + USAGE_LOG_INTERVAL_S
            self._reactor.callLater(TICK_S, self._tick)

    def _end(self, upstream: str) -> None:
        self._limited.pop(upstream, None)
        self._service.forget(upstream)
        self._chooser.forget(upstream)
        found = self._directory.find(upstream)
        if found is not None:
            found.request_limit_per_s = None
        self.on_permits()

    def _tick(self) -> None:
        try:
            self._end_replaced()
        finally:
            if self._limited:
                self._reactor.callLater(TICK_S, self._tick)
            else:
                self._ticking = False
        if self._limited:
            self._inform(self._now())

    def _end_replaced(self) -> None:
        """End the limits of upstreams that are gone or have started again."""
        for name in list(self._limited):
            found = self._directory.find(name)
            if found is None or found.entry.born != self._limited[name].limit.born:
                self._register.forget(name)
                self._end(name)

    def _inform(self, now: float) -> None:
        """Issue permits, and tell the other VMs of demand and limits."""
        self._send_demand(
            [name for name, limited in self._limited.items() if limited.is_due(now)], now
        )
        self._service.issue()
        self._report_by_turns(now)
        self._log_usage(now)

    def _send_gathered_demand(self) -> None:
        self._demand_scheduled = False
        waiting = [name for name, limited in self._limited.items() if limited.has_other_demand()]
        self._send_demand(waiting, self._now())

    def _send_demand(self, upstreams: Iterable[str], now: float) -> None:
        """Send this VM's shares and demand to the issuers."""
        self._chooser.set_candidates([self._vm, *self._link.list_limit_peers()])
        by_issuer: defaultdict[str, list[UpstreamDemand]] = defaultdict(list)
        for name in upstreams:
            limited = self._limited.get(name)
            if limited is None:
                continue
            choice = self._chooser.choose(name, now)
            limited.issuer = choice.issuer if choice is not None else None
            if choice is None:
                limited.postpone(now + TICK_S)
                continue
            waiting = limited.read_waiting()
            self._chooser.record_sent(name, choice, asks=bool(waiting), now=now)
            limited.record_sent(now + (DEMAND_INTERVAL_S if waiting else SHARE_INTERVAL_S))
            by_issuer[choice.issuer].append(
                UpstreamDemand(
                    limit=self._describe(name, now), delegates=choice.delegates, waiting=waiting
                )
            )
        self._forget_old_requests(now)
        for issuer, demands in by_issuer.items():
            self._request_number += 1
            self._sent_at[self._request_number] = now
            request = PermitRequest(
                vm=self._vm, request_number=self._request_number, demands=demands
            )
            if issuer == self._vm:
                self._apply_request(request)
            else:
                self._link.send(request, [issuer])

    def _forget_old_requests(self, now: float) -> None:
        """Forget the requests for permits whose permits would have ended."""
        while self._sent_at:
            number, sent_at = next(iter(self._sent_at.items()))
            if now < sent_at + PERMIT_LIFETIME_S:
                return
            del self._sent_at[number]

    def _describe(self, upstream: str, now: float) -> UpstreamLimit:
        known = self._register.read_latest(upstream)
        assert known is not None
        return UpstreamLimit(
            upstream=upstream,
            born=known.born,
            per_s=known.per_s,
            source=known.source,
            # Rounded up, or the observation would seem newer with each report.
            age_ms=math.ceil((now - known.observed_at) * 1000),
        )

    def _send_grant(self, grant: PermitGrant, vm: str) -> None:
        if vm == self._vm:
            self._apply_grant(grant)
        else:
            self._link.send(grant, [vm])

    def _report(self, upstreams: Iterable[str]) -> None:
        now = self._now()
        limits = [
            self._describe(name, now)
            for name in upstreams
            if self._register.read_latest(name) is not None
        ]
        if limits:
            self._link.broadcast(LimitReport(vm=self._vm, limits=limits))

    def _report_lifted(self, upstream: str, vm: str) -> None:
        """Tell a VM that missed it that a limit was lifted; it would never notice by itself."""
        if self._register.read_latest(upstream) is not None:
            limits = [self._describe(upstream, self._now())]
            self._link.send(LimitReport(vm=self._vm, limits=limits), [vm])

    def _report_by_turns(self, now: float) -> None:
        """Repeat the limits for which this VM issues permits, at once if a VM has joined."""
        peers = frozenset(self._link.peers)
        has_joined = bool(peers - self._known_peers)
        self._known_peers = peers
        if now < self._report_due_at and not has_joined:
            return
        self._report_due_at = now + REPORT_INTERVAL_S
        issued = sorted(name for name in self._service.upstreams if name in self._limited)
        if issued:
            first = self._reported % len(issued)
            self._reported = first + MAX_REPORTED_LIMITS
            self._report(issued[first : first + MAX_REPORTED_LIMITS])

    def _log_usage(self, now: float) -> None:
        if now < self._usage_due_at:
            return
        self._usage_due_at = now + USAGE_LOG_INTERVAL_S
        used = [
            limited
            for limited in self._limited.values()
            if limited.usage.sent or limited.usage.held_back
        ]
        used.sort(key=lambda limited: -limited.usage.held_back)
        for limited in used[:MAX_USAGE_LINES]:
            log_event(
                "limit_usage",
                upstream=limited.name,
                interval_s=USAGE_LOG_INTERVAL_S,
                per_s=limited.limit.per_s,
                source=limited.limit.source,
                known_s=round(now - limited.limit.known_since, 1),
                confirmed_ms=int((now - limited.limit.observed_at) * 1000),
                issuer=limited.issuer,
                share_per_s=limited.share_per_s,
                permits=limited.pool.count(now),
                permits_end_ms=limited.pool.longest_left_ms(now),
                waiting=limited.waiting,
                sent=limited.usage.sent,
                held_back=limited.usage.held_back,
                refused=limited.usage.refused,
            )
        for limited in used:
            limited.usage.begin_interval()

    def _now(self) -> float:
        return self._reactor.seconds()  # type: ignore[no-any-return]
