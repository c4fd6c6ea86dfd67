"""Which faults a run injects, drawn from its seed: they come in series and overlap."""

from __future__ import annotations

import random

from dataclasses import dataclass

KINDS = (
    "node_kill",
    "node_stop",
    "node_stop",
    "node_pause",
    "upstream_kill",
    "upstream_pause",
    "store_down",
    "store_pause",
    "link_delay",
    "link_silent",
    "link_cut_up",
    "link_cut_down",
    "link_reset",
    "configuration",
    "configuration",
    "drain",
)
LONGEST_GAP_S = 2.0
LONGEST_S = 4.0


@dataclass(frozen=True, kw_only=True)
class Fault:
    """One fault: when it begins (s from the start), how long it lasts, and whom it befalls."""

    at: float
    kind: str
    target: str
    for_s: float

    @property
    def until(self) -> float:
        """Return when it ends."""
        return self.at + self.for_s


def draw_faults(seed: int, seconds: float, nodes: list[str], upstreams: list[str]) -> list[Fault]:
    """Return the faults of a run in order of time; the same for the same arguments."""
    draw = random.Random(seed)
    faults = []
    at = draw.uniform(0.5, LONGEST_GAP_S)
    while at < seconds:
        kind = draw.choice(KINDS)
        series = draw.choice((1, 1, 1, 2, 3))
        for _ in range(series):
            faults.append(
                Fault(
                    at=at,
                    kind=kind,
                    target=_draw_target(draw, kind, nodes, upstreams),
                    for_s=draw.uniform(0.3, LONGEST_S),
                )
            )
            at += draw.uniform(0.05, 0.6)
        at += draw.uniform(0.0, LONGEST_GAP_S)
    return faults


def _draw_target(draw: random.Random, kind: str, nodes: list[str], upstreams: list[str]) -> str:
    if kind.startswith("node"):
        return draw.choice(nodes)
    if kind.startswith("upstream"):
        return draw.choice(upstreams)
    if kind == "drain":
        return draw.choice([name for name in upstreams if name.startswith("e")])
    if kind.startswith("link"):
        return draw.choice(nodes + upstreams)
    return "store"
