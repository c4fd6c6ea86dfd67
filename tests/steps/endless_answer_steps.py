"""Steps on upstreams whose answers have no end."""

from __future__ import annotations

import time
import uuid

from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from http.client import HTTPException
from typing import Any

from behave import given
from behave import then
from behave import when
from connection_steps import CollectingReceiver
from connection_steps import Transport
from crowd_parser_steps import measure_turn
from crowd_parser_steps import run_next_call
from crowd_steps import ProcessWatch
from twisted.internet.error import ConnectionDone
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from cactusshunt.http1.input_turns import InputTurns
from cactusshunt.http1.upstream_connection import ExchangeEnd
from cactusshunt.http1.upstream_connection import UpstreamConnection
from local.platform_deployment import MODELS
from local.platform_deployment import PlatformDeployment
from local.platform_deployment import call
from local.platform_deployment import standard_routes
from local.platform_deployment import wait_until
from local.ports import offset_port

FIRST_PORT = offset_port(13_500)
FIRST_ENDLESS_PORT = FIRST_PORT + 40
MEMORY_MB = 160  # of the smallest VM
KINDS = {"event of a stream": "event", "body of a failure": "failure", "body of a call": "call"}
ENDLESS_MODEL = MODELS[-1]  # which only the engines in trouble hold
TIMEOUT_S = 1.0  # of the ordinary requests' route
GRACE_S = 0.5  # of the rule: no final answer half a second after the route's time limit
ORDINARY_REQUESTS = 60
ORDINARY_INTERVAL_S = 0.1


@given(
    "a node, and {count:d} upstreams that send the {part} without end in chunks of {size:d} bytes"
)
def start_deployment(context: Any, count: int, part: str, size: int) -> None:
    deployment = PlatformDeployment(
        first_port=FIRST_PORT, nodes=1, process_limits={"memoryMb": MEMORY_MB}
    )
    context.nodes = deployment
    context.cleanups = [*getattr(context, "cleanups", []), deployment.stop]
    deployment.start()
    routes = [
        {**route, "timeoutMs": TIMEOUT_S * 1000} if route["name"] == "again" else route
        for route in standard_routes()
    ]
    deployment.configure(routes)
    context.watch = ProcessWatch(deployment.processes["n1"].pid)
    context.cleanups.append(context.watch.stop)
    arguments = [FIRST_ENDLESS_PORT, deployment.store, count, ENDLESS_MODEL, KINDS[part], size]
    deployment.start_program("endless", "stand_ins.endless_upstreams", *map(str, arguments))
    known = len(deployment.upstream_ports) + count
    wait_until(lambda: len(deployment.dump("n1")["upstreams"]) == known)


@when("{count:d} callers ask them, and an ordinary request for another service is sent each 0.1 s")
def ask(context: Any, count: int) -> None:
    port = context.nodes.caller_ports["n1"]
    with ThreadPoolExecutor(count + ORDINARY_REQUESTS) as pool:
        for _ in range(count):
            pool.submit(ask_engines, port)
        asking = []
        for _ in range(ORDINARY_REQUESTS):
            asking.append(pool.submit(ask_plainly, port))
            time.sleep(ORDINARY_INTERVAL_S)
        context.ordinary = [found.result() for found in asking]


def ask_engines(port: int) -> None:
    headers = {
        "Host": "h",
        "X-Request-Id": uuid.uuid4().hex,
        "X-Deadline-Ms": "8000",
        "X-Model": ENDLESS_MODEL,
        "X-Token-Count": "100,80",
        "X-Prompt-Prefix": f"{uuid.uuid4().hex}:100",
    }
    with suppress(OSError, HTTPException):  # an answer without end is broken off
        call(port, "POST", "/s/x", {}, headers)


def ask_plainly(port: int) -> tuple[int, float]:
    """Send an ordinary request; return its status, 0 for none, and the seconds."""
    headers = {"Host": "h", "X-Request-Id": uuid.uuid4().hex, "X-Deadline-Ms": "1000"}
    sent_at = time.monotonic()
    status = 0
    with suppress(OSError, HTTPException):  # no answer, as the time says
        status = call(port, "GET", "/again/x", None, headers)[0]
    return status, time.monotonic() - sent_at


@then("each ordinary request has its answer 0.5 s after the time limit of its route at the latest")
def check_answered(context: Any) -> None:
    late = [found for found in context.ordinary if not found[0] or found[1] > TIMEOUT_S + GRACE_S]
    assert not late, (len(late), max(found[1] for found in late))


@then("the process lives, and its memory stayed within its limit")
def check_memory(context: Any) -> None:
    process = context.nodes.processes["n1"]
    assert process.poll() is None, f"the process ended with {process.returncode}"
    peak_mb = context.watch.peak_memory_bytes / 1e6
    print(f"peak memory {peak_mb:.0f} MB")
    assert 0 < peak_mb <= MEMORY_MB, peak_mb


class TickingReceiver(CollectingReceiver):
    """Receiver on a clock that goes on by 0.25 ms with each part of a body."""

    def __init__(self, clock: Clock) -> None:
        super().__init__()
        self._clock = clock
        self.part_times: list[float] = []

    def receive_body_part(self, data: bytes) -> bool:
        self._clock.rightNow += 0.00025
        self.part_times.append(self._clock.seconds())
        return super().receive_body_part(data)


@given(
    "an upstream's answer in {count:d} chunks of one byte with an extension, of which 4 take 1 ms"
)
def make_chunks(context: Any, count: int) -> None:
    context.body = b"x" * count
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    context.answer = head + b"1;e\r\nx\r\n" * count + b"0\r\n\r\n"


def receive_at_once(context: Any) -> None:
    context.clock = Clock()
    context.receiver = TickingReceiver(context.clock)
    context.connection = UpstreamConnection(
        turns=InputTurns(reactor=context.clock)  # type: ignore[arg-type]
    )
    context.transport = Transport()
    context.connection.makeConnection(context.transport)
    context.ends = []
    headers = [(b"Host", b"u")]
    exchange = context.connection.exchange(b"GET", b"/", headers, b"", context.receiver)
    exchange.addCallback(context.ends.append)
    context.connection.dataReceived(context.answer)


@when("all of it arrives at once")
def arrive_at_once(context: Any) -> None:
    receive_at_once(context)


def run_turns(context: Any) -> list[float]:
    """Run the reactor until the answer has ended; return how long each turn took in ms."""
    took_ms = []
    while not context.ends:
        turn = measure_turn(context, lambda: run_next_call(context.clock))
        took_ms.append(turn * 1000.0)
    return took_ms


@then("it is parsed in turns of at most {most_ms:d} ms, and reading waits meanwhile")
def check_turns(context: Any, most_ms: int) -> None:
    assert 0 < len(context.receiver.body) < len(context.body), len(context.receiver.body)
    assert context.transport.producerState == "paused"
    took_ms = run_turns(context)
    assert max(took_ms) <= most_ms, max(took_ms)
    assert context.transport.producerState == "producing"


@then("it is complete, also when the connection ends before the last turn")
def check_complete_after_turns(context: Any) -> None:
    assert context.ends == [ExchangeEnd.COMPLETE]
    assert context.receiver.body == context.body
    receive_at_once(context)
    context.connection.connectionLost(Failure(ConnectionDone()))
    assert not context.ends
    run_turns(context)
    assert context.ends == [ExchangeEnd.COMPLETE]
    assert context.receiver.body == context.body
    assert not context.connection.usable
