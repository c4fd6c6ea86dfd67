"""Passes a request on to a VM that reaches its service, while this one does not."""

from __future__ import annotations

import random

from collections import Counter
from contextlib import suppress
from typing import TYPE_CHECKING
from typing import Any

from cactusshunt.exceptions import HeaderValueError
from cactusshunt.exceptions import UpstreamNotReachedError
from cactusshunt.http1.upstream_connection import ExchangeEnd
from cactusshunt.membership.peer_link import CUSTOMERS_MESSAGE_VERSION
from cactusshunt.membership.peer_link import DETOUR_MESSAGE_VERSION
from cactusshunt.membership.peer_link import NOTICES_MESSAGE_VERSION
from cactusshunt.node_log import log_event
from cactusshunt.platform import headers as names
from cactusshunt.platform.request_headers import build_detour_headers
from cactusshunt.requests.exchange import count_body_bytes
from cactusshunt.requests.exchange import exchange
from cactusshunt.requests.exchange import prepare_exchange
from cactusshunt.requests.outcome import Outcome

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactusshunt.detour.service_reach import ServiceReach
    from cactusshunt.http1.connection_pool import ConnectionPool
    from cactusshunt.membership.peer_link import Peer
    from cactusshunt.membership.peer_link import PeerLink
    from cactusshunt.requests.job import Job
    from cactusshunt.routing.upstream import Upstream

UNREACHED_BEFORE_DETOUR = 2  # upstreams to which a request's connection failed
# The other VM gets this much less time than is left, so that its last answer can be forwarded.
DEADLINE_MARGIN_MS = 20
MAX_AVOIDED = 200  # names in a request's head, a few kilobytes

# What the other VM's own answer says of the request, by what it says and the status. Any other one,
# such as a rejection with 401, 404 or 501, is final and is forwarded, unless a stream has begun.
_OUTCOMES: dict[tuple[bytes, int], Outcome] = {
    (names.DETOUR_NOT_RUN, 429): Outcome.NOT_RUN,
    (names.DETOUR_NOT_RUN, 503): Outcome.NOT_RUN,
    (names.DETOUR_UNKNOWN, 502): Outcome.UNKNOWN,
    (names.DETOUR_UNKNOWN, 504): Outcome.TIMED_OUT,
}


class Detour:
    """Chooses the other VM, and runs the attempt there as one at an upstream."""

    def __init__(
        self,
        *,
        reactor: Any,
        vm: str,
        availability_zone: str,
        pool: ConnectionPool,
        link: PeerLink,
        reach: ServiceReach,
        configuration_version: Callable[[], int],
        list_leaving: Callable[[str], list[Upstream]],
    ) -> None:
        self._reactor = reactor
        self._vm = vm
        self._list_leaving = list_leaving
        self._zone = availability_zone
        self._pool = pool
        self._link = link
        self._reach = reach
        self._configuration_version = configuration_version
        self._random = random.Random()
        self._running: Counter[str] = Counter()

    def is_needed(self, job: Job) -> bool:
        """Return whether a request should be passed on, and to whom it can be.

        One that another VM passed on is never passed on again.
        """
        if job.is_detour:
            return False
        is_cut_off = self._reach.is_cut_off(job.service)
        if not is_cut_off and job.unreached < UNREACHED_BEFORE_DETOUR:
            return False
        return bool(self._list_helpers(job))

    async def attempt(self, job: Job) -> Outcome:
        """Pass a request on to another VM and return how the attempt ended."""
        peer = self._choose(job)
        job.excluded_upstreams.add(peer.vm)
        address = (peer.record.address, peer.record.port)
        try:
            connection = await self._pool.acquire(address)
        except UpstreamNotReachedError:
            return Outcome.NOT_REACHED
        if job.done or job.connection.disconnected:
            self._pool.release(address, connection)
            return Outcome.CALLER_GONE if job.connection.disconnected else Outcome.NOT_REACHED
        now = self._reactor.seconds()
        prepare_exchange(job, now)
        job.passed_on = True
        job.attempt_version = None
        job.sink.on_head = lambda: self._record_head(job)
        job.sink.on_first_byte = lambda: self._record_first_byte(job)
        headers = build_detour_headers(
            job.headers,
            vm=self._vm,
            configuration_version=self._configuration_version(),
            left_ms=job.left_ms(now) - DEADLINE_MARGIN_MS,
            resume_after=job.sink.events.last_id if job.sink.forwarding_started else None,
            stream_version=job.stream_version,
            avoided=self._list_avoided(job, peer),
            key_digest=job.key_digest,
            body_bytes=count_body_bytes(job),
        )
        self._running[peer.vm] += 1
        end = await exchange(self._reactor, job, connection, headers)
        self._running[peer.vm] -= 1
        self._pool.release(address, connection)
        outcome = _classify_outcome(job, end)
        if outcome is Outcome.NOT_RUN:
            with suppress(HeaderValueError):
                job.retry_after_s = names.read_retry_after(job.sink.headers) or job.retry_after_s
        log_event(
            "detour",
            request=job.request_id.decode("latin-1"),
            route=job.route.name,
            vm_asked=peer.vm,
            outcome=outcome.name,
            status=job.sink.status,
            took_ms=int((self._reactor.seconds() - now) * 1000),
        )
        return outcome

    def _list_avoided(self, job: Job, peer: Peer) -> list[str]:
        """Return the upstreams that leave, which the other VM may not have heard of."""
        if peer.record.message_version < NOTICES_MESSAGE_VERSION:
            return []
        leaving = self._list_leaving(job.service)
        return [upstream.name for upstream in leaving[-MAX_AVOIDED:]]

    def _record_head(self, job: Job) -> None:
        job.attempt_version = names.read_stream_version(job.sink.headers)

    def _record_first_byte(self, job: Job) -> None:
        job.attempt_first_byte_at = self._reactor.seconds()
        if job.first_byte_at is None:
            job.first_byte_at = job.attempt_first_byte_at

    def _choose(self, job: Job) -> Peer:
        """Return the VM in the own zone with the fewest of this VM's requests, else another.

        While upstreams leave, VMs that are told which ones come first.
        """
        tells = bool(self._list_leaving(job.service))
        return min(
            self._list_helpers(job),
            key=lambda peer: (
                tells and peer.record.message_version < NOTICES_MESSAGE_VERSION,
                peer.record.availability_zone != self._zone,
                self._running[peer.vm],
                self._random.random(),
            ),
        )

    def _list_helpers(self, job: Job) -> list[Peer]:
        needed = CUSTOMERS_MESSAGE_VERSION if job.key_digest else DETOUR_MESSAGE_VERSION
        peers = [self._link.peers.get(vm) for vm in self._reach.list_helpers(job.service)]
        return [
            peer
            for peer in peers
            if peer is not None
            and peer.record.message_version >= needed
            and peer.vm not in job.excluded_upstreams
        ]


def _classify_outcome(job: Job, end: ExchangeEnd) -> Outcome:
    sink = job.sink
    if end is ExchangeEnd.CANCELLED:
        return Outcome.CALLER_GONE if job.connection.disconnected else Outcome.TIMED_OUT
    if end is ExchangeEnd.UNWRITABLE:
        return Outcome.NOT_REACHED
    if end is not ExchangeEnd.COMPLETE or not sink.identified:
        return Outcome.UNKNOWN
    said = names.find_header(sink.headers, names.DETOUR_RESULT)
    if said is not None:
        # A caller that has a part of a stream would take a rejection for the stream's end.
        rejected = said == names.DETOUR_NOT_RUN and sink.forwarding_started
        final = Outcome.NOT_RUN if rejected else Outcome.ANSWERED
        return _OUTCOMES.get((said, sink.status), final)
    if sink.succeeded:
        unfinished = job.route.streams and sink.unfinished
        return Outcome.UNKNOWN if unfinished else Outcome.ANSWERED
    if sink.status in names.REFUSAL_STATUSES or 300 <= sink.status < 400:
        return Outcome.UNKNOWN
    return Outcome.FAILED
