"""Caller threads that reuse their connections and record the result of each request."""

from __future__ import annotations

import http.client
import re
import threading
import time
import uuid

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from soak.customers import ANSWER_TOKENS
from soak.customers import LASTING_KEYS
from soak.customers import PUBLIC_PATH
from soak.customers import shows_key

if TYPE_CHECKING:
    import random

    from collections.abc import Sequence

    from soak.customers import Credential
    from soak.customers import CredentialDraw
    from soak.fleet import SoakFleet

TIMEOUT_S = 20.0  # above every route's timeout, so it expires only if an answer is lost
PATHS_BY_KIND = {"stream": "/s/x", "resumed": "/s/r/x", "once": "/once/x", "again": "/again/x"}
AT_MOST_ONCE_KINDS = ("stream", "once")
MODELS = ("captions", "captions", "summaries", "tags", "links", "letters")
REQUEST_GAP_S = 0.02
DEADLY_PART = "dead"  # of prompts; some upstreams die of it for a while
DEADLY_SHARE = 0.03  # of the streams, which have it as their second part
SUBJECTS = 20  # other second parts
DEADLY_PATH = "/again/deadly"  # some instances of plain services die of it for a while
DEADLY_PATH_SHARE = 0.02  # of the requests that may be repeated

DEADLINES_MS = ("8000", "8000", "2500", "900")


@dataclass(frozen=True, kw_only=True)
class RequestResult:
    """The result of one request as its caller saw it.

    ``status`` is 0 if the connection failed before an answer. ``complete`` is whether the whole
    answer arrived, ``own`` whether it is the answer to this request: it has the request's ID and,
    if it is a stream, an engine's seal (its signature). ``truncated`` is whether a stream ended as
    if it were whole, and was not.

    In runs with customers, ``key`` is what the request had, ``tokens`` what it counts in tokens,
    ``is_ordinary`` whether neither a quota nor its key can be why it is refused, and ``shows_key``
    whether the answer had a key.
    """

    request_id: str
    kind: str
    node: str
    started_at: float
    ended_at: float
    status: int
    complete: bool
    own: bool
    truncated: bool = False
    key: str = ""
    tokens: int = 0
    is_public: bool = False
    is_ordinary: bool = True
    shows_key: bool = False


def choose_deadline_ms(request_id: str) -> str:
    """Return a request's deadline; short ones are taken by a stopping node almost to its end."""
    return DEADLINES_MS[int(request_id[:4], 16) % len(DEADLINES_MS)]


class Caller(threading.Thread):
    """Sends one request after another until ``stopping`` is set."""

    def __init__(
        self,
        *,
        fleet: SoakFleet,
        rng: random.Random,
        credentials: CredentialDraw | None = None,
        kinds: Sequence[str] = tuple(PATHS_BY_KIND),
    ) -> None:
        super().__init__(daemon=True)
        self._kinds = kinds
        self._fleet = fleet
        self._rng = rng
        self._credentials = credentials
        self._credential: Credential | None = None
        self._connection: http.client.HTTPConnection | None = None
        self._node = ""
        self.results: list[RequestResult] = []
        self.stopping = False

    def run(self) -> None:
        """Send requests until ``stopping`` is set."""
        while not self.stopping:
            self.results.append(self._send())
            time.sleep(REQUEST_GAP_S)

    def _send(self) -> RequestResult:
        kind = self._rng.choice(self._kinds)
        request_id = uuid.UUID(int=self._rng.getrandbits(128)).hex
        self._credential = None if self._credentials is None else self._credentials.draw(kind)
        connection = self._connect()
        started_at = time.time()
        status, complete, own = 0, False, True
        self._truncated = self._shows_key = False
        try:
            status, complete, own = self._exchange(connection, kind, request_id)
        except (OSError, http.client.HTTPException):
            connection.close()
            self._connection = None
        credential = self._credential
        return RequestResult(
            request_id=request_id,
            kind=kind,
            node=self._node,
            started_at=started_at,
            ended_at=time.time(),
            status=status,
            complete=complete,
            own=own,
            truncated=self._truncated,
            shows_key=self._shows_key,
            key=credential.key if credential is not None else "",
            tokens=credential.tokens if credential is not None else 0,
            is_public=credential is not None and credential.is_public,
            is_ordinary=credential is None or credential.is_ordinary,
        )

    def _exchange(
        self, connection: http.client.HTTPConnection, kind: str, request_id: str
    ) -> tuple[int, bool, bool]:
        path = PATHS_BY_KIND[kind]
        if kind == "again":
            path = DEADLY_PATH if self._rng.random() < DEADLY_PATH_SHARE else f"{path}{request_id}"
        if path == DEADLY_PATH and self._credential is not None:
            # Equal requests of other customers are other requests to the quarantine.
            self._credential = replace(self._credential, key=LASTING_KEYS["steady"])
        credential = self._credential
        if credential is not None and credential.is_public:
            path = PUBLIC_PATH
        headers = {
            "Host": "h",
            "X-Request-Id": request_id,
            "X-Deadline-Ms": choose_deadline_ms(request_id),
        }
        if credential is not None:
            headers |= credential.headers()
        streams = kind in ("stream", "resumed")
        if streams:
            tokens = 100 if credential is None else credential.stated
            shared, subject = tokens // 2, tokens * 3 // 10
            parts = f"aa:{shared},{self._draw_part()}:{subject}"
            headers |= {
                "X-Model": self._rng.choice(MODELS),
                "X-Token-Count": f"{tokens},{ANSWER_TOKENS}",
                "X-Prompt-Prefix": f"{parts},{request_id}:{tokens - shared - subject}",
            }
        method = "GET" if kind == "again" else "POST"
        connection.request(method, path, b"" if method == "GET" else b"{}", headers)
        answer = connection.getresponse()
        own = answer.getheader("X-Request-Id", request_id) == request_id
        try:
            data = answer.read()
        except http.client.HTTPException:
            return answer.status, False, own
        self._shows_key = shows_key(str(answer.headers) + data.decode("latin-1"))
        if answer.getheader("Connection", "") == "close":
            connection.close()
            self._connection = None
        if answer.status != 200:
            return answer.status, True, own
        if not streams:
            return 200, True, own and request_id.encode() in data
        numbers = re.findall(rb"id: (\d+)\n", data)
        complete = numbers == [str(number).encode() for number in range(1, 9)]
        self._truncated = not complete
        return 200, complete, own and answer.getheader("X-Response-Seal", "").startswith("seal-")

    def _draw_part(self) -> str:
        if self._rng.random() < DEADLY_SHARE:
            return DEADLY_PART
        return f"b{self._rng.randrange(SUBJECTS)}"

    def _connect(self) -> http.client.HTTPConnection:
        if self._connection is None:
            ready = [name for name in self._fleet.caller_ports if self._fleet.is_ready(name)]
            self._node = self._rng.choice(ready or list(self._fleet.caller_ports))
            port = self._fleet.caller_ports[self._node]
            self._connection = http.client.HTTPConnection("127.0.0.1", port, timeout=TIMEOUT_S)
        return self._connection
