"""``cactusshunt report``: summarizes the logs of several VMs."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from cactusshunt.console.item_report import collect_item_histories
from cactusshunt.console.item_report import format_never_answered
from cactusshunt.console.limit_report import format_limits
from cactusshunt.console.limit_report import summarize_limits
from cactusshunt.console.log_chart import draw_chart
from cactusshunt.console.log_lines import read_log_lines
from cactusshunt.console.log_report import format_report
from cactusshunt.console.log_report import summarize_logs
from cactusshunt.console.quota_report import format_quotas
from cactusshunt.console.quota_report import summarize_quotas
from cactusshunt.exceptions import ChartLibraryMissingError

IMAGE_SUFFIXES = (".svg", ".png")


def print_report(
    logs: Annotated[
        list[Path] | None,
        typer.Argument(help="Logs of cactusshunt node; standard input if none is given."),
    ] = None,
    interval: Annotated[float, typer.Option(help="Seconds per row of the report.", min=0.1)] = 2.0,
    image: Annotated[Path | None, typer.Option(help="SVG or PNG file to write.")] = None,
) -> None:
    """Print requests, loads and state changes by interval, and what failed or was never served."""
    if image is not None and image.suffix not in IMAGE_SUFFIXES:
        typer.echo(f"{image}: use a file name that ends with .svg or .png", err=True)
        raise typer.Exit(2)
    try:
        lines = read_log_lines(logs or [])
    except OSError as error:
        typer.echo(
            f"{error.filename}: {error.strerror}. Check the path and its permissions.", err=True
        )
        raise typer.Exit(2) from error
    if not lines:
        typer.echo(
            "no events in the logs; use logs (standard output) of cactusshunt node", err=True
        )
        raise typer.Exit(1)
    report = summarize_logs(lines, interval)
    for row in format_report(report):
        typer.echo(row)
    typer.echo("")
    for row in format_limits(summarize_limits(lines, interval), interval):
        typer.echo(row)
    for row in format_quotas(summarize_quotas(lines, interval), interval):
        typer.echo(row)
    for row in format_never_answered(collect_item_histories(lines)):
        typer.echo(row)
    if image is None:
        return
    try:
        draw_chart(report, image)
    except ChartLibraryMissingError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(2) from error
