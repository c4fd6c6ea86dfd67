"""Opens the ports of a node and creates the connections that arrive there."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.error import CannotListenError
from twisted.internet.protocol import Factory

from cactusshunt.http1.caller_connection import CallerConnection
from cactusshunt.http1.client_guard import CALLERS_PART
from cactusshunt.http1.client_guard import INTERNAL_PART
from cactusshunt.http1.client_guard import PEERS_PART
from cactusshunt.http1.client_guard import compute_max_connections
from cactusshunt.node_log import flush_log
from cactusshunt.node_log import log_event
from cactusshunt.platform.boot import split_address

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.interfaces import IListeningPort

    from cactusshunt.http1.client_guard import ClientGuard
    from cactusshunt.http1.input_turns import InputTurns
    from cactusshunt.http1.memory_budget import MemoryBudget
    from cactusshunt.membership.peer_link import PeerLink
    from cactusshunt.platform.boot import BootSettings

LISTEN_BACKLOG = 512  # connections that wait in the kernel, also while a port accepts none
PORT_IN_USE_TIMEOUT_S = 3.0  # the process before this one may still have the port
PORT_RETRY_INTERVAL_S = 0.1
PORT_IN_USE_STATUS = 3  # of the process


class NodePorts:
    """Opens all ports, or ends the process if one stays in use.

    ``current_settings`` returns the settings as they were last read; ``begin_tasks`` is called when
    all ports are open; ``exit_status`` is that of the process.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        current_settings: Callable[[], BootSettings],
        budget: MemoryBudget,
        guard: ClientGuard,
        turns: InputTurns,
        is_stopping: Callable[[], bool],
        begin_tasks: Callable[[], None],
    ) -> None:
        self.exit_status = 0
        self._reactor = reactor
        self._current_settings = current_settings
        self._budget = budget
        self._guard = guard
        self._turns = turns
        self._is_stopping = is_stopping
        self._begin_tasks = begin_tasks
        self._caller_ports: list[IListeningPort] = []  # until this VM accepts nothing more

    def open(self, *, link: PeerLink, peer_requests: Any, callers: Any, page: Any) -> None:
        """Open the ports for datagrams, for requests of peers and callers, and for the page."""
        settings = self._current_settings()
        udp_port = settings.port_range[0]
        peer_address = f"{settings.ip}:{udp_port}"
        listen_udp = partial(self._reactor.listenUDP, udp_port, link, interface=settings.ip)
        self._open_ports(
            [
                (peer_address, listen_udp),
                (
                    peer_address,
                    partial(self._listen_for_callers, peer_address, peer_requests, PEERS_PART),
                ),
                (
                    settings.listen.front,
                    partial(
                        self._listen_for_callers,
                        settings.listen.front,
                        callers,
                        CALLERS_PART,
                    ),
                ),
                (
                    settings.listen.ready,
                    partial(self._listen, settings.listen.ready, page, INTERNAL_PART),
                ),
            ],
            deadline=self._now() + PORT_IN_USE_TIMEOUT_S,
        )

    def serve_metrics(self, port: int, page: Any) -> None:
        """Serve metrics on a port of the VM's address, unless it is 0."""
        if not port:
            return
        try:
            self._listen(f"{self._current_settings().ip}:{port}", page, INTERNAL_PART)
        except CannotListenError as error:
            log_event("metrics_unavailable", port=port, reason=str(error))

    def close_caller_ports(self) -> None:
        """Accept no more connections of callers and peers."""
        while self._caller_ports:
            self._caller_ports.pop().stopListening()

    def _open_ports(self, ports: list[tuple[str, Callable[[], Any]]], *, deadline: float) -> None:
        """Open ports by address and begin all tasks, or end the process if one stays in use."""
        while ports:
            address, listen = ports[0]
            try:
                listen()
            except CannotListenError as error:
                if self._is_stopping():
                    return
                if self._now() >= deadline:
                    log_event("port_in_use", address=address, reason=str(error))
                    flush_log()
                    self.exit_status = PORT_IN_USE_STATUS
                    self._reactor.stop()
                    return
                # The process before this one may be about to end.
                retry = partial(self._open_ports, ports, deadline=deadline)
                self._reactor.callLater(PORT_RETRY_INTERVAL_S, retry)
                return
            ports.pop(0)
        self._begin_tasks()

    def _listen_for_callers(self, address: str, handler: Any, part: float) -> None:
        self._caller_ports.append(self._listen(address, handler, part))

    def _listen(self, address: str, handler: Any, part: float) -> IListeningPort:
        """Listen with a part of the descriptors for connections."""
        host, port = split_address(address)
        listener = self._guard.add_listener(
            compute_max_connections(self._current_settings().limits.max_fds, part)
        )
        factory = Factory()
        factory.noisy = False
        factory.buildProtocol = lambda addr: CallerConnection(  # type: ignore[method-assign]
            reactor=self._reactor,
            handler=handler,
            budget=self._budget,
            guard=listener,
            turns=self._turns,
        )
        listening: IListeningPort = self._reactor.listenTCP(
            port, factory, backlog=LISTEN_BACKLOG, interface=host
        )
        listener.attach(listening)
        return listening

    def _now(self) -> float:
        return self._reactor.seconds()  # type: ignore[no-any-return]
