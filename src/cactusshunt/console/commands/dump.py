"""``cactusshunt dump``: prints the state of a running process."""

from __future__ import annotations

import json

from typing import Annotated

import typer

from cactusshunt.console.http_call import call_api


def print_dump(
    url: Annotated[
        str, typer.Argument(help="Dump address of a process, such as http://127.0.0.1:8081.")
    ],
) -> None:
    """Print the state of a process as JSON."""
    answer = call_api("GET", f"{url.rstrip('/')}/dump")
    typer.echo(json.dumps(answer.body, indent=2))
