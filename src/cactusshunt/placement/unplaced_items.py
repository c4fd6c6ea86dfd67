"""Why models and adapters in demand are held by no engine, for the log."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from cactusshunt.node_log import log_event

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cactusshunt.placement.fleet_state import UnplacedReason

MAX_NAMED_ITEMS = 400  # in one log line; bounds it to about 5 KB
LOG_INTERVAL_S = 1.0  # between two lines about the same reason


class UnplacedItems:
    """Collects the items that plans leave out, and logs them at a bounded rate."""

    def __init__(self) -> None:
        self._items: defaultdict[UnplacedReason, set[str]] = defaultdict(set)
        self._log_due_at = 0.0

    def record(self, found: Mapping[str, UnplacedReason], now: float) -> None:
        """Add what a plan left out; log a line for each reason when the interval has passed."""
        for item, reason in found.items():
            self._items[reason].add(item)
        if now < self._log_due_at:
            return
        self._log_due_at = now + LOG_INTERVAL_S
        for reason, items in self._items.items():
            log_event(
                "items_unplaced",
                reason=reason.value,
                count=len(items),
                items=sorted(items)[:MAX_NAMED_ITEMS],
            )
        self._items.clear()
