"""Blocking HTTP calls for commands that run once and exit."""

from __future__ import annotations

import http.client
import json

from dataclasses import dataclass
from typing import Any
from urllib.parse import urlsplit

import typer

CALL_TIMEOUT_S = 10.0
FAILURE_EXIT_STATUS = 1


@dataclass(frozen=True, kw_only=True)
class ApiAnswer:
    """Status and decoded JSON body of an answer."""

    status: int
    body: Any


def call_api(
    method: str, url: str, *, body: Any = None, headers: dict[str, str] | None = None
) -> ApiAnswer:
    """Return the answer; exits with an error message if there is none or it is not JSON."""
    parts = urlsplit(url)
    connection = http.client.HTTPConnection(parts.netloc, timeout=CALL_TIMEOUT_S)
    data = json.dumps(body).encode() if body is not None else None
    try:
        connection.request(method, parts.path or "/", body=data, headers=headers or {})
        answer = connection.getresponse()
        content = answer.read()
    except (OSError, http.client.HTTPException) as error:
        typer.echo(f"{url} did not answer ({type(error).__name__}). Check the address.", err=True)
        raise typer.Exit(FAILURE_EXIT_STATUS) from None
    finally:
        connection.close()
    try:
        return ApiAnswer(status=answer.status, body=json.loads(content))
    except ValueError:
        typer.echo(f"{url} did not answer with JSON. Check the address.", err=True)
        raise typer.Exit(FAILURE_EXIT_STATUS) from None
