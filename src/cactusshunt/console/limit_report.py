"""Summarizes request limits of upstreams over time, from the logs of several VMs."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cactusshunt.console.log_lines import LogLine

MAX_ROWS = 60


@dataclass(kw_only=True)
class LimitInterval:
    """One upstream in one interval: the last limit named, and the requests of all VMs."""

    per_s: float | None = None
    sent: int = 0
    held_back: int = 0
    refused: int = 0


def summarize_limits(
    lines: Sequence[LogLine], interval_s: float
) -> dict[tuple[str, int], LimitInterval]:
    """Return, by upstream and number of the interval, what the logs say of its limit."""
    start = min((line["at"] for line in lines), default=0.0)
    intervals: defaultdict[tuple[str, int], LimitInterval] = defaultdict(LimitInterval)
    for line in lines:
        if line["event"] not in ("limit_named", "limit_usage"):
            continue
        found = intervals[(str(line.get("upstream")), int((line["at"] - start) / interval_s))]
        found.per_s = line.get("per_s")
        found.sent += int(line.get("sent", 0))
        found.held_back += int(line.get("held_back", 0))
        found.refused += int(line.get("refused", 0))
    return dict(intervals)


def format_limits(intervals: dict[tuple[str, int], LimitInterval], interval_s: float) -> list[str]:
    """Return rows of text, none if no limit was named."""
    if not intervals:
        return []
    rows = [
        "request limits (counts are those of the seconds before):",
        f"{'from s':>8} {'limit/s':>8} {'sent':>6} {'held back':>9} {'refused':>7}  upstream",
    ]
    for (upstream, number), found in sorted(intervals.items())[:MAX_ROWS]:
        limit = "lifted" if found.per_s is None else f"{found.per_s:g}"
        rows.append(
            f"{number * interval_s:>8.1f} {limit:>8} {found.sent:>6} {found.held_back:>9} "
            f"{found.refused:>7}  {upstream}"
        )
    if len(intervals) > MAX_ROWS:
        rows.append(f"{len(intervals) - MAX_ROWS} more rows were left out")
    return rows
