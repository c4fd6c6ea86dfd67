"""Node processes of the users' platform on loopback, with stand-ins for the store and upstreams."""

from __future__ import annotations

import http.client
import json
import os
import shutil
import subprocess
import sys
import tempfile
import time

from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    import signal

    from collections.abc import Mapping

ROOT = Path(__file__).resolve().parent.parent
READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 15.0
MODELS = ("captions", "summaries", "tags", "links", "letters")
INITIAL_MODELS = {"e1": "captions,summaries", "e2": "captions,tags", "e3": "links,letters"}
SETTINGS_TEMPLATE = """
node = "{node}"
ip = "127.0.0.1"
zone = "{zone}"
portRange = [{udp}, {udp}]
bootstrap = true
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[platform]
address = "127.0.0.1:{store}"
[bounds]
graceS = 6
{limits}
"""


class PlatformDeployment:
    """A store, engines, a plain service and ``nodes`` nodes, on ports from ``first_port`` on."""

    def __init__(
        self,
        *,
        first_port: int,
        nodes: int = 2,
        initial_models: Mapping[str, str] = INITIAL_MODELS,
        software_versions: Mapping[str, str] | None = None,
        process_limits: Mapping[str, float] | None = None,
        caller_limits: Mapping[str, float] | None = None,
    ) -> None:
        """``process_limits`` go into the settings files, ``caller_limits`` into configurations."""
        self._first_port = first_port
        self._process_limits = dict(process_limits or {})
        self._caller_limits = dict(caller_limits or {})
        self._folder = tempfile.TemporaryDirectory(prefix="cactusshunt-")
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._started: list[subprocess.Popen[bytes]] = []
        self._version = 0
        self._initial_models = initial_models
        self.software_versions = dict(software_versions or {})
        self.store = first_port
        self.upstream_ports = {"e1": first_port + 1, "e2": first_port + 2, "s1": first_port + 3}
        self.caller_ports = {f"n{n}": first_port + 10 * n for n in range(1, nodes + 1)}

    def start(self) -> None:
        """Start all processes and wait until the nodes are ready and know the order holder."""
        self._spawn("store", "-m", "stand_ins.platform_store", str(self.store), *self.store_views())
        wait_until(lambda: call(self.store, "GET", "/test/counts")[0] == 200)
        self.configure()
        for name in self.upstream_ports:
            self.start_upstream(name)
        for name in self.caller_ports:
            self.start_node(name)
        wait_until(lambda: all(self._knows_all_upstreams(name) for name in self.caller_ports))

    def upstream_port_of(self, name: str) -> int:
        """Return the port on which nodes reach an engine or a plain service."""
        return self.upstream_ports[name]

    def store_port_of(self, node: str) -> int:
        """Return the port on which a node reaches the store."""
        return self.store

    def store_views(self) -> list[str]:
        """Return further ports of the store, each with an offset for the ports of upstreams."""
        return []

    def start_upstream(self, name: str) -> None:
        """Start an engine with its initial models, or a plain service."""
        service = "access" if name.startswith("s") else "engines"
        ports = [str(self.upstream_ports[name]), str(self.store)]
        extra_arguments = [
            service,
            self._initial_models.get(name, ""),
            str(self.upstream_port_of(name)),
            self.software_versions.get(name, ""),
        ]
        self._spawn(name, "-m", "stand_ins.platform_engine", name, *ports, *extra_arguments)

    def start_node(
        self,
        name: str,
        front: int = 0,
        metrics: int = 0,
        *,
        log_is_read: bool = True,
        program: tuple[str, ...] = (str(ROOT / "deploy" / "node.py"),),
        arguments: tuple[str, ...] = (),
    ) -> None:
        """Start a node, on its usual ports unless others are given.

        With ``log_is_read=False`` its output goes to a pipe that nobody reads, so that it fills up.
        ``program`` gets the metrics port and ``arguments``.
        """
        front = front or self.caller_ports[name]
        path = Path(self._folder.name) / f"{name}.toml"
        text = SETTINGS_TEMPLATE.format(
            node=name,
            zone=zone_of_node(name),
            udp=front + 2,
            front=front,
            ready=front + 1,
            store=self.store_port_of(name),
            limits=self._encode_process_limits(),
        )
        path.write_text(text, encoding="utf-8")
        self._spawn(
            name,
            *program,
            str(metrics or front + 3),
            *arguments,
            environment={"CACTUSSHUNT_BOOT": str(path)},
            log_is_read=log_is_read,
        )

    def start_program(self, name: str, module: str, *arguments: str) -> None:
        """Start another stand-in, which ends with the deployment."""
        self._spawn(name, "-m", module, *arguments)

    @property
    def newest_version(self) -> int:
        """Return the newest configuration version that was written."""
        return self._version

    def configure(
        self,
        routes: list[dict[str, Any]] | None = None,
        *,
        version: int | None = None,
        customers: list[dict[str, Any]] | None = None,
    ) -> int:
        """Write a configuration, by default a new one, as the operator does; return its version.

        Without ``customers`` it has no list of them.
        """
        if version is None:
            self._version += 3
            version = self._version
        models = [{"name": name, "weightsSizeMb": 100, "loadS": 0.2} for name in MODELS]
        document: dict[str, Any] = {
            "version": version,
            "routes": standard_routes() if routes is None else routes,
            "services": [
                {
                    "name": "engines",
                    "engine": {
                        "models": models,
                        "weightsSizeMb": 210,
                        "maxAdapters": 2,
                        "loadsPerS": 5,
                    },
                },
                {"name": "access"},
            ],
        }
        if customers is not None:
            document["tenants"] = customers
        if self._caller_limits:
            document["limits"] = self._caller_limits
        self.put("op/config", json.dumps(document))
        return version

    def put(self, key: str, value: str) -> None:
        """Write a key of the store as the operator or an engine does."""
        call(self.store, "POST", "/test/put", {"items": {key: value}})

    def set_store_down(self, down: bool) -> None:
        """Make the store's calls fail, or succeed again."""
        call(self.store, "POST", "/test/mode", {"down": down})

    def save_store(self) -> None:
        """Make a copy of the store, from which ``restore_store`` lets it come back."""
        call(self.store, "POST", "/test/save")

    def restore_store(self, away_s: float, *, names_era: bool = True) -> None:
        """Let the store go away and come back from its copy ``away_s`` later.

        Return when it is back; it may have answered meanwhile, as it was before.
        """
        body = {"away_s": away_s, "names_era": names_era}
        era = call(self.store, "GET", "/test/counts")[1].get("store-era")
        call(self.store, "POST", "/test/restore", body)
        if names_era:
            wait_until(lambda: call(self.store, "GET", "/test/counts")[1].get("store-era") != era)
        wait_until(lambda: call(self.store, "GET", "/v1/kv-range?prefix=op/")[0] == 200)

    def inject_fault(self, engine: str, kind: str, count: int = 1) -> None:
        """Set the fault of an upstream's next ``count`` requests, or make it drain."""
        call(self.upstream_ports[engine], "POST", "/test/fault", {"kind": kind, "count": count})

    def set_deadly_part(self, engine: str, part: str | None) -> None:
        """Name a part of prompts under which an engine dies; ``None`` ends it."""
        call(self.upstream_ports[engine], "POST", "/test/deadly", {"part": part})

    def set_deadly_path(self, upstream: str, path: str | None) -> None:
        """Name a path of requests under which an upstream dies; ``None`` ends it."""
        call(self.upstream_ports[upstream], "POST", "/test/deadly", {"path": path})

    def make_brittle(self, upstream: str, *, per_s: int, room: int, work_s: float) -> None:
        """Make a plain instance fall over when it turns too many requests away in a second."""
        body = {"per_s": per_s, "room": room, "work_s": work_s}
        call(self.upstream_ports[upstream], "POST", "/test/brittle", body)

    def end_brittle(self, upstream: str) -> None:
        """Let a plain instance turn requests away as it likes again."""
        call(self.upstream_ports[upstream], "POST", "/test/brittle", {})

    def say(self, upstream: str, **notices: Any) -> None:
        """Set what an upstream says of itself: ``leaving``, ``retry_after``."""
        call(self.upstream_ports[upstream], "POST", "/test/notices", notices)

    def fail_taken_up(self, engine: str, answer: str | None) -> None:
        """Set how an engine answers streams that are taken up; ``None`` lets them go on."""
        call(self.upstream_ports[engine], "POST", "/test/taken-up", {"answer": answer})

    def echo_refusals(self, upstream: str, how: str, **options: bool) -> None:
        """Make a plain instance write an earlier refusal once more, from its next answer on.

        ``options`` are ``anonymous`` and ``kept``, see ``stand_ins.spoilt_answers``.
        """
        body = {"how": how, **options}
        call(self.upstream_ports[upstream], "POST", "/test/echo", body)

    def end_echo(self, upstream: str) -> None:
        """Let a plain instance write refusals once only."""
        call(self.upstream_ports[upstream], "POST", "/test/echo", {})

    def name_limit(self, engine: str, value: str | None, every: int = 1) -> None:
        """Make an upstream name a request limit in every ``every``-th answer; ``None`` ends it."""
        call(self.upstream_ports[engine], "POST", "/test/limit", {"value": value, "every": every})

    def list_executed_requests(self) -> list[str]:
        """Return the IDs of all requests that upstreams ran."""
        return [run for name in self.upstream_ports for run in self.state_of(name)["runs"]]

    def list_cancelled_requests(self) -> list[str]:
        """Return the IDs of requests whose connection ended before their answer was complete."""
        return [run for name in self.upstream_ports for run in self.state_of(name)["cancelled"]]

    def overcommitted(self) -> bool:
        """Return whether any engine was ordered to load more models than fit."""
        return any(self.state_of(name)["overcommitted"] for name in self.upstream_ports)

    def dump(self, node: str) -> dict[str, Any]:
        """Return a node's state dump."""
        found: dict[str, Any] = json.loads(call(self.caller_ports[node] + 1, "GET", "/v1/dump")[2])
        return found

    def metrics(self, node: str) -> str:
        """Return a node's metrics in text format."""
        return call(self.caller_ports[node] + 3, "GET", "/metrics")[2].decode()

    def is_ready(self, node: str) -> bool:
        """Return whether a node reports that it is ready."""
        try:
            return call(self.caller_ports[node] + 1, "GET", "/v1/readyz")[0] == 200
        except OSError:
            return False

    def signal(self, node: str, number: signal.Signals) -> None:
        """Send a signal to a process that this deployment started."""
        self.processes[node].send_signal(number)

    def wait_for_exit(self, node: str) -> int:
        """Wait for a node to end and return its exit status."""
        return self.processes[node].wait(STOP_TIMEOUT_S)

    def read_log(self, name: str) -> str:
        """Return the output of all processes that ran under a name."""
        path = Path(self._folder.name) / f"{name}.log"
        return path.read_text(encoding="utf-8", errors="replace")

    def stop(self, keep_logs: Path | None = None) -> None:
        """Kill all processes; copy their logs to ``keep_logs`` if given."""
        for process in self._started:
            if process.poll() is None:
                process.kill()
                process.wait(STOP_TIMEOUT_S)
        if keep_logs is not None:
            self.copy_logs(keep_logs)
        self._folder.cleanup()

    def copy_logs(self, folder: Path) -> None:
        """Copy what the processes have written so far."""
        shutil.copytree(self._folder.name, folder, dirs_exist_ok=True)

    def _knows_all_upstreams(self, node: str) -> bool:
        if not self.is_ready(node):
            return False
        state = self.dump(node)
        return len(state["upstreams"]) == len(self.upstream_ports) and bool(state["order_holder"])

    def state_of(self, engine: str) -> dict[str, Any]:
        """Return what an upstream reports about the requests that it ran."""
        found: dict[str, Any] = json.loads(
            call(self.upstream_ports[engine], "GET", "/test/runs")[2]
        )
        return found

    def _encode_process_limits(self) -> str:
        if not self._process_limits:
            return ""
        return "\n".join(["[limits]", *(f"{k} = {v}" for k, v in self._process_limits.items())])

    def _spawn(
        self,
        name: str,
        *arguments: str,
        environment: dict[str, str] | None = None,
        log_is_read: bool = True,
    ) -> None:
        with (Path(self._folder.name) / f"{name}.log").open("ab") as log:
            started = subprocess.Popen(
                [sys.executable, *arguments],
                cwd=ROOT,
                env={**os.environ, **(environment or {})},
                stdout=log if log_is_read else subprocess.PIPE,
                stderr=log,
            )
        self._started.append(started)
        self.processes[name] = started


def zone_of_node(name: str) -> str:
    """Return the availability zone of a node."""
    return "east" if int(name[1:]) % 2 else "west"


def standard_routes() -> list[dict[str, Any]]:
    """Return one route of each type, and a resumable streaming route."""
    stream = {"routeType": "streaming", "timeoutMs": 8000, "targetLatencyMs": 1500}
    return [
        {"name": "s", "hostname": "h", "prefix": "/s/", "service": "engines", **stream},
        {
            "name": "r",
            "hostname": "h",
            "prefix": "/s/r/",
            "service": "engines",
            "canResume": True,
            "attempts": 3,
            **stream,
        },
        {"name": "once", "hostname": "h", "prefix": "/once/", "service": "access"},
        {
            "name": "again",
            "hostname": "h",
            "prefix": "/again/",
            "service": "access",
            "routeType": "idempotent",
            "attempts": 2,
        },
    ]


def call(
    port: int,
    method: str,
    path: str,
    body: dict[str, Any] | None = None,
    headers: dict[str, str] | None = None,
    *,
    chunk_bytes: int | None = None,
) -> tuple[int, dict[str, str], bytes]:
    """Make an HTTP call on loopback; return status, headers in lower case, and body.

    With ``chunk_bytes`` the request's body is sent in chunks of that size.
    """
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=20)
    try:
        data = None if body is None else json.dumps(body).encode()
        if data is not None and chunk_bytes is not None:
            chunks = (data[at : at + chunk_bytes] for at in range(0, len(data), chunk_bytes))
            connection.request(method, path, chunks, headers or {}, encode_chunked=True)
        else:
            connection.request(method, path, data, headers or {})
        answer = connection.getresponse()
        fields = {name.lower(): value for name, value in answer.getheaders()}
        return answer.status, fields, answer.read()
    finally:
        connection.close()


def wait_until(condition: Any, timeout_s: float = READY_TIMEOUT_S) -> None:
    """Wait until a condition is true; raise ``TimeoutError`` after ``timeout_s``."""
    deadline = time.monotonic() + timeout_s
    while True:
        try:
            if condition():
                return
        except OSError:
            pass
        if time.monotonic() > deadline:
            raise TimeoutError("the condition is not true after the timeout")
        time.sleep(0.05)
