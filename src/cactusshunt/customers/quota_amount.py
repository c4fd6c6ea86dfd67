"""How much one request counts against its customer's quota."""

from __future__ import annotations

import math

from typing import TYPE_CHECKING

from cactusshunt.customers.customer import QuotaUnit
from cactusshunt.customers.customer_usage import MAX_COUNTED_AMOUNT
from cactusshunt.platform import headers as names

if TYPE_CHECKING:
    from cactusshunt.customers.customer import Quota
    from cactusshunt.platform.headers import Headers

WINDOW_S = 8.0  # the users' quotaWindowS: usage is measured over any time of this length


def compute_amount(quota: Quota, headers: Headers) -> float:
    """Return what a request counts: 1, or its prompt tokens and the most output tokens.

    Counts that cannot be read count at least what a request without the header does. A number with
    too many digits is infinite, so that an absurd one is refused instead of being read as 0. Of
    several headers the largest counts, since an engine may read any of them.
    """
    if quota.unit is QuotaUnit.REQUESTS:
        return 1.0
    values = [value for key, value in headers if key.lower() == names.TOKEN_COUNT]
    return max((_read_amount(value, quota) for value in values), default=float(quota.plain_amount))


def _read_amount(value: bytes, quota: Quota) -> float:
    parts = [part.strip() for part in value.split(b",")]
    amount = sum(_read_count(part) for part in parts)
    if len(parts) != 2 or not all(part.isdigit() for part in parts):
        return max(amount, float(quota.plain_amount))
    return amount


def compute_rank(quota: Quota, amount: float, priority: int) -> int:
    """Return the order in which a customer's requests get credit; 0 comes first.

    Requests that do not say their size count little: hundreds of them take what a few generations
    do. They come first, so that those few do not keep them out while the quota is used up.
    """
    is_small = quota.unit is QuotaUnit.TOKENS and amount <= quota.plain_amount
    return 0 if is_small else 1 + priority


def compute_largest_amount(quota: Quota) -> float:
    """Return the amount beyond which a single request exceeds the quota by itself."""
    if quota.unit is QuotaUnit.REQUESTS:
        return math.inf  # one request in a longer time than the window is still within the quota
    return min(MAX_COUNTED_AMOUNT, quota.rate_per_s * WINDOW_S + quota.burst)


def _read_count(part: bytes) -> float:
    if not part.isdigit():
        return 0.0
    return float(part) if names.is_count(part) else math.inf
