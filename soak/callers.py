"""Callers that keep their connections open until these end, and note what they got."""

from __future__ import annotations

import http.client
import re
import threading
import time
import uuid

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from soak.fleet import SoakFleet

TIMEOUT_S = 20.0  # above every route's time-out, so that only a lost answer ends in it
KINDS = {"stream": "/s/x", "resumed": "/s/r/x", "once": "/once/x", "again": "/again/x"}
RUN_ONCE = ("stream", "once")
MODELS = ("captions", "captions", "summaries", "tags", "links", "letters")
REST_S = 0.02  # between two requests of a caller


@dataclass(frozen=True, kw_only=True)
class Result:
    """One request as its caller saw it; ``status`` is 0 for a connection that ended."""

    identity: str
    kind: str
    node: str
    began: float
    ended: float
    status: int
    whole: bool
    own: bool


class Caller(threading.Thread):
    """Sends requests one after the other until told to stop."""

    def __init__(self, *, fleet: SoakFleet, draw: random.Random) -> None:
        super().__init__(daemon=True)
        self._fleet = fleet
        self._draw = draw
        self._connection: http.client.HTTPConnection | None = None
        self._node = ""
        self.results: list[Result] = []
        self.stopping = False

    def run(self) -> None:
        """Send until told to stop."""
        while not self.stopping:
            self.results.append(self._send())
            time.sleep(REST_S)

    def _send(self) -> Result:
        kind = self._draw.choice(list(KINDS))
        identity = uuid.UUID(int=self._draw.getrandbits(128)).hex
        connection = self._connect()
        began = time.time()
        status, whole, own = 0, False, True
        try:
            status, whole, own = self._exchange(connection, kind, identity)
        except (OSError, http.client.HTTPException):
            connection.close()
            self._connection = None
        return Result(
            identity=identity,
            kind=kind,
            node=self._node,
            began=began,
            ended=time.time(),
            status=status,
            whole=whole,
            own=own,
        )

    def _exchange(
        self, connection: http.client.HTTPConnection, kind: str, identity: str
    ) -> tuple[int, bool, bool]:
        headers = {"Host": "h", "X-Request-Id": identity, "X-Deadline-Ms": "8000"}
        streams = kind in ("stream", "resumed")
        if streams:
            headers |= {"X-Model": self._draw.choice(MODELS), "X-Token-Count": "100,8"}
        method = "GET" if kind == "again" else "POST"
        connection.request(method, KINDS[kind], b"" if method == "GET" else b"{}", headers)
        answer = connection.getresponse()
        own = answer.getheader("X-Request-Id", identity) == identity
        try:
            data = answer.read()
        except http.client.HTTPException:
            return answer.status, False, own
        if answer.getheader("Connection", "") == "close":
            connection.close()
            self._connection = None
        if answer.status != 200:
            return answer.status, True, own
        if not streams:
            return 200, True, own and identity.encode() in data
        numbers = re.findall(rb"id: (\d+)\n", data)
        whole = numbers == [str(number).encode() for number in range(1, 9)]
        return 200, whole, own and answer.getheader("X-Response-Seal", "").startswith("seal-")

    def _connect(self) -> http.client.HTTPConnection:
        if self._connection is None:
            ready = [name for name in self._fleet.caller_ports if self._fleet.is_ready(name)]
            self._node = self._draw.choice(ready or list(self._fleet.caller_ports))
            port = self._fleet.caller_ports[self._node]
            self._connection = http.client.HTTPConnection("127.0.0.1", port, timeout=TIMEOUT_S)
        return self._connection
