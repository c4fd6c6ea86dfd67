"""``cactusshunt where``: explains where a request would go now, asked of a running VM."""

from __future__ import annotations

import enum
import json

from pathlib import Path
from typing import Annotated
from typing import Any

import typer

from cactusshunt.console.http_call import call_api

INVALID_EXIT_STATUS = 2


class OutputFormat(enum.StrEnum):
    """Format of the output."""

    TEXT = "text"
    JSON = "json"


def explain_where(
    url: Annotated[
        str, typer.Argument(help="Ready address of a VM, such as http://127.0.0.1:8081.")
    ],
    path: Annotated[str, typer.Argument(help="Path of the request, such as /v1/items?id=1.")],
    method: Annotated[str, typer.Option(help="Method of the request.")] = "GET",
    header: Annotated[
        list[str] | None, typer.Option("--header", "-H", help="'Name: value'; may be repeated.")
    ] = None,
    headers_file: Annotated[
        Path | None, typer.Option(help="File with one 'Name: value' a line.")
    ] = None,
    output: Annotated[OutputFormat, typer.Option(help="Format of the output.")] = OutputFormat.TEXT,
) -> None:
    """Explain where a request would go now, and why, without sending it."""
    lines = [*_read_lines(headers_file), *(header or [])]
    question = {"method": method, "path": path, "headers": [_split(line) for line in lines]}
    answer = call_api("POST", f"{url.rstrip('/')}/v1/where", body=question)
    if answer.status == 404:
        _fail(f"{url} does not explain requests: the VM has an earlier version, or it is no VM.")
    if answer.status != 200:
        detail = answer.body.get("error") if isinstance(answer.body, dict) else None
        _fail(detail or f"{url} answered with status {answer.status}.")
    if output is OutputFormat.JSON:
        typer.echo(json.dumps(answer.body, indent=2))
        return
    for line in render(answer.body):
        typer.echo(line)


def render(found: dict[str, Any]) -> list[str]:
    """Return an explanation as lines of text."""
    goal = f" to {found['upstream']}" if "upstream" in found else ""
    retry = f", Retry-After {found['retry_after_s']} s" if "retry_after_s" in found else ""
    expected = f", expected in {found['expected_ms']} ms" if "expected_ms" in found else ""
    reason = f": {found['reason']}" if found.get("reason") else ""
    lines = [
        f"{found['outcome']}{goal}{reason}{expected}{retry}",
        f"  at {found['vm']}, configuration {found['configuration_version']}",
    ]
    if "route" in found:
        route = found["route"]
        services = " ".join(f"{name} ({weight:g})" for name, weight in route["services"].items())
        lines += [
            f"  route {route['name']}, {route['kind']}, priority {route['priority']}, attempts"
            f" {route['attempts']}, objective {route['target_latency_ms']:g} ms, time left"
            f" {route['left_ms']} ms",
            f"  service {found['service']}, of {services}",
        ]
    for key in ("item", "customer", "quota", "retries_left"):
        if key in found:
            lines.append(f"  {key.replace('_', ' ')} {_render_value(found[key])}")
    lines += [_render_candidate(candidate) for candidate in found.get("candidates", [])]
    return lines


def _render_value(value: Any) -> str:
    if isinstance(value, dict):
        return ", ".join(f"{name} {part}" for name, part in value.items())
    return str(value)


def _render_candidate(found: dict[str, Any]) -> str:
    expected = "" if found["expected_ms"] is None else f", expected {found['expected_ms']} ms"
    permit = f", permit in {found['permit_wait_ms']} ms" if found["permit_wait_ms"] else ""
    passed = f", passed over: {found['passed_over']}" if found["passed_over"] else ""
    return (
        f"    {found['upstream']} in {found['availability_zone']}: running {found['running']:g} of"
        f" {found['slots']}, queued {found['pending_tokens']} + {found['uncached_tokens']} tokens"
        f" at {found['tokens_per_ms']:g} a ms{expected}{permit}, failures"
        f" {found['failure_share']:g}{passed}"
    )


def _read_lines(path: Path | None) -> list[str]:
    if path is None:
        return []
    try:
        text = path.read_text(encoding="latin-1")
    except OSError as error:
        _fail(f"{path}: {error.strerror}. Check the path and its permissions.")
    return [line for line in text.splitlines() if line.strip()]


def _split(line: str) -> tuple[str, str]:
    name, colon, value = line.partition(":")
    if not colon or not name.strip():
        # The line itself may be a key, so that it is not repeated.
        _fail("A header has no name or no colon. Write headers as 'Name: value'.")
    return name.strip(), value.strip()


def _fail(message: str) -> Any:
    typer.echo(message, err=True)
    raise typer.Exit(INVALID_EXIT_STATUS)
