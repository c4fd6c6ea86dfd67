"""``cactusshunt node``: the one process of a VM on the users' platform."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer


def run_node(
    settings: Annotated[
        Path | None,
        typer.Argument(help="Settings file (TOML); by default the one that the platform names."),
    ] = None,
    metrics_port: Annotated[
        int, typer.Option(help="Port of the metrics address; 0 for none.", min=0, max=65535)
    ] = 0,
) -> None:
    """Take callers' requests and place models, as one process."""
    from cactusshunt.node import run_node as run
    from cactusshunt.platform.boot import find_settings_file

    raise typer.Exit(run(settings or find_settings_file(), metrics_port))
