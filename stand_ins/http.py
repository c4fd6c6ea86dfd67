"""HTTP helpers shared by the stand-ins."""

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

    from twisted.internet.interfaces import IListeningPort
    from twisted.internet.interfaces import ITCPTransport


class HandlerResource(Resource):
    """Leaf resource that passes every request to one function."""

    isLeaf = True  # noqa: N815

    def __init__(self, *, handle: Callable[[Request], Any]) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self._handle = handle

    def render(self, request: Request) -> Any:
        """Encode the handler's answer as JSON; pass bytes and ``NOT_DONE_YET`` through."""
        answer = self._handle(request)
        finished = answer is NOT_DONE_YET or isinstance(answer, bytes)
        return answer if finished else encode_answer(request, answer)


def encode_answer(request: Request, answer: Any, status: int = 200) -> bytes:
    """Set the status and the content type, and return the JSON body."""
    request.setResponseCode(status)
    request.setHeader("Content-Type", "application/json")
    return json.dumps(answer).encode()


def send_answer(request: Request, answer: Any, status: int = 200) -> None:
    """Finish a request that was left open, unless its caller disconnected."""
    if request.channel is not None and not request._disconnected:
        request.write(encode_answer(request, answer, status))
        request.finish()


def abort_connection(request: Request) -> None:
    """Close a request's connection without an answer."""
    transport = cast("ITCPTransport | None", request.transport)
    if transport is not None:
        transport.abortConnection()


def read_json(request: Request) -> dict[str, Any]:
    """Return the request's body decoded from JSON, or an empty dictionary if there is none."""
    body = request.content.read() if request.content is not None else b""
    found: dict[str, Any] = json.loads(body) if body else {}
    return found


def read_path(request: Request) -> str:
    """Return the request's path without its query."""
    return request.path.decode() if request.path else ""


def listen(handle: Callable[[Request], Any], port: int) -> IListeningPort:
    """Listen for calls to a handler on a loopback port."""
    site = Site(HandlerResource(handle=handle), timeout=None)
    opened: IListeningPort = reactor.listenTCP(port, site, interface="127.0.0.1", backlog=512)
    print(f"listening on {port}", file=sys.stderr, flush=True)
    return opened


def serve(handle: Callable[[Request], Any], port: int) -> None:
    """Serve a handler on a loopback port until interrupted."""
    listen(handle, port)
    reactor.run()
