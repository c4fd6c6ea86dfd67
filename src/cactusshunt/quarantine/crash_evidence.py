"""Which parts of prompts are suspected of crashing engines.

An engine that crashes leaves unanswered requests behind, with many parts of prompts: one of them
may have crashed it, the others are shared with sound requests. A part on which an answer was
completed since is sound. What remains through several crashes is convicted.
"""

from __future__ import annotations

import enum

from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# A part that no answer was ever completed on is suspected after the first crash. One that was
# sound before may have been at several engines that a common cause ended at the same moment.
CRASHES_TO_SUSPECT, CRASHES_TO_CONVICT = 1, 3
EPISODES_TO_SUSPECT, EPISODES_TO_CONVICT = 2, 4
MIN_EPISODES_TO_CONVICT = 2  # a common cause may end any number of engines at once
EPISODE_S = 0.5  # crashes within this time of the first one are one episode
CONFIRMATION_S = 0.1  # in which peers tell that they had answers on the part, twice
SUSPICION_S = 600.0  # after the last crash
CONVICTION_S = 600.0  # until one request may probe a part again
MAX_SOUND_PARTS = 8_192  # about 2 MB; the least recently completed ones are forgotten
MAX_SUSPECTS = 1_024  # the least recently suspected ones are forgotten


class Verdict(enum.IntEnum):
    """What is to be done with requests that have a part; the larger value is the graver."""

    SOUND = 0
    SUSPECTED = 1  # one request at a time, over all VMs
    CONVICTED = 2  # none


@dataclass(frozen=True, kw_only=True, order=True)
class Part:
    """A part of prompts to one service."""

    service: str
    name: str


@dataclass(frozen=True, kw_only=True)
class Crash:
    """The end of one run of an engine, and the version of its software."""

    upstream: str
    born: int
    version: str = ""

    @property
    def run(self) -> tuple[str, int]:
        """Return what tells this run of the engine from all others."""
        return self.upstream, self.born


@dataclass(frozen=True, kw_only=True)
class Conviction:
    """A convicted part: engines that crashed, their software versions, and the conviction's end."""

    part: Part
    engines: tuple[str, ...]
    versions: frozenset[str]
    last_crash_at: float
    ends_at: float


@dataclass(kw_only=True)
class _Suspect:
    crashes: dict[tuple[str, int], tuple[float, str]] = field(default_factory=dict)


class CrashEvidence:
    """Crashes, completed answers and convictions, as far as this VM knows them.

    Times are reactor time in seconds. The number of parts that are remembered is bounded.
    """

    def __init__(self) -> None:
        self._completed: OrderedDict[Part, float] = OrderedDict()
        self._suspects: OrderedDict[Part, _Suspect] = OrderedDict()
        self.convictions: dict[Part, Conviction] = {}

    @property
    def is_empty(self) -> bool:
        """Return whether no part is suspected or convicted."""
        return not self._suspects and not self.convictions

    def record_crash(self, crash: Crash, parts: Iterable[Part], at: float) -> None:
        """Record the parts of requests that an engine had not answered when it crashed."""
        for part in parts:
            suspect = self._suspects.setdefault(part, _Suspect())
            suspect.crashes.setdefault(crash.run, (at, crash.version))
            self._suspects.move_to_end(part)
            if len(self._suspects) > MAX_SUSPECTS:
                self._suspects.popitem(last=False)

    def void_crash(self, crash: Crash) -> None:
        """Forget a crash, because the engine has answered a request that was sent later."""
        for part in list(self._suspects):
            self._suspects[part].crashes.pop(crash.run, None)
            if not self._suspects[part].crashes:
                del self._suspects[part]

    def record_completion(self, part: Part, at: float) -> bool:
        """Record a completed answer; return whether the part was suspected before."""
        if at <= self._completed.get(part, float("-inf")):
            return False
        self._completed[part] = at
        self._completed.move_to_end(part)
        if len(self._completed) > MAX_SOUND_PARTS:
            self._completed.popitem(last=False)
        suspect = self._suspects.get(part)
        if suspect is None:
            return False
        suspect.crashes = {run: found for run, found in suspect.crashes.items() if found[0] > at}
        if not suspect.crashes:
            del self._suspects[part]
        return True

    def completed_at(self, part: Part) -> float | None:
        """Return when an answer on a part was last completed, as far as it is remembered."""
        return self._completed.get(part)

    def convict(self, conviction: Conviction) -> None:
        """Add a conviction; a known one of the part stays."""
        self.convictions.setdefault(conviction.part, conviction)

    def lift(self, part: Part) -> bool:
        """Forget a conviction and all suspicion of a part; return whether it was convicted."""
        self._suspects.pop(part, None)
        return self.convictions.pop(part, None) is not None

    def assess(self, part: Part, now: float) -> Verdict:
        """Return the verdict on a part."""
        crashes = self._list_crashes(part, now)
        conviction = self.convictions.get(part)
        if conviction is not None:
            probe_crashed = bool(crashes) and crashes[-1] >= conviction.ends_at
            is_over = now >= conviction.ends_at and not probe_crashed
            return Verdict.SUSPECTED if is_over else Verdict.CONVICTED
        if not crashes:
            return Verdict.SOUND
        if part in self._completed:
            count = _count_episodes(crashes)
            to_suspect, to_convict = EPISODES_TO_SUSPECT, EPISODES_TO_CONVICT
        else:
            count = len(crashes)
            to_suspect, to_convict = CRASHES_TO_SUSPECT, CRASHES_TO_CONVICT
            if _count_episodes(crashes) < MIN_EPISODES_TO_CONVICT:
                count = min(count, to_convict - 1)
        if count >= to_convict and now >= crashes[-1] + CONFIRMATION_S:
            return Verdict.CONVICTED
        return Verdict.SUSPECTED if count >= to_suspect else Verdict.SOUND

    def may_probe(self, part: Part, now: float) -> bool:
        """Return whether a crash now would be another episode than the latest one."""
        crashes = self._list_crashes(part, now)
        return not crashes or now >= crashes[-1] + EPISODE_S

    def make_conviction(self, part: Part, now: float) -> Conviction:
        """Return the conviction of a part from its crashes."""
        crashes = self._suspects[part].crashes
        return Conviction(
            part=part,
            engines=tuple(sorted(upstream for upstream, _ in crashes)),
            versions=frozenset(version for _, version in crashes.values()),
            last_crash_at=max(at for at, _ in crashes.values()),
            ends_at=now + CONVICTION_S,
        )

    def list_suspects(self, now: float) -> dict[Part, Verdict]:
        """Return all parts that are not sound, with their verdicts."""
        found = {part: self.assess(part, now) for part in [*self.convictions, *self._suspects]}
        return {part: verdict for part, verdict in found.items() if verdict is not Verdict.SOUND}

    def list_crashed_engines(self, part: Part) -> list[str]:
        """Return the engines that crashed with a part since it was last sound."""
        conviction = self.convictions.get(part)
        if conviction is not None:
            return list(conviction.engines)
        suspect = self._suspects.get(part)
        return sorted({upstream for upstream, _ in suspect.crashes}) if suspect else []

    def _list_crashes(self, part: Part, now: float) -> list[float]:
        suspect = self._suspects.get(part)
        if suspect is None:
            return []
        return sorted(at for at, _ in suspect.crashes.values() if now < at + SUSPICION_S)


def _count_episodes(crashes: list[float]) -> int:
    """Return into how many episodes crashes fall, which are ordered by time."""
    count = 0
    ends_at = float("-inf")
    for at in crashes:
        if at >= ends_at:
            count += 1
            ends_at = at + EPISODE_S
    return count
