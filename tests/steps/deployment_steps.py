"""Steps on a local deployment of separate processes."""

from __future__ import annotations

import http.client
import json
import time

from typing import Any

import openai

from behave import given
from behave import then
from behave import when

from local.deployment import ADMINISTRATOR_TOKEN
from local.deployment import CALLER_TOKEN
from local.deployment import Deployment
from local.deployment import DeploymentSpec
from local.deployment import EngineSpec
from local.deployment import call_json
from stand_ins.tokens import expected_text

OWN_FIRST_PORT = 9080  # beside the shared deployment
PROMPT = "Which transformer is leaking?"
ITEMS = {
    "streams/captions@v1",
    "streams/captions:spanish@v1~v1",
    "streams/summaries@v1",
    "grid/defects@v1",
}


def start_deployment(context: Any, spec: DeploymentSpec) -> Deployment:
    """Start a deployment that ends with the scenario."""
    deployment = Deployment(spec=spec)
    context.deployment = deployment
    context.cleanups = [*getattr(context, "cleanups", []), deployment.stop]
    deployment.start()
    deployment.wait_reachable(ITEMS)
    return deployment


def send(
    deployment: Deployment,
    entry: int,
    method: str,
    path: str,
    *,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
) -> tuple[int, dict[str, str], bytes]:
    """Send one request to an entry and return status, headers and body."""
    connection = http.client.HTTPConnection("127.0.0.1", deployment.port(entry, 0), timeout=60)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        fields = {name.lower(): value for name, value in answer.getheaders()}
        return answer.status, fields, answer.read()
    finally:
        connection.close()


def chat_body(model: str, tokens: int = 4, **members: Any) -> bytes:
    """Return the body of a chat request."""
    message = {"role": "user", "content": PROMPT}
    return json.dumps(
        {"model": model, "messages": [message], "max_tokens": tokens, **members}
    ).encode()


def ask(
    deployment: Deployment, entry: int, model: str, token: str | None = CALLER_TOKEN, **members: Any
) -> tuple[int, dict[str, str], bytes]:
    """Send a chat request."""
    headers = {"Content-Type": "application/json"}
    if token is not None:
        headers["Authorization"] = f"Bearer {token}"
    body = chat_body(model, **members)
    path = "/v1/chat/completions"
    return send(deployment, entry, "POST", path, body=body, headers=headers)


def make_client(deployment: Deployment, entry: int) -> openai.OpenAI:
    """Return an ordinary client of an entry."""
    return openai.OpenAI(
        base_url=f"http://127.0.0.1:{deployment.port(entry, 0)}/v1",
        api_key=CALLER_TOKEN,
        max_retries=0,
    )


def entries_of(deployment: Deployment) -> range:
    """Return the numbers of the entry VMs."""
    return range(len(deployment.spec.entry_zones))


def engine_states(deployment: Deployment) -> list[dict[str, Any]]:
    """Return what each running engine says of itself."""
    return [
        call_json("GET", deployment.engine_port(number), "/control")
        for number, engine in enumerate(deployment.spec.engines)
        if engine.name in deployment.processes
    ]


def wait_until(holds: Any, timeout_s: float, message: str) -> None:
    """Wait until a condition holds."""
    deadline = time.monotonic() + timeout_s
    while not holds():
        assert time.monotonic() < deadline, message
        time.sleep(0.05)


CLEAN_ENGINE = {
    "lose_orders": 0,
    "delay_orders_ms": 0,
    "double_orders": 0,
    "draining": False,
    "lose_answers": 0,
    "break_after_tokens": 0,
    "break_streams": 0,
    "swap_answers": 0,
    "fail_fast": 0,
    "frozen": False,
    "silent_connections": False,
}
CLEAN_STORE = {"down": False, "delay_ms": 0, "lose_answers": 0, "mute_watches": False}
CLEAN_SERVICE = {"lose_answers": 0, "delay_ms": 0}


def set_engine_faults(deployment: Deployment, **faults: Any) -> None:
    """Switch faults on at every engine."""
    for number in range(len(deployment.spec.engines)):
        call_json("POST", deployment.engine_port(number), "/control", faults)


def clear_faults(deployment: Deployment) -> None:
    """Switch all faults off."""
    set_engine_faults(deployment, **CLEAN_ENGINE)
    call_json("POST", deployment.store_port, "/control", CLEAN_STORE)
    call_json("POST", deployment.service_port, "/control", CLEAN_SERVICE)


@given("the shared local deployment")
def step_shared_deployment(context: Any) -> None:
    root = context._root
    if root["shared_deployment"] is None:
        deployment = Deployment()
        root["shared_deployment"] = deployment
        deployment.start()
        deployment.wait_reachable(ITEMS)
    context.deployment = context.shared_deployment
    clear_faults(context.deployment)
    context.cleanups = [
        *getattr(context, "cleanups", []),
        lambda: clear_faults(root["shared_deployment"]),
    ]


@given("a local deployment")
def step_deployment(context: Any) -> None:
    start_deployment(context, DeploymentSpec(first_port=OWN_FIRST_PORT))


@given("a local deployment with one engine a zone in {zones:d} zones")
def step_deployment_zones(context: Any, zones: int) -> None:
    names = tuple("abcdef"[:zones])
    engines = tuple(
        EngineSpec(name=f"engine-{zone}", availability_zone=zone, token_ms=30) for zone in names
    )
    start_deployment(
        context, DeploymentSpec(first_port=OWN_FIRST_PORT, entry_zones=names, engines=engines)
    )


@when("the openai client streams a chat completion of {tokens:d} tokens through each entry")
def step_stream(context: Any, tokens: int) -> None:
    context.expected = expected_text("streams/captions@v1", PROMPT, tokens)
    context.answers = []
    for entry in entries_of(context.deployment):
        chunks = make_client(context.deployment, entry).chat.completions.create(
            model="streams/captions",
            messages=[{"role": "user", "content": PROMPT}],
            max_tokens=tokens,
            stream=True,
        )
        context.answers.append("".join(chunk.choices[0].delta.content or "" for chunk in chunks))


@when("the openai client asks each entry for a whole completion of {tokens:d} tokens")
def step_whole(context: Any, tokens: int) -> None:
    context.expected = expected_text("streams/summaries@v1", PROMPT, tokens)
    context.answers = [
        make_client(context.deployment, entry)
        .completions.create(model="streams/summaries", prompt=PROMPT, max_tokens=tokens)
        .choices[0]
        .text
        for entry in entries_of(context.deployment)
    ]


@then("each answer is the engine's whole answer")
def step_answers(context: Any) -> None:
    for answer in context.answers:
        assert answer == context.expected, (answer, context.expected)


@then("both entries list the same models")
def step_models(context: Any) -> None:
    lists = [
        sorted(model.id for model in make_client(context.deployment, entry).models.list())
        for entry in entries_of(context.deployment)
    ]
    assert lists[0] == lists[1] and "streams/captions:spanish" in lists[0], lists


@then("no engine was overcommitted")
def step_not_overcommitted(context: Any) -> None:
    for state in engine_states(context.deployment):
        assert state["overcommitted"] == 0, state


@then('a request for "{model}" without a token is answered with status {status:d}')
def step_without_token(context: Any, model: str, status: int) -> None:
    found = ask(context.deployment, 0, model, token=None)
    assert found[0] == status, found


@then('a request for "{model}" with token "{token}" is answered with status {status:d}')
def step_with_token(context: Any, model: str, token: str, status: int) -> None:
    found = ask(context.deployment, 0, model, token=token)
    assert found[0] == status, found


@then("a body of {size:d} bytes is answered with status {status:d}")
def step_large_body(context: Any, size: int, status: int) -> None:
    found = send(context.deployment, 0, "POST", "/v1/completions", body=b"x" * size)
    assert found[0] == status, found


@then("a header of {size:d} bytes is answered with status {status:d}")
def step_large_header(context: Any, size: int, status: int) -> None:
    headers = {f"X-Large-{number}": "x" * 4000 for number in range(size // 4000)}
    found = send(context.deployment, 0, "GET", "/v1/models", headers=headers)
    assert found[0] == status, found


def assert_problem(found: tuple[int, dict[str, str], bytes], status: int, outcome: str) -> None:
    """Check that an answer is a problem with a status and an outcome."""
    assert found[0] == status, found
    assert found[1]["content-type"] == "application/problem+json", found
    assert json.loads(found[2])["outcome"] == outcome, found


@then(
    'a request whose deadline has passed is answered with status {status:d} and outcome "{outcome}"'
)
def step_late(context: Any, status: int, outcome: str) -> None:
    headers = {"X-Request-Deadline": str(time.time() - 1), "Authorization": "Bearer x"}
    body = chat_body("grid/defects")
    path = "/v1/chat/completions"
    found = send(context.deployment, 0, "POST", path, body=body, headers=headers)
    assert_problem(found, status, outcome)


@then('a body that is not JSON is answered with status {status:d} and outcome "{outcome}"')
def step_malformed(context: Any, status: int, outcome: str) -> None:
    found = send(context.deployment, 0, "POST", "/v1/completions", body=b"{nothing")
    assert_problem(found, status, outcome)


@then("the dump of each process names its VM and holds no token")
def step_dumps(context: Any) -> None:
    deployment = context.deployment
    for entry in entries_of(deployment):
        for offset in (1, 3):
            dump = call_json("GET", deployment.port(entry, offset), "/dump")
            assert dump["vm"] == f"entry-{entry}", dump
            text = json.dumps(dump)
            assert CALLER_TOKEN not in text and ADMINISTRATOR_TOKEN not in text
