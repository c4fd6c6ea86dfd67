"""What failed scenarios leave behind: the errors of their steps and the logs of their processes."""

from __future__ import annotations

import re
import shutil

from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from behave.model import Scenario

    from local.deployment import Deployment
    from local.platform_deployment import PlatformDeployment

FOLDER = Path(__file__).resolve().parent.parent / ".failed-tests"
REPORT_FILE = FOLDER / "report.txt"
MAX_ERROR_LINES = 12  # the last ones, which name the error
MAX_LOG_LINES = 12  # a request of several attempts has about as many
_REQUEST_ID = re.compile(r"\b[0-9a-f]{32}\b")


def clear_reports() -> None:
    """Remove what an earlier run has left, and begin a report."""
    shutil.rmtree(FOLDER, ignore_errors=True)
    FOLDER.mkdir(exist_ok=True)
    REPORT_FILE.touch()


def report_failure(scenario: Scenario, deployment: PlatformDeployment | Deployment | None) -> None:
    """Add a failed scenario to the report, and copy the logs of its deployment."""
    logs = FOLDER / f"{Path(scenario.filename).stem}-{scenario.line}"
    if deployment is not None:
        deployment.copy_logs(logs)
    error = "\n".join(step.error_message for step in scenario.steps if step.error_message)
    lines = [
        f"FAILED {scenario.filename}:{scenario.line} {scenario.name}",
        *error.splitlines()[-MAX_ERROR_LINES:],
        *find_request_lines(logs, error),
    ]
    with REPORT_FILE.open("a", encoding="utf-8") as report:
        report.write("\n".join(lines) + "\n")


def find_request_lines(logs: Path, error: str) -> list[str]:
    """Return the first log lines on a request that an error names."""
    request_ids = _REQUEST_ID.findall(error)
    return [
        f"{path.name}: {line}"
        for path in sorted(logs.glob("*.log"))
        for line in path.read_text(encoding="utf-8", errors="replace").splitlines()
        if any(request_id in line for request_id in request_ids)
    ][:MAX_LOG_LINES]
