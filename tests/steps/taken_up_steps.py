"""Steps on streams that break off while the next engine fails to take them up."""

from __future__ import annotations

import http.client
import re
import uuid

from dataclasses import dataclass
from typing import Any

from behave import then
from behave import when

from tests.steps.notice_load import ENGINES
from tests.steps.notice_load import MODEL

EVENTS = 8
_EVENT = re.compile(rb"id: (\d+)\ndata: token \d+\n\n")


@dataclass(frozen=True, kw_only=True)
class ReceivedStream:
    """What a caller received in one answer, and whether it ended as if it were complete."""

    status: int
    data: bytes
    complete: bool


def receive_stream(port: int) -> ReceivedStream:
    """Send one resumable stream and receive all of its answer."""
    request_id = uuid.uuid4().hex
    headers = {
        "Host": "h",
        "X-Request-Id": request_id,
        "X-Deadline-Ms": "6000",
        "X-Model": MODEL,
        "X-Token-Count": "100,8",
        "X-Prompt-Prefix": f"aa:60,{request_id}:20",
    }
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=12)
    status, data = 0, b""
    try:
        connection.request("POST", "/s/r/x", b"{}", headers)
        answer = connection.getresponse()
        status = answer.status
        while part := answer.read1(65536):
            data += part
        return ReceivedStream(status=status, data=data, complete=True)
    except (OSError, http.client.HTTPException):
        return ReceivedStream(status=status, data=data, complete=False)
    finally:
        connection.close()


@when('{count:d} streams break off, and all engines answer those that are taken up with "{answer}"')
def break_streams(context: Any, count: int, answer: str) -> None:
    break_off(context, count, answer, ENGINES)


@when(
    "{count:d} streams break off, "
    'and engine "{engine}" answers those that are taken up with "{answer}"'
)
def break_streams_at_one(context: Any, count: int, engine: str, answer: str) -> None:
    break_off(context, count, answer, (engine,))


def break_off(context: Any, count: int, answer: str, failing: tuple[str, ...]) -> None:
    deployment = context.deployment
    for engine in failing:
        deployment.fail_taken_up(engine, answer)
    ports = list(deployment.caller_ports.values())
    context.received = []
    for number in range(count):
        for engine in ENGINES:
            deployment.inject_fault(engine, "tear-new", 1)
        context.received.append(receive_stream(ports[number % len(ports)]))


@then("no stream ends as complete before its last event, and none has anything but its events")
def check_streams(context: Any) -> None:
    assert any(found.status == 200 for found in context.received)
    for found in context.received:
        if found.status != 200:
            assert not found.complete or found.status in (502, 503, 504), found
            continue
        numbers = [int(number) for number in _EVENT.findall(found.data)]
        assert numbers == list(range(1, len(numbers) + 1)), found
        assert not _EVENT.sub(b"", found.data), found
        assert not found.complete or len(numbers) == EVENTS, found


@then("at least {count:d} of them go on to their ends")
def check_gone_on(context: Any, count: int) -> None:
    complete = sum(found.complete and found.status == 200 for found in context.received)
    assert complete >= count, complete
