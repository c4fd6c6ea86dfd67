"""Log lines about one request: its attempts, and its answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusshunt.node_log import log_event
from cactusshunt.requests.outcome import was_sent

if TYPE_CHECKING:
    from cactusshunt.requests.job import Job
    from cactusshunt.requests.outcome import Outcome
    from cactusshunt.requests.pick_result import PickResult
    from cactusshunt.routing.upstream import Upstream

MAX_NAMED_UPSTREAMS = 4  # in one line


def count_sends(job: Job) -> int:
    """Return how many attempts reached an upstream."""
    return sum(1 for outcome in job.outcomes if was_sent(outcome))


def log_attempt(
    job: Job,
    upstream: Upstream,
    outcome: Outcome,
    picked: PickResult,
    sent_at: float,
    now: float,
    *,
    born: int,
    notice: str | None,
) -> None:
    """Log one attempt: the latency that the choice expected, and the outcome.

    ``expected_ms`` is 0 for a service without models. ``pending`` are the tokens queued before the
    request, ``own`` its uncached tokens, ``rate`` is in tokens per ms. ``waited_ms`` is the time
    from the request's arrival to this send, including earlier attempts. ``born`` is the start
    of the upstream as its entry gave it at the send, ``notice`` what that start had said before.
    """
    log_event(
        "attempt",
        request=job.request_id.decode("latin-1"),
        route=job.route.name,
        kind=job.kind,
        customer=job.customer_name,
        send=1 + count_sends(job),
        resumed=job.resumed,
        upstream=upstream.name,
        availability_zone=upstream.entry.zone,
        item=job.item,
        outcome=outcome.name,
        status=job.sink.status,
        expected_ms=int(picked.expected_ms),
        took_ms=_ms_since(sent_at, now),
        first_ms=_ms_since(sent_at, job.attempt_first_byte_at or None),
        pending=int(picked.work.pending_tokens) if picked.work else None,
        own=int(picked.uncached_tokens),
        rate=round(upstream.rate, 1),
        work_percent=round(100.0 * picked.work.slowdown) if picked.work else None,
        priority=job.route.priority,
        waited_ms=_ms_since(job.request.arrived_at, sent_at),
        notice=notice,
        born=born,
    )
    log_limits(job, upstream.name, picked)


def log_limits(job: Job, upstream: str, picked: PickResult) -> None:
    """Log how request limits affected a choice, if they did; a refusal has no upstream."""
    if picked.permit is not None or picked.without_permit:
        log_event(
            "attempt_limited",
            request=job.request_id.decode("latin-1"),
            upstream=upstream,
            permit=picked.permit is not None,
            permit_waited_ms=picked.permit_waited_ms,
            without_permit=list(picked.without_permit[:MAX_NAMED_UPSTREAMS]),
        )


def log_answer(job: Job, now: float) -> None:
    """Log that an upstream's complete answer is forwarded.

    Times are from the request's arrival: ``queued_ms`` to the latest send, ``first_after_ms`` to
    the first byte of any attempt, ``after_ms`` to the end.
    """
    arrived = job.request.arrived_at
    log_event(
        "request_answered",
        request=job.request_id.decode("latin-1"),
        route=job.route.name,
        kind=job.kind,
        customer=job.customer_name,
        item=job.item,
        status=job.sink.status,
        sends=count_sends(job),
        first_after_ms=_ms_since(arrived, job.first_byte_at),
        queued_ms=_ms_since(arrived, job.last_sent_at),
        longest_gap_ms=int(job.sink.longest_gap_s * 1000) if job.route.streams else None,
        after_ms=_ms_since(arrived, now),
    )


def log_failure(job: Job, reason: str, *, ran: bool, now: float) -> None:
    """Log a local answer; ``ran`` means that the request may have run."""
    log_event(
        "request_failed",
        request=job.request_id.decode("latin-1"),
        route=job.route.name,
        kind=job.kind,
        customer=job.customer_name,
        item=job.item,
        reason=reason,
        ran=ran,
        sends=count_sends(job),
        retry_after_s=None if ran else round(job.retry_after_s, 2),
        broken_off=job.sink.forwarding_started,
        after_ms=_ms_since(job.request.arrived_at, now),
    )


def _ms_since(start: float, end: float | None) -> int | None:
    return None if end is None else int((end - start) * 1000)
