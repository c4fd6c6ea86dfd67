"""Draws a log report as an image."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusshunt.exceptions import ChartLibraryMissingError

if TYPE_CHECKING:
    from pathlib import Path

    from cactusshunt.console.log_report import LogReport

SIZE_INCHES = (11.0, 7.0)  # fits a landscape page


def draw_chart(report: LogReport, path: Path) -> None:
    """Write an SVG or PNG file by its suffix; raises ``ChartLibraryMissingError``."""
    try:
        from matplotlib.figure import Figure
    except ImportError as error:
        raise ChartLibraryMissingError(
            reason="matplotlib is not installed.",
            remedy="Install cactusshunt[development], or omit --image.",
        ) from error
    figure = Figure(figsize=SIZE_INCHES, layout="constrained")
    requests, loads, times = figure.subplots(3, 1, sharex=True)
    starts = [interval.start_s for interval in report.intervals]
    requests.stackplot(
        starts,
        [interval.answered for interval in report.intervals],
        [interval.refused for interval in report.intervals],
        [interval.failed for interval in report.intervals],
        labels=["answered", "refused, not run", "failed, may have run"],
        colors=["tab:green", "tab:orange", "tab:red"],
    )
    requests.set_ylabel("requests")
    requests.legend(loc="upper right")
    loads.step(
        starts, [interval.loads for interval in report.intervals], where="post", label="loads"
    )
    state_changes = [sum(interval.state_changes.values()) for interval in report.intervals]
    loads.step(starts, state_changes, where="post", label="state changes")
    loads.set_ylabel("count")
    loads.legend(loc="upper right")
    times.plot(starts, [interval.median_first_byte_ms or 0 for interval in report.intervals])
    times.set_ylabel("median time to first byte (ms)")
    times.set_xlabel("seconds since the first log line")
    figure.savefig(path)
