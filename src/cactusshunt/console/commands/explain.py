"""``cactusshunt explain``: what the logs of several VMs say about one request."""

from __future__ import annotations

import sys

from pathlib import Path
from typing import Annotated
from typing import Any

import msgspec
import typer

NOT_FOUND_STATUS = 1


def explain_request(
    request_id: Annotated[str, typer.Argument(help="Identity of the request (X-Request-Id).")],
    logs: Annotated[
        list[Path] | None, typer.Argument(help="Log files; standard input if there are none.")
    ] = None,
) -> None:
    """Print every line about one request, and what became of its model around it."""
    lines = read_events(logs or [])
    own = [line for line in lines if line.get("request") == request_id]
    if not own:
        typer.echo(f"no line about request {request_id}", err=True)
        raise typer.Exit(NOT_FOUND_STATUS)
    model = next((str(line["item"]).partition("/")[0] for line in own if line.get("item")), "")
    for line in lines:
        about_model = model and line.get("event") == "order" and model in str(line)
        if line in own or about_model:
            typer.echo(describe_line(line))


def read_events(paths: list[Path]) -> list[dict[str, Any]]:
    """Return the JSON lines of files or standard input; text before the first brace is dropped."""
    texts = [path.read_text(encoding="utf-8", errors="replace") for path in paths]
    lines: list[dict[str, Any]] = []
    for text in texts or [sys.stdin.read()]:
        for row in text.splitlines():
            start = row.find("{")
            if start < 0:
                continue
            try:
                found = msgspec.json.decode(row[start:].encode())
            except msgspec.DecodeError:
                continue
            if isinstance(found, dict) and "event" in found:
                lines.append(found)
    return lines


def describe_line(line: dict[str, Any]) -> str:
    """Return one event as a line for people."""
    rest = {key: value for key, value in line.items() if key not in ("at", "vm", "event")}
    words = " ".join(f"{key}={value}" for key, value in rest.items())
    return f"{line.get('at', 0):>12} {line.get('vm', ''):<20} {line['event']:<18} {words}"
