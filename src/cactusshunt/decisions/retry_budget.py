"""Retry budget that bounds how much retries add to the load of upstreams."""

from __future__ import annotations

EARNED_PER_REQUEST = 0.1  # retries earned by one first attempt
HIGHEST_BALANCE = 10.0  # retries that can be saved up


class RetryBudget:
    """Retries that one team may still spend at this process."""

    def __init__(self) -> None:
        self._balance = HIGHEST_BALANCE / 2

    @property
    def balance(self) -> float:
        """Return the number of retries that can be spent."""
        return self._balance

    def earn(self) -> None:
        """Count one first attempt."""
        self._balance = min(HIGHEST_BALANCE, self._balance + EARNED_PER_REQUEST)

    def spend(self) -> bool:
        """Take one retry from the balance; ``False`` if there is none."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
