"""Steps on requests with an Idempotency-Key, which run at most once."""

from __future__ import annotations

import contextlib
import json
import threading
import time
import uuid

from typing import Any

from behave import given
from behave import then
from behave import when
from deployment_steps import CALLER_TOKEN
from deployment_steps import assert_problem
from deployment_steps import chat_body
from deployment_steps import get_engine_states
from deployment_steps import send
from deployment_steps import send_chat_request
from deployment_steps import set_engine_faults

from local.deployment import Deployment
from local.deployment import call_json

SERVICE_PATH = "/services/streams/registry/tags"


def send_service_request(
    deployment: Deployment, entry: int, key: str, body: bytes = b"tag"
) -> tuple[int, dict[str, str], bytes]:
    """Send a request with an Idempotency-Key to the plain service."""
    headers = {"Authorization": f"Bearer {CALLER_TOKEN}", "Idempotency-Key": key}
    return send(deployment, entry, "POST", SERVICE_PATH, body=body, headers=headers)


def count_engine_executions(context: Any) -> int:
    """Return how often the engines executed the request with the scenario's key."""
    return sum(
        int(state["executions"].get(context.key, 0))
        for state in get_engine_states(context.deployment)
    )


@given("the service executes its next request but its answer is lost")
def step_service_loses(context: Any) -> None:
    call_json("POST", context.deployment.service_port, "/control", {"lose_answers": 1})


@given("the service takes {delay:d} ms")
def step_service_takes(context: Any, delay: int) -> None:
    call_json("POST", context.deployment.service_port, "/control", {"delay_ms": delay})


@given("the store is down")
@when("the store goes down")
def step_store_down(context: Any) -> None:
    call_json("POST", context.deployment.store_port, "/control", {"down": True})


@given("the store executes its next transaction but its answer is lost")
def step_store_loses(context: Any) -> None:
    call_json("POST", context.deployment.store_port, "/control", {"lose_answers": 1})


@given("every engine is frozen")
def step_frozen(context: Any) -> None:
    set_engine_faults(context.deployment, frozen=True)


@when("every engine is unfrozen")
def step_unfreeze(context: Any) -> None:
    set_engine_faults(context.deployment, frozen=False)
    time.sleep(0.5)


@given("every engine refuses requests because it is leaving")
def step_refuses(context: Any) -> None:
    set_engine_faults(context.deployment, draining=True)


@given("every engine breaks its next stream after {tokens:d} tokens")
def step_breaks(context: Any, tokens: int) -> None:
    set_engine_faults(context.deployment, break_streams=1, break_after_tokens=tokens)


@when("a request with an Idempotency-Key is sent to entry {entry:d}")
def step_send(context: Any, entry: int) -> None:
    context.key = uuid.uuid4().hex
    context.answer = context.first_answer = send_service_request(
        context.deployment, entry, context.key
    )


@when("the same request is sent to entry {entry:d}")
def step_send_again(context: Any, entry: int) -> None:
    context.answer = send_service_request(context.deployment, entry, context.key)


@when("another body is sent with the same key to entry {entry:d}")
def step_other_body(context: Any, entry: int) -> None:
    context.answer = send_service_request(context.deployment, entry, context.key, b"other")


@when("a request with an Idempotency-Key is sent to both entries at once")
def step_send_both(context: Any) -> None:
    context.key = uuid.uuid4().hex
    context.answers = [None, None]

    def run(entry: int) -> None:
        context.answers[entry] = send_service_request(context.deployment, entry, context.key)

    threads = [threading.Thread(target=run, args=(entry,)) for entry in (0, 1)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@when(
    "a request with an Idempotency-Key is sent to entry {entry:d}, "
    "which is killed after {delay:d} ms"
)
def step_send_killed(context: Any, entry: int, delay: int) -> None:
    context.key = uuid.uuid4().hex
    kill = threading.Timer(delay / 1000, context.deployment.kill, [f"entry-{entry}"])
    kill.start()
    with contextlib.suppress(OSError):
        send_service_request(context.deployment, entry, context.key)
    kill.join()


@when("a stream of {tokens:d} tokens with an Idempotency-Key is requested from entry {entry:d}")
def step_send_stream(context: Any, tokens: int, entry: int) -> None:
    context.key = uuid.uuid4().hex
    headers = {"Authorization": f"Bearer {CALLER_TOKEN}", "Idempotency-Key": context.key}
    body = chat_body("streams/captions", tokens=tokens, stream=True)
    path = "/v1/chat/completions"
    context.answer = send(context.deployment, entry, "POST", path, body=body, headers=headers)


@when(
    "a non-streaming request with an Idempotency-Key is sent to entry {entry:d} "
    "with {seconds:d} seconds to its deadline"
)
def step_send_without_streaming(context: Any, entry: int, seconds: int) -> None:
    context.key = uuid.uuid4().hex
    headers = {
        "Authorization": f"Bearer {CALLER_TOKEN}",
        "Idempotency-Key": context.key,
        "X-Request-Deadline": str(time.time() + seconds),
    }
    body = chat_body("streams/captions")
    path = "/v1/chat/completions"
    context.answer = send(context.deployment, entry, "POST", path, body=body, headers=headers)


@then('it is answered with status {status:d} and outcome "{outcome}"')
def step_problem(context: Any, status: int, outcome: str) -> None:
    assert_problem(context.answer, status, outcome)


@then("it is answered with status {status:d}")
def step_status(context: Any, status: int) -> None:
    assert context.answer[0] == status, context.answer


@then("the answer has a Retry-After header")
def step_retry_after(context: Any) -> None:
    assert int(context.answer[1]["retry-after"]) >= 1, context.answer


@then("the answer is the first one, marked as replayed")
def step_replayed(context: Any) -> None:
    assert context.answer[2] == context.first_answer[2], context.answer
    assert context.answer[1]["idempotency-replayed"] == "true", context.answer


@then("one of them has the answer and the other is refused or has the same answer")
def step_one_answer(context: Any) -> None:
    statuses = sorted(answer[0] for answer in context.answers)
    assert statuses in ([200, 200], [200, 409]), context.answers
    assert len({answer[2] for answer in context.answers if answer[0] == 200}) == 1


@then("the service executed the request {times:d} time(s)")
def step_service_ran(context: Any, times: int) -> None:
    executions = call_json("GET", context.deployment.service_port, "/control")["executions"]
    assert executions.get(context.key, 0) == times, executions


@then("after {seconds:d} seconds the service executed the request {times:d} time(s)")
def step_service_ran_later(context: Any, seconds: int, times: int) -> None:
    time.sleep(seconds)
    step_service_ran(context, times)


@then("the engines executed the request {times:d} time(s)")
def step_engines_ran(context: Any, times: int) -> None:
    assert count_engine_executions(context) == times


@then("the engines executed the request at most {times:d} time(s)")
def step_engines_ran_at_most(context: Any, times: int) -> None:
    assert count_engine_executions(context) <= times


@then("requests without a key are served")
def step_without_key(context: Any) -> None:
    assert send_chat_request(context.deployment, 0, "streams/captions")[0] == 200


@then("the stream ends with an error event")
def step_error_event(context: Any) -> None:
    text = context.answer[2].decode()
    assert "[DONE]" not in text, text
    last = text.strip().split("\n\n")[-1]
    assert last.startswith("event: error\ndata: "), text
    assert json.loads(last.partition("data: ")[2])["error"]["outcome"] == "unknown", text
