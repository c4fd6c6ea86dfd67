"""Link of the entry process to its VM's control process."""

from __future__ import annotations

from functools import singledispatchmethod
from typing import TYPE_CHECKING

from logbook import Logger

from cactusshunt.decisions.catalogue import Catalogue
from cactusshunt.decisions.catalogue import build_catalogue
from cactusshunt.schema.generated.messages import EntryReport
from cactusshunt.schema.generated.messages import RoutingTable
from cactusshunt.schema.generated.messages import RoutingTableRequest
from cactusshunt.schema.generated.messages import UpstreamUpdate
from cactusshunt.tasks.periodic import Periodic

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.base import ReactorBase

    from cactusshunt.decisions.router import Router
    from cactusshunt.schema.generated.process import ProcessSettings
    from cactusshunt.tasks.entry.demand_counter import DemandCounter
    from cactusshunt.tasks.entry.dispatcher import Dispatcher
    from cactusshunt.tasks.peer_socket import PeerNetwork

log = Logger("control_link")

REPORT_INTERVAL_S = 1.0


class ControlLink:
    """Takes routing tables from the control process and reports demand to it.

    Without a control process the last table stays in use.
    """

    def __init__(
        self,
        *,
        reactor: ReactorBase,
        network: PeerNetwork,
        settings: ProcessSettings,
        router: Router,
        dispatcher: Dispatcher,
        demand: DemandCounter,
        adopt: Callable[[Catalogue], None],
    ) -> None:
        self._reactor = reactor
        self._settings = settings
        self._router = router
        self._dispatcher = dispatcher
        self._demand = demand
        self._adopt = adopt
        self._sequence = 0
        self._report_sequence = 0
        self._leaving: set[str] = set()
        self.heard_at = 0.0
        self.versions: dict[str, int] = {}
        self._socket = network.connect(
            receive=lambda sender, message: self._handle(message),
            address=f"{settings.address}:{settings.peer_port}",
            identity=f"{settings.vm}/entry".encode(),
        )
        self._reports = Periodic(
            reactor=reactor, interval_s=REPORT_INTERVAL_S, run=self._send_report
        )

    def start(self) -> None:
        """Ask for the routing table and begin to report."""
        self._reports.start()

    def stop(self) -> None:
        """Close the link."""
        self._reports.stop()
        self._socket.shutdown()

    def report_leaving(self, name: str) -> None:
        """Pass on that an upstream said that it is leaving."""
        self._leaving.add(name)
        self._reports.trigger()

    @singledispatchmethod
    def _handle(self, message: object) -> None:
        log.warning("unexpected {}", type(message).__name__)

    @_handle.register
    def _(self, message: RoutingTable) -> None:
        now = self._reactor.seconds()
        self.heard_at = now
        self._sequence = message.sequence
        versions = {subtree.subject: subtree.revision for subtree in message.subtrees}
        if versions != self.versions:
            self.versions = versions
            self._adopt(build_catalogue(message.subtrees))
        self._router.set_entries(message.entries)
        self._router.replace_upstreams(message.upstreams, now)
        self._dispatcher.process_queue()

    @_handle.register
    def _(self, message: UpstreamUpdate) -> None:
        now = self._reactor.seconds()
        self.heard_at = now
        if message.sequence != self._sequence + 1:
            self._ask()
            return
        self._sequence = message.sequence
        self._router.update_upstreams(message.upstreams, message.removed, now)
        self._dispatcher.process_queue()

    def _ask(self) -> None:
        self._socket.send_message(RoutingTableRequest(vm=self._settings.vm))

    async def _send_report(self) -> None:
        if not self.heard_at:
            self._ask()
        self._report_sequence += 1
        self._socket.send_message(
            EntryReport(
                vm=self._settings.vm,
                sequence=self._report_sequence,
                demand=self._demand.take(),
                leaving=sorted(self._leaving),
            )
        )
        self._leaving.clear()
