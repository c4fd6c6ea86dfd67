"""Retry budget that limits the load that retries add to upstreams."""

from __future__ import annotations

RETRIES_EARNED_PER_REQUEST = 0.1
MAX_BALANCE = 10.0  # retries


class RetryBudget:
    """Retries that one team may still use at this process."""

    def __init__(self) -> None:
        self._balance = MAX_BALANCE / 2

    @property
    def balance(self) -> float:
        """Return the number of retries that are left."""
        return self._balance

    def earn(self) -> None:
        """Add what the first attempt of one request earns."""
        self._balance = min(MAX_BALANCE, self._balance + RETRIES_EARNED_PER_REQUEST)

    def spend(self) -> bool:
        """Take one retry from the balance; ``False`` if there is none."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
