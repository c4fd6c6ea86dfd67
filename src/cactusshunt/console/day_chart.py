"""Draws a day's report as an image."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusshunt.exceptions import ChartLibraryMissingError

if TYPE_CHECKING:
    from pathlib import Path

    from cactusshunt.console.day_report import DayReport

SIZE_INCHES = (11.0, 7.0)  # fits a landscape page


def draw_chart(report: DayReport, path: Path) -> None:
    """Write an SVG or PNG, by the file's suffix; raises ``ChartLibraryMissingError``."""
    try:
        from matplotlib.figure import Figure
    except ImportError as error:
        raise ChartLibraryMissingError(
            reason="matplotlib is not installed.",
            remedy="Install cactusshunt[development], or leave --image out.",
        ) from error
    figure = Figure(figsize=SIZE_INCHES, layout="constrained")
    requests, loads, times = figure.subplots(3, 1, sharex=True)
    starts = [found.begins_s for found in report.intervals]
    requests.stackplot(
        starts,
        [found.answered for found in report.intervals],
        [found.refused for found in report.intervals],
        [found.failed for found in report.intervals],
        labels=["answered", "refused, not run", "failed, may have run"],
        colors=["tab:green", "tab:orange", "tab:red"],
    )
    requests.set_ylabel("requests")
    requests.legend(loc="upper right")
    loads.step(starts, [found.loads for found in report.intervals], where="post", label="loads")
    beliefs = [sum(found.beliefs.values()) for found in report.intervals]
    loads.step(starts, beliefs, where="post", label="changes of belief")
    loads.set_ylabel("count")
    loads.legend(loc="upper right")
    times.plot(starts, [found.median_first_ms or 0 for found in report.intervals])
    times.set_ylabel("first byte, median ms")
    times.set_xlabel("seconds from the first line")
    figure.savefig(path)
