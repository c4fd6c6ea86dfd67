"""Failure history of an upstream: one that fails rests for a while before it is tried again.

This covers upstreams that fail part or all of their requests, or are gone, although their entry
and their health checks report that they are healthy.
"""

from __future__ import annotations

from dataclasses import dataclass

BROKEN_ANSWER_WEIGHT = 0.25  # of the latest request in the moving average ``share``
ERROR_ANSWER_WEIGHT = 0.1  # lower, as the request may cause an error status; also for successes
REST_FAILURE_FRACTION = 0.35  # an upstream rests from this ``share`` on
MIN_REST_S = 0.4
MAX_REST_S = 4.0  # an upstream restarts within seconds


@dataclass(frozen=True, kw_only=True)
class FailureHistory:
    """Recent failures of an upstream, and until when it rests (reactor time, s).

    ``share`` is the fraction of requests that failed, as a moving average. ``rest_count`` counts
    recent rests, less one for each success; each doubles the next rest.
    """

    share: float = 0.0
    rest_count: int = 0
    resting_until: float = 0.0

    def resting(self, now: float) -> bool:
        """Return whether no request should be sent now."""
        return now < self.resting_until


def record_success(history: FailureHistory) -> FailureHistory:
    """Return the history after a successful answer, which also ends a rest."""
    if not history.share and not history.rest_count:
        return history
    share = history.share * (1.0 - ERROR_ANSWER_WEIGHT)
    return FailureHistory(
        share=share if share > 0.02 else 0.0, rest_count=max(0, history.rest_count - 1)
    )


def record_failure(
    history: FailureHistory, now: float, *, unreached: bool = False, error_answer: bool = False
) -> FailureHistory:
    """Return the history after a failure; an upstream that was not reached rests at once.

    ``error_answer`` means that the upstream answered with an error status.
    """
    weight = ERROR_ANSWER_WEIGHT if error_answer else BROKEN_ANSWER_WEIGHT
    share = history.share + (1.0 - history.share) * weight
    if not unreached and share < REST_FAILURE_FRACTION:
        return FailureHistory(
            share=share, rest_count=history.rest_count, resting_until=history.resting_until
        )
    if history.resting(now):
        return FailureHistory(
            share=share, rest_count=history.rest_count, resting_until=history.resting_until
        )
    rest_s = min(MAX_REST_S, MIN_REST_S * 2.0**history.rest_count)
    return FailureHistory(
        share=share, rest_count=history.rest_count + 1, resting_until=now + rest_s
    )
