"""Summarizes the logs of several VMs: requests, loads and state changes by interval."""

from __future__ import annotations

import math

from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cactusshunt.console.log_lines import LogLine

BAR_WIDTH = 40  # characters; a row with its bar fits a usual terminal
MAX_REASONS = 12
STATE_EVENTS = (
    "configuration",
    "right_won",
    "right_lost",
    "right_rests",
    "right_kept_in_outage",
    "store_lost",
    "store_regained",
    "upstream_suspected",
    "upstream_gone",
    "limit_named",
    "peer_lost",
    "stop",
    "start",
)


@dataclass(kw_only=True)
class Interval:
    """Counts of one interval, which begins ``start_s`` seconds after the first line."""

    start_s: float
    answered: int = 0
    refused: int = 0
    failed: int = 0
    loads: int = 0
    unloads: int = 0
    state_changes: Counter[str] = field(default_factory=Counter)
    first_ms: list[int] = field(default_factory=list)

    @property
    def median_first_byte_ms(self) -> int | None:
        """Return the median time to the first byte in ms, or ``None`` without answered requests."""
        ordered = sorted(self.first_ms)
        return ordered[len(ordered) // 2] if ordered else None


@dataclass(frozen=True, kw_only=True)
class LogReport:
    """Counts by interval and by reason; ``left_out`` is the number of lines missing in the logs."""

    intervals: list[Interval]
    reasons: Counter[str]
    left_out: int


def summarize_logs(lines: Sequence[LogLine], interval_s: float) -> LogReport:
    """Count the events of log lines in intervals of ``interval_s`` seconds."""
    if not lines:
        return LogReport(intervals=[], reasons=Counter(), left_out=0)
    start = min(line["at"] for line in lines)
    end = max(line["at"] for line in lines)
    count = max(1, math.ceil((end - start + 1e-9) / interval_s))
    intervals = [Interval(start_s=index * interval_s) for index in range(count)]
    reasons: Counter[str] = Counter()
    left_out = 0
    for line in lines:
        index = min(count - 1, int((line["at"] - start) / interval_s))
        left_out += int(line.get("left_out_before", 0))
        _count_line(line, intervals[index], reasons)
    return LogReport(intervals=intervals, reasons=reasons, left_out=left_out)


def format_report(report: LogReport) -> list[str]:
    """Return rows of text: one per interval, then the reasons of refusals and failures."""
    max_requests = max(
        (interval.answered + interval.refused + interval.failed for interval in report.intervals),
        default=1,
    )
    rows = [
        f"{'from s':>8} answered refused failed loads first ms  (# answered, - refused, x failed)"
    ]
    for interval in report.intervals:
        scale = BAR_WIDTH / max(1, max_requests)
        bar = "".join(
            symbol * round(amount * scale)
            for symbol, amount in (
                ("#", interval.answered),
                ("-", interval.refused),
                ("x", interval.failed),
            )
        )
        changes = " ".join(
            f"{name}:{amount}" for name, amount in sorted(interval.state_changes.items())
        )
        median_ms = interval.median_first_byte_ms
        rows.append(
            f"{interval.start_s:>8.1f} {interval.answered:>8} {interval.refused:>7} "
            f"{interval.failed:>6} {interval.loads:>5} "
            f"{'' if median_ms is None else median_ms:>8}  {bar:<{BAR_WIDTH}} {changes}"
        )
    rows += ["", "requests refused or failed, by reason:"]
    rows += [f"{amount:>8}  {reason}" for reason, amount in report.reasons.most_common(MAX_REASONS)]
    if report.left_out:
        rows.append(f"{report.left_out} lines were left out of overloaded logs; counts are too low")
    return rows


def _count_line(line: LogLine, interval: Interval, reasons: Counter[str]) -> None:
    event = line["event"]
    if event == "request_answered":
        interval.answered += 1
        if isinstance(line.get("first_after_ms"), int):
            interval.first_ms.append(line["first_after_ms"])
    elif event == "request_failed":
        ran = bool(line.get("ran"))
        interval.failed += ran
        interval.refused += not ran
        reasons[f"{line.get('reason', '')} ({'may have run' if ran else 'not run'})"] += 1
    elif event == "order" and line.get("outcome") == "STARTED" and "/" not in str(line.get("item")):
        interval.loads += bool(line.get("load"))
        interval.unloads += not line.get("load")
    elif event in STATE_EVENTS:
        interval.state_changes[event] += 1
