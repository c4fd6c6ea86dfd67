"""Steps on the memory that answers and bodies take together."""

from __future__ import annotations

from typing import Any
from typing import cast

from behave import given
from behave import then
from behave import when
from connection_steps import AnsweringHandler
from connection_steps import Transport
from connection_steps import encode_request
from twisted.internet.task import Clock

from cactusshunt.http1.caller_connection import CallerConnection
from cactusshunt.http1.caller_connection import ReceivedRequest
from cactusshunt.http1.memory_budget import FREE_BYTES
from cactusshunt.http1.memory_budget import MemoryBudget
from cactusshunt.requests.answer_sink import AnswerSink

ROUNDS = 200


class SilentHandler(AnsweringHandler):
    """Handler that answers nothing."""

    def handle(self, request: ReceivedRequest, connection: CallerConnection) -> None:
        self.requests.append(request)


def connect(handler: AnsweringHandler, budget: MemoryBudget) -> tuple[CallerConnection, Transport]:
    connection = CallerConnection(
        reactor=cast("Any", Clock()), handler=cast("Any", handler), budget=budget
    )
    transport = Transport()
    connection.makeConnection(transport)
    return connection, transport


def make_sink(budget: MemoryBudget) -> AnswerSink:
    connection, _ = connect(SilentHandler(), budget)
    sink = AnswerSink(
        connection=connection, request_id=b"r", streams=True, clock=lambda: 0.0, budget=budget
    )
    sink.receive_head(500, [(b"X-Request-Id", b"r")])
    return sink


@given("a budget of {limit:d} bytes and {count:d} answers of upstreams that are kept whole")
def make_answers(context: Any, limit: int, count: int) -> None:
    context.limit = limit
    context.budget = MemoryBudget(limit_bytes=limit)
    context.sinks = [make_sink(context.budget) for _ in range(count)]


@when("each of them grows without end, in parts of {part:d} bytes")
def grow(context: Any, part: int) -> None:
    context.peak = 0
    open_sinks = list(context.sinks)
    for _ in range(ROUNDS):
        open_sinks = [sink for sink in open_sinks if sink.receive_body_part(b"x" * part)]
        context.peak = max(context.peak, sum(len(sink.body) for sink in context.sinks))
        if len(open_sinks) == 1:
            break
    context.open_sinks = open_sinks


@then("at no time more than the budget and {free:d} bytes of each are kept")
def check_peak(context: Any, free: int) -> None:
    assert context.limit / 2.0 < context.peak <= context.limit + free * len(context.sinks)


@then("an answer of {size:d} bytes is kept while the budget is used up")
def check_small(context: Any, size: int) -> None:
    hoard = context.limit - context.budget.reserved_bytes
    assert context.budget.reserve(hoard)
    sink = make_sink(context.budget)
    assert sink.receive_body_part(b"x" * size)
    assert len(sink.body) == size
    context.budget.release(hoard)


@then("nothing is reserved once all are answered")
def check_released(context: Any) -> None:
    for sink in getattr(context, "sinks", []):
        sink.release_memory()
    for connection in getattr(context, "busy", []):
        connection.answer(200, [], b"ok")
    assert context.budget.reserved_bytes == 0, context.budget.reserved_bytes


@given(
    "a budget of {limit:d} bytes and {count:d} callers that send bodies of {size:d} bytes at once"
)
def send_bodies(context: Any, limit: int, count: int, size: int) -> None:
    context.budget = MemoryBudget(limit_bytes=limit)
    context.handler = SilentHandler()
    context.fits = limit // (size - FREE_BYTES)
    context.callers = [connect(context.handler, context.budget) for _ in range(count)]
    for connection, _ in context.callers:
        connection.dataReceived(encode_request(1, b"x" * size, False))


@then("those that exceed the budget get 503 with a time to return, and their connections close")
def check_refused(context: Any) -> None:
    refused = [transport for _, transport in context.callers if transport.value()]
    assert len(refused) == len(context.callers) - context.fits, len(refused)
    for transport in refused:
        assert transport.value().startswith(b"HTTP/1.1 503 ")
        assert b"Retry-After: 0.5" in transport.value()
        assert transport.disconnecting
    assert len(context.handler.requests) == context.fits
    context.busy = [connection for connection, transport in context.callers if connection.busy]


@given("a caller that gets an answer of {size:d} bytes and does not read")
def answer_large(context: Any, size: int) -> None:
    context.budget = MemoryBudget(limit_bytes=1e6)
    context.size = size
    connection, context.transport = connect(SilentHandler(), context.budget)
    connection.dataReceived(encode_request(1, b"", False))
    connection.answer(200, [], b"x" * size)


@then("its bytes are reserved until they are written")
def check_reserved(context: Any) -> None:
    assert context.budget.reserved_bytes == context.size - FREE_BYTES
    context.transport.producer.pauseProducing()
    context.transport.producer.resumeProducing()  # as a transport does that has written all
    assert context.budget.reserved_bytes == 0
