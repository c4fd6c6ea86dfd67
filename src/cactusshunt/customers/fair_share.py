"""How much of the usual latency limit a customer's requests get while a service is overloaded.

Load pattern: one customer sends many times its usual load, within its quota, while the engines have
no room for it. Requests are refused once the expected latency exceeds a limit; the queue then stays
at that limit, and the requests of customers with a stricter objective find no room at all. A
customer that uses more than its part gets a lower limit, so that the queue leaves room for the
others, as long as it is still served about as often as they are.
"""

from __future__ import annotations

import math

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from cactusshunt.customers.customer import QuotaUnit

if TYPE_CHECKING:
    from cactusshunt.customers.customer import Customer

# Assumed tokens of a request whose size is not known, or that a quota of requests counts.
MEAN_TOKENS = 2_400.0
USE_WINDOW_S = 10.0  # a VM gets some 5 requests of a usual customer in it
OVERLOAD_S = 2.0  # since the latest refusal; about the longest Retry-After
TOLERATED_EXCESS = 1.5  # use / part; a few requests differ as much by chance
LEAST_FRACTION = 0.25  # of the latency limit; a lower one would leave engines idle
# Served share of a customer / that of all; below it, its limit is not lowered. No customer may come
# below a quarter of the served share of all (docs/design/customers-and-load.md).
LEAST_SERVED = 0.5
LEAST_ASKED = 0.05  # requests in the window; a customer with fewer does not count
MAX_CUSTOMERS = 64  # remembered for each service and priority; those with the most requests


@dataclass(kw_only=True)
class Use:
    """What a customer asked for of late: exponentially decayed sums, as of ``at`` (s)."""

    weight: float | None
    at: float
    tokens: float = 0.0
    asked: float = 0.0
    admitted: float = 0.0

    def decay(self, now: float) -> None:
        """Bring the sums up to date."""
        factor = math.exp(-max(0.0, now - self.at) / USE_WINDOW_S)
        self.tokens *= factor
        self.asked *= factor
        self.admitted *= factor
        self.at = now


def compute_weight(customer: Customer) -> float | None:
    """Return the rate of a customer's quota in tokens a second, ``None`` if it has no limit."""
    quota = customer.quota
    if quota is None or quota.rate_per_s <= 0.0:
        return None
    return quota.rate_per_s * (1.0 if quota.unit is QuotaUnit.TOKENS else MEAN_TOKENS)


class FairShare:
    """Use of one service by the customers of one priority at this VM; times are in s."""

    def __init__(self) -> None:
        self._uses: dict[str, Use] = {}
        self._refused_at = -math.inf

    @property
    def customer_count(self) -> int:
        """Return how many customers are remembered."""
        return len(self._uses)

    def is_overloaded(self, now: float) -> bool:
        """Return whether a request was refused of late."""
        return now - self._refused_at < OVERLOAD_S

    def record_asked(self, customer: Customer, tokens: float, now: float) -> None:
        """Record that a customer's request arrived."""
        use = self._uses.get(customer.name)
        if use is None:
            if len(self._uses) >= MAX_CUSTOMERS:
                self._forget_least(now)
            use = self._uses[customer.name] = Use(weight=None, at=now)
        use.decay(now)
        use.weight = compute_weight(customer)
        use.asked += 1.0
        use.tokens += tokens or MEAN_TOKENS

    def record_admitted(self, customer: Customer, now: float) -> None:
        """Record that a customer's request is sent."""
        use = self._uses.get(customer.name)
        if use is not None:
            use.decay(now)
            use.admitted += 1.0

    def record_refused(self, now: float) -> None:
        """Record that a request was refused because of its expected latency."""
        self._refused_at = now

    def compute_fraction(self, customer: Customer, now: float) -> float:
        """Return up to which fraction of the latency limit a customer's request is admitted."""
        own = self._uses.get(customer.name)
        if own is None or not self.is_overloaded(now):
            return 1.0
        return self._compute_fraction(own, now)

    def list_lowered(self, now: float) -> dict[str, float]:
        """Return the customers with a lower limit, and its fraction of the usual one."""
        if not self.is_overloaded(now):
            return {}
        fractions = {name: self._compute_fraction(use, now) for name, use in self._uses.items()}
        return {name: fraction for name, fraction in fractions.items() if fraction < 1.0}

    def _compute_fraction(self, own: Use, now: float) -> float:
        for use in self._uses.values():
            use.decay(now)
        active = [use for use in self._uses.values() if use.asked >= LEAST_ASKED]
        excess = _compute_excess(own, active)
        if excess <= TOLERATED_EXCESS:
            return 1.0
        served = sum(use.admitted for use in active) / sum(use.asked for use in active)
        if own.admitted / own.asked < LEAST_SERVED * served:
            return 1.0
        return max(LEAST_FRACTION, TOLERATED_EXCESS / excess)

    def _forget_least(self, now: float) -> None:
        for use in self._uses.values():
            use.decay(now)
        del self._uses[min(self._uses, key=lambda name: self._uses[name].asked)]


def _compute_excess(own: Use, active: list[Use]) -> float:
    """Return a customer's use as a multiple of its part, by weight, of the use of all."""
    known = [use.weight for use in active if use.weight is not None]
    usual_weight = sum(known) / len(known) if known else 1.0
    weights = sum(usual_weight if use.weight is None else use.weight for use in active)
    own_weight = usual_weight if own.weight is None else own.weight
    tokens = sum(use.tokens for use in active)
    if not tokens or not own_weight:
        return 1.0
    return (own.tokens / tokens) / (own_weight / weights)


class FairShares:
    """The use of all services, by service and priority."""

    def __init__(self) -> None:
        self._shares: dict[tuple[str, int], FairShare] = {}

    def find(self, service: str, priority: int) -> FairShare:
        """Return the use of a service by customers of a priority."""
        return self._shares.setdefault((service, priority), FairShare())

    def describe(self, now: float) -> list[dict[str, Any]]:
        """Return, for the dump, the services of which requests were refused of late."""
        return [
            {
                "service": service,
                "priority": priority,
                "latency_limit_percent": {
                    name: round(100.0 * fraction)
                    for name, fraction in share.list_lowered(now).items()
                },
            }
            for (service, priority), share in self._shares.items()
            if share.is_overloaded(now)
        ]
