"""Upstreams that fail requests: left alone for a while, tried again with single requests.

Answers the load pattern "an upstream fails part or all of its requests, or is gone, while its
entry and its health answers say otherwise".
"""

from __future__ import annotations

from dataclasses import dataclass

FAILURE_WEIGHT = 0.25  # of a broken answer in the failure share
ERROR_WEIGHT = 0.1  # of an upstream's own failure, which may lie in the request
SUSPECT_SHARE = 0.35  # failure share above which an upstream is left alone
FIRST_REST_S = 0.4
LONGEST_REST_S = 4.0  # an upstream that restarts is back within seconds


@dataclass(frozen=True, kw_only=True)
class FailureHistory:
    """Recent share of failures, and until when the upstream is left alone (steady clock)."""

    share: float = 0.0
    rests: int = 0
    rests_until: float = 0.0

    def resting(self, now: float) -> bool:
        """Tell whether no request should be given now."""
        return now < self.rests_until


def note_success(failure_history: FailureHistory) -> FailureHistory:
    """Return the suspicion after a good answer."""
    if not failure_history.share and not failure_history.rests:
        return failure_history
    share = failure_history.share * (1.0 - ERROR_WEIGHT)
    return FailureHistory(
        share=share if share > 0.02 else 0.0, rests=max(0, failure_history.rests - 1)
    )


def note_failure(
    failure_history: FailureHistory, now: float, *, unreached: bool = False, own_error: bool = False
) -> FailureHistory:
    """Return the suspicion after a failed answer; one that was not reached rests at once."""
    weight = ERROR_WEIGHT if own_error else FAILURE_WEIGHT
    share = failure_history.share + (1.0 - failure_history.share) * weight
    if not unreached and share < SUSPECT_SHARE:
        return FailureHistory(
            share=share, rests=failure_history.rests, rests_until=failure_history.rests_until
        )
    if failure_history.resting(now):
        return FailureHistory(
            share=share, rests=failure_history.rests, rests_until=failure_history.rests_until
        )
    rest_s = min(LONGEST_REST_S, FIRST_REST_S * 2.0**failure_history.rests)
    return FailureHistory(share=share, rests=failure_history.rests + 1, rests_until=now + rest_s)
