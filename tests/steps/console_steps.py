"""Steps on the command line."""

from __future__ import annotations

import json
import tempfile

from pathlib import Path
from typing import Any

from behave import given
from behave import then
from behave import when
from typer.testing import CliRunner

from cactusshunt.console.application import application
from local.deployment import ADMINISTRATOR_TOKEN


def write_file(context: Any, text: str) -> None:
    """Write the scenario's file."""
    context.file = Path(tempfile.mkdtemp()) / "settings.json"
    context.file.write_text(text, encoding="utf-8")


def run(*arguments: str) -> Any:
    """Run the command line in this process."""
    return CliRunner().invoke(application, list(arguments))


@given("a settings file with an unknown key, a missing key and a port out of range")
def step_mistakes(context: Any) -> None:
    write_file(
        context,
        '{\n  "vm": "a", "availability_zone": "z", "address": "10.0.0.1", // ours\n'
        '  "caler_port": 1,\n  "peer_port": 70000,\n  "store_urls": ["http://s"]\n}\n',
    )


@given("a settings file whose fourth line lacks a comma")
def step_syntax(context: Any) -> None:
    write_file(context, '{\n  // names\n  "vm": "a",\n  "address": "b"\n  "peer_port": 1\n}\n')


@when("it is checked")
def step_check(context: Any) -> None:
    context.result = run("check", str(context.file))


@then("the command ends with status {status:d}")
def step_status(context: Any, status: int) -> None:
    assert context.result.exit_code == status, context.result.output


@then('it names line {line:d} and asks "{text}"')
@then('it names line {line:d} and says "{text}"')
def step_line(context: Any, line: int, text: str) -> None:
    lines = context.result.output.splitlines()
    assert any(f"line {line}:" in found and text in found for found in lines), lines


@then('it names the missing key "{key}"')
def step_missing(context: Any, key: str) -> None:
    assert f"'{key}' is a required property" in context.result.output, context.result.output


def settings_command(context: Any, *arguments: str) -> Any:
    """Run a settings command against the first administration API."""
    api = f"http://127.0.0.1:{context.deployment.port(0, 1)}"
    return run("settings", *arguments, "--api", api, "--token", ADMINISTRATOR_TOKEN)


@when('an operator puts a new document for team "grid" with the commands')
def step_put(context: Any) -> None:
    write_file(context, '{"version": "v1", "memory_mib": 800, "priority": 4} // calmer\n')
    arguments = ("teams/grid", "models/defects", str(context.file))
    context.difference = settings_command(context, "diff", *arguments)
    context.result = settings_command(context, "put", *arguments)
    assert context.result.exit_code == 0, context.result.output


@then("the history and the state of being in force show the new revision")
def step_history(context: Any) -> None:
    revision = json.loads(context.result.output)["revision"]
    history = json.loads(settings_command(context, "history", "teams/grid").output)
    assert history[-1]["revision"] == revision and history[-1]["author"] == "local", history
    state = json.loads(settings_command(context, "in-force", "teams/grid").output)
    assert state["revision"] == revision and not state["not_resident"], state
    assert '"priority": 4' in context.difference.output, context.difference.output


@then("a put with a mistake is refused with its line")
def step_refused(context: Any) -> None:
    write_file(context, '{"version": "v1",\n "memory_mb": 800}')
    result = settings_command(context, "put", "teams/grid", "models/defects", str(context.file))
    assert result.exit_code == 1, result.output
    assert "line 2" in result.output and "memory_mib" in result.output, result.output
