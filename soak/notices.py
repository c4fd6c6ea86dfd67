"""What upstreams said of themselves in a soak test, and what was sent to them after it."""

from __future__ import annotations

from contextlib import suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from soak.callers import RequestResult
    from soak.schedule import Fault

DRAIN_S = 2.0  # drainMs in the nodes' settings
PAUSE_BEGIN_S = 0.5
ALLOWED_IN_PAUSE = 2
LEAVING = "leaving"


@dataclass(frozen=True, kw_only=True)
class SaidNotice:
    """An answer in which an upstream said something of itself: that it leaves, or a Retry-After.

    ``text`` is empty for a request that only arrived, after the upstream had said something.
    """

    upstream: str
    request_id: str
    at: float
    text: str


def read_notices(upstream: str, log: str) -> Iterable[SaidNotice]:
    """Return what an upstream's output says of its answers and of requests that arrived."""
    for fields in map(str.split, log.splitlines()):
        if (len(fields), fields[:1]) in ((4, ["said"]), (3, ["arrival"])):
            text = fields[3] if fields[0] == "said" else ""
            yield SaidNotice(
                upstream=upstream, request_id=fields[1], at=float(fields[2]), text=text
            )


def find_disregarded(
    said: Sequence[SaidNotice],
    results: Sequence[RequestResult],
    faults: Sequence[Fault],
    nodes: Sequence[str],
) -> list[str]:
    """Return a line for each upstream to which a node sent what it should not have.

    ``nodes`` are those whose build acts on notices. A restart or a freeze of a node excuses it, in
    a pause also a cut.
    """
    by_id = {found.request_id: found for found in results if found.node in nodes}
    heard = [notice for notice in said if notice.request_id in by_id]
    return [*_find_late(heard, by_id, faults), *_find_in_pauses(heard, by_id, faults)]


def _find_late(
    said: Sequence[SaidNotice], by_id: dict[str, RequestResult], faults: Sequence[Fault]
) -> list[str]:
    violations = []
    for fault in faults:
        if fault.kind != LEAVING:
            continue
        told: dict[str, float] = {}
        for notice in sorted(said, key=lambda each: by_id[each.request_id].ended_at):
            if notice.upstream != fault.target or not fault.at <= notice.at <= fault.ends_at:
                continue
            found = by_id[notice.request_id]
            # A node that had answered before the upstream said so has passed nothing on.
            if notice.text == LEAVING and found.status and found.ended_at >= notice.at:
                told.setdefault(found.node, found.ended_at)
            begins = told.get(found.node)
            if begins is None or notice.text != LEAVING or found.started_at <= begins + DRAIN_S:
                continue
            if not _is_excused(faults, found.node, begins, notice.at, ("node_",)):
                violations.append(
                    f"{found.request_id} reached {notice.upstream} through {found.node} "
                    f"{found.started_at - begins:.1f} s after it had said that it leaves"
                )
    return violations


def _find_in_pauses(
    said: Sequence[SaidNotice], by_id: dict[str, RequestResult], faults: Sequence[Fault]
) -> list[str]:
    violations = []
    for notice in said:
        with suppress(ValueError):
            begins, ends = notice.at + PAUSE_BEGIN_S, notice.at + float(notice.text)
            node = by_id[notice.request_id].node
            arrived = {
                other.request_id
                for other in said
                if other.upstream == notice.upstream
                and begins < other.at < ends
                and by_id[other.request_id].node == node
            }
            disturbing = ("node_", "cut_", "link_")
            # An upstream that starts again has asked for nothing.
            is_restarted = _is_excused(faults, notice.upstream, notice.at, ends, ("",), ("rest",))
            if len(arrived) > ALLOWED_IN_PAUSE and not (
                is_restarted or _is_excused(faults, node, notice.at, ends, disturbing)
            ):
                violations.append(
                    f"{len(arrived)} requests of {node} reached {notice.upstream} in a pause"
                )
    return violations


def _is_excused(
    faults: Sequence[Fault],
    target: str,
    begins: float,
    ends: float,
    kinds: tuple[str, ...],
    ignored: tuple[str, ...] = (),
) -> bool:
    return any(
        fault.target == target
        and fault.kind.startswith(kinds)
        and fault.kind not in ignored
        and fault.at < ends
        and begins < fault.ends_at + PAUSE_BEGIN_S
        for fault in faults
    )
