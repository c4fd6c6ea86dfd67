"""``cactusshunt explain``: what the logs of several VMs say about one request."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from cactusshunt.console.log_lines import describe_line
from cactusshunt.console.log_lines import read_log_lines
from cactusshunt.console.request_story import tell_story

NOT_FOUND_STATUS = 1


def explain_request(
    request_id: Annotated[str, typer.Argument(help="Identity of the request (X-Request-Id).")],
    logs: Annotated[
        list[Path] | None, typer.Argument(help="Log files; standard input if there are none.")
    ] = None,
) -> None:
    """Print the story of one request in order of time, with what its VM believed before it."""
    try:
        lines = read_log_lines(logs or [])
    except OSError as error:
        typer.echo(f"{error.filename}: {error.strerror}; name files that can be read", err=True)
        raise typer.Exit(2) from error
    story = tell_story(lines, request_id)
    if not story.lines:
        typer.echo(f"no line about request {request_id}", err=True)
        raise typer.Exit(NOT_FOUND_STATUS)
    typer.echo("before the request, its VM believed:")
    for line in story.beliefs:
        typer.echo(describe_line(line))
    typer.echo("the request, its model and its upstreams:")
    for line in story.lines:
        typer.echo(describe_line(line))
