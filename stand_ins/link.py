"""Stand-in for the network between a VM and the platform: a TCP forwarder that can be cut."""

from __future__ import annotations

import sys

from typing import TYPE_CHECKING
from typing import Any
from typing import cast

from twisted.protocols.portforward import ProxyFactory
from twisted.protocols.portforward import ProxyServer

from stand_ins.http import read_json
from stand_ins.http import serve
from stand_ins.reactor import reactor

if TYPE_CHECKING:
    from twisted.internet.interfaces import ITCPTransport
    from twisted.web.server import Request


class CuttableServer(ProxyServer):
    """One forwarded connection; aborted if the link is cut."""

    def connectionMade(self) -> None:  # noqa: N802
        """Forward unless the link is cut."""
        factory = cast("CuttableFactory", self.factory)
        factory.connections.add(self)
        if factory.cut:
            cast("ITCPTransport", self.transport).abortConnection()
            return
        super().connectionMade()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Remove the connection from the factory's set."""
        cast("CuttableFactory", self.factory).connections.discard(self)
        super().connectionLost(reason)  # type: ignore[no-untyped-call]


class CuttableFactory(ProxyFactory):
    """Forwards connections to one loopback port."""

    protocol = CuttableServer

    def __init__(self, *, port: int) -> None:
        super().__init__("127.0.0.1", port)
        self.cut = False
        self.connections: set[Any] = set()

    def set_cut(self, cut: bool) -> None:
        """Cut the link and abort its connections, or restore it."""
        self.cut = cut
        for connection in list(self.connections) if cut else []:
            connection.transport.abortConnection()


def main() -> None:
    """Forward ports: ``link CONTROL_PORT LISTEN:TARGET ...``; ``POST /control`` takes ``cut``."""
    factories = []
    for pair in sys.argv[2:]:
        listen, _, target = pair.partition(":")
        factory = CuttableFactory(port=int(target))
        reactor.listenTCP(int(listen), factory, interface="127.0.0.1")
        factories.append(factory)

    def handle(request: Request) -> Any:
        cut = bool(read_json(request).get("cut", False))
        for factory in factories:
            factory.set_cut(cut)
        return {"cut": cut}

    serve(handle, int(sys.argv[1]))


if __name__ == "__main__":
    main()
