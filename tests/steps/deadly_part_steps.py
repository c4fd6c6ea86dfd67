"""Steps on node processes whose engines die of a part of prompts."""

from __future__ import annotations

import time
import uuid

from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPException
from typing import Any

from behave import given
from behave import then
from behave import when

from local.platform_deployment import PlatformDeployment
from local.platform_deployment import call
from local.platform_deployment import wait_until

FIRST_PORT = 10100
DEADLY_PART = "dead"
SUBJECTS = 5  # second parts of sound requests, which share the first with the deadly ones
CALM_S = 3.0  # of sound requests alone, to compare with
CONTACT_S = 3.0


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


def send(context: Any, number: int, second_part: str) -> None:
    """Send a request through one node after the other."""
    ports = list(context.nodes.caller_ports.values())
    request_id = uuid.uuid4().hex
    prefix = f"aa:60,{second_part}:20,{request_id}:20"
    headers = {"Host": "h", "X-Request-Id": request_id, "X-Deadline-Ms": "4000"}
    headers |= {"X-Model": "captions", "X-Token-Count": "100,8", "X-Prompt-Prefix": prefix}
    sent_at = time.time()
    path = "/s/r/x" if number % 2 else "/s/x"
    try:
        answer = call(ports[number % len(ports)], "POST", path, {"text": "x"}, headers)
        status = answer[0]
    except (OSError, HTTPException):
        status = 0
    context.answers.append((sent_at, second_part, status))


def read_state(context: Any, engine: str) -> Any:
    """Return an engine's state; a dead engine answers when it is born again."""
    states: list[Any] = []

    def is_read() -> bool:
        states.append(context.nodes.state_of(engine))
        return True

    wait_until(is_read)
    return states[0]


@when(
    "{sound:d} sound requests and {deadly:d} with a deadly part come each second for {s:d} seconds"
)
def send_both(context: Any, sound: int, deadly: int, s: int) -> None:
    context.answers = []
    engines = [name for name in context.nodes.upstream_ports if name.startswith("e")]
    for engine in engines:
        context.nodes.set_deadly_part(engine, DEADLY_PART)
    began_at = time.time()
    with ThreadPoolExecutor(80) as pool:
        for number in range(int(sound * (CALM_S + s))):
            due_at = began_at + number / sound
            time.sleep(max(0.0, due_at - time.time()))
            pool.submit(send, context, number, f"b{number % SUBJECTS}")
            if due_at - began_at > CALM_S and number % (sound // deadly) == 0:
                pool.submit(send, context, number // (sound // deadly), DEADLY_PART)
    states = [read_state(context, name) for name in engines]
    context.began_at = began_at
    context.crashes = sorted(at for state in states for at in state["crashes"])
    context.arrivals = sorted(at for state in states for at, _ in state["deadly"])
    print(f"{len(context.crashes)} crashes, {len(context.arrivals)} arrivals with the part")


@then(
    "at most {count:d} requests with the part reach engines later than {s:g} seconds "
    "after the fifth crash"
)
def check_arrivals(context: Any, count: int, s: float) -> None:
    assert context.crashes
    if len(context.crashes) >= 5:
        late = [at for at in context.arrivals if at > context.crashes[4] + s]
        assert len(late) <= count, (len(late), len(context.crashes))


@then("at most {count:d} engines crash")
def check_crashes(context: Any, count: int) -> None:
    assert len(context.crashes) <= count, len(context.crashes)


@then(
    "from {s:g} seconds after the last crash sound requests are served "
    "half as often as before or more"
)
def check_sound(context: Any, s: float) -> None:
    def served_share(begin: float, end: float) -> float:
        found = [
            status
            for at, part, status in context.answers
            if part != DEADLY_PART and begin <= at < end
        ]
        assert len(found) >= 20, len(found)
        return found.count(200) / len(found)

    before = served_share(context.began_at, context.began_at + CALM_S)
    after = served_share(context.crashes[min(4, len(context.crashes) - 1)] + s, time.time())
    print(f"sound requests served: {before:.2f} before, {after:.2f} after")
    assert after >= before / 2.0, (before, after)
