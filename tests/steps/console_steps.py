"""Steps for the commands that check, read and write settings."""

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
    """Write the scenario's settings file."""
    context.file = Path(tempfile.mkdtemp()) / "settings.json"
    context.file.write_text(text, encoding="utf-8")


def run(*arguments: str) -> Any:
    """Run the command line in this process."""
    return CliRunner().invoke(application, list(arguments))


@given("a settings file with an unknown key, a missing key and a port out of range")
def step_file_with_errors(context: Any) -> None:
    write_file(
        context,
        '{\n  "vm": "a", "availability_zone": "z", "address": "10.0.0.1", // comment\n'
        '  "caler_port": 1,\n  "peer_port": 70000,\n  "store_urls": ["http://s"]\n}\n',
    )


@given("a settings file whose fourth line lacks a comma")
def step_file_with_syntax_error(context: Any) -> None:
    write_file(context, '{\n  // comment\n  "vm": "a",\n  "address": "b"\n  "peer_port": 1\n}\n')


@when("the file is checked")
def step_check(context: Any) -> None:
    context.result = run("check", str(context.file))


@then("the command ends with status {status:d}")
def step_status(context: Any, status: int) -> None:
    assert context.result.exit_code == status, context.result.output


@then('the output for line {line:d} asks "{text}"')
@then('the output for line {line:d} says "{text}"')
def step_output_line(context: Any, line: int, text: str) -> None:
    lines = context.result.output.splitlines()
    assert any(f"line {line}:" in found and text in found for found in lines), lines


@then('the output names the missing key "{key}"')
def step_missing_key(context: Any, key: str) -> None:
    assert f"'{key}' is a required property" in context.result.output, context.result.output


def run_settings_command(context: Any, *arguments: str) -> Any:
    """Run a settings command against the first administration API."""
    api = f"http://127.0.0.1:{context.deployment.port(0, 1)}"
    return run("settings", *arguments, "--api", api, "--token", ADMINISTRATOR_TOKEN)


@when('an operator puts a new document for team "grid" with the commands')
def step_put(context: Any) -> None:
    write_file(context, '{"version": "v1", "memory_mib": 800, "priority": 4} // comment\n')
    arguments = ("teams/grid", "models/defects", str(context.file))
    context.difference = run_settings_command(context, "diff", *arguments)
    context.result = run_settings_command(context, "put", *arguments)
    assert context.result.exit_code == 0, context.result.output


@then("the history and the in-force state show the new revision")
def step_history(context: Any) -> None:
    revision = json.loads(context.result.output)["revision"]
    history = json.loads(run_settings_command(context, "history", "teams/grid").output)
    assert history[-1]["revision"] == revision and history[-1]["author"] == "local", history
    state = json.loads(run_settings_command(context, "in-force", "teams/grid").output)
    found = (revision, state, [(each["revision"], each["generation"]) for each in history])
    assert state["revision"] == revision and not state["not_resident"], found
    assert '"priority": 4' in context.difference.output, context.difference.output


@then("writing an invalid document is refused with the line of the error")
def step_invalid_put(context: Any) -> None:
    write_file(context, '{"version": "v1",\n "memory_mb": 800}')
    result = run_settings_command(context, "put", "teams/grid", "models/defects", str(context.file))
    assert result.exit_code == 1, result.output
    assert "line 2" in result.output and "memory_mib" in result.output, result.output
