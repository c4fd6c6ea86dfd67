"""Behave hooks: skip scenarios in KNOWN-RED.txt, count and report results, stop deployments."""

from __future__ import annotations

import os

from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from hypothesis import HealthCheck
from hypothesis import settings

from tests.failure_reports import clear_reports
from tests.failure_reports import report_failure

if TYPE_CHECKING:
    from behave.model import Scenario
    from behave.runner import Context

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"
COUNTS_FILE = ROOT / ".test-counts"

settings.register_profile(
    "derandomized",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile("derandomized")


def read_known_red() -> set[str]:
    """Return the names of the scenarios that KNOWN-RED.txt lists as failing."""
    prefix = "scenario: "
    lines = KNOWN_RED_FILE.read_text(encoding="utf-8").splitlines()
    return {line.removeprefix(prefix).strip() for line in lines if line.startswith(prefix)}


def before_all(context: Context) -> None:
    """Initialize the counts and the list of known failures."""
    clear_reports()
    context.known_red = read_known_red()
    context.counts = {"passed": 0, "failed": 0, "skipped": 0}
    context.shared_deployment = None


def before_scenario(context: Context, scenario: Scenario) -> None:
    """Skip a scenario that is known to fail, unless RUN_KNOWN_RED is set, and print its name."""
    name = scenario.name.strip()  # those of outlines end with a space
    if name in context.known_red and not os.environ.get("RUN_KNOWN_RED"):
        print(f"KNOWN RED, passed over: {name}")
        scenario.skip("known red")


def after_scenario(context: Context, scenario: Scenario) -> None:
    """Count the scenario's result, report a failure, and run the cleanups in reverse order."""
    status = scenario.status.name
    key = status if status in context.counts else "failed"
    context.counts[key] += 1
    if key == "failed":
        deployment = getattr(context, "deployment", None)
        report_failure(scenario, deployment if hasattr(deployment, "copy_logs") else None)
    for cleanup in reversed(getattr(context, "cleanups", [])):
        cleanup()
    context.cleanups = []


def after_all(context: Context) -> None:
    """Stop the shared deployment and write the counts that ``make test`` prints last."""
    shared = getattr(context, "shared_deployment", None)
    if shared is not None:
        shared.stop()
    counts: dict[str, Any] = context.counts
    line = f"{counts['passed']} passed, {counts['failed']} failed"
    if counts["skipped"]:
        line += f", {counts['skipped']} skipped"
    COUNTS_FILE.write_text(line + "\n", encoding="utf-8")
