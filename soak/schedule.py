"""Random schedule of the faults of a run; faults may overlap and come in series."""

from __future__ import annotations

import random

from dataclasses import dataclass

FAULT_KINDS = (  # kinds that are listed twice are drawn twice as often
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
MAX_GAP_S = 2.0
MAX_DURATION_S = 4.0
COPY_GAP_S = 12.0
MAX_COPY_AGE_S = 5.0
DEADLY_BEGIN = (0.2, 0.5)  # parts of a run in which upstreams begin to die of requests
CUT_KINDS = ("cut_silent", "cut_reset", "cut_refuse")
CUT_GAP_S = 15.0
CUT_DURATION_S = (4.0, 9.0)
AWAY_S = (0.05, 0.3, 1.5)
NOTICE_KINDS = ("leaving", "rest", "rest", "taken_up", "odd_entry", "echo")
NOTICE_GAP_S = 4.0
NOTICE_DURATION_S = (2.5, 7.0)
RESTS_S = (0.4, 1.0, 2.5, 4.0)
LIMITS_PER_S = (1.0, 3.0, 8.0)  # callers send tens of requests a second to each upstream
LIMIT_GAP_S = 4.0
MIN_LIMIT_DURATION_S, MAX_LIMIT_DURATION_S = 5.0, 15.0


@dataclass(frozen=True, kw_only=True)
class Fault:
    """A fault, or planned work such as a drain or a new configuration.

    ``at`` is in seconds from the run's start, and in Unix seconds once the run has started;
    ``value`` is the limit of an upstream in requests a second, or how long the store is away before
    it comes back from a copy that it made at ``at``.
    """

    at: float
    kind: str
    target: str
    duration_s: float
    value: float = 0.0

    @property
    def ends_at(self) -> float:
        """Return the end in the same time base as ``at``."""
        return self.at + self.duration_s


def draw_faults(seed: int, seconds: float, nodes: list[str], upstreams: list[str]) -> list[Fault]:
    """Return a run's faults ordered by start time; equal arguments give equal faults."""
    rng = random.Random(seed)
    faults = []
    at = rng.uniform(0.5, MAX_GAP_S)
    while at < seconds:
        kind = rng.choice(FAULT_KINDS)
        series = rng.choice((1, 1, 1, 2, 3))
        for _ in range(series):
            faults.append(
                Fault(
                    at=at,
                    kind=kind,
                    target=_draw_target(rng, kind, nodes, upstreams),
                    duration_s=rng.uniform(0.3, MAX_DURATION_S),
                )
            )
            at += rng.uniform(0.05, 0.6)
        at += rng.uniform(0.0, MAX_GAP_S)
    return faults


def draw_signals(seed: int, seconds: float, nodes: list[str]) -> list[Fault]:
    """Return when nodes get signals in series, apart from a run's other faults."""
    rng = random.Random(f"{seed}/signals")
    return [
        Fault(at=at, kind="node_signals", target=rng.choice(nodes), duration_s=0.0)
        for at in (rng.uniform(0.1, 0.9) * seconds for _ in range(max(1, int(seconds / 8.0))))
    ]


def draw_limits(seed: int, seconds: float, upstreams: list[str]) -> list[Fault]:
    """Return the request limits that upstreams name in a run, apart from its faults."""
    rng = random.Random(f"{seed}/limits")
    limits = []
    at = rng.uniform(0.0, LIMIT_GAP_S)
    while at < seconds:
        limits.append(
            Fault(
                at=at,
                kind="limit",
                target=rng.choice(upstreams),
                duration_s=rng.uniform(MIN_LIMIT_DURATION_S, MAX_LIMIT_DURATION_S),
                value=rng.choice(LIMITS_PER_S),
            )
        )
        at += rng.uniform(0.5, LIMIT_GAP_S)
    return limits


def draw_notices(seed: int, seconds: float, upstreams: list[str]) -> list[Fault]:
    """Return when upstreams say that they leave or rest, and when answers and entries turn odd.

    ``value`` is the Retry-After of a pause, else selects one of the ways in which it can be odd.
    """
    rng = random.Random(f"{seed}/notices")
    notices = []
    at = rng.uniform(0.0, NOTICE_GAP_S)
    while at < seconds:
        kind = rng.choice(NOTICE_KINDS)
        prefix = {"echo": "s", "taken_up": "e"}.get(kind, "")
        notices.append(
            Fault(
                at=at,
                kind=kind,
                target=rng.choice([name for name in upstreams if name.startswith(prefix)]),
                duration_s=rng.uniform(*NOTICE_DURATION_S),
                value=rng.choice(RESTS_S) if kind == "rest" else rng.randrange(100),
            )
        )
        at += rng.uniform(0.2, NOTICE_GAP_S)
    return notices


def draw_copies(seed: int, seconds: float) -> list[Fault]:
    """Return the copies from which the store comes back in a run, some twice in a row."""
    rng = random.Random(f"{seed}/copies")
    copies = []
    at = rng.uniform(0.0, COPY_GAP_S)
    while at < seconds:
        age_s = rng.uniform(0.3, MAX_COPY_AGE_S)
        away_s = rng.choice(AWAY_S)
        copies.append(
            Fault(
                at=at,
                kind="store_copy",
                target="store",
                duration_s=age_s + away_s,
                value=away_s,
            )
        )
        at += age_s + away_s + rng.choice((0.1, rng.uniform(1.0, COPY_GAP_S)))
    return copies


def draw_deadly(seed: int, seconds: float) -> list[Fault]:
    """Return when engines begin to die of a part of prompts, and instances of a whole request."""
    rng = random.Random(f"{seed}/deadly")
    begins = [rng.uniform(*(part * seconds for part in DEADLY_BEGIN)) for _ in range(2)]
    return [
        Fault(at=at, kind=kind, target="upstreams", duration_s=seconds - at)
        for kind, at in zip(("deadly", "deadly_path"), begins, strict=True)
    ]


def draw_cuts(seed: int, seconds: float, nodes: list[str]) -> list[Fault]:
    """Return when some nodes lose their links to all upstreams; several at once, in one way."""
    rng = random.Random(f"{seed}/cuts")
    cuts = []
    at = rng.uniform(0.0, CUT_GAP_S)
    while at < seconds:
        kind = rng.choice(CUT_KINDS)
        duration_s = rng.uniform(*CUT_DURATION_S)
        for node in rng.sample(nodes, rng.randint(1, len(nodes) - 1)):
            cuts.append(Fault(at=at, kind=kind, target=node, duration_s=duration_s))
        at += duration_s + rng.uniform(1.0, CUT_GAP_S)
    return cuts


def draw_brittle(seed: int, seconds: float) -> Fault:
    """Return when the instances of plain services say that they are brittle."""
    rng = random.Random(f"{seed}/brittle")
    begin = rng.uniform(0.0, 0.5 * seconds)
    return Fault(at=begin, kind="brittle", target="upstreams", duration_s=0.5 * seconds)


def _draw_target(rng: random.Random, kind: str, nodes: list[str], upstreams: list[str]) -> str:
    if kind.startswith("node"):
        return rng.choice(nodes)
    if kind.startswith("upstream"):
        return rng.choice(upstreams)
    if kind == "drain":
        return rng.choice([name for name in upstreams if name.startswith("e")])
    if kind.startswith("link"):
        return rng.choice(nodes + upstreams)
    return "store"
