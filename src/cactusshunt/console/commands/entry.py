"""``cactusshunt entry``: the data path of one VM."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from cactusshunt.console.long_running import run_process


def run_entry(
    settings: Annotated[Path, typer.Argument(help="Settings file, JSON with comments.")],
) -> None:
    """Take callers' requests and pass them to upstreams."""
    from cactusshunt.tasks.entry.entry_process import EntryProcess

    run_process(
        settings, "entry", lambda reactor, found: EntryProcess(reactor=reactor, settings=found)
    )
