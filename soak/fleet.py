"""The programs of a soak test: a store, engines, plain services and nodes, with faulty links."""

from __future__ import annotations

from local.platform_deployment import PlatformDeployment
from soak.faulty_link import FaultyLinks

ENGINE_COUNT = 3
SERVICE_COUNT = 2


class SoakFleet(PlatformDeployment):
    """Platform deployment whose nodes reach the store and the upstreams over faulty links."""

    def __init__(self, *, first_port: int, nodes: int) -> None:
        super().__init__(first_port=first_port)
        self.links = FaultyLinks()
        self.upstream_ports = {f"e{n + 1}": first_port + 10 + n for n in range(ENGINE_COUNT)}
        self.upstream_ports |= {f"s{n + 1}": first_port + 20 + n for n in range(SERVICE_COUNT)}
        self.caller_ports = {f"n{n + 1}": first_port + 100 + 10 * n for n in range(nodes)}

    def start(self) -> None:
        """Open the links, start all programs and wait until every node is ready."""
        for name, port in self.upstream_ports.items():
            self.links.open(self.upstream_port_of(name), port)
        for name in self.caller_ports:
            self.links.open(self.store_port_of(name), self.store)
        super().start()

    def link_port_of(self, name: str) -> int:
        """Return the port of the link to an upstream, or of a node's link to the store."""
        return (
            self.store_port_of(name) if name in self.caller_ports else self.upstream_port_of(name)
        )

    def upstream_port_of(self, name: str) -> int:
        """Return the port of the link to an engine or a plain service."""
        return self.upstream_ports[name] + 40

    def store_port_of(self, node: str) -> int:
        """Return the port of a node's link to the store."""
        return self.caller_ports[node] + 4
