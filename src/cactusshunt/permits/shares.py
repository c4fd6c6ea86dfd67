"""Shares of limits that VMs delegated to this one, each for DELEGATION_LIFETIME_S."""

from __future__ import annotations

DELEGATION_LIFETIME_S = 1.5  # shares are renewed every 0.6 s, so that one message may be lost
EXPIRY_INTERVAL_S = 0.05  # between two searches for shares and demand that have ended


class Shares:
    """The VMs that delegated their shares; times are reactor time."""

    def __init__(self, *, now: float) -> None:
        self._expiry_due_at = now
        # when each share ends, and how many VMs have one as far as its VM knows
        self._delegated: dict[str, tuple[float, int]] = {}
        self._most_vms = 0

    @property
    def count(self) -> int:
        """Return how many VMs' shares there were at the last expiry."""
        return len(self._delegated)

    @property
    def most_vms(self) -> int:
        """Return the largest number of VMs that one of those that delegate knows of."""
        return self._most_vms

    def delegate(self, vm: str, now: float, vms: int = 0) -> None:
        """Add or extend the share of a VM that knows of ``vms`` VMs with a share."""
        self._delegated[vm] = (now + DELEGATION_LIFETIME_S, vms)
        self._most_vms = max(self._most_vms, vms)

    def expire(self, now: float) -> None:
        """Remove shares that have ended, if it is time to search for them."""
        if now < self._expiry_due_at:
            return
        self._expiry_due_at = now + EXPIRY_INTERVAL_S
        self._delegated = {vm: found for vm, found in self._delegated.items() if found[0] > now}
        self._most_vms = max((vms for _, vms in self._delegated.values()), default=0)
