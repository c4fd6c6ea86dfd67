"""Adds up what the VMs of an availability zone reported on their work at one upstream.

Load pattern: a fleet so large that VMs report their work within their zone only, and engines that
several zones use. Without the work of the other zones such an engine looks as if it were idle.
"""

from __future__ import annotations

from collections import Counter
from statistics import median
from typing import TYPE_CHECKING

import msgspec

from cactusshunt.membership.messages import EngineWork
from cactusshunt.routing.queued_work import LARGEST_RATE
from cactusshunt.routing.queued_work import LEAST_RATE

if TYPE_CHECKING:
    from collections.abc import Sequence

LEAST_PER_S, LARGEST_PER_S = int(LEAST_RATE * 1000), int(LARGEST_RATE * 1000)  # tokens
MAX_SUM = 2**32  # far above any queue; a larger sum of absurd reports may not fit into a message


def add_up_work(upstream: str, reports: Sequence[EngineWork]) -> EngineWork | None:
    """Return the reports on an upstream as one, ``None`` if nobody has work there.

    The prefill rate is the median of those that the VMs measured, and how long work takes at the
    upstream's machine is the newest figure.
    """
    if not any(report.running or report.work_percent for report in reports):
        return None
    pending: Counter[int] = Counter()
    for report in reports:
        pending.update(report.pending)
    rates = [report.tokens_per_s for report in reports if report.tokens_per_s]
    figures = [report for report in reports if report.work_percent]
    newest = min(figures, key=lambda report: report.work_percent_age_ms, default=None)
    return EngineWork(
        upstream=upstream,
        running=_limit(sum(report.running for report in reports)),
        pending={priority: _limit(tokens) for priority, tokens in pending.items()},
        tokens_per_s=_limit(int(median(rates))) if rates else 0,
        long_streams=_limit(sum(report.long_streams for report in reports)),
        work_percent=newest.work_percent if newest is not None else 0,
        work_percent_age_ms=newest.work_percent_age_ms if newest is not None else 0,
    )


def limit_report(work: EngineWork) -> EngineWork:
    """Return a report with its figures bounded, so that absurd ones do not cancel other reports."""
    counts = (work.running, work.long_streams, work.work_percent, *work.pending.values())
    rate = work.tokens_per_s and max(LEAST_PER_S, min(work.tokens_per_s, LARGEST_PER_S))
    if min(counts) >= 0 and max(counts) <= MAX_SUM and rate == work.tokens_per_s:
        return work  # nearly always, and reports arrive hundreds of times a second
    return msgspec.structs.replace(
        work,
        running=_limit(work.running),
        pending={priority: _limit(tokens) for priority, tokens in work.pending.items()},
        tokens_per_s=rate,
        long_streams=_limit(work.long_streams),
        work_percent=_limit(work.work_percent),
    )


def _limit(total: int) -> int:
    return max(0, min(total, MAX_SUM))
