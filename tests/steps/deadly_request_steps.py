"""Steps on node processes whose upstreams die of one request."""

from __future__ import annotations

import json
import threading
import uuid

from typing import Any

from behave import given
from behave import then
from behave import when
from deadly_load import CALM_S
from deadly_load import DeadlyLoad
from deadly_load import Request

from local.platform_deployment import PlatformDeployment
from local.ports import offset_port
from soak.faulty_link import LinkMode
from soak.fleet import SoakFleet

FIRST_PORT = offset_port(10300)
LARGE_BODY = "0123456789abcdef" * 12_288  # 196 KB
# path of the route, method, whether engines or plain instances run it, bytes of a chunk
KINDS: dict[str, tuple[str, str, bool, int | None]] = {
    "GET that may be repeated": ("/again/", "GET", False, None),
    "POST that may run once": ("/once/", "POST", False, None),
    "POST sent in large chunks": ("/once/", "POST", False, 32_768),
    "stream with a prompt": ("/s/", "POST", True, None),
}


@given(
    "{nodes:d} nodes and {instances:d} instances of a plain service, "
    "and {engines:d} engines that hold one model"
)
def start_upstreams(context: Any, nodes: int, instances: int, engines: int) -> None:
    engine_names = [f"e{number + 1}" for number in range(engines)]
    names = engine_names + [f"s{number + 1}" for number in range(instances)]
    deployment = PlatformDeployment(
        first_port=FIRST_PORT,
        nodes=nodes,
        initial_models=dict.fromkeys(engine_names, "captions"),
    )
    deployment.upstream_ports = {name: FIRST_PORT + 100 + n for n, name in enumerate(names)}
    context.nodes = deployment
    context.cleanups = [*getattr(context, "cleanups", []), deployment.stop]
    deployment.start()


@given("{nodes:d} nodes, each with links of its own to {instances:d} instances of a plain service")
def start_linked_nodes(context: Any, nodes: int, instances: int) -> None:
    fleet = SoakFleet(first_port=FIRST_PORT, nodes=nodes)
    fleet.upstream_ports = {f"s{n + 1}": FIRST_PORT + 20 + n for n in range(instances)}
    context.nodes = fleet
    context.cleanups = [*getattr(context, "cleanups", []), fleet.stop]
    fleet.start()


@when("node {node} gets no new connections to upstreams, while its open ones live on")
def refuse_new_connections(context: Any, node: str) -> None:
    context.deadly_node = node
    timer = threading.Timer(CALM_S, context.nodes.cut_off, [node, LinkMode.REFUSE])
    context.cleanups.append(timer.cancel)
    timer.start()


def make_request(kind: str, name: str) -> Request:
    """Return a request with a new ID; those of one name are alike but for that."""
    path, method, streams, chunk_bytes = KINDS[kind]
    headers = {}
    if streams:
        headers = {
            "X-Model": "captions",
            "X-Token-Count": "100,8",
            "X-Prompt-Prefix": f"aa:60,bb:20,{name}:20",
        }
    text = LARGE_BODY if chunk_bytes else "text"
    return Request(
        request_id=uuid.uuid4().hex,
        method=method,
        path=f"{path}{name}",
        headers=headers,
        body=None if method == "GET" else {"text": f"{text} {name}"},
        chunk_bytes=chunk_bytes,
    )


@when(
    "{sound:d} sound requests come each second for {s:d} seconds, "
    "and each {gap:g} s one {kind} that is deadly"
)
def send_deadly(context: Any, sound: int, s: int, gap: float, kind: str) -> None:
    send_at(context, sound, s, kind, [gap * number for number in range(int(s / gap))])


@when(
    "{sound:d} sound requests come each second for {s:d} seconds, and a {kind} that is deadly "
    "3 times in 0.6 s, and each {gap:g} s from {begin:g} s on"
)
def send_deadly_quickly(
    context: Any, sound: int, s: int, kind: str, gap: float, begin: float
) -> None:
    later = [begin + gap * number for number in range(int((s - begin) / gap))]
    send_at(context, sound, s, kind, [0.0, 0.3, 0.6, *later])


def send_at(context: Any, sound: int, s: int, kind: str, deadly_at: list[float]) -> None:
    path, _, streams, _ = KINDS[kind]
    prefix = "e" if streams else "s"
    upstreams = [name for name in context.nodes.upstream_ports if name.startswith(prefix)]
    for upstream in upstreams:
        context.nodes.set_deadly_path(upstream, f"{path}deadly")
    sound_kind = kind if streams else "GET that may be repeated"
    context.load = DeadlyLoad(
        deployment=context.nodes,
        upstreams=upstreams,
        deadly_node=getattr(context, "deadly_node", ""),
    )
    context.load.run(
        sound_per_s=sound,
        deadly_at=deadly_at,
        seconds=s,
        make_sound=lambda number: make_request(sound_kind, f"sound{number}"),
        make_deadly=lambda number: make_request(kind, "deadly"),
    )


@then(
    "at most {count:d} sends of it reach upstreams later than {s:g} seconds "
    "after it has crashed the third"
)
def check_arrivals(context: Any, count: int, s: float) -> None:
    crashes = context.load.crashes
    assert crashes
    if len(crashes) >= 3:
        late = [at for at, _ in context.load.arrivals if at > crashes[2] + s]
        assert len(late) <= count, (len(late), len(crashes))


@then(
    "from {s:g} seconds after its third crash sound requests are served "
    "half as often as before or more"
)
def check_sound(context: Any, s: float) -> None:
    context.load.check_sound(crashes=3, seconds=s)


@then("callers of it are never told that it did not run when it did")
def check_answers(context: Any) -> None:
    ran = {request_id for _, request_id in context.load.arrivals}
    for answer in context.load.answers:
        if not answer.deadly or answer.status not in (429, 501, 503):
            continue
        told = json.loads(answer.body)
        assert told["ran"] == "no", told
        assert told["request_id"] not in ran, told
