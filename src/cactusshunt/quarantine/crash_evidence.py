"""Which subjects, such as parts of prompts, are suspected of crashing engines.

An engine that crashes leaves unanswered requests behind, with many subjects: one of them may have
crashed it, the others are shared with sound requests. A subject on which an answer was completed
since is sound. What remains through several crashes is convicted.
"""

from __future__ import annotations

import enum

from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cactusshunt.quarantine.subject import Subject

# A subject that no answer was ever completed on is suspected after the first crash. One that was
# sound before may have been at several engines that a common cause ended at the same moment.
CRASHES_TO_SUSPECT, CRASHES_TO_CONVICT = 1, 3
EPISODES_TO_SUSPECT, EPISODES_TO_CONVICT = 2, 4
MIN_EPISODES_TO_CONVICT = 2  # a common cause may end any number of engines at once
MOMENT_S = 0.03  # engines that end within it, as a rack does, are one crash of a whole request
EPISODE_S = 0.5  # crashes within this time of the first one are one episode
CONFIRMATION_S = 0.1  # in which peers tell that they had answers on the subject, twice
SUSPICION_S = 600.0  # after the last crash
CONVICTION_S = 600.0  # until one request may probe a subject again
# Of parts and of requests, about 2 MB each; the least recently completed ones are forgotten.
MAX_SOUND_SUBJECTS = 8_192
MAX_SUSPECTS = 1_024  # above it, those of a single crash are forgotten first


class Verdict(enum.IntEnum):
    """What is to be done with requests that have a subject; the larger value is the graver."""

    SOUND = 0
    SUSPECTED = 1  # one request at a time, over all VMs
    CONVICTED = 2  # none


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
    """A convicted subject: engines that crashed, their software versions, its end."""

    subject: Subject
    engines: tuple[str, ...]
    versions: frozenset[str]
    last_crash_at: float
    ends_at: float


@dataclass(kw_only=True)
class _Suspect:
    crashes: dict[tuple[str, int], tuple[float, str]] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True)
class _Weight:
    count: int
    to_suspect: int
    to_convict: int

    @property
    def convicts(self) -> bool:
        return self.count >= self.to_convict


class CrashEvidence:
    """Crashes, completed answers and convictions, as far as this VM knows them.

    Times are reactor time in seconds. The number of subjects that are remembered is bounded.
    """

    def __init__(self) -> None:
        self._completed_parts: OrderedDict[Subject, float] = OrderedDict()
        self._completed_requests: OrderedDict[Subject, float] = OrderedDict()
        self._suspects: OrderedDict[Subject, _Suspect] = OrderedDict()
        self.convictions: dict[Subject, Conviction] = {}

    @property
    def is_empty(self) -> bool:
        """Return whether no subject is suspected or convicted."""
        return not self._suspects and not self.convictions

    def is_accused(self, subject: Subject) -> bool:
        """Return whether a subject is convicted, or was in a request at the crash of an engine."""
        return subject in self._suspects or subject in self.convictions

    def record_crash(self, crash: Crash, subjects: Iterable[Subject], at: float) -> None:
        """Record the subjects of requests that an engine had not answered when it crashed.

        Those on which an answer was completed since are sound.
        """
        for subject in subjects:
            if self._find_completed(subject).get(subject, float("-inf")) >= at:
                continue
            suspect = self._suspects.setdefault(subject, _Suspect())
            suspect.crashes.setdefault(crash.run, (at, crash.version))
            self._suspects.move_to_end(subject)
            if len(self._suspects) > MAX_SUSPECTS:
                self._forget_suspect()

    def _forget_suspect(self) -> None:
        """Forget the suspect of one crash that was accused least recently, else the first one."""
        single = (subject for subject, found in self._suspects.items() if len(found.crashes) == 1)
        del self._suspects[next(single, next(iter(self._suspects)))]

    def void_crash(self, crash: Crash) -> None:
        """Forget a crash, because the engine has answered a request that was sent later."""
        for subject in list(self._suspects):
            self._suspects[subject].crashes.pop(crash.run, None)
            if not self._suspects[subject].crashes:
                del self._suspects[subject]

    def record_completion(self, subject: Subject, at: float) -> bool:
        """Record a completed answer; return whether the subject was suspected before."""
        completed = self._find_completed(subject)
        if at <= completed.get(subject, float("-inf")):
            return False
        completed[subject] = at
        completed.move_to_end(subject)
        if len(completed) > MAX_SOUND_SUBJECTS:
            completed.popitem(last=False)
        suspect = self._suspects.get(subject)
        if suspect is None:
            return False
        suspect.crashes = {run: found for run, found in suspect.crashes.items() if found[0] > at}
        if not suspect.crashes:
            del self._suspects[subject]
        return True

    def completed_at(self, subject: Subject) -> float | None:
        """Return when an answer on a subject was last completed, as far as it is remembered."""
        return self._find_completed(subject).get(subject)

    def convict(self, conviction: Conviction) -> None:
        """Add a conviction; a known one of the subject stays."""
        self.convictions.setdefault(conviction.subject, conviction)

    def lift(self, subject: Subject) -> bool:
        """Forget a conviction and all suspicion of a subject; return whether it was convicted."""
        self._suspects.pop(subject, None)
        return self.convictions.pop(subject, None) is not None

    def assess(self, subject: Subject, now: float) -> Verdict:
        """Return the verdict on a subject."""
        crashes = self._list_crashes(subject, now)
        conviction = self.convictions.get(subject)
        if conviction is not None:
            probe_crashed = bool(crashes) and crashes[-1] >= conviction.ends_at
            is_over = now >= conviction.ends_at and not probe_crashed
            return Verdict.SUSPECTED if is_over else Verdict.CONVICTED
        if not crashes:
            return Verdict.SOUND
        weight = self._weigh(subject, crashes)
        if weight.convicts and now >= crashes[-1] + CONFIRMATION_S:
            return Verdict.CONVICTED
        return Verdict.SUSPECTED if weight.count >= weight.to_suspect else Verdict.SOUND

    def may_probe(self, subject: Subject, now: float) -> bool:
        """Return whether a request may be sent to find out whether a subject crashes engines.

        That is so once another crash would be an episode of its own. Before, it is so for what is
        probably sound: what had answers before, and whole requests after one crash, since nearly
        all that were at the engine are sound.
        """
        crashes = self._list_crashes(subject, now)
        if not crashes or now >= crashes[-1] + EPISODE_S:
            return True
        if self.had_answer(subject):
            return not self.is_nearly_convicted(subject, now)
        return subject.is_request and len(crashes) == 1

    def is_nearly_convicted(self, subject: Subject, now: float) -> bool:
        """Return whether one more crash may convict a subject."""
        weight = self._weigh(subject, self._list_crashes(subject, now))
        return weight.count >= weight.to_convict - 1

    def had_answer(self, subject: Subject) -> bool:
        """Return whether an answer on a subject is remembered, also from before the crashes."""
        return subject in self._find_completed(subject)

    def make_conviction(self, subject: Subject, now: float) -> Conviction:
        """Return the conviction of a subject from its crashes."""
        crashes = self._suspects[subject].crashes
        return Conviction(
            subject=subject,
            engines=tuple(sorted(upstream for upstream, _ in crashes)),
            versions=frozenset(version for _, version in crashes.values()),
            last_crash_at=max(at for at, _ in crashes.values()),
            ends_at=now + CONVICTION_S,
        )

    def list_suspects(self, now: float) -> dict[Subject, Verdict]:
        """Return all subjects that are not sound, with their verdicts."""
        found = {
            subject: self.assess(subject, now) for subject in [*self.convictions, *self._suspects]
        }
        return {
            subject: verdict for subject, verdict in found.items() if verdict is not Verdict.SOUND
        }

    def list_crashed_engines(self, subject: Subject) -> list[str]:
        """Return the engines that crashed with a subject since it was last sound."""
        conviction = self.convictions.get(subject)
        if conviction is not None:
            return list(conviction.engines)
        suspect = self._suspects.get(subject)
        return sorted({upstream for upstream, _ in suspect.crashes}) if suspect else []

    def _find_completed(self, subject: Subject) -> OrderedDict[Subject, float]:
        """Return the answers on subjects of one kind: many requests do not displace parts."""
        return self._completed_requests if subject.is_request else self._completed_parts

    def _weigh(self, subject: Subject, crashes: list[float]) -> _Weight:
        """Return how many crashes or, with a remembered answer, episodes count."""
        episodes = _count_groups(crashes, EPISODE_S)
        if self.had_answer(subject):
            return _Weight(
                count=episodes, to_suspect=EPISODES_TO_SUSPECT, to_convict=EPISODES_TO_CONVICT
            )
        if subject.is_request:
            count = _count_groups(crashes, MOMENT_S)
        else:
            count = len(crashes) - self._count_repeats(subject)
        if episodes < MIN_EPISODES_TO_CONVICT:
            count = min(count, CRASHES_TO_CONVICT - 1)
        return _Weight(count=count, to_suspect=CRASHES_TO_SUSPECT, to_convict=CRASHES_TO_CONVICT)

    def _count_repeats(self, part: Subject) -> int:
        """Return how many of a part's crashes, but for the first, one whole request may explain.

        That request was at several of the engines, and may crash them with parts that are sound.
        """
        runs = self._suspects.get(part, _Suspect()).crashes.keys()
        shared = (
            len(runs & found.crashes.keys())
            for other, found in self._suspects.items()
            if other.is_request and other.service == part.service
        )
        return max(0, max(shared, default=0) - 1)

    def _list_crashes(self, subject: Subject, now: float) -> list[float]:
        suspect = self._suspects.get(subject)
        if suspect is None:
            return []
        return sorted(at for at, _ in suspect.crashes.values() if now < at + SUSPICION_S)


def _count_groups(crashes: list[float], seconds: float) -> int:
    """Return in how many groups crashes fall, which are ordered by time and last ``seconds``."""
    count = 0
    ends_at = float("-inf")
    for at in crashes:
        if at >= ends_at:
            count += 1
            ends_at = at + seconds
    return count
