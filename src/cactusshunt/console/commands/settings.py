"""``cactusshunt settings``: reads and writes settings through the administration API."""

from __future__ import annotations

import difflib
import json
import uuid

from pathlib import Path
from typing import Annotated
from typing import Any

import typer

from cactusshunt.console.http_call import FAILURE_EXIT_STATUS
from cactusshunt.console.http_call import ApiAnswer
from cactusshunt.console.http_call import call_api

application = typer.Typer(help="Read and write settings.", no_args_is_help=True)

ApiOption = Annotated[
    str, typer.Option(envvar="CACTUSSHUNT_API", help="Address of the administration API.")
]
TokenOption = Annotated[
    str, typer.Option(envvar="CACTUSSHUNT_TOKEN", help="Token of an administrator.")
]
SubjectArgument = Annotated[str, typer.Argument(help="teams/<team> or deployment.")]
DEFAULT_API = "http://127.0.0.1:8081"


@application.command(name="get")
def print_settings(
    subject: SubjectArgument, api: ApiOption = DEFAULT_API, token: TokenOption = ""
) -> None:
    """Print the accepted documents of a subject with their revision."""
    _print_json(_read_subtree(subject, api, token))


@application.command(name="history")
def print_history(
    subject: SubjectArgument, api: ApiOption = DEFAULT_API, token: TokenOption = ""
) -> None:
    """Print the stored revisions of a subject."""
    answer = call_api("GET", _url(api, subject, "/history"), headers=_headers(token))
    _print_json(_require_success(answer))


@application.command(name="in-force")
def print_in_force(
    subject: SubjectArgument, api: ApiOption = DEFAULT_API, token: TokenOption = ""
) -> None:
    """Print which VMs apply the accepted revision and which items are not loaded yet."""
    answer = call_api("GET", _url(api, subject, "/in-force"), headers=_headers(token))
    _print_json(_require_success(answer))


@application.command(name="diff")
def print_difference(
    subject: SubjectArgument,
    path: Annotated[str, typer.Argument(help="Path of the document below the subject.")],
    file: Annotated[Path, typer.Argument(help="File with the new text.")],
    api: ApiOption = DEFAULT_API,
    token: TokenOption = "",
) -> None:
    """Print how a file differs from the accepted document, and the effect of writing it."""
    subtree = _read_subtree(subject, api, token)
    new = file.read_text(encoding="utf-8")
    old = subtree["documents"].get(path, "")
    lines = difflib.unified_diff(
        old.splitlines(), new.splitlines(), f"accepted {path}", str(file), lineterm=""
    )
    typer.echo("\n".join(lines))
    answer = call_api(
        "POST",
        _url(api, subject, "/dry-run"),
        body={"documents": {path: new}},
        headers=_headers(token, subtree["revision"]),
    )
    _print_json(_require_success(answer))


@application.command(name="put")
def write_document(
    subject: SubjectArgument,
    path: Annotated[str, typer.Argument(help="Path of the document below the subject.")],
    file: Annotated[Path, typer.Argument(help="File with the new text.")],
    api: ApiOption = DEFAULT_API,
    token: TokenOption = "",
) -> None:
    """Replace one document of the current revision."""
    revision = _read_subtree(subject, api, token)["revision"]
    body = {
        "documents": {path: file.read_text(encoding="utf-8")},
        "write_id": uuid.uuid4().hex,
    }
    answer = call_api("PUT", _url(api, subject, ""), body=body, headers=_headers(token, revision))
    _print_json(_require_success(answer))


@application.command(name="rollback")
def roll_back(
    subject: SubjectArgument,
    revision: Annotated[int, typer.Argument(help="Revision from the history.")],
    api: ApiOption = DEFAULT_API,
    token: TokenOption = "",
) -> None:
    """Write the documents of an earlier revision as a new revision."""
    answer = call_api(
        "POST",
        _url(api, subject, "/rollback"),
        body={"to_revision": revision},
        headers=_headers(token),
    )
    _print_json(_require_success(answer))


def _read_subtree(subject: str, api: str, token: str) -> Any:
    return _require_success(call_api("GET", _url(api, subject, ""), headers=_headers(token)))


def _url(api: str, subject: str, suffix: str) -> str:
    return f"{api.rstrip('/')}/v1/settings/{subject}{suffix}"


def _headers(token: str, revision: int | None = None) -> dict[str, str]:
    headers = {"Authorization": f"Bearer {token}"}
    if revision is not None:
        headers["If-Match"] = f'"{revision}"'
    return headers


def _require_success(answer: ApiAnswer) -> Any:
    if answer.status < 400:
        return answer.body
    typer.echo(f"{answer.body['detail']} {answer.body['remedy']}", err=True)
    for error in answer.body.get("errors", []):
        typer.echo(f"  {error}", err=True)
    raise typer.Exit(FAILURE_EXIT_STATUS)


def _print_json(value: Any) -> None:
    typer.echo(json.dumps(value, indent=2))
