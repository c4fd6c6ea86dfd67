"""Internal page that tells the load balancer of readiness, and operators of the state."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec

from cactusshunt.internal_page import InternalPage
from cactusshunt.platform.headers import READY_PATH
from cactusshunt.schema.decoding import UNREADABLE_ERRORS

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactusshunt.http1.caller_connection import CallerConnection
    from cactusshunt.http1.caller_connection import ReceivedRequest
    from cactusshunt.platform.headers import Headers

DUMP_PATH = b"/v1/dump"
LIFT_PATH = b"/v1/convictions/lift"  # POST, with the service and the part in the body
JSON_HEADERS = [(b"Content-Type", b"application/json")]


class LiftRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Body of a request to lift the conviction of a part of prompts to a service."""

    service: str
    part: str


class ReadyPage(InternalPage):
    """Internal page with readiness and the state dump; also lifts convictions."""

    def __init__(
        self,
        *,
        is_ready: Callable[[], bool],
        dump: Callable[[], dict[str, Any]],
        lift: Callable[[str, str], bool],
    ) -> None:
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
        if path != READY_PATH:
            connection.answer(404, JSON_HEADERS, b"{}")
            return
        ready = self._is_ready()
        connection.answer(
            200 if ready else 503, JSON_HEADERS, b'{"ready":%s}' % str(ready).lower().encode()
        )

    def _answer_lift(self, body: bytes) -> tuple[int, Headers, bytes]:
        try:
            found = msgspec.json.decode(body, type=LiftRequest)
        except UNREADABLE_ERRORS as error:
            return 400, JSON_HEADERS, msgspec.json.encode({"error": str(error)})
        lifted = self._lift(found.service, found.part)
        return 200 if lifted else 404, JSON_HEADERS, msgspec.json.encode({"lifted": lifted})
