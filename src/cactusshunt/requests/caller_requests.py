"""Accepts callers' requests from their connections and starts their handling."""

from __future__ import annotations

import random

from typing import TYPE_CHECKING

from cactusshunt.configuration.routes import RouteTable
from cactusshunt.configuration.routes import choose_service
from cactusshunt.http1.caller_connection import RequestLimits
from cactusshunt.node_log import log_event
from cactusshunt.platform import headers as names
from cactusshunt.platform.model_headers import read_deadline_ms
from cactusshunt.platform.model_headers import read_generation_request
from cactusshunt.requests import local_answers
from cactusshunt.requests.admission import Refusal
from cactusshunt.requests.answer_sink import AnswerSink
from cactusshunt.requests.customer_access import CustomerAccess
from cactusshunt.requests.job import Job
from cactusshunt.requests.request_log import log_failure
from cactusshunt.requests.stopping import check_while_stopping
from cactusshunt.tasks.periodic import start_coroutine

if TYPE_CHECKING:
    from twisted.internet.base import ReactorBase

    from cactusshunt.customers.customer import Customer
    from cactusshunt.customers.customer_quotas import CustomerQuotas
    from cactusshunt.http1.caller_connection import CallerConnection
    from cactusshunt.http1.caller_connection import ReceivedRequest
    from cactusshunt.placement.demand_meter import DemandMeter
    from cactusshunt.platform.documents import Configuration
    from cactusshunt.platform.documents import Route
    from cactusshunt.requests.customer_access import Access
    from cactusshunt.requests.relay import Relay

DEFAULT_LIMITS = RequestLimits(
    header_bytes=16_384, body_bytes=4_194_304, request_timeout_s=5.0, idle_timeout_s=15.0
)
"""Used before any configuration is known; the usual limits of HTTP servers."""
MAX_JOBS_IN_FLIGHT = 2_000  # at about 20 KB each, 40 MB in all, well below a VM's memory
RETRY_AFTER_S = 0.5
TUNNEL_METHOD = b"CONNECT"  # asks for a tunnel, which no upstream of a route gives


class CallerRequests:
    """Handler of callers' connections: limits, routes, and the requests in flight."""

    def __init__(
        self,
        *,
        reactor: ReactorBase,
        relay: Relay,
        meter: DemandMeter,
        grace_s: float,
        quotas: CustomerQuotas,
    ) -> None:
        self._reactor = reactor
        self._relay = relay
        self._meter = meter
        self._quotas = quotas
        self._table: RouteTable | None = None
        self._access = CustomerAccess(customers=None)
        self._limits = DEFAULT_LIMITS
        self._random = random.Random()
        self.connections: set[CallerConnection] = set()
        self._jobs: set[Job] = set()
        self.detours_in_flight = 0
        self._grace_s = grace_s
        self._stopping_since: float | None = None

    def set_configuration(self, configuration: Configuration) -> None:
        """Apply a configuration to all requests from now on."""
        self._table = RouteTable(configuration=configuration)
        self._access = CustomerAccess(
            customers=configuration.customers, routes=configuration.routes
        )
        found = configuration.limits
        self._limits = RequestLimits(
            header_bytes=found.max_header_bytes,
            body_bytes=found.max_body_bytes,
            request_timeout_s=found.header_timeout_ms / 1000.0,
            idle_timeout_s=found.idle_timeout_ms / 1000.0,
        )

    def find_route(self, host: bytes, target: bytes) -> Route | None:
        """Return the route of a request, ``None`` if there is none."""
        return self._table.find(host, target) if self._table is not None else None

    def find_access(self, route: Route, headers: names.Headers) -> Access | None:
        """Return whose request on a route it is, ``None`` if its key is not known."""
        return self._access.resolve(route, headers, is_detour=False)

    def find_refusal(self) -> Refusal | None:
        """Return why any request would be refused now, ``None`` if there is no such reason."""
        if self._table is None:
            return Refusal(reason="no configuration is known yet", retry_after_s=RETRY_AFTER_S)
        if self.in_flight >= MAX_JOBS_IN_FLIGHT:
            return Refusal(reason="too many requests at once", retry_after_s=RETRY_AFTER_S)
        return None

    def check_stopping(self, job: Job) -> Refusal | None:
        """Return why this VM, which stops, would refuse a request; ``None`` if it would not."""
        return self._check_stopping(job, self._reactor.seconds())

    def limits(self) -> RequestLimits:
        """Return the size and time limits for reading callers' requests."""
        return self._limits

    def stopping(self) -> bool:
        """Return whether this VM is stopping, so that callers should connect to another VM."""
        return self._stopping_since is not None

    def begin_stop(self, now: float) -> None:
        """Record that the process was told to stop."""
        self._stopping_since = now

    def connection_opened(self, connection: CallerConnection) -> None:
        """Record a new connection."""
        self.connections.add(connection)

    def connection_closed(self, connection: CallerConnection) -> None:
        """Record the end of a connection."""
        self.connections.discard(connection)

    @property
    def in_flight(self) -> int:
        """Return the number of requests that are handled."""
        return len(self._jobs)

    def close_idle(self, idle_since: float) -> None:
        """Close the connections without a request in progress since a reactor time."""
        for connection in list(self.connections):
            connection.close_idle(idle_since)

    def answer_all(self) -> None:
        """Answer all requests in flight, because this VM ends."""
        for job in list(self._jobs):
            self._relay.answer_at_stop(job)

    def handle(
        self, request: ReceivedRequest, connection: CallerConnection, *, is_detour: bool = False
    ) -> None:
        """Route a request and start its handling, or refuse it.

        ``is_detour`` means that another VM passed it on, which has counted it.
        """
        request_id = names.find_header(request.headers, names.REQUEST_ID) or b""
        if request.method == TUNNEL_METHOD:
            answer = local_answers.build_rejection(request_id, "no tunnels")
            if is_detour:
                answer = local_answers.mark_for_peer(answer, ran=False)
            connection.answer(*answer)
            return
        if self._table is None:
            refusal = Refusal(reason="no configuration is known yet", retry_after_s=RETRY_AFTER_S)
            self._refuse(connection, request_id, refusal, is_detour)
            return
        host = names.find_header(request.headers, b"host") or b""
        route = self._table.find(host, request.target)
        if route is None:
            answer = local_answers.build_failure(404, request_id, "no route")
            if is_detour:
                answer = local_answers.mark_for_peer(answer, ran=False)
            connection.answer(*answer)
            return
        access = self._access.resolve(route, request.headers, is_detour=is_detour)
        if access is None:
            log_event("key_unknown", request=request_id.decode("latin-1"), route=route.name)
            answer = local_answers.build_unauthorized(request_id)
            if is_detour:
                answer = local_answers.mark_for_peer(answer, ran=False)
            connection.answer(*answer)
            return
        route = access.route
        if self.in_flight >= MAX_JOBS_IN_FLIGHT:
            refusal = Refusal(reason="too many requests at once", retry_after_s=RETRY_AFTER_S)
            self._refuse(connection, request_id, refusal, is_detour, access.customer)
            return
        now = self._reactor.seconds()
        limit_ms = route.timeout_ms
        requested_ms = read_deadline_ms(request.headers)
        if requested_ms is not None:
            limit_ms = min(limit_ms, float(requested_ms))
        job = Job(
            request=request,
            connection=connection,
            route=route,
            service=choose_service(route, self._random),
            generation=read_generation_request(request.headers),
            request_id=request_id,
            headers=self._access.select_headers(request.headers, access.customer),
            deadline=request.arrived_at + limit_ms / 1000.0,
            is_detour=is_detour,
            customer=access.customer,
            key_digest=access.key_digest,
            sink=AnswerSink(
                connection=connection,
                request_id=request_id,
                streams=route.streams,
                clock=self._reactor.seconds,
                budget=connection.budget,
            ),
        )
        job.sink.on_begin = lambda: _record_begin(job)
        if is_detour:
            job.stream_version = names.read_stream_version(request.headers)
            job.excluded_upstreams.update(names.read_avoided(request.headers))
        stopping = self._check_stopping(job, now)
        if stopping is not None:
            self._refuse(connection, request_id, stopping, is_detour, job.customer)
            return
        if not is_detour and not _has_quota(job):
            self._record_demand(job, now)
        start_coroutine(self._run(job))

    def _check_stopping(self, job: Job, now: float) -> Refusal | None:
        if self._stopping_since is None:
            return None
        return check_while_stopping(
            now=now,
            stopping_since=self._stopping_since,
            grace_s=self._grace_s,
            deadline=job.deadline,
            streams=job.route.streams,
        )

    async def _run(self, job: Job) -> None:
        self._jobs.add(job)
        self.detours_in_flight += job.is_detour
        exchange_number = job.connection.exchange_number
        try:
            # The VM that passed a request on has counted it.
            if job.is_detour or not _has_quota(job) or await self._admit_or_answer(job):
                await self._relay.run(job)
        finally:
            if job.quota_permit is not None and job.last_sent_at is None:
                self._quotas.give_back(job)
            job.sink.release_memory()
            self._jobs.discard(job)
            self.detours_in_flight -= job.is_detour
            if not job.sink.holds_events:  # else its answer is complete once they are released
                job.connection.end_unanswered(exchange_number)

    async def _admit_or_answer(self, job: Job) -> bool:
        """Return whether a request is relayed; else it is answered, also after an error here."""
        is_admitted = False
        try:
            is_admitted = await self._admit(job)
        finally:
            if not is_admitted and not job.done:
                job.done = True
                refusal = Refusal(reason="internal error", retry_after_s=RETRY_AFTER_S)
                if not job.connection.disconnected:
                    self._refuse(job.connection, job.request_id, refusal, False, job.customer)
        return is_admitted

    async def _admit(self, job: Job) -> bool:
        """Return whether a customer's quota allows a request now, else refuse it.

        Models get replicas only for what quotas allow.
        """
        refusal = await self._quotas.admit(job)
        if refusal is None:
            self._record_demand(job, self._reactor.seconds())
            return True
        if job.done:  # answered meanwhile, because this VM ends
            return False
        if job.connection.disconnected:
            job.done = True
            return False
        job.retry_after_s = refusal.retry_after_s
        log_failure(job, refusal.reason, ran=False, now=self._reactor.seconds())
        answer = local_answers.build_quota_refusal(
            job.request_id, refusal.reason, refusal.retry_after_s
        )
        job.done = True
        job.connection.answer(*answer)
        return False

    def _record_demand(self, job: Job, now: float) -> None:
        if job.generation is None:
            return
        tokens = float(max(100, job.generation.prompt_tokens))
        self._meter.record_request((job.service, job.generation.model), tokens, now)
        if job.generation.adapter:
            self._meter.record_request((job.service, job.item), tokens, now)

    def _refuse(
        self,
        connection: CallerConnection,
        request_id: bytes,
        refusal: Refusal,
        is_detour: bool,
        customer: Customer | None = None,
    ) -> None:
        reason, retry_after_s = refusal.reason, refusal.retry_after_s
        log_event(
            "request_failed",
            request=request_id.decode("latin-1"),
            customer="" if customer is None else customer.name,
            reason=reason,
            ran=False,
            retry_after_s=retry_after_s,
        )
        answer = local_answers.build_refusal(request_id, reason, retry_after_s)
        if is_detour:
            answer = local_answers.mark_for_peer(answer, ran=False)
        connection.answer(*answer)


def _has_quota(job: Job) -> bool:
    return job.customer is not None and job.customer.quota is not None


def _record_begin(job: Job) -> None:
    """Keep the version that begins a stream, and tell it to the VM that passed the request on."""
    if job.stream_version is None:
        job.stream_version = job.attempt_version
    if job.is_detour and job.stream_version is not None:
        version = names.encode_stream_version(job.stream_version)
        job.sink.extra_headers = [(names.STREAM_VERSION, version)]
