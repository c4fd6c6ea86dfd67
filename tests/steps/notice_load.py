"""Callers of a deployment whose engines say that they leave or want a pause, and what they saw."""

from __future__ import annotations

import contextlib
import http.client
import random
import threading
import time
import uuid

from collections import Counter
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from local.platform_deployment import PlatformDeployment

if TYPE_CHECKING:
    from collections.abc import Sequence

ENGINES = ("e1", "e2", "e3", "e4")
MODEL = "captions"
PATHS = ("/s/x", "/s/r/x")
DRAIN_S = 2.0
PAUSE_BEGIN_S = 0.5  # requests that were on their way may still arrive within it
GAP_S = 0.01


class EqualEngines(PlatformDeployment):
    """Several engines that all hold the same models, and a plain service."""

    def __init__(self, *, first_port: int, nodes: int, engines: Sequence[str] = ENGINES) -> None:
        super().__init__(
            first_port=first_port,
            nodes=nodes,
            initial_models=dict.fromkeys(engines, f"{MODEL},summaries"),
        )
        names = [*engines, "s1"]
        self.upstream_ports = {name: first_port + 1 + n for n, name in enumerate(names)}


@dataclass(frozen=True, kw_only=True)
class Seen:
    """One request as its caller saw it; ``leaving`` names the engine that said that it leaves."""

    request_id: str
    node: str
    sent_at: float
    answered_at: float
    status: int
    retry_after: str | None
    leaving: str | None


class NoticeLoad:
    """Callers who send one request after the other on open connections, until ``stop``."""

    def __init__(self, deployment: PlatformDeployment, callers: int) -> None:
        self._deployment = deployment
        self.seen: list[Seen] = []
        self._stopping = threading.Event()
        nodes = list(deployment.caller_ports)
        self._threads = [
            threading.Thread(target=self._send_all, args=(nodes[n % len(nodes)], n), daemon=True)
            for n in range(callers)
        ]

    def start(self) -> None:
        """Start the callers."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop the callers and wait for their last answers."""
        self._stopping.set()
        for thread in self._threads:
            thread.join(20.0)

    def _send_all(self, node: str, number: int) -> None:
        rng = random.Random(number)
        connection = None
        while not self._stopping.is_set():
            if connection is None:
                port = self._deployment.caller_ports[node]
                connection = http.client.HTTPConnection("127.0.0.1", port, timeout=12)
            try:
                self._send(connection, node, rng.choice(PATHS))
            except (OSError, http.client.HTTPException):
                connection.close()
                connection = None
            time.sleep(GAP_S * rng.random())

    def _send(self, connection: http.client.HTTPConnection, node: str, path: str) -> None:
        request_id = uuid.uuid4().hex
        headers = {
            "Host": "h",
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "6000",
            "X-Model": MODEL,
            "X-Token-Count": "100,8",
            "X-Prompt-Prefix": f"aa:60,{request_id}:20",
        }
        sent_at = time.time()
        status, fields = 0, {}
        try:
            connection.request("POST", path, b"{}", headers)
            answer = connection.getresponse()
            fields = {name.lower(): value for name, value in answer.getheaders()}
            told_at = time.time()
            answer.read()
            status = answer.status
        finally:
            seal = fields.get("x-response-seal", "")
            self.seen.append(
                Seen(
                    request_id=request_id,
                    node=node,
                    sent_at=sent_at,
                    answered_at=told_at if fields else time.time(),
                    status=status,
                    retry_after=fields.get("retry-after"),
                    leaving=seal.removeprefix("seal-") if "server-leaving" in fields else None,
                )
            )


def find_late(deployment: PlatformDeployment, seen: Sequence[Seen]) -> Counter[tuple[str, str]]:
    """Return how many requests reached each leaving engine too late, by node and engine.

    A request is late if its caller sent it over ``DRAIN_S`` after its node had passed on an answer
    that said so.
    """
    told: dict[tuple[str, str], float] = {}
    for found in sorted(seen, key=lambda each: each.answered_at):
        if found.leaving is not None:
            told.setdefault((found.node, found.leaving), found.answered_at)
    by_id = {found.request_id: found for found in seen}
    late: Counter[tuple[str, str]] = Counter()
    for engine in {engine for _, engine in told}:
        for request_id, _, _ in deployment.state_of(engine)["arrivals"]:
            found = by_id.get(request_id)
            key = (found.node, engine) if found is not None else ("", "")
            late[key] += key in told and by_id[request_id].sent_at > told[key] + DRAIN_S
    return +late


def find_most_in_pause(
    deployment: PlatformDeployment, seen: Sequence[Seen], engines: Sequence[str]
) -> int:
    """Return the most requests of one node that reached an engine within a pause that it asked for.

    They count from half a second after the refusal to the end of the pause.
    """
    nodes = {found.request_id: found.node for found in seen}
    most = 0
    for engine in engines:
        state = deployment.state_of(engine)
        arrivals: defaultdict[str | None, list[float]] = defaultdict(list)
        for request_id, at, _ in state["arrivals"]:
            arrivals[nodes.get(request_id)].append(at)
        for request_id, at, text in state["said"]:
            with contextlib.suppress(ValueError):
                begins, ends = at + PAUSE_BEGIN_S, at + float(text)
                node = nodes.get(request_id)
                if node is not None:
                    most = max(most, sum(begins < each < ends for each in arrivals[node]))
    return most
