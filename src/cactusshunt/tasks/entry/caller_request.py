"""One caller's request with its identity, deadline and answer."""

from __future__ import annotations

import re
import uuid

from typing import TYPE_CHECKING

import msgspec

from expression import Error
from expression import Ok
from expression import Result

from cactusshunt.tasks.problem import Problem
from cactusshunt.tasks.problem import describe_problem
from cactusshunt.tasks.problem import send_problem

if TYPE_CHECKING:
    from collections.abc import Iterable

    from twisted.web.server import Request

DEFAULT_TIME_S = 600.0  # bound on a request whose caller gives none
REQUEST_ID_HEADER = "X-Request-Id"
DEADLINE_HEADER = "X-Request-Deadline"
KEY_HEADER = "Idempotency-Key"
LONGEST_KEY = 256
_REQUEST_ID = re.compile(r"[A-Za-z0-9._-]{1,64}")
HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "date",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "server",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


class CallerRequest:
    """Wraps the HTTP request; ``deadline`` in Unix seconds."""

    def __init__(self, *, request: Request, now: float) -> None:
        self.request = request
        self.request_id = _read_request_id(request)
        self.received_at = now
        self.deadline = now + DEFAULT_TIME_S
        self.key = request.getHeader(KEY_HEADER)
        self.gone = False
        self.begun = False
        request.notifyFinish().addErrback(self._note_gone)
        request.setHeader(REQUEST_ID_HEADER, self.request_id)

    @property
    def method(self) -> str:
        """Return the method."""
        return str(self.request.method.decode())

    @property
    def path(self) -> str:
        """Return the path with its query."""
        return str(self.request.uri.decode("latin-1"))

    def read_body(self) -> bytes:
        """Return the whole body."""
        content = self.request.content
        if content is None:
            return b""
        content.seek(0)
        return bytes(content.read())

    def read_deadline(self) -> Result[None, Problem]:
        """Take the caller's deadline, if it gives one."""
        text = self.request.getHeader(DEADLINE_HEADER)
        if text is None:
            return Ok(None)
        try:
            deadline = float(text)
        except ValueError:
            return Error(
                Problem(
                    status=400,
                    kind="malformed-deadline",
                    detail=f"{DEADLINE_HEADER} is not a number.",
                    remedy="Send Unix seconds, such as 1700000000.5.",
                )
            )
        self.deadline = min(self.deadline, deadline)
        return Ok(None)

    def begin(self, status: int, headers: Iterable[tuple[str, str]]) -> None:
        """Send the answer's head."""
        if self.gone or self.begun:
            return
        self.begun = True
        self.request.setResponseCode(status)
        for name, value in headers:
            if name.lower() not in HOP_HEADERS and name.lower() != REQUEST_ID_HEADER.lower():
                self.request.responseHeaders.addRawHeader(name, value)

    def write(self, data: bytes) -> None:
        """Send a part of the answer."""
        if not self.gone:
            self.request.write(data)

    def finish(self) -> None:
        """End the answer."""
        if not self.gone:
            self.gone = True
            self.request.finish()

    def answer(self, status: int, headers: Iterable[tuple[str, str]], body: bytes) -> None:
        """Send a whole answer."""
        if self.gone:
            return
        self.begin(status, headers)
        self.request.setHeader("Content-Length", str(len(body)))
        if self.method != "HEAD":
            self.write(body)
        self.finish()

    def refuse(self, problem: Problem, now: float) -> None:
        """Send a problem as the answer."""
        if self.gone:
            return
        self.gone = True
        send_problem(self.request, problem, now=now, request_id=self.request_id)

    def break_off(self, problem: Problem) -> None:
        """End a stream that cannot be completed with an explicit error event."""
        members = {"error": describe_problem(problem, self.request_id)}
        self.write(b"event: error\ndata: " + msgspec.json.encode(members) + b"\n\n")
        self.finish()

    def _note_gone(self, failure: object) -> None:
        del failure
        self.gone = True


def _read_request_id(request: Request) -> str:
    given = request.getHeader(REQUEST_ID_HEADER) or ""
    return given if _REQUEST_ID.fullmatch(given) else uuid.uuid4().hex
