"""The outcome of a choice of an upstream."""

from __future__ import annotations

from dataclasses import dataclass

from cactusshunt.permits.permit_pool import Permit  # noqa: TC001
from cactusshunt.requests.admission import Refusal  # noqa: TC001
from cactusshunt.routing.queued_work import QueuedWork  # noqa: TC001
from cactusshunt.routing.upstream import Upstream  # noqa: TC001


@dataclass(frozen=True, kw_only=True)
class PickResult:
    """Either an upstream with the latency and the work expected there, or a refusal.

    ``expected_ms`` is 0 for a service without models, whose latency is not estimated. ``permit``
    allows the request at a limited upstream; ``awaits_permit`` is a limited upstream for which none
    is at hand. ``without_permit`` names limited upstreams that were left out for lack of one, and
    ``permit_waited_ms`` is the time that the request waited for permits.
    """

    upstream: Upstream | None = None
    refusal: Refusal | None = None
    expected_ms: float = 0.0
    uncached_tokens: float = 0.0
    work: QueuedWork | None = None
    permit: Permit | None = None
    awaits_permit: Upstream | None = None
    without_permit: tuple[str, ...] = ()
    permit_waited_ms: int = 0
