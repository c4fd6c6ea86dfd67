"""``cactusshunt node``: the single process of a VM, with the users' platform."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer


def run_node(
    settings: Annotated[
        Path | None,
        typer.Argument(help="Settings file (TOML); by default the path that the platform sets."),
    ] = None,
    metrics_port: Annotated[
        int,
        typer.Option(help="Port on which metrics are served; 0 turns them off.", min=0, max=65535),
    ] = 0,
) -> None:
    """Forward callers' requests and place models in one process."""
    from cactusshunt.node import run_node as run
    from cactusshunt.platform.boot import find_settings_file

    raise typer.Exit(run(settings or find_settings_file(), metrics_port))
