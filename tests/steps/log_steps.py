"""Steps for the commands that read logs, and for the schema of log events."""

from __future__ import annotations

import ast
import json
import tempfile

from pathlib import Path
from typing import Any

from behave import given
from behave import then
from behave import when
from typer.testing import CliRunner

from cactusshunt.console.application import application
from cactusshunt.schema import generate_events

SOURCE = Path(__file__).parents[2] / "src" / "cactusshunt"
REQUEST_ID = "9c41d07be2a35f68"


def format_event(at: float, vm: str, event: str, **fields: Any) -> str:
    found = {"at": 1000.0 + at, "up": at, "vm": vm, "event": event, "level": "INFO", **fields}
    return f"  {at} {vm} {json.dumps(found)}\n"


@given("logs of two VMs in which a request was queued, sent twice and answered")
def step_write_logs(context: Any) -> None:
    directory = Path(tempfile.mkdtemp())
    own = {"request": REQUEST_ID, "item": "m1", "route": "r"}
    (directory / "a.log").write_text(
        "text that is no event\n{broken\n"
        + format_event(0.0, "a", "configuration", version=3, routes=2)
        + format_event(0.1, "a", "upstream_seen", upstream="e1", service="s", state="ready")
        + format_event(5.0, "a", "request_queued", expected_in_ms=None, left_ms=900, **own)
        + format_event(6.0, "a", "attempt", upstream="e1", outcome="NOT_RUN", waited_ms=900, **own)
        + format_event(6.1, "a", "upstream_suspected", upstream="e1", share=0.4, unreached=False)
        + format_event(
            6.5, "a", "attempt", upstream="e2", outcome="ANSWERED", waited_ms=1100, **own
        )
        + format_event(6.5, "a", "request_answered", status=200, first_after_ms=1400, **own)
        + format_event(6.6, "a", "request_failed", request="other", reason="overloaded", ran=False),
        encoding="utf-8",
    )
    (directory / "b.log").write_text(
        format_event(0.2, "b", "right_won", token=4, former=[], waits_s=0.0)
        + format_event(5.2, "b", "order", upstream="e1", load=True, item="m1", outcome="STARTED")
        + format_event(5.3, "b", "order", upstream="e1", load=True, item="m2/a1", outcome="STARTED")
        + format_event(5.4, "b", "configuration", version=4, routes=2, left_out_before=7),
        encoding="utf-8",
    )
    context.logs = [str(directory / "b.log"), str(directory / "a.log")]
    context.directory = directory


def run(context: Any, *arguments: str) -> None:
    context.result = CliRunner().invoke(application, list(arguments))


@when("the log events of the request are printed")
def step_explain(context: Any) -> None:
    run(context, "explain", REQUEST_ID, *context.logs)


@when("the log events of an unknown request are printed")
def step_explain_unknown(context: Any) -> None:
    run(context, "explain", "nobody", *context.logs)


@then("its events are in order of time, from the configuration in force to the answer")
def step_check_order(context: Any) -> None:
    rows = [row.split() for row in context.result.output.splitlines()]
    events = [row[2] for row in rows if row[0][0].isdigit()]
    assert events == [
        *("configuration", "upstream_seen", "right_won", "request_queued", "order"),
        *("attempt", "upstream_suspected", "attempt", "request_answered"),
    ], context.result.output


@then("the orders for its model are printed, those for other models are not")
def step_check_orders(context: Any) -> None:
    assert "item=m1 outcome=STARTED" in context.result.output
    assert "m2" not in context.result.output


@when("reports with an SVG and with a PNG image are created")
def step_create_reports(context: Any) -> None:
    context.images = [context.directory / "day.svg", context.directory / "day.png"]
    for image in context.images:
        run(context, "report", *context.logs, "--image", str(image))
        assert context.result.exit_code == 0, context.result.output


@then("both images are written")
def step_check_images(context: Any) -> None:
    assert b"<svg" in context.images[0].read_bytes()
    assert context.images[1].read_bytes().startswith(b"\x89PNG")


@then("the report counts 1 answered, 1 refused and 1 load")
def step_check_counts(context: Any) -> None:
    rows = [row.split()[:5] for row in context.result.output.splitlines()[1:5]]
    assert [sum(int(row[column]) for row in rows) for column in (1, 2, 4)] == [1, 1, 1], rows


@then("the report names the reason for the refusal and the number of lines left out")
def step_check_reasons(context: Any) -> None:
    assert "overloaded (not run)" in context.result.output
    assert "7 lines were left out" in context.result.output


LOAD = {"upstream": "e1", "load": True, "item": "rare"}
UNLOAD = {"upstream": "e1", "load": False, "item": "rare"}
ROOM = {"upstream": "e1", "load": False, "item": "old", "frees_memory_for": "rare"}
TRAILS: dict[str, list[dict[str, Any]]] = {
    "no other line names it": [],
    "plans leave it out": [
        {"event": "items_unplaced", "reason": "eviction costs more", "items": ["rare", "other"]}
    ],
    "the unload before its load is refused": [{"event": "order", "outcome": "CONFLICT", **ROOM}],
    "it is loaded and unloaded": [
        {"event": "order", "outcome": "STARTED", **LOAD},
        {"event": "order_done", "upstream": "e1", "item": "rare"},
        {"event": "order", "outcome": "STARTED", **UNLOAD},
    ],
    "it is loaded": [
        {"event": "order", "outcome": "STARTED", **LOAD},
        {"event": "order_done", "upstream": "e1", "item": "rare"},
    ],
    "an engine held it and was overloaded": [
        {"event": "request_failed", "request": "r3", "item": "rare", "reason": "overloaded"}
    ],
    "an attempt at an engine ends with NOT_RUN": [
        {"event": "attempt", "request": "r1", "item": "rare", "outcome": "NOT_RUN"}
    ],
}


@given("logs in which requests for a model fail and {trail}")
def step_write_trail(context: Any, trail: str) -> None:
    directory = Path(tempfile.mkdtemp())
    failed = {"item": "rare", "reason": "model is not placed", "ran": False}
    lines = [
        {"event": "request_queued", "request": "r1", "item": "rare"},
        {"event": "request_failed", "request": "r1", **failed},
        *TRAILS[trail],
        {"event": "request_failed", "request": "r2", **failed},
        {"event": "request_answered", "request": "r4", "item": "served", "status": 200},
    ]
    (directory / "a.log").write_text(
        "".join(
            format_event(float(number), "a", line.pop("event"), **line)
            for number, line in enumerate(dict(line) for line in lines)
        ),
        encoding="utf-8",
    )
    context.logs = [str(directory / "a.log")]


@when("a report is created")
def step_create_report(context: Any) -> None:
    run(context, "report", *context.logs)


@then('the report lists the model as "{stage}"')
def step_check_stage(context: Any, stage: str) -> None:
    output = context.result.output
    assert "1 of 2 requested models and adapters were never answered" in output, output
    rows = [row for row in output.splitlines() if row.startswith("  rare ")]
    assert len(rows) == 1 and stage in rows[0], output


@when("the log events of its request are printed")
def step_explain_first(context: Any) -> None:
    run(context, "explain", "r1", *context.logs)


@then("the plans that left it out are printed without the other items")
def step_check_unplaced(context: Any) -> None:
    rows = [row for row in context.result.output.splitlines() if "items_unplaced" in row]
    assert len(rows) == 1 and "items=['rare']" in rows[0], context.result.output


@when("a report is created with {given_input}")
def step_report_invalid_input(context: Any, given_input: str) -> None:
    empty = context.directory / "empty.log"
    empty.write_text("nothing\n", encoding="utf-8")
    arguments = {
        "a missing file": [str(context.directory / "missing.log")],
        "an image name .gif": [*context.logs, "--image", "day.gif"],
        "a file without events": [str(empty)],
    }
    run(context, "report", *arguments[given_input])


@given("the log calls in the source")
def step_find_log_calls(context: Any) -> None:
    context.events = generate_events.read_events()
    context.calls = []
    for path in SOURCE.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(node, ast.Call) and getattr(node.func, "id", "") == "log_event":
                kinds = [n.value for n in ast.walk(node.args[0]) if isinstance(n, ast.Constant)]
                fields = [keyword.arg for keyword in node.keywords]
                context.calls += [(path.name, kind, fields) for kind in kinds]


@then("each call names an event of the schema and only fields of that event")
def step_check_kinds(context: Any) -> None:
    for name, kind, fields in context.calls:
        assert kind in context.events, (name, kind)
        assert set(fields) <= set(context.events[kind]["fields"]), (name, kind, fields)


@then("every event of the schema is logged by some call")
def step_check_all_logged(context: Any) -> None:
    assert {kind for _, kind, _ in context.calls} == set(context.events)


@then("the generated module and page match the schema")
def step_check_generated(context: Any) -> None:
    module = generate_events.MODULE_PATH.read_text(encoding="utf-8")
    page = generate_events.PAGE_PATH.read_text(encoding="utf-8")
    for name, event in context.events.items():
        assert f'"{name}": "{event["level"]}"' in module
    assert generate_events.render_page(page, context.events) == page
