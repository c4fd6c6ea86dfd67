"""What a part of all VMs' shares of a customer's quota allows an issuer.

With a rate of R a second, a burst of B, credit that ends within CREDIT_LIFETIME_S = 0.5 s and parts
that add up to 1 at most, the credit used in any 8 s was issued within 8.5 s: at most B, which was
saved up before, and 8.5 R, and what issuers owe at the end. An issuer owes at most
min(part, 1/2) x MOST_OWED, so those with 1/4 or more, which may owe, add up to MOST_OWED. When an
issuer is gone, the next one may owe as much again; half of MOST_OWED for a single issuer keeps
both within it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusshunt.customers.customer import QuotaUnit
from cactusshunt.permits.permit_issuer import IssueRate

if TYPE_CHECKING:
    from cactusshunt.customers.customer import Quota

CREDIT_LIFETIME_S = 0.5  # from when its VM asked
MOST_OWED = 17_000.0  # the users' quotaSlack: what may be used beyond the quota in a window
# Enough for any request of a quota of requests, which counts 1. A larger amount is one of tokens,
# counted by a VM with another configuration, and must not be owed.
MOST_REQUESTS_OWED = 1.0
LEAST_PART_TO_OWE = 0.25  # four such issuers at most
LARGEST_COUNTED_PART = 0.5  # of the shares, in what one issuer may owe


def compute_quota_rate(*, quota: Quota, shares: int, vms: int) -> IssueRate:
    """Return what an issuer with so many of all VMs' shares may issue."""
    part = shares / max(1, vms, shares)
    return IssueRate(
        per_s=part * quota.rate_per_s,
        most_saved=part * quota.burst,
        most_debt=_compute_most_debt(quota, part),
    )


def _compute_most_debt(quota: Quota, part: float) -> float:
    if part < LEAST_PART_TO_OWE:
        return 0.0
    if quota.unit is QuotaUnit.REQUESTS:
        return MOST_REQUESTS_OWED
    return min(part, LARGEST_COUNTED_PART) * MOST_OWED
