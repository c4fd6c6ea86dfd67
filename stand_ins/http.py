"""Helpers that the HTTP stand-ins share."""

from __future__ import annotations

import json
import sys

from typing import TYPE_CHECKING
from typing import Any
from typing import cast

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET
from twisted.web.server import Request
from twisted.web.server import Site

from stand_ins.reactor import reactor

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.interfaces import ITCPTransport


class Route(Resource):
    """Passes every request to one function, which answers it or finishes it later."""

    isLeaf = True  # noqa: N815

    def __init__(self, *, handle: Callable[[Request], Any]) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self._handle = handle

    def render(self, request: Request) -> Any:
        """Answer with JSON unless the handler keeps the request open."""
        answer = self._handle(request)
        finished = answer is NOT_DONE_YET or isinstance(answer, bytes)
        return answer if finished else encode_answer(request, answer)


def encode_answer(request: Request, answer: Any, status: int = 200) -> bytes:
    """Return a JSON body and set its headers."""
    request.setResponseCode(status)
    request.setHeader("Content-Type", "application/json")
    return json.dumps(answer).encode()


def send_answer(request: Request, answer: Any, status: int = 200) -> None:
    """Finish a request that was kept open."""
    if request.channel is not None and not request._disconnected:
        request.write(encode_answer(request, answer, status))
        request.finish()


def abort_connection(request: Request) -> None:
    """Close a request's connection without an answer."""
    transport = cast("ITCPTransport | None", request.transport)
    if transport is not None:
        transport.abortConnection()


def read_json(request: Request) -> dict[str, Any]:
    """Return the request's body as JSON; empty for none."""
    body = request.content.read() if request.content is not None else b""
    found: dict[str, Any] = json.loads(body) if body else {}
    return found


def path_of(request: Request) -> str:
    """Return the request's path without its query."""
    return request.path.decode() if request.path else ""


def serve(handle: Callable[[Request], Any], port: int) -> None:
    """Serve one handler on a loopback port until interrupted."""
    reactor.listenTCP(
        port, Site(Route(handle=handle), timeout=None), interface="127.0.0.1", backlog=512
    )
    print(f"listening on {port}", file=sys.stderr, flush=True)
    reactor.run()
