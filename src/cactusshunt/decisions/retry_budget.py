"""Retry budget that limits the load that retries add to upstreams, and its exception."""

from __future__ import annotations

RETRIES_EARNED_PER_REQUEST = 0.1
MAX_BALANCE = 10.0  # retries
# Streams wait 5 s for the first byte: what is in flight at one moment of 60 s adds 8 % to their
# load, which with the budget's 10 % stays below a fifth.
SILENCE_INTERVAL_S = 60.0


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


class SilenceAllowance:
    """Retries outside the budget for requests whose kept connection went silent.

    The first silence ends all kept connections that are idle. Requests sent before it could not
    avoid it, and each may be retried. Those sent later count against the budget until
    ``SILENCE_INTERVAL_S`` has passed, since upstreams that are overloaded are silent as well.
    """

    def __init__(self) -> None:
        self._silent_at = float("-inf")

    def allows(self, sent_at: float, now: float) -> bool:
        """Tell whether a request that was sent at a time and got no answer may be retried."""
        if now >= self._silent_at + SILENCE_INTERVAL_S:
            self._silent_at = now
        return sent_at <= self._silent_at
