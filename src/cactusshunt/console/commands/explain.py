"""``cactusshunt explain``: collects the log events about one request."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from cactusshunt.console.log_lines import describe_line
from cactusshunt.console.log_lines import read_log_lines
from cactusshunt.console.request_timeline import build_timeline

NOT_FOUND_EXIT_STATUS = 1


def explain_request(
    request_id: Annotated[str, typer.Argument(help="ID of the request (X-Request-Id).")],
    logs: Annotated[
        list[Path] | None,
        typer.Argument(help="Logs of cactusshunt node; standard input if none is given."),
    ] = None,
) -> None:
    """Print the events about one request in order of time, after the state before it."""
    try:
        lines = read_log_lines(logs or [])
    except OSError as error:
        typer.echo(
            f"{error.filename}: {error.strerror}. Check the path and its permissions.", err=True
        )
        raise typer.Exit(2) from error
    timeline = build_timeline(lines, request_id)
    if not timeline.lines:
        typer.echo(f"no log line about request {request_id}", err=True)
        raise typer.Exit(NOT_FOUND_EXIT_STATUS)
    typer.echo("state before the request, as last logged:")
    for line in timeline.earlier_events:
        typer.echo(describe_line(line))
    typer.echo("events about the request, its model and its upstreams:")
    for line in timeline.lines:
        typer.echo(describe_line(line))
