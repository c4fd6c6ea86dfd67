"""Lease of an availability zone: until when its holder may send orders."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace


@dataclass(frozen=True, kw_only=True)
class ZoneLease:
    """This process's view of the lease of its zone.

    ``fence`` is the store's creation revision of the lease key, which increases with each holder;
    the fencing tokens of orders are other numbers, see ``ledger``. ``valid_until`` is in Unix
    seconds of this VM's clock, less ``clock_error_s``, the largest difference to the platform.
    """

    lease_id: int = 0
    fence: int = 0
    valid_until: float = 0.0

    def is_held(self, now: float) -> bool:
        """Tell whether this process may send orders."""
        return self.fence > 0 and now < self.valid_until


def grant_lease(
    *, lease_id: int, fence: int, requested_at: float, ttl_s: float, clock_error_s: float
) -> ZoneLease:
    """Return a granted lease; its term starts when it was requested."""
    return ZoneLease(
        lease_id=lease_id, fence=fence, valid_until=requested_at + ttl_s - clock_error_s
    )


def renew_lease(
    lease: ZoneLease, *, requested_at: float, ttl_s: float, clock_error_s: float
) -> ZoneLease:
    """Return the lease after a confirmed renewal; its term starts when that was requested."""
    return replace(lease, valid_until=max(lease.valid_until, requested_at + ttl_s - clock_error_s))


def lose_lease() -> ZoneLease:
    """Return a lease that is not held."""
    return ZoneLease()
