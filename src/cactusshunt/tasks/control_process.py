"""Creates and wires the tasks of the control process, which runs on every entry VM (node)."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from logbook import Logger
from twisted.web.server import Site

from cactusshunt.clients.engine import HttpEngineControl
from cactusshunt.clients.http_client import HttpClient
from cactusshunt.clients.store import EtcdStore
from cactusshunt.clients.vm_list import HttpVmList
from cactusshunt.decisions.membership import Membership
from cactusshunt.decisions.rendezvous import hash_score
from cactusshunt.tasks.administration.api import AdministrationApi
from cactusshunt.tasks.lease_task import LeaseTask
from cactusshunt.tasks.message_bus import MessageBus
from cactusshunt.tasks.peer_socket import ZmqNetwork
from cactusshunt.tasks.peer_task import PeerTask
from cactusshunt.tasks.placement_task import PlacementTask
from cactusshunt.tasks.routing_task import RoutingTask
from cactusshunt.tasks.settings_task import SettingsTask
from cactusshunt.tasks.upstream_task import UpstreamTask

if TYPE_CHECKING:
    from twisted.internet.base import ReactorBase

    from cactusshunt.schema.generated.process import ProcessSettings

log = Logger("control")

MAX_EXTRA_ACCEPT_DELAY_S = 0.5  # staggers nodes, so that one of them usually accepts
LISTEN_BACKLOG = 128


class ControlProcess:
    """Creates and connects the tasks of one control process."""

    def __init__(self, *, reactor: ReactorBase, settings: ProcessSettings) -> None:
        self._reactor = reactor
        self._settings = settings
        self._bus = MessageBus(reactor=reactor)
        client = HttpClient(reactor=reactor)
        self._store = EtcdStore(reactor=reactor, client=client, urls=settings.store_urls)
        engines = HttpEngineControl(client=client)
        membership = Membership(
            vm=settings.vm,
            availability_zone=settings.availability_zone,
            started_at=reactor.seconds(),
        )
        delay_fraction = hash_score(settings.vm, "accept") % 1000 / 1000
        self._settings_task = SettingsTask(
            reactor=reactor,
            bus=self._bus,
            store=self._store,
            extra_accept_delay_s=delay_fraction * MAX_EXTRA_ACCEPT_DELAY_S,
        )
        self._network = ZmqNetwork()
        self._peers = PeerTask(
            reactor=reactor,
            bus=self._bus,
            network=self._network,
            settings=settings,
            adopted=self._settings_task.adopted,
            membership=membership,
            holds_lease=lambda: self._lease.is_held(),
        )
        self._routing = RoutingTask(
            reactor=reactor, bus=self._bus, peers=self._peers, vm=settings.vm
        )
        self._upstreams = UpstreamTask(
            reactor=reactor,
            bus=self._bus,
            vm=settings.vm,
            membership=membership,
            vm_list=HttpVmList(client=client, url=settings.vm_list_url),
            engines=engines,
        )
        self._lease = LeaseTask(reactor=reactor, store=self._store, settings=settings)
        self._placement = PlacementTask(
            reactor=reactor,
            bus=self._bus,
            store=self._store,
            engines=engines,
            lease=self._lease,
            membership=membership,
            routing=self._routing,
            settings=settings,
        )
        self._api = AdministrationApi(
            reactor=reactor,
            bus=self._bus,
            store=self._store,
            settings=self._settings_task,
            peers=self._peers,
            routing=self._routing,
            dump=self.dump,
            vm=settings.vm,
            availability_zone=settings.availability_zone,
        )

    def start(self) -> None:
        """Start all tasks."""
        self._reactor.listenTCP(  # type: ignore[attr-defined]
            self._settings.administration_port,
            Site(self._api),
            backlog=LISTEN_BACKLOG,
            interface=self._settings.address,
        )
        for task in self._tasks():
            task.start()
        log.info("control process of {} started", self._settings.vm)

    async def stop(self) -> None:
        """Stop sending orders, then release the lease, then stop the other tasks."""
        self._placement.stop()
        await self._lease.release()
        for task in (self._settings_task, self._upstreams, self._routing, self._peers):
            task.stop()

    def dump(self) -> dict[str, Any]:
        """Return the state of every task, without secrets and settings documents."""
        return {
            "vm": self._settings.vm,
            "availability_zone": self._settings.availability_zone,
            "now": self._reactor.seconds(),
            "settings": self._settings_task.dump(),
            "peers": self._peers.dump(),
            "peer_traffic": self._network.count(),
            "upstreams": self._upstreams.dump(),
            "routing": self._routing.dump(),
            "lease": self._lease.dump(),
            "placement": self._placement.dump(),
            "store_calls": self._store.calls,
        }

    def _tasks(self) -> tuple[Any, ...]:
        return (
            self._settings_task,
            self._peers,
            self._routing,
            self._upstreams,
            self._lease,
            self._placement,
        )
