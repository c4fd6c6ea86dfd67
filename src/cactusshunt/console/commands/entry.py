"""``cactusshunt entry``: the entry process of one VM, which forwards requests."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from cactusshunt.console.process_runner import run_process


def run_entry(
    settings: Annotated[Path, typer.Argument(help="Settings file, JSON with comments.")],
) -> None:
    """Accept callers' requests and forward them to upstreams."""
    from cactusshunt.tasks.entry.entry_process import EntryProcess

    run_process(
        settings,
        "entry",
        lambda reactor, loaded_settings: EntryProcess(reactor=reactor, settings=loaded_settings),
    )
