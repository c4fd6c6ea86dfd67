"""Connection of the entry process to its VM's control process."""

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
    """Receives routing tables from the control process and reports demand to it.

    While the control process is unreachable, the last routing table stays in use.
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
        apply_catalogue: Callable[[Catalogue], None],
    ) -> None:
        self._reactor = reactor
        self._settings = settings
        self._router = router
        self._dispatcher = dispatcher
        self._demand = demand
        self._apply_catalogue = apply_catalogue
        self._table_sequence = 0
        self._report_sequence = 0
        self._leaving_upstreams: set[str] = set()
        self.last_message_at = 0.0
        self.versions: dict[str, int] = {}  # revision of the settings in force, by subject
        self._socket = network.connect(
            receive=lambda sender, message: self._handle(message),
            address=f"{settings.address}:{settings.peer_port}",
            identity=f"{settings.vm}/entry".encode(),
        )
        self._reports = Periodic(
            reactor=reactor, interval_s=REPORT_INTERVAL_S, run=self._send_report
        )

    def start(self) -> None:
        """Start to report; the first run also requests the routing table."""
        self._reports.start()

    def stop(self) -> None:
        """Stop reporting and close the socket."""
        self._reports.stop()
        self._socket.shutdown()

    def report_leaving(self, name: str) -> None:
        """Report at once that an upstream announced in an answer that it is leaving."""
        self._leaving_upstreams.add(name)
        self._reports.trigger()

    @singledispatchmethod
    def _handle(self, message: object) -> None:
        log.warning("unexpected message of type {}", type(message).__name__)

    @_handle.register
    def _(self, message: RoutingTable) -> None:
        now = self._reactor.seconds()
        self.last_message_at = now
        self._table_sequence = message.sequence
        versions = {subtree.subject: subtree.revision for subtree in message.subtrees}
        if versions != self.versions:
            self.versions = versions
            self._apply_catalogue(build_catalogue(message.subtrees))
        self._router.set_entries(message.entries)
        self._router.replace_upstreams(message.upstreams, now)
        self._dispatcher.process_queue()

    @_handle.register
    def _(self, message: UpstreamUpdate) -> None:
        now = self._reactor.seconds()
        self.last_message_at = now
        if message.sequence != self._table_sequence + 1:
            self._request_routing_table()
            return
        self._table_sequence = message.sequence
        self._router.update_upstreams(message.upstreams, message.removed, now)
        self._dispatcher.process_queue()

    def _request_routing_table(self) -> None:
        self._socket.send_message(RoutingTableRequest(vm=self._settings.vm))

    async def _send_report(self) -> None:
        if not self.last_message_at:
            self._request_routing_table()
        self._report_sequence += 1
        self._socket.send_message(
            EntryReport(
                vm=self._settings.vm,
                sequence=self._report_sequence,
                demand=self._demand.collect(),
                leaving=sorted(self._leaving_upstreams),
            )
        )
        self._leaving_upstreams.clear()
