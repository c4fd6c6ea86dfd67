"""What a day looked like, from the logs of its VMs."""

from __future__ import annotations

import math

from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cactusshunt.console.log_lines import LogLine

BAR_WIDTH = 40  # characters, so that a row fits a usual terminal
MOST_REASONS = 12
BELIEFS = (
    "configuration",
    "right_won",
    "right_lost",
    "right_rests",
    "right_kept_in_outage",
    "store_lost",
    "store_regained",
    "upstream_suspected",
    "upstream_gone",
    "peer_lost",
    "stop",
    "start",
)


@dataclass(kw_only=True)
class Interval:
    """Counts of one interval, which begins ``begins_s`` after the first line."""

    begins_s: float
    answered: int = 0
    refused: int = 0
    failed: int = 0
    loads: int = 0
    unloads: int = 0
    beliefs: Counter[str] = field(default_factory=Counter)
    first_ms: list[int] = field(default_factory=list)

    @property
    def median_first_ms(self) -> int | None:
        """Return the middle time to the first byte, in ms."""
        ordered = sorted(self.first_ms)
        return ordered[len(ordered) // 2] if ordered else None


@dataclass(frozen=True, kw_only=True)
class DayReport:
    """Counts by interval and by reason; ``left_out`` counts lines that the logs left out."""

    intervals: list[Interval]
    reasons: Counter[str]
    left_out: int


def summarize_day(lines: Sequence[LogLine], interval_s: float) -> DayReport:
    """Count what the lines tell, by intervals of this many seconds."""
    if not lines:
        return DayReport(intervals=[], reasons=Counter(), left_out=0)
    start = min(line["at"] for line in lines)
    end = max(line["at"] for line in lines)
    count = max(1, math.ceil((end - start + 1e-9) / interval_s))
    intervals = [Interval(begins_s=number * interval_s) for number in range(count)]
    reasons: Counter[str] = Counter()
    left_out = 0
    for line in lines:
        number = min(count - 1, int((line["at"] - start) / interval_s))
        left_out += int(line.get("left_out_before", 0))
        _count_line(line, intervals[number], reasons)
    return DayReport(intervals=intervals, reasons=reasons, left_out=left_out)


def draw_text(report: DayReport) -> list[str]:
    """Return the report as rows of text: one an interval, then the reasons."""
    most = max(
        (found.answered + found.refused + found.failed for found in report.intervals), default=1
    )
    rows = [
        f"{'from s':>8} answered refused failed loads first ms  (# answered, - refused, x failed)"
    ]
    for found in report.intervals:
        scale = BAR_WIDTH / max(1, most)
        bar = "".join(
            sign * round(amount * scale)
            for sign, amount in (("#", found.answered), ("-", found.refused), ("x", found.failed))
        )
        beliefs = " ".join(f"{name}:{amount}" for name, amount in sorted(found.beliefs.items()))
        first = found.median_first_ms
        rows.append(
            f"{found.begins_s:>8.1f} {found.answered:>8} {found.refused:>7} {found.failed:>6} "
            f"{found.loads:>5} {'' if first is None else first:>8}  {bar:<{BAR_WIDTH}} {beliefs}"
        )
    rows += ["", "final answers of the system's own, by reason:"]
    rows += [
        f"{amount:>8}  {reason}" for reason, amount in report.reasons.most_common(MOST_REASONS)
    ]
    if report.left_out:
        rows.append(f"{report.left_out} lines were left out of the logs under load; counts are low")
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
    elif event in BELIEFS:
        interval.beliefs[event] += 1
