"""``cactusshunt check``: validates settings files."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from cactusshunt.decisions.documents import check_document
from cactusshunt.decisions.documents import load_schema

INVALID_FILE_EXIT_STATUS = 2


def check_file(
    file: Annotated[Path, typer.Argument(help="File to check, JSON with comments.")],
    kind: Annotated[
        str,
        typer.Option(help="process, or a settings definition such as ModelSettings."),
    ] = "process",
) -> None:
    """Check a settings file and print every error with its line and remedy."""
    definitions = sorted(load_schema("settings")["$defs"])
    if kind != "process" and kind not in definitions:
        typer.echo(
            f"Unknown kind {kind!r}. Use one of: process, {', '.join(definitions)}.", err=True
        )
        raise typer.Exit(INVALID_FILE_EXIT_STATUS)
    try:
        text = file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as failure:
        typer.echo(f"{file} cannot be read ({type(failure).__name__}). Check the path.", err=True)
        raise typer.Exit(INVALID_FILE_EXIT_STATUS) from None
    errors = (
        check_document(text, "process", None)
        if kind == "process"
        else check_document(text, "settings", kind)
    )
    for error in errors:
        typer.echo(f"{file}: {error}", err=True)
    if errors:
        raise typer.Exit(INVALID_FILE_EXIT_STATUS)
    typer.echo(f"{file} is valid.")
