"""The programs of a soak test: a store, engines, plain services and nodes, with faulty links."""

from __future__ import annotations

import signal
import subprocess
import tempfile
import threading
import time

from pathlib import Path
from typing import Any

from local.platform_deployment import ROOT
from local.platform_deployment import PlatformDeployment
from soak.customers import CustomerKeys
from soak.customers import list_routes
from soak.faulty_link import FaultyLinks
from soak.faulty_link import LinkMode

ENGINE_COUNT = 3
SERVICE_COUNT = 2
LINKS_OFFSET, LINKS_PER_NODE = 600, 20  # of the ports of nodes' links to upstreams


def extract_build(commit: str, folder: Path) -> None:
    """Extract the programs of a commit from the repository's history."""
    archive = subprocess.run(
        ["git", "archive", commit, "src", "deploy"], cwd=ROOT, capture_output=True, check=True
    )
    subprocess.run(["tar", "-x", "-C", str(folder)], input=archive.stdout, check=True)


def handles_signals(pid: int) -> bool:
    """Return whether a process catches or ignores SIGTERM and SIGHUP.

    No program can do so before its first line; a signal that comes earlier ends it with an error.
    """
    lines = Path(f"/proc/{pid}/status").read_text(encoding="utf-8").splitlines()
    fields = dict(line.split(":", 1) for line in lines)
    handled = int(fields["SigCgt"], 16) | int(fields["SigIgn"], 16)
    return all(handled >> (number - 1) & 1 for number in (signal.SIGTERM, signal.SIGHUP))


class SoakFleet(PlatformDeployment):
    """Platform deployment whose nodes reach the store and the upstreams over faulty links.

    Each node has links of its own. The configuration has customers if ``keys`` are given.
    """

    def __init__(
        self, *, first_port: int, nodes: int, beside: str = "", keys: CustomerKeys | None = None
    ) -> None:
        super().__init__(first_port=first_port)
        self.keys = keys
        self._writing = threading.RLock()  # faults write configurations in threads of their own
        self._earlier_build = tempfile.TemporaryDirectory(prefix="cactusshunt-build-")
        self.links = FaultyLinks()
        self.upstream_ports = {f"e{n + 1}": first_port + 10 + n for n in range(ENGINE_COUNT)}
        self.upstream_ports |= {f"s{n + 1}": first_port + 20 + n for n in range(SERVICE_COUNT)}
        self.caller_ports = {f"n{n + 1}": first_port + 100 + 10 * n for n in range(nodes)}
        self.earlier_nodes: list[str] = []
        if beside:
            extract_build(beside, Path(self._earlier_build.name))
            self.earlier_nodes = list(self.caller_ports)[1::2]

    def start_node(self, name: str, *arguments: Any, **options: Any) -> None:
        """Start a node, of the earlier build if it is one of those."""
        if name in self.earlier_nodes:
            options["program"] = (str(Path(self._earlier_build.name) / "deploy" / "node.py"),)
        super().start_node(name, *arguments, **options)

    def start(self) -> None:
        """Open the links, start all programs and wait until every node is ready."""
        for node in self.caller_ports:
            self.links.open(self.store_port_of(node), self._store_view_of(node))
            for name, port in self.upstream_ports.items():
                self.links.open(self._link_port(node, name), port)
        super().start()

    def configure(
        self,
        routes: list[dict[str, Any]] | None = None,
        *,
        version: int | None = None,
        customers: list[dict[str, Any]] | None = None,
    ) -> int:
        """Write a configuration with the customers of the run, and record which keys it has."""
        with self._writing:
            if self.keys is None:
                return super().configure(routes, version=version, customers=customers)
            span = self.keys.begin_write(time.time())
            written = super().configure(
                routes or list_routes(),
                version=version,
                customers=customers or self.keys.list_customers(),
            )
            self.keys.end_write(span, time.time())
            return written

    def change_key(self, key: str, choice: int) -> int:
        """Write a configuration in which a key is added, removed or moved."""
        with self._writing:
            if self.keys is not None:
                self.keys.change(key, choice)
            return self.configure()

    def save_store(self) -> None:
        """Make a copy of the store, and record which keys it has."""
        with self._writing:
            super().save_store()
            if self.keys is not None:
                self.keys.copy()

    def restore_store(self, away_s: float, *, names_era: bool = True) -> None:
        """Let the store come back from its copy, and write the newest configuration again."""
        span = self.keys.begin_restore(time.time()) if self.keys is not None else None
        super().restore_store(away_s, names_era=names_era)
        with self._writing:
            self.configure(version=self.newest_version)
            if span is not None:
                span.ends = time.time()

    def stop(self, keep_logs: Path | None = None) -> None:
        """Kill all processes and close the links."""
        super().stop(keep_logs)
        self.links.close()
        self._earlier_build.cleanup()

    def store_views(self) -> list[str]:
        """Return a port of the store for each node, where upstreams have the ports of its links."""
        return [
            f"{self._store_view_of(node)}:{self._offset_of(node)}" for node in self.caller_ports
        ]

    def link_ports_of(self, name: str) -> list[int]:
        """Return the ports of all links to an upstream, or of a node's link to the store."""
        if name in self.caller_ports:
            return [self.store_port_of(name)]
        return [self._link_port(node, name) for node in self.caller_ports]

    def upstream_links_of(self, node: str) -> list[int]:
        """Return the ports of a node's links to all upstreams."""
        return [self._link_port(node, name) for name in self.upstream_ports]

    def cut_off(self, node: str, mode: LinkMode) -> None:
        """Cut a node off from all upstreams, or connect it again with ``LinkMode.NORMAL``."""
        for port in self.upstream_links_of(node):
            self.links.set_mode(port, mode)

    def reset(self, node: str) -> None:
        """Reset a node's connections to all upstreams."""
        for port in self.upstream_links_of(node):
            self.links.reset(port)

    def _offset_of(self, node: str) -> int:
        return LINKS_OFFSET + LINKS_PER_NODE * list(self.caller_ports).index(node)

    def _link_port(self, node: str, upstream: str) -> int:
        return self.upstream_port_of(upstream) + self._offset_of(node)

    def _store_view_of(self, node: str) -> int:
        return self.caller_ports[node] + 5

    def upstream_port_of(self, name: str) -> int:
        """Return the port in the record of an engine or a plain service."""
        return self.upstream_ports[name] + 40

    def store_port_of(self, node: str) -> int:
        """Return the port of a node's link to the store."""
        return self.caller_ports[node] + 4
