"""Applies the customers' fair shares to the admission of requests, and records what they use."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusshunt.customers.fair_share import FairShares
from cactusshunt.requests.admission import OVERLOADED
from cactusshunt.requests.admission import REQUEST_LIMIT

if TYPE_CHECKING:
    from cactusshunt.requests.admission import Refusal
    from cactusshunt.requests.job import Job

LATENCY_REASONS = frozenset({OVERLOADED, REQUEST_LIMIT})  # of refusals that show an overload


def _count_tokens(job: Job) -> int:
    """Return the size of a request in tokens, 0 if it does not say."""
    if job.generation is None:
        return 0
    return job.generation.prompt_tokens + job.generation.output_tokens


class FairAdmission:
    """Fair shares at this VM; requests without a customer are neither counted nor limited.

    Only the first attempt of a request counts. Times are reactor time in seconds.
    """

    def __init__(self) -> None:
        self.shares = FairShares()

    def find_fraction(self, job: Job, now: float) -> float:
        """Return the fraction of the usual latency limit up to which a request is admitted."""
        if job.customer is None:
            return 1.0
        share = self.shares.find(job.service, job.route.priority)
        return share.compute_fraction(job.customer, now)

    def record_asked(self, job: Job, now: float) -> None:
        """Record that a request asks for an upstream."""
        if job.customer is not None and not job.outcomes:
            share = self.shares.find(job.service, job.route.priority)
            share.record_asked(job.customer, _count_tokens(job), now)

    def record_decision(self, job: Job, refusal: Refusal | None, now: float) -> None:
        """Record whether a request is sent, or refused and why."""
        if job.customer is None:
            return
        share = self.shares.find(job.service, job.route.priority)
        if refusal is None:
            if not job.outcomes:
                share.record_admitted(job.customer, now)
        elif refusal.reason in LATENCY_REASONS:
            share.record_refused(now)
