"""The programs of a soak: a store, engines, plain services and nodes, behind faulty links."""

from __future__ import annotations

import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time

from pathlib import Path
from typing import Any

from local.platform_deployment import MODELS
from local.platform_deployment import ROOT
from local.platform_deployment import TEMPLATE
from local.platform_deployment import call
from local.platform_deployment import standard_routes
from local.platform_deployment import wait_until
from soak.faulty_link import FaultyLinks

GRACE_S = 6
HELD = ("captions,summaries", "captions,tags", "links,letters")
STOP_TIMEOUT_S = 15.0


class SoakFleet:
    """Processes by name; it ends only those that it started, by their ids."""

    def __init__(self, *, first_port: int, nodes: int) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="cactusshunt-soak-")
        self._first = first_port
        self.links = FaultyLinks()
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._started: list[subprocess.Popen[bytes]] = []
        self.version = 0
        self.store = first_port
        self.engines = {f"e{n + 1}": first_port + 10 + n for n in range(len(HELD))}
        self.services = {f"s{n + 1}": first_port + 20 + n for n in range(2)}
        self.fronts = {f"n{n + 1}": first_port + 100 + 10 * n for n in range(nodes)}

    def link_of(self, name: str) -> int:
        """Return the port of the link to an engine, or of a node's link to the store."""
        if name in self.fronts:
            return self.fronts[name] + 4
        return {**self.engines, **self.services}[name] + 40

    def start(self) -> None:
        """Start all programs and wait until every node is ready."""
        self._spawn("store", [sys.executable, "-m", "stand_ins.platform_store", str(self.store)])
        wait_until(lambda: call(self.store, "GET", "/test/counts")[0] == 200)
        self.configure()
        for name, port in {**self.engines, **self.services}.items():
            self.links.open(self.link_of(name), port)
            self.start_upstream(name)
        for name in self.fronts:
            self.links.open(self.link_of(name), self.store)
            self.start_node(name)
        wait_until(lambda: all(self.is_ready(name) for name in self.fronts))

    def start_upstream(self, name: str) -> None:
        """Start an engine or a plain service, which then holds what it holds at the beginning."""
        service = "engines" if name in self.engines else "access"
        held = HELD[int(name[1:]) - 1] if name in self.engines else ""
        port = {**self.engines, **self.services}[name]
        arguments = [name, str(port), str(self.store), service, held, str(self.link_of(name))]
        self._spawn(name, [sys.executable, "-m", "stand_ins.platform_engine", *arguments])

    def start_node(self, name: str) -> None:
        """Start a node, in one of two zones."""
        front = self.fronts[name]
        path = Path(self._folder.name) / f"{name}.toml"
        zone = "east" if int(name[1:]) % 2 else "west"
        text = TEMPLATE.format(
            node=name,
            zone=zone,
            udp=front + 2,
            front=front,
            ready=front + 1,
            store=self.link_of(name),
        )
        path.write_text(text, encoding="utf-8")
        command = [sys.executable, str(ROOT / "deploy" / "node.py"), str(front + 3)]
        self._spawn(name, command, {"CACTUSSHUNT_BOOT": str(path)})

    def configure(self) -> None:
        """Write the next configuration, as the operator does."""
        self.version += 3
        models = [{"name": name, "weightsSizeMb": 100, "loadS": 0.2} for name in MODELS]
        engine = {"models": models, "weightsSizeMb": 210, "maxAdapters": 2, "loadsPerS": 5}
        document = {
            "version": self.version,
            "routes": standard_routes(),
            "services": [{"name": "engines", "engine": engine}, {"name": "access"}],
        }
        call(self.store, "POST", "/test/put", {"items": {"op/config": json.dumps(document)}})

    def state_of(self, name: str) -> dict[str, Any]:
        """Return what an engine or a plain service ran."""
        port = {**self.engines, **self.services}[name]
        found: dict[str, Any] = json.loads(call(port, "GET", "/test/runs")[2])
        return found

    def version_of(self, node: str) -> int:
        """Return the configuration that a node has in force."""
        dump = json.loads(call(self.fronts[node] + 1, "GET", "/v1/dump")[2])
        return int(dump["configuration_version"])

    def read_log(self, name: str) -> str:
        """Return what the processes of one name have printed."""
        return (Path(self._folder.name) / f"{name}.log").read_text(errors="replace")

    def is_ready(self, node: str) -> bool:
        """Tell whether a node takes callers."""
        try:
            return call(self.fronts[node] + 1, "GET", "/v1/readyz")[0] == 200
        except OSError:
            return False

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that this fleet started and that still runs."""
        process = self.processes[name]
        if process.poll() is None:
            process.send_signal(number)

    def wait_end(self, name: str) -> int:
        """Wait for a process's end and return its status."""
        return self.processes[name].wait(STOP_TIMEOUT_S)

    def stop(self, keep_logs: Path | None) -> None:
        """End everything; keep the nodes' logs if a folder is given."""
        for process in self._started:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait(STOP_TIMEOUT_S)
        if keep_logs is not None:
            keep_logs.mkdir(parents=True, exist_ok=True)
            for path in Path(self._folder.name).glob("*.log"):
                shutil.copy(path, keep_logs / path.name)
        self._folder.cleanup()

    def _spawn(
        self, name: str, command: list[str], environment: dict[str, str] | None = None
    ) -> None:
        with (Path(self._folder.name) / f"{name}.log").open("ab") as log:
            started = subprocess.Popen(
                command,
                cwd=ROOT,
                env={**os.environ, **(environment or {})},
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self._started.append(started)
        self.processes[name] = started


def now() -> float:
    """Return the time that engines' stand-ins log too, in s since 1970."""
    return time.time()
