"""Keeps requests that crash engines away from the engines.

While no engine crashes, nothing is sent and requests pass at once (see docs/design/quarantine.md).
"""

from __future__ import annotations

import enum
import random

from collections import defaultdict
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.defer import Deferred

from cactusshunt.decisions.rendezvous import rank_nodes
from cactusshunt.membership.messages import ConvictedPart
from cactusshunt.membership.messages import CrashQuestion
from cactusshunt.membership.messages import CrashReport
from cactusshunt.membership.messages import PartReport
from cactusshunt.quarantine.completion_reports import CompletionReports
from cactusshunt.quarantine.conviction_store import ConvictionStore
from cactusshunt.quarantine.convictions import MAX_REPLY_DELAY_S
from cactusshunt.quarantine.convictions import Convictions
from cactusshunt.quarantine.crash_evidence import Crash
from cactusshunt.quarantine.crash_evidence import CrashEvidence
from cactusshunt.quarantine.crash_evidence import Verdict
from cactusshunt.quarantine.engine_crashes import MAX_CHECK_WAIT_S
from cactusshunt.quarantine.engine_crashes import REPEAT_S
from cactusshunt.quarantine.engine_crashes import EngineCrashes
from cactusshunt.quarantine.probe_claims import SETTLE_S
from cactusshunt.quarantine.probes import Probes
from cactusshunt.quarantine.subject import MAX_LISTED
from cactusshunt.quarantine.subject import Subject
from cactusshunt.quarantine.subject import identify_request
from cactusshunt.quarantine.subject import list_shared_parts
from cactusshunt.quarantine.subject import list_subjects

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from cactusshunt.http1.connection_pool import ConnectionPool
    from cactusshunt.membership.messages import Broadcast
    from cactusshunt.membership.peer_link import PeerLink
    from cactusshunt.platform.store import PlatformStore
    from cactusshunt.platform.store import StoredItem
    from cactusshunt.requests.job import Job
    from cactusshunt.routing.upstream import Upstream
    from cactusshunt.routing.upstream_directory import UpstreamDirectory

MAX_HOLD_S = 1.0  # a request waits this long until another one with the subject is answered
RETRY_AFTER_S = 0.5  # most answers are complete by then
ASKED_VMS = 2  # about an engine that may have crashed; one of them may be cut off as well
SURVIVAL_S = 0.5  # after its first byte; what crashes an upstream does so as it begins

# Why a request is not sent: whether the whole request is the cause, and the verdict.
REASONS: dict[tuple[bool, Verdict], str] = {
    (False, Verdict.SUSPECTED): "a part of the prompt is being probed",
    (False, Verdict.CONVICTED): "a part of the prompt crashes engines",
    (True, Verdict.SUSPECTED): "the request is being probed",
    (True, Verdict.CONVICTED): "the request crashes upstreams",
}


class AttemptEnd(enum.Enum):
    """How an attempt ended, as far as it says what crashes upstreams."""

    ANSWERED = "answered"
    FAILED = "ran, and was answered with a failure"
    BROKEN = "the connection ended before the answer was complete"
    OTHER = "nothing is known"


@dataclass(frozen=True, kw_only=True)
class Block:
    """Why a request is not sent; ``retry_after_s`` is ``None`` if it is not to be sent again."""

    reason: str
    retry_after_s: float | None = None


def _make_block(subject: Subject, verdict: Verdict) -> Block:
    return Block(
        reason=REASONS[(subject.is_request, verdict)],
        retry_after_s=RETRY_AFTER_S if verdict is Verdict.SUSPECTED else None,
    )


class Quarantine:
    """Admits requests, gathers evidence from their ends, and shares it with the other VMs.

    ``on_crash`` is called with an engine that was found to have crashed; ``list_helpers`` returns
    the VMs that heard of a service of late.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        vm: str,
        pool: ConnectionPool,
        directory: UpstreamDirectory,
        link: PeerLink,
        store: PlatformStore,
        measure_store_silence_s: Callable[[], float],
    ) -> None:
        self._reactor = reactor
        self._vm = vm
        self._directory = directory
        self._link = link
        self._random = random.Random()
        self._evidence = CrashEvidence()
        self._outstanding: defaultdict[tuple[str, int], dict[int, Job]] = defaultdict(dict)
        self._probes = Probes(
            reactor=reactor,
            vm=vm,
            directory=directory,
            evidence=self._evidence,
            broadcast=self._broadcast,
            list_outstanding=self._list_outstanding,
            on_released=self._wake,
        )
        self._conviction_store = ConvictionStore(
            reactor=reactor, vm=vm, store=store, evidence=self._evidence, rank=self._rank
        )
        self._completions = CompletionReports(
            reactor=reactor, vm=vm, evidence=self._evidence, broadcast=self._broadcast
        )
        self._convictions = Convictions(
            reactor=reactor,
            vm=vm,
            evidence=self._evidence,
            store=self._conviction_store,
            completions=self._completions,
            broadcast=self._broadcast,
            rank=self._rank,
            on_change=self._wake,
        )
        self._crashes = EngineCrashes(
            reactor=reactor,
            vm=vm,
            pool=pool,
            directory=directory,
            evidence=self._evidence,
            rng=self._random,
            broadcast=self._broadcast,
            measure_store_silence_s=measure_store_silence_s,
            accuse=self._convictions.accuse,
            on_crash=lambda upstream: self.on_crash(upstream),
            on_change=self._wake,
            ask=self._ask,
        )
        self._waiting: list[Deferred[None]] = []
        self._known_peers: frozenset[str] = frozenset()
        self.on_crash: Callable[[Upstream], None] = lambda upstream: None
        self.list_helpers: Callable[[str], list[str]] = lambda service: []

    async def admit(self, job: Job) -> Block | None:
        """Return ``None`` once a request may be sent, or why it may not.

        A request that may crash its upstream is only to be sent to ``job.probe_upstreams``.
        """
        job.probe_upstreams = None
        if self._evidence.is_empty and not self._crashes.is_checking:
            return None
        hold_s = MAX_HOLD_S
        if job.last_sent_at is None:  # else it may have run, and only a repeat can serve it
            hold_s = min(hold_s, job.route.target_latency_ms / 1000.0)
        hold_ends_at = min(job.deadline, self._now() + hold_s)
        while not job.done and not job.connection.disconnected:
            now = self._now()
            verdicts = {subject: self._assess(subject, now) for subject in list_subjects(job)}
            convicted = [
                subject for subject, found in verdicts.items() if found is Verdict.CONVICTED
            ]
            if convicted:
                self.release(job)
                return _make_block(convicted[0], Verdict.CONVICTED)
            suspects = [
                subject for subject, found in verdicts.items() if found is Verdict.SUSPECTED
            ]
            if not self._crashes.is_undecided(job, now) and (
                not suspects or self._probes.begin(job, sorted(suspects), now)
            ):
                return None
            if now >= hold_ends_at:
                self.release(job)
                return _make_block(suspects[0], Verdict.SUSPECTED) if suspects else None
            await self._wait(SETTLE_S)
        return None

    def may_send(self, job: Job, upstream: Upstream) -> bool:
        """Return whether a request that was admitted may still be sent to an upstream."""
        if self._evidence.is_empty:
            return True
        now = self._now()
        if job.probe_upstreams is not None and self._probes.is_at(upstream, job):
            return False
        for subject in list_subjects(job):
            verdict = self._assess(subject, now)
            is_probe = self._probes.holds(job, subject, now)
            if verdict is Verdict.CONVICTED or (verdict is Verdict.SUSPECTED and not is_probe):
                return False
        return True

    def describe_request(self, job: Job) -> tuple[Verdict, list[str]]:
        """Return the gravest verdict on a request, and the names of the subjects that have it."""
        verdicts = {subject: self._assess(subject, self._now()) for subject in list_subjects(job)}
        for verdict in (Verdict.CONVICTED, Verdict.SUSPECTED):
            found = [subject.name for subject, known in verdicts.items() if known is verdict]
            if found:
                return verdict, found[:MAX_LISTED]
        return Verdict.SOUND, []

    def may_hedge(self, job: Job) -> bool:
        """Return whether nothing says that a request may crash upstreams, not even one crash."""
        if self._crashes.is_checking or job.probe_upstreams is not None:
            return False
        if self._evidence.is_empty:
            return True
        return not any(self._evidence.is_accused(subject) for subject in list_subjects(job))

    def join(self, job: Job, second: Job) -> None:
        """Let a request wait for the check of the upstream of its second send, which has ended."""
        self._crashes.join(job, second)

    def begin(self, job: Job, upstream: Upstream) -> None:
        """Record that a request is sent to an upstream."""
        self._outstanding[(upstream.name, upstream.entry.born)][id(job)] = job

    def record_first_byte(self, job: Job, upstream: Upstream) -> None:
        """Clear a request, some time after its answer began, that its upstream has survived."""
        if not self._evidence.is_empty:
            run = (upstream.name, upstream.entry.born)
            self._reactor.callLater(SURVIVAL_S, self._record_survival, run, job, job.last_sent_at)

    def _record_survival(self, run: tuple[str, int], job: Job, sent_at: float | None) -> None:
        is_open = self._outstanding.get(run, {}).get(id(job)) is job
        if is_open and job.last_sent_at == sent_at and not self._crashes.is_checked(run):
            self._record_answer(run, job, AttemptEnd.ANSWERED)

    def end(self, job: Job, upstream: Upstream, *, born: int, end: AttemptEnd) -> None:
        """Record the end of an attempt at the run of an upstream that ``born`` identifies."""
        run = (upstream.name, born)
        outstanding = self._outstanding[run]
        outstanding.pop(id(job), None)
        if end is AttemptEnd.BROKEN:
            self._crashes.check(upstream, run, job, list(outstanding.values()))
        elif end is not AttemptEnd.OTHER:
            self._record_answer(run, job, end)
        if not outstanding:
            self._outstanding.pop(run, None)

    def release(self, job: Job) -> None:
        """End the claims of a request that is done.

        If its upstream may have crashed, they last until the others have been told.
        """
        if self._crashes.stop_waiting(job):
            self._reactor.callLater(MAX_CHECK_WAIT_S, self._probes.release, job)
        else:
            self._probes.release(job)

    @singledispatchmethod
    def apply_message(
        self, message: CrashReport | CrashQuestion | PartReport | ConvictedPart
    ) -> None:
        """Apply another VM's message."""
        raise TypeError(type(message))

    @apply_message.register
    def _apply_crash(self, report: CrashReport) -> None:
        crash = Crash(upstream=report.upstream, born=report.born, version=report.version)
        if report.alive:
            self._crashes.void(crash)
            return
        subjects = [Subject(service=report.service, name=name) for name in report.parts]
        self._crashes.record(crash, subjects, self._now() - report.age_ms / 1000.0)
        delay_s = self._random.uniform(0.0, MAX_REPLY_DELAY_S)
        self._reactor.callLater(delay_s, self._completions.report, subjects)

    @apply_message.register
    def _apply_question(self, question: CrashQuestion) -> None:
        self._crashes.answer_question(question)

    @apply_message.register
    def _apply_subject_report(self, report: PartReport) -> None:
        now = self._now()
        for name, age_ms in report.completed.items():
            subject = Subject(service=report.service, name=name)
            self._completions.remember(subject, now - age_ms / 1000.0)
            self._record_completion(subject, now - age_ms / 1000.0)
        questioned = [Subject(service=report.service, name=name) for name in report.questioned]
        if questioned:
            delay_s = self._random.uniform(0.0, MAX_REPLY_DELAY_S)
            self._reactor.callLater(delay_s, self._completions.answer_question, questioned, now)
        self._probes.apply_claims(report)
        self._wake()

    @apply_message.register
    def _apply_conviction(self, message: ConvictedPart) -> None:
        self._convictions.apply_message(message)

    def apply_stored_item(self, item: StoredItem) -> None:
        """Apply a conviction in the store, or its removal, by which an operator lifts it."""
        self._convictions.apply_stored_item(item)

    def lift(self, service: str, name: str) -> bool:
        """Lift a conviction for all VMs; return whether there was one."""
        subject = Subject(service=service, name=name)
        if not self._convictions.lift(subject, "an operator lifted it"):
            return False
        self._conviction_store.start_removal(subject)
        return True

    def tick(self) -> None:
        """Tell VMs that are new of the evidence, and forget convictions that ended long ago."""
        now = self._now()
        peers = frozenset(self._link.peers)
        new_peers, self._known_peers = peers - self._known_peers, peers
        if new_peers and not self._evidence.is_empty:
            self._inform(sorted(new_peers), now)
        self._crashes.report_next_starts()
        self._convictions.end_expired(now)

    def describe(self, now: float) -> list[dict[str, Any]]:
        """Return the suspected and convicted subjects, the gravest first, for the state dump."""
        suspects = sorted(self._evidence.list_suspects(now).items(), key=lambda found: -found[1])
        return [
            {
                "service": subject.service,
                "part": subject.name,
                "verdict": verdict.name.lower(),
                "crashed": self._evidence.list_crashed_engines(subject),
                "left_s": (
                    round(self._evidence.convictions[subject].ends_at - now, 1)
                    if subject in self._evidence.convictions
                    else None
                ),
            }
            for subject, verdict in suspects
        ]

    def _assess(self, subject: Subject, now: float) -> Verdict:
        """Return the verdict; new software of all upstreams makes a subject probed again."""
        verdict = self._evidence.assess(subject, now)
        if verdict is not Verdict.CONVICTED:
            return verdict
        conviction = self._evidence.convictions.get(subject)
        if conviction is None:
            return verdict
        versions = {
            str(found.entry.version) for found in self._directory.of_service(subject.service)
        }
        replaced = bool(versions) and not versions & conviction.versions
        return Verdict.SUSPECTED if replaced else verdict

    def _list_outstanding(self, upstream: Upstream) -> Iterable[Job]:
        return self._outstanding.get((upstream.name, upstream.entry.born), {}).values()

    def _record_answer(self, run: tuple[str, int], job: Job, end: AttemptEnd) -> None:
        now = self._now()
        parts = list_shared_parts(job) if end is AttemptEnd.ANSWERED else ()
        self._crashes.record_answer(run, job)
        suspected = [subject for subject in parts if self._record_completion(subject, now)]
        if not self._evidence.is_empty or self._crashes.has_unproven:
            request = identify_request(job)
            if self._record_completion(request, now):
                suspected.append(request)
        if suspected:
            self._completions.report(suspected)
            self._wake()

    def _record_completion(self, subject: Subject, at: float) -> bool:
        """Record a completed answer; return whether the subject was suspected or convicted."""
        was_suspected = self._evidence.record_completion(subject, at)
        return self._convictions.refute(subject) or was_suspected

    def _inform(self, peers: list[str], now: float) -> None:
        for report in self._crashes.list_reports(now):
            self._link.send(report, peers)
        for conviction in self._evidence.convictions.values():
            self._link.send(self._convictions.describe_conviction(conviction), peers)

    def _ask(self, question: CrashQuestion) -> None:
        """Send a question, twice, to VMs that heard of the service of late, else to any."""
        peers = self._link.list_crash_question_peers()
        helpers = sorted(set(self.list_helpers(question.service)) & set(peers)) or sorted(peers)
        asked = self._random.sample(helpers, min(ASKED_VMS, len(helpers)))
        self._link.send(question, asked)
        self._reactor.callLater(REPEAT_S, self._link.send, question, asked)

    def _rank(self, subject: Subject) -> int:
        return rank_nodes([self._vm, *self._link.peers], subject.name).index(self._vm)

    def _broadcast(self, message: Broadcast) -> None:
        self._link.broadcast(message)

    def _wait(self, seconds: float) -> Deferred[None]:
        changed: Deferred[None] = Deferred()
        self._waiting.append(changed)
        self._reactor.callLater(seconds, self._end_wait, changed)
        return changed

    def _end_wait(self, changed: Deferred[None]) -> None:
        if changed in self._waiting:
            self._waiting.remove(changed)
            changed.callback(None)

    def _wake(self) -> None:
        waiting, self._waiting = self._waiting, []
        for changed in waiting:
            changed.callback(None)

    def _now(self) -> float:
        return self._reactor.seconds()  # type: ignore[no-any-return]
