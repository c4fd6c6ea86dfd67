"""Summarizes what customers with quotas used over time, from the logs of several VMs."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cactusshunt.console.log_lines import LogLine

MAX_ROWS = 60


@dataclass(kw_only=True)
class QuotaInterval:
    """One customer in one interval: its rate, and what all VMs admitted and refused."""

    rate_per_s: float = 0.0
    admitted: int = 0
    admitted_amount: float = 0.0
    refused: int = 0
    refused_amount: float = 0.0


def summarize_quotas(
    lines: Sequence[LogLine], interval_s: float
) -> dict[tuple[str, int], QuotaInterval]:
    """Return, by customer and number of the interval, what the logs say of its usage."""
    start = min((line["at"] for line in lines), default=0.0)
    intervals: defaultdict[tuple[str, int], QuotaInterval] = defaultdict(QuotaInterval)
    for line in lines:
        if line["event"] != "quota_usage":
            continue
        found = intervals[(str(line.get("customer")), int((line["at"] - start) / interval_s))]
        found.rate_per_s = float(line.get("rate_per_s", 0.0))
        found.admitted += int(line.get("admitted", 0))
        found.admitted_amount += float(line.get("admitted_amount", 0.0))
        found.refused += int(line.get("refused", 0))
        found.refused_amount += float(line.get("refused_amount", 0.0))
    return dict(intervals)


def format_quotas(intervals: dict[tuple[str, int], QuotaInterval], interval_s: float) -> list[str]:
    """Return rows of text, none if no customer has a quota."""
    if not intervals:
        return []
    rows = [
        "quotas (counts are those of the seconds before):",
        f"{'from s':>8} {'rate/s':>8} {'admitted':>8} {'amount':>9} {'refused':>7} {'amount':>9}"
        "  customer",
    ]
    for (customer, number), found in sorted(intervals.items())[:MAX_ROWS]:
        rows.append(
            f"{number * interval_s:>8.1f} {found.rate_per_s:>8g} {found.admitted:>8} "
            f"{found.admitted_amount:>9.0f} {found.refused:>7} {found.refused_amount:>9.0f}"
            f"  {customer}"
        )
    if len(intervals) > MAX_ROWS:
        rows.append(f"{len(intervals) - MAX_ROWS} more rows were left out")
    return rows
