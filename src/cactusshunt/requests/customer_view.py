"""Describes the customer of a request that an operator asks about, without changing anything."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusshunt.customers.customer_quotas import TOO_LARGE
from cactusshunt.customers.customer_quotas import USED_UP
from cactusshunt.customers.quota_amount import compute_amount
from cactusshunt.customers.quota_amount import compute_largest_amount
from cactusshunt.customers.quota_service import RETURN_HORIZON_S
from cactusshunt.requests.where import CustomerView

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactusshunt.customers.customer_quotas import CustomerQuotas
    from cactusshunt.customers.customer_usage import CreditWait
    from cactusshunt.requests.caller_requests import CallerRequests
    from cactusshunt.requests.job import Job


class CustomerViews:
    """Finds customers and their quotas as the intake does, for ``Where.describe_customer``."""

    def __init__(
        self, *, callers: CallerRequests, quotas: CustomerQuotas, clock: Callable[[], float]
    ) -> None:
        self._callers = callers
        self._quotas = quotas
        self._clock = clock

    def describe(self, job: Job) -> CustomerView:
        """Return the customer and its quota; the job gets the customer and its priority."""
        access = self._callers.find_access(job.route, job.request.headers)
        if access is None:
            return CustomerView(refusal="no known key (401)")
        job.route, job.customer = access.route, access.customer
        if access.customer is None:
            return CustomerView()
        usage = self._quotas.list_all().get(access.customer.name)
        if usage is None:
            return CustomerView(customer=access.customer.name)
        quota = usage.quota
        amount = compute_amount(quota, job.request.headers)
        refusal = retry_after_s = wait = None
        if amount > compute_largest_amount(quota):
            refusal, retry_after_s = TOO_LARGE, RETURN_HORIZON_S
        else:
            wait = self._quotas.find_wait(usage, job, amount)
        if wait is not None and wait.outlook is not None and wait.is_refused:
            refusal, retry_after_s, wait = USED_UP, round(wait.outlook.return_s, 2), None
        return CustomerView(
            customer=access.customer.name,
            quota={
                "rate_per_s": quota.rate_per_s,
                "burst": quota.burst,
                "unit": quota.unit.value,
                "request": amount,
                "at_hand": usage.pool.measure_amount(self._clock()),
                "waiting": len(usage.waiting),
                "issuer": self._quotas.find_issuer(usage),
            },
            refusal=refusal,
            retry_after_s=retry_after_s,
            wait=_describe_wait(wait) if wait is not None else None,
        )


def _describe_wait(wait: CreditWait) -> str:
    longest = f"for at most {wait.longest_s * 1000:.0f} ms"
    if wait.issuer is None:
        return f"credit of the customer, {longest}; no VM issues it now"
    if wait.outlook is None:
        return f"credit of the customer, {longest}; {wait.issuer} is asked for it"
    return f"credit of the customer, expected in {wait.outlook.wait_s * 1000:.0f} ms"
