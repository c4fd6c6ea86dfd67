"""The programs of a soak: a store, engines, plain services and nodes, behind faulty links."""

from __future__ import annotations

from local.platform_deployment import PlatformDeployment
from soak.faulty_link import FaultyLinks

ENGINES = 3
SERVICES = 2


class SoakFleet(PlatformDeployment):
    """Local deployment whose nodes reach the store and the engines over links that can fail."""

    def __init__(self, *, first_port: int, nodes: int) -> None:
        super().__init__(first_port=first_port)
        self.links = FaultyLinks()
        self.engines = {f"e{n + 1}": first_port + 10 + n for n in range(ENGINES)}
        self.engines |= {f"s{n + 1}": first_port + 20 + n for n in range(SERVICES)}
        self.caller_ports = {f"n{n + 1}": first_port + 100 + 10 * n for n in range(nodes)}

    def start(self) -> None:
        """Open the links, start all programs and wait until every node is ready."""
        for name, port in self.engines.items():
            self.links.open(self.address_of(name), port)
        for name in self.caller_ports:
            self.links.open(self.store_of(name), self.store)
        super().start()

    def link_of(self, name: str) -> int:
        """Return the port of the link to an engine, or of a node's link to the store."""
        return self.store_of(name) if name in self.caller_ports else self.address_of(name)

    def address_of(self, name: str) -> int:
        """Return the port of the link to an engine or a plain service."""
        return self.engines[name] + 40

    def store_of(self, node: str) -> int:
        """Return the port of a node's link to the store."""
        return self.caller_ports[node] + 4
