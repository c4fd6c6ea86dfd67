"""One caller's request with its id, deadline and answer."""

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

MAX_REQUEST_DURATION_S = 600.0  # time from arrival to the deadline: default and maximum
REQUEST_ID_HEADER = "X-Request-Id"
DEADLINE_HEADER = "X-Request-Deadline"
KEY_HEADER = "Idempotency-Key"
MAX_KEY_LENGTH = 256
_REQUEST_ID_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,64}")
# Hop-by-hop headers, and those that are set anew on the connection to the caller or upstream.
NOT_FORWARDED_HEADERS = frozenset(
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
    """Wraps the HTTP request.

    ``deadline`` is in Unix seconds; ``closed`` is set once the answer has ended or the caller has
    disconnected.
    """

    def __init__(self, *, request: Request, now: float) -> None:
        self.request = request
        self.request_id = _read_request_id(request)
        self.received_at = now
        self.deadline = now + MAX_REQUEST_DURATION_S
        self.key = request.getHeader(KEY_HEADER)
        self.closed = False
        self.answer_started = False
        request.notifyFinish().addErrback(self._handle_disconnect)
        request.setHeader(REQUEST_ID_HEADER, self.request_id)

    @property
    def method(self) -> str:
        """Return the HTTP method."""
        return str(self.request.method.decode())

    @property
    def path(self) -> str:
        """Return the path with its query string."""
        return str(self.request.uri.decode("latin-1"))

    def read_body(self) -> bytes:
        """Return the body, which is complete before the request is handled."""
        content = self.request.content
        if content is None:
            return b""
        content.seek(0)
        return bytes(content.read())

    def read_deadline(self) -> Result[None, Problem]:
        """Apply the caller's deadline header, if there is one."""
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

    def start_answer(self, status: int, headers: Iterable[tuple[str, str]]) -> None:
        """Set the answer's status and headers; without effect once the answer has started."""
        if self.closed or self.answer_started:
            return
        self.answer_started = True
        self.request.setResponseCode(status)
        for name, value in headers:
            if (
                name.lower() not in NOT_FORWARDED_HEADERS
                and name.lower() != REQUEST_ID_HEADER.lower()
            ):
                self.request.responseHeaders.addRawHeader(name, value)

    def write(self, data: bytes) -> None:
        """Send a part of the answer's body; without effect once it is closed."""
        if not self.closed:
            self.request.write(data)

    def finish(self) -> None:
        """End the answer; without effect once it is closed."""
        if not self.closed:
            self.closed = True
            self.request.finish()

    def answer(self, status: int, headers: Iterable[tuple[str, str]], body: bytes) -> None:
        """Send a complete answer; without a body if the method is HEAD."""
        if self.closed:
            return
        self.start_answer(status, headers)
        self.request.setHeader("Content-Length", str(len(body)))
        if self.method != "HEAD":
            self.write(body)
        self.finish()

    def answer_with_problem(self, problem: Problem, now: float) -> None:
        """Send a problem as the answer; without effect once it is closed."""
        if self.closed:
            return
        self.closed = True
        send_problem(self.request, problem, now=now, request_id=self.request_id)

    def abort_stream(self, problem: Problem) -> None:
        """End a stream that cannot be completed, with an error event that says why."""
        members = {"error": describe_problem(problem, self.request_id)}
        self.write(b"event: error\ndata: " + msgspec.json.encode(members) + b"\n\n")
        self.finish()

    def _handle_disconnect(self, failure: object) -> None:
        del failure
        self.closed = True


def _read_request_id(request: Request) -> str:
    given = request.getHeader(REQUEST_ID_HEADER) or ""
    return given if _REQUEST_ID_PATTERN.fullmatch(given) else uuid.uuid4().hex
