"""Steps on node processes whose engines die of a part of prompts."""

from __future__ import annotations

import uuid

from typing import Any

from behave import given
from behave import then
from behave import when
from deadly_load import DeadlyLoad
from deadly_load import Request

from local.platform_deployment import PlatformDeployment
from local.ports import offset_port

FIRST_PORT = offset_port(10100)
DEADLY_PART = "dead"
SUBJECTS = 5  # second parts of sound requests, which share the first with the deadly ones


@given("{nodes:d} nodes and {engines:d} engines that hold one model")
def start_engines(context: Any, nodes: int, engines: int) -> None:
    names = [f"e{number + 1}" for number in range(engines)]
    deployment = PlatformDeployment(
        first_port=FIRST_PORT, nodes=nodes, initial_models=dict.fromkeys(names, "captions")
    )
    ports = {name: FIRST_PORT + 100 + number for number, name in enumerate(names)}
    deployment.upstream_ports = {**ports, "s1": FIRST_PORT + 3}
    context.nodes = deployment
    context.cleanups = [*getattr(context, "cleanups", []), deployment.stop]
    deployment.start()


def make_request(number: int, second_part: str) -> Request:
    request_id = uuid.uuid4().hex
    return Request(
        request_id=request_id,
        method="POST",
        path="/s/r/x" if number % 2 else "/s/x",
        headers={
            "X-Model": "captions",
            "X-Token-Count": "100,8",
            "X-Prompt-Prefix": f"aa:60,{second_part}:20,{request_id}:20",
        },
        body={"text": request_id},
    )


@when(
    "{sound:d} sound requests and {deadly:d} with a deadly part come each second for {s:d} seconds"
)
def send_both(context: Any, sound: int, deadly: int, s: int) -> None:
    engines = [name for name in context.nodes.upstream_ports if name.startswith("e")]
    for engine in engines:
        context.nodes.set_deadly_part(engine, DEADLY_PART)
    context.load = DeadlyLoad(deployment=context.nodes, upstreams=engines)
    context.load.run(
        sound_per_s=sound,
        deadly_at=[number / deadly for number in range(deadly * s)],
        seconds=s,
        make_sound=lambda number: make_request(number, f"b{number % SUBJECTS}"),
        make_deadly=lambda number: make_request(number, DEADLY_PART),
    )


@then(
    "at most {count:d} requests with the part reach engines later than {s:g} seconds "
    "after the fifth crash"
)
def check_arrivals(context: Any, count: int, s: float) -> None:
    crashes = context.load.crashes
    assert crashes
    if len(crashes) >= 5:
        late = [at for at, _ in context.load.arrivals if at > crashes[4] + s]
        assert len(late) <= count, (len(late), len(crashes))


@then("at most {count:d} engines crash")
def check_crashes(context: Any, count: int) -> None:
    assert len(context.load.crashes) <= count, len(context.load.crashes)


@then(
    "from {s:g} seconds after the last crash sound requests are served "
    "half as often as before or more"
)
def check_sound(context: Any, s: float) -> None:
    context.load.check_sound(crashes=5, seconds=s)
