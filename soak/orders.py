"""Orders as engines got them, and the check that one node at a time sent them."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from soak.schedule import Fault

LEASE_S = 3.0  # a former holder orders again after this time at the earliest
THAW_S = 0.3  # orders that were held up arrive within it after a pause or a cut
HOLDING_KINDS = ("pause", "link", "cut")  # kinds of faults that hold orders up


@dataclass(frozen=True, kw_only=True)
class OrderRecord:
    """One order that an engine got, with its sender and fencing token."""

    upstream: str
    owner: str
    token: int
    at: float


def read_orders(upstream: str, log: str) -> list[OrderRecord]:
    """Return the orders in an engine's log."""
    return [
        OrderRecord(upstream=upstream, owner=fields[1], token=int(fields[2]), at=float(fields[3]))
        for fields in map(str.split, log.splitlines())
        if len(fields) == 4 and fields[0] == "order"
    ]


def find_turns(orders: Iterable[OrderRecord], faults: Sequence[Fault]) -> list[str]:
    """Return one line for each order after one with a higher token, and for each turn taken."""
    by_upstream: defaultdict[str, list[OrderRecord]] = defaultdict(list)
    for order in sorted(orders, key=lambda found: found.at):
        by_upstream[order.upstream].append(order)
    found = [turn for received in by_upstream.values() for turn in _find_turns_at(received)]
    return [line for at, line in found if not _was_held_up(at, faults)]


def _find_turns_at(received: Sequence[OrderRecord]) -> list[tuple[float, str]]:
    found = []
    latest = received[0]
    last_of: dict[str, OrderRecord] = {}
    for order in received:
        before = last_of.get(order.owner)
        what = f"{order.upstream} got an order of {order.owner}, token {order.token}"
        if order.token < latest.token:
            found.append((order.at, f"{what}, after one of {latest.owner}, token {latest.token}"))
        elif before is not None and latest.owner != order.owner and order.at < before.at + LEASE_S:
            found.append((order.at, f"{what}, within 3 s before and after one of {latest.owner}"))
        last_of[order.owner] = order
        latest = max(latest, order, key=lambda each: each.token)
    return found


def _was_held_up(at: float, faults: Sequence[Fault]) -> bool:
    """Return whether an order may have waited for the end of a pause or a cut."""
    return any(
        fault.ends_at <= at <= fault.ends_at + THAW_S
        for fault in faults
        if any(kind in fault.kind for kind in HOLDING_KINDS)
    )
