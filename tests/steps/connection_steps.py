"""Steps on HTTP connections, over transports in memory."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import then
from behave import when
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies as st
from twisted.internet.error import ConnectionDone
from twisted.internet.error import ConnectionLost
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from cactusshunt.http1.caller_connection import CallerConnection
from cactusshunt.http1.caller_connection import ReceivedRequest
from cactusshunt.http1.caller_connection import RequestLimits
from cactusshunt.http1.connection_pool import ConnectionPool
from cactusshunt.http1.upstream_connection import ExchangeEnd
from cactusshunt.http1.upstream_connection import UpstreamConnection

LIMITS = RequestLimits(
    header_bytes=16_384, body_bytes=100_000, header_timeout_s=5.0, idle_timeout_s=15.0
)


class Transport(StringTransport):
    """A transport in memory that has no socket."""

    socket = None

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        """Nothing is delayed."""


class Answering:
    """A handler that answers at once and keeps what it got."""

    def __init__(self) -> None:
        self.requests: list[ReceivedRequest] = []

    def handle(self, request: ReceivedRequest, connection: CallerConnection) -> None:
        self.requests.append(request)
        connection.answer(200, [], b"ok")

    def limits(self) -> RequestLimits:
        return LIMITS

    def stopping(self) -> bool:
        return False

    def connection_opened(self, connection: CallerConnection) -> None:
        pass

    def connection_closed(self, connection: CallerConnection) -> None:
        pass


def open_caller() -> tuple[Answering, CallerConnection, Transport]:
    handler = Answering()
    connection = CallerConnection(reactor=Clock(), handler=handler)  # type: ignore[arg-type]
    transport = Transport()
    connection.makeConnection(transport)
    return handler, connection, transport


def frame(number: int, body: bytes, chunked: bool) -> bytes:
    head = f"POST /p/{number} HTTP/1.1\r\nHost: h\r\nX-Request-Id: r{number}\r\n".encode()
    if not chunked:
        return head + f"Content-Length: {len(body)}\r\n\r\n".encode() + body
    pieces = [body[at : at + 7] for at in range(0, len(body), 7)]
    chunks = b"".join(f"{len(piece):x}\r\n".encode() + piece + b"\r\n" for piece in pieces)
    return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"


def feed(connection: Any, data: bytes, sizes: list[int]) -> None:
    for size in [*sizes, len(data) or 1]:
        if data:
            connection.dataReceived(data[:size])
        data = data[size:]


@given("requests of any size, framed by length or in chunks, sent one after the other")
def make_requests(context: Any) -> None:
    context.bodies = st.lists(st.tuples(st.binary(max_size=60), st.booleans()), min_size=1)


@then("each arrives once, in order, with its own body")
def check_requests(context: Any) -> None:
    @given_any(context.bodies, st.lists(st.integers(1, 50), max_size=30))
    @settings(max_examples=200)
    def check(bodies: list[tuple[bytes, bool]], sizes: list[int]) -> None:
        handler, connection, transport = open_caller()
        frames = [frame(n, body, chunked) for n, (body, chunked) in enumerate(bodies)]
        feed(connection, b"".join(frames), sizes)
        assert [request.body for request in handler.requests] == [body for body, _ in bodies]
        expected = [f"/p/{n}".encode() for n in range(len(bodies))]
        assert [request.target for request in handler.requests] == expected
        assert transport.value().count(b"HTTP/1.1 200") == len(bodies)

    check()


@given("a request whose body is another request")
def make_smuggled(context: Any) -> None:
    context.inner = frame(9, b"inner", False)
    context.outer = frame(1, context.inner, False)


@then("one request arrives, with that body")
def check_smuggled(context: Any) -> None:
    handler, connection, _ = open_caller()
    feed(connection, context.outer, [])
    assert [request.body for request in handler.requests] == [context.inner]


@given("a request with a length and in chunks")
def make_ambiguous(context: Any) -> None:
    context.outer = (
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"0\r\n\r\nGET /other HTTP/1.1\r\nHost: h\r\n\r\n"
    )


@then("it gets 400 and the connection closes")
def check_ambiguous(context: Any) -> None:
    handler, connection, transport = open_caller()
    feed(connection, context.outer, [])
    assert handler.requests == []
    assert transport.value().startswith(b"HTTP/1.1 400")
    assert transport.disconnecting


class Collecting:
    """A receiver that accepts every answer."""

    def __init__(self) -> None:
        self.body = b""

    def begin(self, status: int, headers: Any) -> bool:
        return True

    def add(self, data: bytes) -> None:
        self.body += data


def exchange(data: bytes, sizes: list[int], reason: Any) -> tuple[ExchangeEnd, bytes]:
    connection = UpstreamConnection()
    connection.makeConnection(Transport())
    receiver = Collecting()
    ends: list[ExchangeEnd] = []
    headers = [(b"Host", b"u")]
    connection.exchange(b"GET", b"/", headers, b"", receiver).addCallback(ends.append)
    feed(connection, data, sizes)
    connection.connectionLost(Failure(reason))
    return ends[0], receiver.body


ANSWERS = {
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\nhello world",
    "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nb\r\nhello world\r\n0\r\n\r\n",
    "end": b"HTTP/1.1 200 OK\r\n\r\nhello world",
}


@given("answers by length, in chunks and up to the end of the connection, cut at any place")
def make_answers(context: Any) -> None:
    context.cuts = [
        (kind, cut) for kind, answer in ANSWERS.items() for cut in range(len(answer) + 1)
    ]


@then("a cut answer never ends whole, unless the upstream closed an answer without length in order")
def check_cuts(context: Any) -> None:
    for kind, cut in context.cuts:
        answer = ANSWERS[kind]
        for reason in (ConnectionDone(), ConnectionLost()):
            end, _ = exchange(answer[:cut], [], reason)
            head = answer.index(b"\r\n\r\n") + 4
            in_order = kind == "end" and cut >= head and isinstance(reason, ConnectionDone)
            whole = in_order or (kind != "end" and cut == len(answer))
            assert (end is ExchangeEnd.COMPLETE) == whole, (kind, cut, reason, end)


@then("a whole answer ends whole")
def check_whole(context: Any) -> None:
    @given_any(st.sampled_from(["length", "chunks"]), st.lists(st.integers(1, 9), max_size=40))
    def check(kind: str, sizes: list[int]) -> None:
        assert exchange(ANSWERS[kind], sizes, ConnectionLost()) == (
            ExchangeEnd.COMPLETE,
            b"hello world",
        )

    check()


@given("an upstream connection whose answer is complete")
def complete_answer(context: Any) -> None:
    context.connection = UpstreamConnection()
    context.transport = Transport()
    context.connection.makeConnection(context.transport)
    context.connection.exchange(b"GET", b"/", [(b"Host", b"u")], b"", Collecting())
    context.connection.dataReceived(ANSWERS["length"])
    assert context.connection.usable


@when("more bytes come")
def send_more(context: Any) -> None:
    context.connection.dataReceived(ANSWERS["length"])


@then("the connection is dropped and not used again")
def check_dropped(context: Any) -> None:
    assert not context.connection.usable
    assert context.transport.disconnected or context.transport.disconnecting


@given("a pool with a connection whose upstream keeps it for {seconds:d} seconds")
def make_pool(context: Any, seconds: int) -> None:
    context.keep = f"HTTP/1.1 200 OK\r\nKeep-Alive: timeout={seconds}\r\nContent-Length: 0\r\n\r\n"


def reused_after(context: Any, seconds: float) -> bool:
    clock = Clock()
    pool = ConnectionPool(reactor=clock, connect_timeout_s=1.0)  # type: ignore[arg-type]
    connection = UpstreamConnection()
    connection.makeConnection(Transport())
    connection.exchange(b"GET", b"/", [(b"Host", b"u")], b"", Collecting())
    connection.dataReceived(context.keep.encode())
    pool.release(("u", 1), connection)
    clock.advance(seconds)
    return pool._take_idle(("u", 1)) is connection


@then("it is used again after {seconds:g} second")
def check_reused(context: Any, seconds: float) -> None:
    assert reused_after(context, seconds)


@then("it is not used again after {seconds:g} seconds")
def check_not_reused(context: Any, seconds: float) -> None:
    assert not reused_after(context, seconds)
