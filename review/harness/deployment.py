"""A small deployment on loopback: the project's node processes and its stand-in of the store."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile

from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from harness import wire
from harness.store_relay import StoreRelay

if TYPE_CHECKING:
    from harness.record import Record
    from harness.servers import Server

ROOT = Path(__file__).resolve().parents[2]
MEMORY_MB = 300
READY_TIMEOUT_S = 25.0
SETTINGS = """
node = "{node}"
role = "node"
machineClass = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "{zone}"
region = "montevideo"
portRange = [{peer}, {last_peer}]
seeds = []
bootstrap = true
countsAsLoss = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine"]
[zones]
cordon = "montevideo"
prado = "montevideo"
buceo = "montevideo"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = {memory_mb}
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lostMs = 200
configMs = 2000
downgradeMs = 250
maxStretchMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetMinRetries = 56
recoverS = 12
passMs = 120
retryAfterS = 0
requireFence = false
leaseMs = 3000
thawMs = 300
ceilingWindowS = 5
originOverage = 1.1
[platform]
address = "127.0.0.1:{store}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""
ZONES = ("cordon", "prado", "buceo")


def reserve_ports(count: int) -> int:
    """Return the first of some ports in a row that are free for TCP and UDP."""
    for _ in range(200):
        first = random.randrange(20_000, 32_000)
        with contextlib.ExitStack() as stack:
            try:
                for port in range(first, first + count):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        found = stack.enter_context(socket.socket(socket.AF_INET, kind))
                        found.bind(("127.0.0.1", port))
            except OSError:
                continue
            return first
    raise OSError("no free ports")


class Deployment:
    """Starts and ends the processes; everything is on 127.0.0.1."""

    def __init__(self, record: Record, *, nodes: int) -> None:
        self.record = record
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._all: list[subprocess.Popen[bytes]] = []
        self.store = reserve_ports(1)
        self.fronts: dict[str, int] = {}
        self.relays: dict[str, StoreRelay] = {}
        self.nodes = [f"edge-{ZONES[n % 3]}-{1 + n // 3}" for n in range(nodes)]

    async def start_store(self) -> None:
        """Start the store and wait until it answers."""
        self._spawn("store", [sys.executable, "-m", "stand_ins.platform_store", str(self.store)])
        await self.wait_until(lambda: self._answers(self.store, "/test/counts"))

    async def configure(self, document: dict[str, Any]) -> None:
        """Write the operator's configuration."""
        items = {"items": {"op/config": json.dumps(document)}}
        await wire.call(self.store, "POST", "/test/put", items)

    async def start_nodes(self) -> None:
        """Start all nodes, each with a relay to the store, and wait until they are ready."""
        for node in self.nodes:
            self.relays[node] = StoreRelay(self.store)
            await self.relays[node].start()
            self.start_node(node)
        for node in self.nodes:
            await self.wait_until_ready(node)

    async def wait_until_ready(self, node: str) -> None:
        """Wait until a node reports that it is ready."""
        await self.wait_until(lambda: self._answers(self.fronts[node] + 1, "/v1/readyz"))

    def start_node(self, node: str) -> None:
        """Start a node's process with the command of the deploy file."""
        if node not in self.fronts:  # else it starts again, on the same ports
            self.fronts[node] = reserve_ports(8)  # front, ready, metrics, five between nodes
        first = self.fronts[node]
        path = Path(self._folder.name) / f"{node}.toml"
        zone = ZONES[self.nodes.index(node) % 3]
        text = SETTINGS.format(
            node=node,
            zone=zone,
            front=first,
            ready=first + 1,
            peer=first + 3,
            last_peer=first + 7,
            store=self.relays[node].port,
            memory_mb=MEMORY_MB,
        )
        path.write_text(text, encoding="utf-8")
        command = ["python3", "deploy/node.py", str(first + 2)]
        self._spawn(node, command, CACTUSSHUNT_BOOT=str(path))

    async def wait_until(self, condition: Any, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until an asynchronous condition holds."""
        end = self.record.now() + timeout_s
        while not await condition():
            if self.record.now() > end:
                raise TimeoutError("the deployment did not become ready")
            await asyncio.sleep(0.05)

    async def _answers(self, port: int, target: str) -> bool:
        with contextlib.suppress(OSError, ConnectionError, asyncio.TimeoutError):
            return bool((await wire.call(port, "GET", target, timeout_s=2))[0] == 200)
        return False

    async def dump(self, node: str) -> dict[str, Any]:
        """Return a node's state, to know when the deployment is complete."""
        return (await wire.call(self.fronts[node] + 1, "GET", "/v1/dump"))[1]  # type: ignore

    async def knows(self, node: str, servers: int, *, holder: bool = True) -> bool:
        """Return whether a node knows so many servers, all nodes and, if asked, the holder."""
        state = await self.dump(node)
        all_nodes = len(state["peers"]) == len(self.nodes) - 1
        settled = bool(state["order_holder"]) or not holder
        return len(state["upstreams"]) == servers and all_nodes and settled

    async def read_store(self, prefix: str) -> list[dict[str, Any]]:
        """Return the store's items below a prefix."""
        answer = await wire.call(self.store, "GET", f"/v1/kv-range?prefix={prefix}")
        return list(answer[1]["items"])

    def kill(self, node: str) -> None:
        """Kill a node's process."""
        self.record.write("kill", node=node)
        self.processes[node].send_signal(signal.SIGKILL)

    def signal(self, node: str, number: signal.Signals) -> None:
        """Send a signal to a node's process."""
        self.record.write("signal", node=node, number=number.name)
        self.processes[node].send_signal(number)

    def read_rss_mb(self, node: str) -> float:
        """Return the resident memory of a node's process in MB, 0 once it has ended."""
        with contextlib.suppress(OSError, StopIteration):
            lines = Path(f"/proc/{self.processes[node].pid}/status").read_text().splitlines()
            return int(next(x for x in lines if x.startswith("VmRSS")).split()[1]) / 1024
        return 0.0

    def stop(self) -> None:
        """End all processes."""
        for process in self._all:
            if process.poll() is None:
                process.kill()
                process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for path in Path(self._folder.name).iterdir():
                Path(keep, path.name).write_bytes(path.read_bytes())
        self._folder.cleanup()

    def _spawn(self, name: str, command: list[str], **environment: str) -> None:
        given = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        given["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (Path(self._folder.name) / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                command, cwd=ROOT, env={**given, **environment}, stdout=log, stderr=log
            )
        self._all.append(process)
        self.processes[name] = process


async def start_servers(servers: list[Server]) -> None:
    """Start servers."""
    for server in servers:
        await server.start()
