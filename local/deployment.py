"""Local deployment on loopback: the stand-ins and the processes of two entry VMs."""

from __future__ import annotations

import http.client
import json
import shutil
import signal
import subprocess
import sys
import tempfile
import time

from base64 import b64encode
from dataclasses import dataclass
from dataclasses import field
from functools import partial
from pathlib import Path
from typing import Any

from cactusshunt.decisions.authorization import hash_token
from local.ports import offset_port

ROOT = Path(__file__).resolve().parent.parent
READY_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 20.0
CALLER_TOKEN = "local-caller-token"
ADMINISTRATOR_TOKEN = "local-administrator-token"
PORTS_PER_VM = 10
PORT_NAMES = ("caller_port", "administration_port", "peer_port", "entry_dump_port")


@dataclass(frozen=True, kw_only=True)
class EngineSpec:
    """Settings of one engine stand-in; ``token_ms`` is the time per generated token."""

    name: str
    availability_zone: str
    checks_fence: bool = True
    capacity_mib: int = 4000
    slots: int = 8
    token_ms: int = 10


@dataclass(frozen=True, kw_only=True)
class DeploymentSpec:
    """Composition of a local deployment; each entry VM uses ten ports, from ``first_port`` on.

    In a linked deployment each VM reaches the platform and its peers over a link that can be cut.
    """

    entry_zones: tuple[str, ...] = ("east", "west")
    engines: tuple[EngineSpec, ...] = (
        EngineSpec(name="engine-1", availability_zone="east"),
        EngineSpec(name="engine-2", availability_zone="west"),
        EngineSpec(name="engine-3", availability_zone="west", checks_fence=False),
    )
    first_port: int = offset_port(8080)
    loads_per_second: float = 5.0
    loads_at_once: int = 3
    load_s: float = 0.3
    lease_ttl_s: int = 4
    order_arrival_limit_ms: int = 4000
    linked: bool = False


def default_documents(spec: DeploymentSpec) -> dict[str, Any]:
    """Return the initial settings documents of the local deployment by key."""
    limit = {"order_arrival_limit_ms": spec.order_arrival_limit_ms}
    common = {"refuses_before_work": True, "resumes": True, **limit}
    return {
        "deployment/upstream_kinds/fenced": {"checks_fence": True, **common},
        "deployment/upstream_kinds/unfenced": {"checks_fence": False, **common},
        "deployment/weight_store": {
            "loads_per_second": spec.loads_per_second,
            "loads_at_once": spec.loads_at_once,
        },
        "deployment/objective": {"attainment_weight": 1.0, "move_weight": 5.0},
        "deployment/administrators": {
            "administrators": [
                {
                    "name": "local",
                    "token_hash": hash_token(ADMINISTRATOR_TOKEN),
                    "subjects": ["*"],
                }
            ]
        },
        "teams/streams/access": {"caller_token_hashes": [hash_token(CALLER_TOKEN)]},
        "teams/streams/models/captions": {
            "version": "v1",
            "memory_mib": 1000,
            "priority": 8,
            "adapters": {"spanish": {"version": "v1", "memory_mib": 50}},
        },
        "teams/streams/models/summaries": {"version": "v1", "memory_mib": 900},
        "teams/streams/services/registry": {"pool": "registry"},
        "teams/grid/models/defects": {"version": "v1", "memory_mib": 800, "priority": 6},
    }


@dataclass(kw_only=True)
class Deployment:
    """Starts and stops the processes, which are addressed by name."""

    spec: DeploymentSpec = field(default_factory=DeploymentSpec)
    processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    directory: Path = field(default_factory=lambda: Path(tempfile.mkdtemp()))

    def port(self, vm: int, offset: int) -> int:
        """Return a port of the entry VM with a number from 0; offsets are as in ``PORT_NAMES``."""
        return self.spec.first_port + vm * PORTS_PER_VM + offset

    def stand_in_port(self, offset: int) -> int:
        """Return a port of the stand-ins, whose range lies above that of the entry VMs."""
        return self.spec.first_port + 200 + offset

    @property
    def store_port(self) -> int:
        """Return the port of the key-value store stand-in."""
        return self.stand_in_port(0)

    @property
    def vm_list_port(self) -> int:
        """Return the port of the VM list stand-in."""
        return self.stand_in_port(1)

    @property
    def weight_store_port(self) -> int:
        """Return the port of the weight store stand-in."""
        return self.stand_in_port(2)

    @property
    def service_port(self) -> int:
        """Return the port of the plain service stand-in."""
        return self.stand_in_port(3)

    def link_port(self, vm: int, offset: int) -> int:
        """Return a port of a VM's link; offsets: 0 control, 1 store, 2 VM list, 3 peers."""
        return self.stand_in_port(40 + vm * 4 + offset)

    def set_link_cut(self, vm: int, cut: bool) -> None:
        """Cut a VM's link to the platform and its peers, or restore it."""
        call_json("POST", self.link_port(vm, 0), "/control", {"cut": cut})

    def engine_port(self, number: int) -> int:
        """Return the port of an engine by its index in the specification."""
        return self.stand_in_port(10 + number)

    def start(self) -> None:
        """Start all processes and wait until each entry is ready."""
        self.start_stand_ins()
        self.write_documents(default_documents(self.spec))
        for number in range(len(self.spec.entry_zones)):
            self.start_vm(number)
        self.wait_ready()

    def start_stand_ins(self) -> None:
        """Start the stand-ins and wait until they accept connections."""
        spec = self.spec
        vms_file = self.directory / "vms.json"
        vms_file.write_text(json.dumps(self._list_vms()), encoding="utf-8")
        self._start_stand_in("store", self.store_port)
        self._start_stand_in("vm_list", self.vm_list_port, str(vms_file))
        self._start_stand_in(
            "weight_store",
            self.weight_store_port,
            str(spec.loads_per_second),
            str(spec.loads_at_once),
            str(spec.load_s),
        )
        self._start_stand_in("service", self.service_port)
        for number in range(len(spec.engines)):
            self.start_engine(number)
        ports = [self.store_port, self.vm_list_port, self.weight_store_port]
        if spec.linked:
            ports += [self._start_link(number) for number in range(len(spec.entry_zones))]
        for port in ports:
            self._wait_for_port(port)

    def _start_link(self, number: int) -> int:
        targets = (self.store_port, self.vm_list_port, self.port(number, 2))
        pairs = [
            f"{self.link_port(number, offset)}:{target}"
            for offset, target in enumerate(targets, start=1)
        ]
        control = self.link_port(number, 0)
        self._start(f"link-{number}", "-m", "stand_ins.link", str(control), *pairs)
        return control

    def start_engine(self, number: int) -> None:
        """Start one engine stand-in."""
        engine = self.spec.engines[number]
        self._start(
            engine.name,
            "-m",
            "stand_ins.engine",
            str(self.engine_port(number)),
            engine.name,
            str(engine.capacity_mib),
            str(engine.slots),
            str(engine.token_ms),
            "fenced" if engine.checks_fence else "unfenced",
            f"http://127.0.0.1:{self.weight_store_port}",
        )

    def start_vm(self, number: int) -> None:
        """Start the two processes of one entry VM."""
        for role in ("control", "entry"):
            self.start_role(number, role)

    def start_role(self, number: int, role: str) -> None:
        """Start one process of one entry VM."""
        path = self._write_process_settings(number)
        self._start(f"{role}-{number}", "-m", "cactusshunt", role, str(path))

    def write_documents(self, documents: dict[str, Any]) -> None:
        """Write settings documents directly into the store, as an operator may."""
        for key, value in documents.items():
            text = value if isinstance(value, str) else json.dumps(value)
            body = {
                "key": b64encode(key.encode()).decode(),
                "value": b64encode(text.encode()).decode(),
            }
            call_json("POST", self.store_port, "/v3/kv/put", body)

    def wait_ready(self) -> None:
        """Wait until every entry accepts traffic."""
        for number in range(len(self.spec.entry_zones)):
            self._wait_until(partial(is_ready, self.port(number, 0)), "an entry is not ready")

    def wait_reachable(self, items: set[str]) -> None:
        """Wait until each entry knows, for each item, an engine that has loaded it."""
        for number in range(len(self.spec.entry_zones)):
            condition = partial(are_items_reachable, self.port(number, 3), items)
            self._wait_until(condition, f"items without a known engine: {items}")

    def stop(self) -> None:
        """Stop all processes, first those of entries; kill those that exceed the timeout."""
        order = sorted(self.processes, key=lambda name: not name.startswith("entry"))
        for name in order:
            self.signal(name, signal.SIGTERM)
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for process in self.processes.values():
            try:
                process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.processes.clear()

    def copy_logs(self, folder: Path) -> None:
        """Copy what the processes have written so far."""
        shutil.copytree(self.directory, folder, dirs_exist_ok=True)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process if it still runs."""
        process = self.processes[name]
        if process.poll() is None:
            process.send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process and wait for its end."""
        self.signal(name, signal.SIGKILL)
        self.processes.pop(name).wait()

    def _start_stand_in(self, name: str, port: int, *arguments: str) -> None:
        self._start(name, "-m", f"stand_ins.{name}", str(port), *arguments)

    def _start(self, name: str, *arguments: str) -> None:
        with (self.directory / f"{name}.log").open("ab") as output:
            self.processes[name] = subprocess.Popen(
                [sys.executable, *arguments],
                cwd=ROOT,
                stdout=output,
                stderr=output,
                start_new_session=True,
            )

    def _write_process_settings(self, number: int) -> Path:
        linked = self.spec.linked
        store_port = self.link_port(number, 1) if linked else self.store_port
        vm_list_port = self.link_port(number, 2) if linked else self.vm_list_port
        settings = {
            "vm": f"entry-{number}",
            "availability_zone": self.spec.entry_zones[number],
            "address": "127.0.0.1",
            "store_urls": [f"http://127.0.0.1:{store_port}"],
            "vm_list_url": f"http://127.0.0.1:{vm_list_port}/v1/vms",
            "lease_ttl_s": self.spec.lease_ttl_s,
            "clock_error_ms": 100,
        }
        settings.update({name: self.port(number, i) for i, name in enumerate(PORT_NAMES)})
        path = self.directory / f"entry-{number}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        return path

    def _list_vms(self) -> list[dict[str, Any]]:
        vms = [
            _make_vm_record(f"entry-{number}", "entry", "entry", self._peer_port(number), zone)
            for number, zone in enumerate(self.spec.entry_zones)
        ]
        for number, engine in enumerate(self.spec.engines):
            kind = "fenced" if engine.checks_fence else "unfenced"
            port = self.engine_port(number)
            vms.append(_make_vm_record(engine.name, "engine", kind, port, engine.availability_zone))
        zone = self.spec.entry_zones[0]
        vms.append(_make_vm_record("registry-1", "service", "registry", self.service_port, zone))
        return vms

    def _peer_port(self, number: int) -> int:
        return self.link_port(number, 3) if self.spec.linked else self.port(number, 2)

    def _wait_for_port(self, port: int) -> None:
        self._wait_until(
            lambda: accepts_connections(port), f"port {port} does not accept connections"
        )

    def _wait_until(self, condition: Any, message: str) -> None:
        deadline = time.monotonic() + READY_TIMEOUT_S
        while not condition():
            failed = [name for name, process in self.processes.items() if process.poll()]
            if failed or time.monotonic() > deadline:
                raise TimeoutError(f"{message}; processes that failed: {failed}")
            time.sleep(0.1)


def _make_vm_record(name: str, role: str, kind: str, port: int, zone: str) -> dict[str, Any]:
    return {
        "vm": name,
        "role": role,
        "kind": kind,
        "address": f"127.0.0.1:{port}",
        "availability_zone": zone,
        "leaving": False,
    }


def call_json(method: str, port: int, path: str, body: Any = None) -> Any:
    """Call a loopback port and return the decoded JSON answer."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
    try:
        data = json.dumps(body).encode() if body is not None else None
        connection.request(method, path, body=data)
        return json.loads(connection.getresponse().read() or b"null")
    finally:
        connection.close()


def accepts_connections(port: int) -> bool:
    """Return whether a loopback port accepts connections."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=1)
    try:
        connection.connect()
    except OSError:
        return False
    finally:
        connection.close()
    return True


def is_ready(port: int) -> bool:
    """Return whether an entry process reports that it is ready."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=1)
    try:
        connection.request("GET", "/readyz")
        return connection.getresponse().status == 200
    except OSError:
        return False
    finally:
        connection.close()


def are_items_reachable(dump_port: int, items: set[str]) -> bool:
    """Return whether an entry process knows, for each item, an engine that has loaded it."""
    return items <= list_reachable_items(dump_port)


def list_reachable_items(dump_port: int) -> set[str]:
    """Return the items that some engine known to an entry process has loaded."""
    try:
        upstreams = call_json("GET", dump_port, "/dump")["upstreams"]
    except OSError:
        return set()
    return {item for found in upstreams.values() for item in found["state"]["items"]}
