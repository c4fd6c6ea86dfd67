"""Which log lines tell what became of one request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cactusshunt.console.log_lines import LogLine

BEFORE_S = 10.0  # in which what became of the model and the upstreams bears on a request
AFTER_S = 3.0  # in which an order that came too late is seen
OF_THE_VM = ("configuration", "store_lost", "store_regained", "peer_lost", "peer_heard", "start")
OF_THE_FLEET = ("right_won", "right_lost", "right_rests", "right_kept_in_outage")
OF_UPSTREAMS = (
    "upstream_seen",
    "upstream_state",
    "upstream_gone",
    "upstream_leaving",
    "upstream_restarted",
    "upstream_suspected",
)
OF_MODELS = ("order", "order_done")


@dataclass(frozen=True, kw_only=True)
class RequestStory:
    """Last word of each kind before the request, and the lines around it, in order of time."""

    beliefs: list[LogLine]
    lines: list[LogLine]


def tell_story(lines: Sequence[LogLine], request_id: str) -> RequestStory:
    """Return the lines about a request, and those that tell what decided its way."""
    own = [line for line in lines if line.get("request") == request_id]
    if not own:
        return RequestStory(beliefs=[], lines=[])
    vms = {line.get("vm") for line in own}
    began = own[0]["at"] - float(own[0].get("waited_ms") or own[0].get("after_ms") or 0) / 1000.0
    upstreams = {line["upstream"] for line in own if line.get("upstream")}
    models = {str(line["item"]).partition("/")[0] for line in own if line.get("item")}
    beliefs: dict[tuple[str, str], LogLine] = {}
    story = []
    for line in lines:
        if line.get("request") == request_id:
            story.append(line)
            continue
        if not _bears_on(line, vms, upstreams, models):
            continue
        if line["at"] < began - (BEFORE_S if line["event"] in OF_MODELS else 0.0):
            beliefs[(line["event"], str(line.get("upstream", "")))] = line
        elif line["at"] <= own[-1]["at"] + AFTER_S:
            story.append(line)
    kept = [line for line in beliefs.values() if line["event"] not in OF_MODELS]
    return RequestStory(beliefs=sorted(kept, key=lambda line: line["at"]), lines=story)


def _bears_on(line: LogLine, vms: set[str | None], upstreams: set[str], models: set[str]) -> bool:
    event = line["event"]
    if event in OF_THE_FLEET:
        return True
    if event in OF_MODELS:
        item = str(line.get("item", "")).partition("/")[0]
        return item in models or any(model in str(line.get("reason", "")) for model in models)
    if line.get("vm") not in vms:
        return False
    return event in OF_THE_VM or (event in OF_UPSTREAMS and line.get("upstream") in upstreams)
