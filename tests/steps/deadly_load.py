"""Sound requests and deadly ones, sent to the nodes of a deployment at a steady rate."""

from __future__ import annotations

import time

from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from dataclasses import field
from http.client import HTTPException
from typing import TYPE_CHECKING
from typing import Any

from local.platform_deployment import call
from local.platform_deployment import wait_until

if TYPE_CHECKING:
    from collections.abc import Callable

    from local.platform_deployment import PlatformDeployment

CALM_S = 3.0  # of sound requests alone, to compare with


@dataclass(frozen=True, kw_only=True)
class Request:
    """One request to a node."""

    request_id: str
    method: str
    path: str
    headers: dict[str, str] = field(default_factory=dict)
    body: Any = None
    chunk_bytes: int | None = None


@dataclass(frozen=True, kw_only=True)
class Answer:
    """What a caller got: status 0 stands for a connection that ended without an answer."""

    sent_at: float
    deadly: bool
    status: int
    body: bytes = b""


class DeadlyLoad:
    """Sends requests through one node after the other and gathers what upstreams saw.

    Deadly ones go through ``deadly_node`` if one is named.
    """

    def __init__(
        self, *, deployment: PlatformDeployment, upstreams: list[str], deadly_node: str = ""
    ) -> None:
        self._deployment = deployment
        self._deadly_node = deadly_node
        self._upstreams = upstreams
        self.answers: list[Answer] = []
        self.began_at = 0.0
        self.crashes: list[float] = []
        self.arrivals: list[tuple[float, str]] = []

    def run(
        self,
        *,
        sound_per_s: float,
        deadly_at: list[float],
        seconds: float,
        make_sound: Callable[[int], Request],
        make_deadly: Callable[[int], Request],
    ) -> None:
        """Send sound requests for ``CALM_S``, then both kinds for ``seconds``.

        Deadly ones are sent at times in seconds after the calm.
        """
        self.began_at = time.time()
        schedule = [
            (number / sound_per_s, make_sound, number, False)
            for number in range(int(sound_per_s * (CALM_S + seconds)))
        ]
        schedule += [
            (CALM_S + at, make_deadly, number, True) for number, at in enumerate(deadly_at)
        ]
        with ThreadPoolExecutor(80) as pool:
            for due_s, make, number, deadly in sorted(schedule, key=lambda entry: entry[0]):
                time.sleep(max(0.0, self.began_at + due_s - time.time()))
                pool.submit(self._send, number, make(number), deadly)
        states = [self._read_state(name) for name in self._upstreams]
        self.crashes = sorted(at for state in states for at in state["crashes"])
        self.arrivals = sorted((at, sent) for state in states for at, sent in state["deadly"])
        print(f"{len(self.crashes)} crashes, {len(self.arrivals)} deadly requests at upstreams")

    def served_share(self, begin: float, end: float) -> float:
        """Return the share of the sound requests of a time span that were served."""
        found = [
            answer.status
            for answer in self.answers
            if not answer.deadly and begin <= answer.sent_at < end
        ]
        assert len(found) >= 20, len(found)
        return found.count(200) / len(found)

    def check_sound(self, crashes: int, seconds: float) -> None:
        """Check the sound requests from ``seconds`` after the crash of that number, or the last."""
        before = self.served_share(self.began_at, self.began_at + CALM_S)
        last = self.crashes[min(crashes, len(self.crashes)) - 1]
        after = self.served_share(last + seconds, time.time())
        print(f"sound requests served: {before:.2f} before, {after:.2f} after")
        assert after >= before / 2.0, (before, after)

    def _send(self, number: int, request: Request, deadly: bool) -> None:
        ports = list(self._deployment.caller_ports.values())
        if deadly and self._deadly_node:
            ports = [self._deployment.caller_ports[self._deadly_node]]
        headers = {
            "Host": "h",
            "X-Request-Id": request.request_id,
            "X-Deadline-Ms": "4000",
            **request.headers,
        }
        sent_at = time.time()
        try:
            port = ports[number % len(ports)]
            status, _, body = call(
                port,
                request.method,
                request.path,
                request.body,
                headers,
                chunk_bytes=request.chunk_bytes,
            )
        except (OSError, HTTPException):
            status, body = 0, b""
        self.answers.append(Answer(sent_at=sent_at, deadly=deadly, status=status, body=body))

    def _read_state(self, upstream: str) -> Any:
        """Return an upstream's state; a dead one answers when it is born again."""
        states: list[Any] = []

        def is_read() -> bool:
            states.append(self._deployment.state_of(upstream))
            return True

        wait_until(is_read)
        return states[0]
