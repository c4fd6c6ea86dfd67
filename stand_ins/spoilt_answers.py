"""Answers of a faulty engine: to streams that are taken up, and earlier refusals once more."""

from __future__ import annotations

import json

from typing import TYPE_CHECKING
from typing import Any

from stand_ins.http import encode_answer
from stand_ins.reactor import reactor

if TYPE_CHECKING:
    from twisted.web.server import Request

ERROR_TEXT = "the engine has failed"
ECHO_DELAY_S = 0.03  # after an answer, so that the next request may be out or not
REFUSE = "refuse"


def answer_taken_up(request: Request, how: str) -> bytes | None:
    """Return a failure in place of the rest of a stream, ``None`` if the stream goes on somehow.

    ``refuse`` says that the request did not run; ``503`` does not.
    """
    if how.isdigit() or how == REFUSE:
        request.responseHeaders.removeHeader("X-Response-Seal")
        if how == REFUSE:
            request.setHeader("X-Not-Executed", "1")
        status = 503 if how == REFUSE else int(how)
        return encode_answer(request, {"error": ERROR_TEXT}, status)
    if how == "json":
        return encode_answer(request, {"error": ERROR_TEXT})
    if how == "empty":
        request.setHeader("Content-Type", "text/event-stream")
        return b""
    if how == "unsealed":
        request.responseHeaders.removeHeader("X-Response-Seal")
    return None


class RefusalEcho:
    """Writes the last refusal of a connection's engine once more, as raw bytes."""

    def __init__(self) -> None:
        self._how: dict[str, Any] = {}
        self._refused_id = ""
        self._refused_on: Any = None

    def configure(self, body: dict[str, Any]) -> None:
        """Apply a test call: ``how`` and ``anonymous``, or nothing to end it.

        With ``kept`` the refusal is written on the connection of the refused request only.
        """
        self._how = body

    def record_refusal(self, request: Request) -> None:
        """Keep the ID and the connection of a request that was refused."""
        self._refused_id = request.getHeader("X-Request-Id") or ""
        self._refused_on = request.channel

    def spoil(self, request: Request) -> bool:
        """Write the echo that is due; return whether it takes the place of the answer."""
        how = self._how.get("how")
        channel: Any = request.channel
        elsewhere = self._how.get("kept") and channel is not self._refused_on
        if how is None or not self._refused_id or elsewhere:
            return False
        if how == "after":
            reactor.callLater(ECHO_DELAY_S, channel.transport.write, self._encode())
            return False
        channel.transport.write(self._encode())
        return str(how) == "instead"

    def _encode(self) -> bytes:
        body = json.dumps({"error": ERROR_TEXT}).encode()
        lines = ["HTTP/1.1 503 Service Unavailable", "X-Not-Executed: 1"]
        if not self._how.get("anonymous"):
            lines.append(f"X-Request-Id: {self._refused_id}")
        lines += ["Content-Type: application/json", f"Content-Length: {len(body)}", "", ""]
        return "\r\n".join(lines).encode() + body
