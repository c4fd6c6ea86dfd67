"""``cactusshunt report``: what a day looked like, from the logs of its VMs."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from cactusshunt.console.day_chart import draw_chart
from cactusshunt.console.day_report import draw_text
from cactusshunt.console.day_report import summarize_day
from cactusshunt.console.log_lines import read_log_lines
from cactusshunt.exceptions import ChartLibraryMissingError

IMAGES = (".svg", ".png")


def report_day(
    logs: Annotated[
        list[Path] | None, typer.Argument(help="Log files; standard input if there are none.")
    ] = None,
    interval: Annotated[float, typer.Option(help="Seconds a row.", min=0.1)] = 2.0,
    image: Annotated[Path | None, typer.Option(help="SVG or PNG file to write.")] = None,
) -> None:
    """Print requests, loads and changes of belief by intervals, and why requests failed."""
    if image is not None and image.suffix not in IMAGES:
        typer.echo(f"{image}: use a name that ends with .svg or .png", err=True)
        raise typer.Exit(2)
    try:
        lines = read_log_lines(logs or [])
    except OSError as error:
        typer.echo(f"{error.filename}: {error.strerror}; name files that can be read", err=True)
        raise typer.Exit(2) from error
    if not lines:
        typer.echo("no events in the logs; give the standard output of cactusshunt node", err=True)
        raise typer.Exit(1)
    report = summarize_day(lines, interval)
    for row in draw_text(report):
        typer.echo(row)
    if image is None:
        return
    try:
        draw_chart(report, image)
    except ChartLibraryMissingError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(2) from error
