"""Internal page that tells the load balancer of readiness, and operators of the state."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec

from cactusshunt.exceptions import QuestionError
from cactusshunt.http1.caller_connection import RequestLimits
from cactusshunt.internal_page import InternalPage
from cactusshunt.platform.headers import READY_PATH
from cactusshunt.requests.where import Question
from cactusshunt.schema.decoding import UNREADABLE_ERRORS

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactusshunt.http1.caller_connection import CallerConnection
    from cactusshunt.http1.caller_connection import ReceivedRequest
    from cactusshunt.platform.headers import Headers
    from cactusshunt.requests.where import Explanation

DUMP_PATH = b"/v1/dump"
WHERE_PATH = b"/v1/where"  # POST, with the method, the path and the headers of a request
LIFT_PATH = b"/v1/convictions/lift"  # POST, with the service and the part in the body
JSON_HEADERS = [(b"Content-Type", b"application/json")]

# The largest head that callers may send by the usual configuration (32,768 bytes), as JSON text.
MAX_QUESTION_BYTES = 65_536
LIMITS = RequestLimits(
    header_bytes=8_192, body_bytes=MAX_QUESTION_BYTES, request_timeout_s=2.0, idle_timeout_s=30.0
)


class LiftRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Body of a request to lift the conviction of a part of prompts to a service."""

    service: str
    part: str


class ReadyPage(InternalPage):
    """Internal page with readiness and the state dump; lifts convictions, explains choices."""

    def __init__(
        self,
        *,
        is_ready: Callable[[], bool],
        dump: Callable[[], dict[str, Any]],
        lift: Callable[[str, str], bool],
        explain: Callable[[Question], Explanation],
    ) -> None:
        self._explain = explain
        self._is_ready = is_ready
        self._dump = dump
        self._lift = lift

    def handle(self, request: ReceivedRequest, connection: CallerConnection) -> None:
        """Answer a request for readiness (200 or 503) or for the state dump."""
        path = request.target.partition(b"?")[0]
        if path == DUMP_PATH:
            connection.answer(200, JSON_HEADERS, msgspec.json.encode(self._dump()))
            return
        if path == LIFT_PATH and request.method == b"POST":
            connection.answer(*self._answer_lift(request.body))
            return
        if path == WHERE_PATH and request.method == b"POST":
            connection.answer(*self._answer_where(request.body))
            return
        if path != READY_PATH:
            connection.answer(404, JSON_HEADERS, b"{}")
            return
        ready = self._is_ready()
        connection.answer(
            200 if ready else 503, JSON_HEADERS, b'{"ready":%s}' % str(ready).lower().encode()
        )

    def limits(self) -> RequestLimits:
        """Return the limits of a request; the headers of a caller's request fit into a body."""
        return LIMITS

    def _answer_where(self, body: bytes) -> tuple[int, Headers, bytes]:
        try:
            found = self._explain(msgspec.json.decode(body, type=Question))
        except UNREADABLE_ERRORS as error:
            return 400, JSON_HEADERS, msgspec.json.encode({"error": str(error)})
        except QuestionError as error:
            return 400, JSON_HEADERS, msgspec.json.encode({"error": str(error)})
        return 200, JSON_HEADERS, msgspec.json.encode(found)

    def _answer_lift(self, body: bytes) -> tuple[int, Headers, bytes]:
        try:
            found = msgspec.json.decode(body, type=LiftRequest)
        except UNREADABLE_ERRORS as error:
            return 400, JSON_HEADERS, msgspec.json.encode({"error": str(error)})
        lifted = self._lift(found.service, found.part)
        return 200 if lifted else 404, JSON_HEADERS, msgspec.json.encode({"lifted": lifted})
