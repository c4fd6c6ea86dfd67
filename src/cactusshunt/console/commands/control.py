"""``cactusshunt control``: the control process of one VM (configuration, membership, placement)."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from cactusshunt.console.process_runner import run_process


def run_control(
    settings: Annotated[Path, typer.Argument(help="Settings file, JSON with comments.")],
) -> None:
    """Follow settings and upstreams, place models, and serve the administration API."""
    from cactusshunt.tasks.control_process import ControlProcess

    run_process(
        settings,
        "control",
        lambda reactor, loaded_settings: ControlProcess(reactor=reactor, settings=loaded_settings),
    )
