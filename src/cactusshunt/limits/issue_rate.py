"""How many permits a part of all VMs' shares of an upstream's limit allows.

With a limit of L requests a second, permits that end within PERMIT_LIFETIME_S = 1 s, and a part f
of the shares at an issuer, the requests in any 4 s are those of the permits of 5 s: at most 5 f L,
and those saved up before, at most f (L + 5). Over all issuers this is 6 L + 5, which upstreams
accept in such a window.
"""

from __future__ import annotations

from cactusshunt.permits.permit_issuer import IssueRate

PERMIT_LIFETIME_S = 1.0  # from when its VM sent the demand
SAVED_PERMITS_SPARE = 5.0  # what an upstream accepts beyond its limit in a window
# Saved for bursts: SAVED_PERMITS, and those of SAVED_PERMITS_S at the limit. Together they stay
# below the L + 5 that the window allows.
SAVED_PERMITS_S = 0.25
SAVED_PERMITS = 2.0


def compute_issue_rate(*, limit_per_s: float, delegations: int, vms: int) -> IssueRate:
    """Return the rate at which an issuer with so many of all VMs' shares issues permits.

    An issuer whose shares allow less than one saved permit issues none: many such issuers that
    begin at the same time would together exceed the limit.
    """
    part = delegations / max(1, vms, delegations)
    most_saved = 0.0
    if part * (limit_per_s + SAVED_PERMITS_SPARE) >= 1.0:
        most_saved = max(1.0, part * (SAVED_PERMITS + SAVED_PERMITS_S * limit_per_s))
    return IssueRate(per_s=part * limit_per_s if most_saved else 0.0, most_saved=most_saved)
