"""Steps on complete answers to callers."""

from __future__ import annotations

import json
import time

from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Any

from behave import given
from behave import then
from behave import when
from deployment_steps import CALLER_TOKEN
from deployment_steps import send
from deployment_steps import set_engine_faults
from deployment_steps import wait_until

from local.deployment import Deployment
from local.deployment import call_json
from local.deployment import default_documents
from stand_ins.tokens import expected_text

ITEM = "grid/defects@v1"


@dataclass(frozen=True, kw_only=True)
class ReceivedAnswer:
    """Request of one caller and the answer it received; ``ended`` says how the answer ended."""

    prompt: str
    tokens: int
    status: int
    text: str
    ended: str


def request_tokens(
    deployment: Deployment, entry: int, prompt: str, tokens: int, stream: bool
) -> ReceivedAnswer:
    """Request tokens from an entry and decode the answer."""
    body = {"model": "grid/defects", "prompt": prompt, "max_tokens": tokens, "stream": stream}
    headers = {"Authorization": f"Bearer {CALLER_TOKEN}"}
    data = json.dumps(body).encode()
    status, _, answer = send(
        deployment, entry, "POST", "/v1/completions", body=data, headers=headers
    )
    if status != 200:
        problem = answer.decode(errors="replace")
        return ReceivedAnswer(
            prompt=prompt, tokens=tokens, status=status, text=problem, ended="problem"
        )
    if not stream:
        text = json.loads(answer)["choices"][0]["text"]
        return ReceivedAnswer(
            prompt=prompt, tokens=tokens, status=status, text=text, ended="complete"
        )
    events = [event for event in answer.decode().split("\n\n") if event]
    texts = [
        json.loads(event.partition("data: ")[2])["choices"][0]["text"]
        for event in events
        if '"choices"' in event
    ]
    last = events[-1] if events else ""
    ended = "complete" if last == "data: [DONE]" else last.partition("\n")[0]
    return ReceivedAnswer(
        prompt=prompt, tokens=tokens, status=status, text="".join(texts), ended=ended
    )


def run_callers(context: Any, callers: int, tokens: int, *, stream: bool) -> list[ReceivedAnswer]:
    """Send one request per caller at the same time, spread over the entries."""
    deployment = context.deployment
    with ThreadPoolExecutor(callers) as pool:
        futures = [
            pool.submit(
                request_tokens,
                deployment,
                number % len(deployment.spec.entry_zones),
                f"prompt {number} {time.time()}",
                tokens,
                stream,
            )
            for number in range(callers)
        ]
        return [future.result() for future in futures]


def is_exact_answer(received: ReceivedAnswer) -> bool:
    """Return whether a caller received exactly the complete answer to its request."""
    expected = expected_text(ITEM, received.prompt, received.tokens)
    return received.text == expected and received.ended == "complete"


def get_entry_dumps(context: Any) -> list[dict[str, Any]]:
    """Return the state dump of each running entry process."""
    deployment = context.deployment
    return [
        call_json("GET", deployment.port(number, 3), "/dump")
        for number in range(len(deployment.spec.entry_zones))
        if f"entry-{number}" in deployment.processes
    ]


@given("every engine sends a wrong request id in its next {count:d} answers")
def step_wrong_request_ids(context: Any, count: int) -> None:
    set_engine_faults(context.deployment, swap_answers=count)


@given("upstream kinds that do not resume")
def step_no_resume(context: Any) -> None:
    deployment = context.deployment
    documents = default_documents(deployment.spec)
    keys = [key for key in documents if "/upstream_kinds/" in key]
    deployment.write_documents({key: {**documents[key], "resumes": False} for key in keys})
    wait_for_settings(context, changed_after=get_settings_revisions(context))
    context.cleanups = [
        *context.cleanups,
        lambda: restore_upstream_kinds(context, {key: documents[key] for key in keys}),
    ]


def get_settings_revisions(context: Any) -> list[int]:
    """Return the revision of the deployment settings in force at each running entry."""
    return [dump["settings_in_force"]["deployment"] for dump in get_entry_dumps(context)]


def wait_for_settings(context: Any, *, changed_after: list[int]) -> None:
    """Wait until every entry has newer deployment settings than ``changed_after``."""
    wait_until(
        lambda: all(
            new > old
            for new, old in zip(get_settings_revisions(context), changed_after, strict=True)
        ),
        11.0,
        "settings are not in force",
    )


def restore_upstream_kinds(context: Any, documents: dict[str, Any]) -> None:
    """Write the default upstream kinds again and wait until they are in force."""
    before = get_settings_revisions(context)
    context.deployment.write_documents(documents)
    wait_for_settings(context, changed_after=before)


@when("{callers:d} callers stream {tokens:d} tokens each from both entries")
def step_stream(context: Any, callers: int, tokens: int) -> None:
    context.received = run_callers(context, callers, tokens, stream=True)


@when("{callers:d} callers request {tokens:d} tokens each from both entries")
def step_request(context: Any, callers: int, tokens: int) -> None:
    context.received = run_callers(context, callers, tokens, stream=False)


@when('{callers:d} callers stream {tokens:d} tokens each while "{engine}" is killed')
def step_stream_killed(context: Any, callers: int, tokens: int, engine: str) -> None:
    with ThreadPoolExecutor(1) as pool:
        future = pool.submit(run_callers, context, callers, tokens, stream=True)
        time.sleep(0.15)
        context.deployment.kill(engine)
        context.received = future.result()


@when("every engine goes silent on its open connections")
def step_unresponsive_connections(context: Any) -> None:
    set_engine_faults(context.deployment, silence_open=True)


@then("each caller has exactly its own complete answer")
def step_exact(context: Any) -> None:
    for received in context.received:
        assert is_exact_answer(received), received


@then("each caller has exactly its own complete answer or a problem")
def step_exact_or_problem(context: Any) -> None:
    for received in context.received:
        assert is_exact_answer(received) or received.ended == "problem", received


@then("each caller has its own complete answer or a part of it that ends with an error event")
def step_exact_or_part(context: Any) -> None:
    for received in context.received:
        expected = expected_text(ITEM, received.prompt, received.tokens)
        part = expected.startswith(received.text) and received.ended == "event: error"
        assert is_exact_answer(received) or part, received
    assert any(not is_exact_answer(received) for received in context.received)


@then("at least one stream was resumed")
def step_resumed(context: Any) -> None:
    assert sum(dump["resumed_streams"] for dump in get_entry_dumps(context)) > 0


@then("mismatched answers were counted")
def step_mismatched(context: Any) -> None:
    assert sum(dump["mismatched_answers"] for dump in get_entry_dumps(context)) > 0
