"""Steps on requests of all methods."""

from __future__ import annotations

import socket
import time

from typing import TYPE_CHECKING
from typing import Any
from typing import cast

import h11

from behave import given
from behave import then
from connection_steps import AnsweringHandler
from connection_steps import Transport
from twisted.internet.task import Clock

from cactusshunt.http1.caller_connection import CallerConnection
from cactusshunt.http1.caller_connection import ReceivedRequest
from cactusshunt.requests import local_answers

if TYPE_CHECKING:
    from collections.abc import Callable

METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "TRACE", "CONNECT", "OTHER")
AT_ONCE_S = 1.0
REASON = "a reason"


def _stream(connection: CallerConnection) -> None:
    connection.write_head(200, [(b"Content-Type", b"text/event-stream")])
    if connection._method != b"HEAD":
        connection.write(b"data: x\n\n")
    connection.finish()


def _answer(status: int, headers: list[Any], body: bytes) -> Callable[[CallerConnection], None]:
    return lambda connection: connection.answer(status, headers, body)


# what is written, and its status
ANSWERS: list[tuple[int, Callable[[CallerConnection], None]]] = [
    (found[0], _answer(*found))
    for found in (
        local_answers.build_refusal(b"r", REASON, 0.5),
        local_answers.build_unauthorized(b"r"),
        local_answers.build_quota_refusal(b"r", REASON, 0.5),
        local_answers.build_rejection(b"r", REASON),
        *(local_answers.build_failure(status, b"r", REASON) for status in (404, 502, 504)),
        local_answers.mark_for_peer(local_answers.build_refusal(b"r", REASON, 0.5), ran=False),
        *((status, [], b"") for status in (200, 204, 205, 304, 500)),
        (200, [], b"body"),
    )
] + [(200, _stream)]


class ChosenHandler(AnsweringHandler):
    """Handler that writes a chosen answer to the first request, and the usual one to others."""

    def __init__(self, write: Callable[[CallerConnection], None]) -> None:
        super().__init__()
        self._write = write

    def handle(self, request: ReceivedRequest, connection: CallerConnection) -> None:
        if self.requests:
            super().handle(request, connection)
        else:
            self.requests.append(request)
            self._write(connection)


def connect(handler: AnsweringHandler) -> tuple[CallerConnection, Transport]:
    connection = CallerConnection(reactor=cast("Any", Clock()), handler=cast("Any", handler))
    transport = Transport()
    connection.makeConnection(transport)
    return connection, transport


def encode(method: str, version: str) -> bytes:
    target = "h:80" if method == "CONNECT" else "/x"
    return f"{method} {target} HTTP/{version}\r\nHost: h\r\nContent-Length: 0\r\n\r\n".encode()


def read_answer(method: str, data: bytes) -> tuple[int, bytes]:
    """Return the status of the one answer in these bytes, and its body."""
    client = h11.Connection(h11.CLIENT)
    client.send(h11.Request(method=method, target="/x", headers=[("Host", "h")]))
    client.send(h11.EndOfMessage())
    client.receive_data(data)
    client.receive_data(b"")
    status, body = 0, b""
    while not isinstance(event := client.next_event(), h11.EndOfMessage):
        assert event is not h11.NEED_DATA and not isinstance(event, h11.ConnectionClosed), data
        if isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            body += event.data
        if event is h11.PAUSED:
            break
    assert not client.trailing_data[0], client.trailing_data
    return status, body


@given("requests of each method, in HTTP/1.1 and 1.0")
def list_requests(context: Any) -> None:
    context.requests = [(method, version) for method in METHODS for version in ("1.1", "1.0")]


@then(
    "each gets each answer of the system's own and of upstreams, "
    "complete and without bytes after it"
)
def check_answers(context: Any) -> None:
    context.connections = []
    for method, version in context.requests:
        for status, write in ANSWERS:
            if method == "CONNECT" and status < 300:
                continue  # a tunnel; CONNECT is never passed on
            handler = ChosenHandler(write)
            connection, transport = connect(handler)
            connection.dataReceived(encode(method, version))
            found, body = read_answer(method, transport.value())
            assert found == status, (method, version, status, transport.value())
            assert not (method == "HEAD" and body), (version, status)
            context.connections.append(((method, version, status), connection, transport))


@then("the next request on the connection is answered, or the connection is closed")
def check_next(context: Any) -> None:
    closed = {case for case, _, transport in context.connections if is_closed(transport)}
    for method, version, status in closed:  # HEAD and others do not close what GET leaves open
        assert ("GET", version, status) in closed, (method, version, status)
    for case, connection, transport in context.connections:
        if case in closed:
            continue
        transport.clear()
        connection.dataReceived(encode("GET", "1.1"))
        assert read_answer("GET", transport.value()) == (200, b"ok"), case
    assert len(closed) < len(context.connections)


def is_closed(transport: Transport) -> bool:
    return transport.disconnecting or transport.disconnected


def _leave_unanswered(connection: CallerConnection) -> None:
    connection.end_unanswered(connection.exchange_number)


def _answer_oddly(connection: CallerConnection) -> None:
    connection.answer(200, [(b"X", b"a\r\nb")], b"")


def _write_too_much(connection: CallerConnection) -> None:
    connection.write_head(204, [])
    connection.write(b"x")


@given("a request whose handling ends without an answer, or in an answer that HTTP cannot carry")
def list_endings(context: Any) -> None:
    context.endings = [_leave_unanswered, _answer_oddly, _write_too_much]


@then("its connection is closed, unless the next request runs there already")
def check_closed(context: Any) -> None:
    for ending in context.endings:
        connection, transport = connect(ChosenHandler(ending))
        connection.dataReceived(encode("GET", "1.1"))
        assert is_closed(transport), ending
    connection, transport = connect(ChosenHandler(lambda _: None))
    connection.dataReceived(encode("GET", "1.1"))
    connection.end_unanswered(connection.exchange_number - 1)
    assert connection.busy
    assert not is_closed(transport)


def ask(port: int, method: str, target: str, fields: str) -> tuple[int, dict[str, str], bytes]:
    """Send a request, and another on the same connection; return the first one's answer."""
    with socket.create_connection(("127.0.0.1", port), timeout=AT_ONCE_S) as connection:
        connection.sendall(f"{method} {target} HTTP/1.1\r\nHost: h\r\n{fields}\r\n".encode())
        answer = read_from(connection, method)
        if answer[1].get("connection") == "close":
            assert connection.recv(1) == b""
            return answer
        connection.sendall(b"GET /none HTTP/1.1\r\nHost: h\r\n\r\n")
        assert read_from(connection, "GET")[0] == 404, (method, target)
        return answer


def read_from(connection: socket.socket, method: str) -> tuple[int, dict[str, str], bytes]:
    data = b""
    while b"\r\n\r\n" not in data:
        received = connection.recv(65_536)
        assert received, data
        data += received
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = dict(line.lower().split(": ", 1) for line in lines[1:])
    length = 0 if method == "HEAD" else int(fields.get("content-length", "0"))
    while len(body) < length:
        body += connection.recv(65_536)
    assert len(body) == length, (method, data)
    return int(lines[0].split()[1]), fields, body


@then(
    "HEAD is answered like GET but for the body: by an upstream, for an unknown route, "
    "for a model that no engine has, and by the pages"
)
def check_heads(context: Any) -> None:
    front = context.nodes.caller_ports["n1"]
    model = "X-Deadline-Ms: 300\r\nX-Model: none\r\nX-Token-Count: 9,8\r\nX-Prompt-Prefix: a:9\r\n"
    asked = [
        (front, "/again/x", "X-Request-Id: r1\r\n", 200),
        (front, "/none", "X-Request-Id: r2\r\n", 404),
        (front, "/s/x", f"X-Request-Id: r3\r\n{model}", 503),
        (front + 1, "/v1/readyz", "", 200),
        (front + 1, "/v1/none", "", 404),
        (front + 3, "/none", "", 404),
    ]
    for port, target, fields, status in asked:
        found = ask(port, "HEAD", target, fields)
        gets = ask(port, "GET", target, fields)
        assert found[0] == gets[0] == status, (target, found, gets)
        assert found[1]["content-length"] == gets[1]["content-length"], (target, found, gets)


@then("CONNECT is rejected at once as not run")
def check_connect(context: Any) -> None:
    began = time.monotonic()
    for target in ("h:80", "/again/x"):
        fields = "X-Request-Id: r9\r\n"
        status, _, body = ask(context.nodes.caller_ports["n1"], "CONNECT", target, fields)
        assert status == 501 and b'"ran":"no"' in body, (target, status, body)
    assert time.monotonic() - began < AT_ONCE_S
    assert "r9" not in context.nodes.list_executed_requests()


@then("a second request on each of these connections is answered")
def check_second(context: Any) -> None:
    """Each call of ``ask`` has checked it."""
