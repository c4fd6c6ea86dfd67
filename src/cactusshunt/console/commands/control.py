"""``cactusshunt control``: configuration, membership and placement of one VM."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from cactusshunt.console.long_running import run_process


def run_control(
    settings: Annotated[Path, typer.Argument(help="Settings file, JSON with comments.")],
) -> None:
    """Follow settings and upstreams, place models, and serve the administration API."""
    from cactusshunt.tasks.control_process import ControlProcess

    run_process(
        settings,
        "control",
        lambda reactor, found: ControlProcess(reactor=reactor, settings=found),
    )
