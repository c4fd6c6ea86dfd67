"""Finds the models and adapters that were requested and never answered, and where each stopped."""

from __future__ import annotations

import enum

from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from cactusshunt.console.log_lines import LogLine

MAX_ROWS = 60
ACCEPTED_OUTCOMES = ("STARTED", "DONE")
HELD_BUT_REFUSED = "overloaded"  # reason of a refusal by an engine's expected latency


class ItemStage(enum.Enum):
    """How far the placement of an item came, the furthest stage last."""

    NOT_COUNTED = "not counted in demand"
    NOT_PLANNED = "counted, not planned"
    NOT_LOADED = "planned, order not sent, not accepted or not completed"
    UNLOADED_UNUSED = "loaded, then unloaded before use"
    NOT_CHOSEN = "loaded and not chosen"
    NOT_ANSWERED = "chosen too late or without an answer"


@dataclass(kw_only=True)
class ItemHistory:
    """What the logs say of one model or ``model/adapter``.

    ``holders`` are the upstreams that loaded it and did not unload it again.
    """

    requests: set[str] = field(default_factory=set)
    first_at: float = 0.0
    last_at: float = 0.0
    answered: bool = False
    refusals: Counter[str] = field(default_factory=Counter)
    attempts: Counter[str] = field(default_factory=Counter)
    unplaced: Counter[str] = field(default_factory=Counter)
    orders: Counter[str] = field(default_factory=Counter)
    loaded: bool = False
    holders: set[str] = field(default_factory=set)

    @property
    def stage(self) -> ItemStage:
        """Return the furthest stage that the logs show."""
        stages = (
            (bool(self.attempts), ItemStage.NOT_ANSWERED),
            (bool(self.holders) or HELD_BUT_REFUSED in self.refusals, ItemStage.NOT_CHOSEN),
            (self.loaded, ItemStage.UNLOADED_UNUSED),
            (bool(self.orders), ItemStage.NOT_LOADED),
            (bool(self.unplaced), ItemStage.NOT_PLANNED),
        )
        return next((stage for reached, stage in stages if reached), ItemStage.NOT_COUNTED)


def collect_item_histories(lines: Sequence[LogLine]) -> dict[str, ItemHistory]:
    """Return the history of each item that was requested, from events in order of time."""
    collector = _Collector()
    for line in lines:
        collect = collector.handlers.get(line["event"])
        if collect is not None:
            collect(line)
    return {item: found for item, found in collector.histories.items() if found.requests}


def format_never_answered(histories: dict[str, ItemHistory]) -> list[str]:
    """Return rows of text: items never answered by stage, then one row an item."""
    never = {item: found for item, found in histories.items() if not found.answered}
    rows = [f"{len(never)} of {len(histories)} requested models and adapters were never answered:"]
    stages = Counter(found.stage for found in never.values())
    rows += [f"{stages[stage]:>8}  {stage.value}" for stage in ItemStage if stages[stage]]
    ordered = sorted(never.items(), key=lambda pair: (-len(pair[1].requests), pair[0]))
    for item, found in ordered[:MAX_ROWS]:
        rows.append(
            f"  {item:<20} requests={len(found.requests)} in {found.last_at - found.first_at:.1f} s"
            f"; {found.stage.value}{_describe_counts(found)}"
        )
    if len(ordered) > MAX_ROWS:
        rows.append(f"  and {len(ordered) - MAX_ROWS} more")
    return rows


def _describe_counts(found: ItemHistory) -> str:
    named = {
        "refused": found.refusals,
        "attempts": found.attempts,
        "orders": found.orders,
        "unplaced": found.unplaced,
    }
    return "".join(
        f"; {name}: " + ", ".join(f"{text} x{amount}" for text, amount in counts.most_common(3))
        for name, counts in named.items()
        if counts
    )


class _Collector:
    """Histories by item, and the handler of each event that concerns items."""

    def __init__(self) -> None:
        self.histories: dict[str, ItemHistory] = {}
        self.handlers: dict[str, Callable[[LogLine], None]] = {
            "request_queued": self._add_queued,
            "request_answered": self._add_answer,
            "request_failed": self._add_failure,
            "attempt": self._add_attempt,
            "order": self._add_order,
            "order_done": self._add_completed_order,
            "items_unplaced": self._add_unplaced,
        }

    def _find(self, item: Any) -> ItemHistory:
        return self.histories.setdefault(str(item or ""), ItemHistory())

    def _add_request(self, line: LogLine) -> ItemHistory:
        found = self._find(line.get("item"))
        if not line.get("item"):
            return found
        if not found.requests:
            found.first_at = line["at"]
        found.last_at = line["at"]
        found.requests.add(str(line.get("request", "")))
        return found

    def _add_queued(self, line: LogLine) -> None:
        self._add_request(line)

    def _add_answer(self, line: LogLine) -> None:
        found = self._add_request(line)
        found.answered |= 200 <= int(line.get("status") or 0) < 300

    def _add_failure(self, line: LogLine) -> None:
        self._add_request(line).refusals[str(line.get("reason", ""))] += 1

    def _add_attempt(self, line: LogLine) -> None:
        self._add_request(line).attempts[str(line.get("outcome", ""))] += 1

    def _add_order(self, line: LogLine) -> None:
        item, upstream = str(line.get("item", "")), str(line.get("upstream", ""))
        outcome = str(line.get("outcome", ""))
        accepted = outcome in ACCEPTED_OUTCOMES
        found = self._find(item)
        if line.get("load"):
            found.orders[outcome] += 1
            if accepted and "/" in item:
                self._add_holder(found, upstream)
            return
        if accepted:
            found.holders.discard(upstream)
        replacement = line.get("frees_memory_for")
        if replacement:
            self._find(replacement).orders[f"unload before it {outcome}"] += 1

    def _add_completed_order(self, line: LogLine) -> None:
        if line.get("item"):
            self._add_holder(self._find(line["item"]), str(line.get("upstream", "")))

    def _add_unplaced(self, line: LogLine) -> None:
        for item in line.get("items") or ():
            self._find(item).unplaced[str(line.get("reason", ""))] += 1

    @staticmethod
    def _add_holder(found: ItemHistory, upstream: str) -> None:
        found.loaded = True
        found.holders.add(upstream)
