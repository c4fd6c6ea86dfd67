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
class Suspicion:
    """Recent share of failures, and until when the upstream is left alone (steady clock)."""

    share: float = 0.0
    rests: int = 0
    rests_until: float = 0.0

    def resting(self, now: float) -> bool:
        """Tell whether no request should be given now."""
        return now < self.rests_until


def note_success(suspicion: Suspicion) -> Suspicion:
    """Return the suspicion after a good answer."""
    if not suspicion.share and not suspicion.rests:
        return suspicion
    share = suspicion.share * (1.0 - ERROR_WEIGHT)
    return Suspicion(share=share if share > 0.02 else 0.0, rests=max(0, suspicion.rests - 1))


def note_failure(
    suspicion: Suspicion, now: float, *, unreached: bool = False, own_error: bool = False
) -> Suspicion:
    """Return the suspicion after a failed answer; one that was not reached rests at once."""
    weight = ERROR_WEIGHT if own_error else FAILURE_WEIGHT
    share = suspicion.share + (1.0 - suspicion.share) * weight
    if not unreached and share < SUSPECT_SHARE:
        return Suspicion(share=share, rests=suspicion.rests, rests_until=suspicion.rests_until)
    if suspicion.resting(now):
        return Suspicion(share=share, rests=suspicion.rests, rests_until=suspicion.rests_until)
    rest_s = min(LONGEST_REST_S, FIRST_REST_S * 2.0**suspicion.rests)
    return Suspicion(share=share, rests=suspicion.rests + 1, rests_until=now + rest_s)
