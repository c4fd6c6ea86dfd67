"""Selects the log lines that explain the outcome of one request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cactusshunt.console.log_lines import LogLine

ORDER_EVENTS_BEFORE_S = 10.0  # orders this long before the arrival may explain the outcome
EVENTS_AFTER_S = 3.0  # shows an order that came too late for the request
VM_EVENTS = ("configuration", "store_lost", "store_regained", "peer_lost", "peer_heard", "start")
ORDER_RIGHT_EVENTS = ("right_won", "right_lost", "right_rests", "right_kept_in_outage")
UPSTREAM_EVENTS = (
    "upstream_seen",
    "upstream_state",
    "upstream_gone",
    "upstream_leaving",
    "upstream_restarted",
    "upstream_suspected",
    "limit_named",
    "limit_usage",
)
ORDER_EVENTS = ("order", "order_done", "items_unplaced")


@dataclass(frozen=True, kw_only=True)
class RequestTimeline:
    """The last event of each kind before a request, and the events that explain its outcome."""

    earlier_events: list[LogLine]
    lines: list[LogLine]


def build_timeline(lines: Sequence[LogLine], request_id: str) -> RequestTimeline:
    """Return the events of a request and those that affected its routing, in order of time."""
    own = [line for line in lines if line.get("request") == request_id]
    if not own:
        return RequestTimeline(earlier_events=[], lines=[])
    vms = {line.get("vm") for line in own}
    arrived_at = (
        own[0]["at"] - float(own[0].get("waited_ms") or own[0].get("after_ms") or 0) / 1000.0
    )
    upstreams = {line["upstream"] for line in own if line.get("upstream")}
    upstreams |= {name for line in own for name in line.get("without_permit") or ()}
    models = {str(line["item"]).partition("/")[0] for line in own if line.get("item")}
    earlier_events: dict[tuple[str, str], LogLine] = {}
    timeline = []
    for line in lines:
        if line.get("request") == request_id:
            timeline.append(line)
            continue
        if not _is_relevant(line, vms, upstreams, models):
            continue
        if line["at"] < arrived_at - (
            ORDER_EVENTS_BEFORE_S if line["event"] in ORDER_EVENTS else 0.0
        ):
            earlier_events[(line["event"], str(line.get("upstream", "")))] = line
        elif line["at"] <= own[-1]["at"] + EVENTS_AFTER_S:
            timeline.append(_keep_items_of(line, models))
    kept = [line for line in earlier_events.values() if line["event"] not in ORDER_EVENTS]
    return RequestTimeline(earlier_events=sorted(kept, key=lambda line: line["at"]), lines=timeline)


def _keep_items_of(line: LogLine, models: set[str]) -> LogLine:
    """Return the line without items of other models, of which it may name hundreds."""
    if not isinstance(line.get("items"), list):
        return line
    kept = [item for item in line["items"] if str(item).partition("/")[0] in models]
    return {**line, "items": kept}


def _is_relevant(
    line: LogLine, vms: set[str | None], upstreams: set[str], models: set[str]
) -> bool:
    event = line["event"]
    if event in ORDER_RIGHT_EVENTS:
        return True
    if event in ORDER_EVENTS:
        items = {str(line.get("item", "")), *map(str, line.get("items") or ())}
        if any(item.partition("/")[0] in models for item in items):
            return True
        return any(model in str(line.get("reason", "")) for model in models)
    if line.get("vm") not in vms:
        return False
    return event in VM_EVENTS or (event in UPSTREAM_EVENTS and line.get("upstream") in upstreams)
