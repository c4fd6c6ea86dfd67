"""Assembles the entry process from its parts."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec

from logbook import Logger
from twisted.internet.defer import Deferred
from twisted.web.resource import Resource
from twisted.web.server import Site

from cactusshunt.clients.http_client import HttpClient
from cactusshunt.clients.store import EtcdStore
from cactusshunt.decisions.rendezvous import hash_score
from cactusshunt.decisions.router import Router
from cactusshunt.tasks.entry.caller_api import CallerApi
from cactusshunt.tasks.entry.caller_api import Phase
from cactusshunt.tasks.entry.caller_site import CallerSite
from cactusshunt.tasks.entry.control_link import ControlLink
from cactusshunt.tasks.entry.demand_counter import DemandCounter
from cactusshunt.tasks.entry.dispatcher import Dispatcher
from cactusshunt.tasks.entry.idempotency_claims import IdempotencyClaims
from cactusshunt.tasks.entry.model_requests import ModelRequests
from cactusshunt.tasks.entry.request_runner import RequestRunner
from cactusshunt.tasks.entry.service_requests import ServiceRequests
from cactusshunt.tasks.entry.upstream_client import UpstreamClient
from cactusshunt.tasks.metrics import Metrics
from cactusshunt.tasks.peer_socket import ZmqNetwork

if TYPE_CHECKING:
    from twisted.internet.base import ReactorBase
    from twisted.web.server import Request

    from cactusshunt.decisions.catalogue import Catalogue
    from cactusshunt.schema.generated.process import ProcessSettings

log = Logger("entry")

LISTEN_BACKLOG = 1024
READINESS_LAG_S = 2.0  # from a failing readiness check until the load balancer stops sending
DRAIN_CHECK_INTERVAL_S = 0.1
IDLE_PERIOD_S = 0.5  # callers are assumed to use other entries after this time without a request
MAX_IDLE_WAIT_S = 10.0  # limit of each of the two waits in _close_port


class EntryProcess:
    """Creates, starts and stops the parts of one entry process."""

    def __init__(self, *, reactor: ReactorBase, settings: ProcessSettings) -> None:
        self._reactor = reactor
        self._settings = settings
        self._router = Router(
            availability_zone=settings.availability_zone, seed=hash_score(settings.vm, "router")
        )
        self._dispatcher = Dispatcher(reactor=reactor, router=self._router)
        self._demand = DemandCounter()
        self._models = ModelRequests(router=self._router)
        self._services = ServiceRequests(router=self._router)
        self._client = UpstreamClient(reactor=reactor)
        self._link = ControlLink(
            reactor=reactor,
            network=ZmqNetwork(),
            settings=settings,
            router=self._router,
            dispatcher=self._dispatcher,
            demand=self._demand,
            apply_catalogue=self._apply_catalogue,
        )
        self._runner = RequestRunner(
            reactor=reactor,
            dispatcher=self._dispatcher,
            client=self._client,
            demand=self._demand,
            report_leaving=self._link.report_leaving,
        )
        self._store = EtcdStore(
            reactor=reactor, client=HttpClient(reactor=reactor), urls=settings.store_urls
        )
        self._port: Any = None
        self._claims = IdempotencyClaims(reactor=reactor, store=self._store)
        self._api = CallerApi(
            reactor=reactor,
            models=self._models,
            services=self._services,
            runner=self._runner,
            claims=self._claims,
            metrics=Metrics(
                address=settings.statsd_address, port=settings.statsd_port, role="entry"
            ),
        )
        self._site = CallerSite(
            resource=self._api,
            body_limit_bytes=settings.body_limit_bytes,
            connection_limit=settings.connection_limit,
        )

    def start(self) -> None:
        """Listen for callers and connect to the control process."""
        settings = self._settings
        listen = self._reactor.listenTCP  # type: ignore[attr-defined]
        self._port = listen(
            settings.caller_port, self._site, backlog=LISTEN_BACKLOG, interface=settings.address
        )
        listen(settings.entry_dump_port, Site(_DumpResource(dump=self.dump)), interface="127.0.0.1")
        self._link.start()
        log.info("entry process of {} started", settings.vm)

    async def stop(self) -> None:
        """Turn readiness off, then refuse new requests, then wait for those in flight.

        Connections in the listen backlog are accepted before the port closes, and requests on open
        connections are answered until the end, so that no caller gets a connection reset.
        """
        self._api.phase = Phase.LEAVING
        await self._sleep(READINESS_LAG_S)
        self._api.phase = Phase.REFUSING
        drain_deadline = self._reactor.seconds() + self._settings.drain_limit_s
        while self._api.in_flight and self._reactor.seconds() < drain_deadline:
            await self._sleep(DRAIN_CHECK_INTERVAL_S)
        if self._api.in_flight:
            log.error(
                "{} requests are still in flight after drain_limit_s; stopping anyway",
                self._api.in_flight,
            )
        await self._close_port()
        self._link.stop()

    async def _close_port(self) -> None:
        """Stop listening once no requests arrive, then answer the last ones on open connections."""
        if self._port is None:
            return
        await self._wait_until_idle(MAX_IDLE_WAIT_S)
        # stopListening() closes the port in the next reactor iteration, which would reset the
        # connections in the listen backlog; doRead() accepts them just before.
        self._reactor.callLater(0, self._port.doRead)
        await self._port.stopListening()
        await self._wait_until_idle(MAX_IDLE_WAIT_S)

    async def _wait_until_idle(self, max_wait_s: float) -> None:
        """Wait until no request ran for ``IDLE_PERIOD_S``, but at most ``max_wait_s`` seconds.

        A request that is in flight or has ended in the period counts as running.
        """
        ends_at = self._reactor.seconds() + max_wait_s
        idle_since = self._reactor.seconds()
        ended_before = self._api.ended_requests
        while self._reactor.seconds() < min(idle_since + IDLE_PERIOD_S, ends_at):
            await self._sleep(DRAIN_CHECK_INTERVAL_S)
            if self._api.ended_requests != ended_before or self._api.in_flight:
                ended_before, idle_since = self._api.ended_requests, self._reactor.seconds()

    def dump(self) -> dict[str, Any]:
        """Return the state of every part, without secrets and prompts."""
        now = self._reactor.seconds()
        return {
            "vm": self._settings.vm,
            "availability_zone": self._settings.availability_zone,
            "now": now,
            "phase": self._api.phase.value,
            "in_flight": self._api.in_flight,
            "connections": self._site.connections,
            "refused_connections": self._site.refused_connections,
            "answered": self._api.answered,
            "requests": self._runner.requests,
            "attempts": self._runner.attempts,
            "resumed_streams": self._runner.resumed,
            "mismatched_answers": self._client.mismatches,
            "waiting": self._dispatcher.waiting,
            "retry_balances": self._dispatcher.retry_balances(),
            "ejected": self._router.ejection.ejected(now),
            "control_heard_at": self._link.last_message_at,
            "settings_in_force": self._link.versions,
            "claims": self._claims.dump(),
            "upstreams": {
                name: {"state": state, "outstanding": self._router.outstanding(name)}
                for name, state in self._router.upstreams.items()
            },
        }

    def _apply_catalogue(self, catalogue: Catalogue) -> None:
        for consumer in (self._models, self._services, self._dispatcher):
            consumer.set_catalogue(catalogue)
        if self._api.phase is Phase.STARTING:
            self._api.phase = Phase.SERVING

    def _sleep(self, seconds: float) -> Deferred[None]:
        done: Deferred[None] = Deferred()
        self._reactor.callLater(seconds, done.callback, None)
        return done


class _DumpResource(Resource):
    """Serves state dumps on a separate port, which only listens on the loopback interface."""

    isLeaf = True  # noqa: N815

    def __init__(self, *, dump: Any) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self._dump = dump

    def render_GET(self, request: Request) -> bytes:  # noqa: N802
        """Answer with the state as JSON."""
        request.setHeader("Content-Type", "application/json")
        return msgspec.json.encode(self._dump())
