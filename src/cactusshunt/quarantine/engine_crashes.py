"""Finds out which engines have crashed, and tells the other VMs."""

from __future__ import annotations

import enum

from collections import OrderedDict
from collections import deque
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from cactusshunt.membership.messages import CrashQuestion
from cactusshunt.membership.messages import CrashReport
from cactusshunt.membership.tenure import STORE_SILENCE_S
from cactusshunt.node_log import log_event
from cactusshunt.quarantine.crash_check import EngineState
from cactusshunt.quarantine.crash_check import check_engine
from cactusshunt.quarantine.crash_evidence import Crash
from cactusshunt.quarantine.subject import MAX_LISTED
from cactusshunt.quarantine.subject import MAX_PARTS_PER_REPORT
from cactusshunt.quarantine.subject import Subject
from cactusshunt.quarantine.subject import list_subjects
from cactusshunt.quarantine.unproven_crashes import UnprovenCrashes
from cactusshunt.tasks.periodic import pause
from cactusshunt.tasks.periodic import start_coroutine

if TYPE_CHECKING:
    import random

    from collections.abc import Callable
    from collections.abc import Iterator

    from cactusshunt.http1.connection_pool import Address
    from cactusshunt.http1.connection_pool import ConnectionPool
    from cactusshunt.quarantine.crash_evidence import CrashEvidence
    from cactusshunt.requests.job import Job
    from cactusshunt.routing.upstream import Upstream
    from cactusshunt.routing.upstream_directory import UpstreamDirectory

REPEAT_S = 0.15  # reports are sent twice, because datagrams may be lost
REPORT_RETENTION_S = 60.0  # of this VM's reports, which are sent to VMs that start later
MAX_OWN_REPORTS = 32
MAX_RUNS = 256  # crashed runs of engines that are remembered
# Time until a restarted engine's new entry is known: one heartbeat of the engine, and the time that
# a VM of a large fleet needs to read it.
ENTRY_LAG_S = 4.0
# Upstreams of the same service, and as many of any service, to which this VM connects during a
# check to see whether its own links work.
CONTROLS = 2
MAX_CHECK_WAIT_S = 0.1  # longest time that a request waits for the check of its engine
# Until a VM that was asked has answered: its own check takes 0.06 s, and a datagram each way.
ANSWER_WAIT_S = 0.1


class Proof(enum.Enum):
    """How this VM knows of a crash, in its log."""

    CONNECTIONS = "it refuses connections"
    NEXT_START = "its entry shows the next start"
    PEER = "another VM reported it"


def _find_run(report: CrashReport) -> tuple[str, int]:
    return report.upstream, report.born


def _is_leaving(upstream: Upstream) -> bool:
    return upstream.removed_at is not None or not upstream.ready


class EngineCrashes:
    """Checks engines that broke connections, and keeps the crashes that this VM knows of.

    ``accuse`` is called with the subjects that an engine had not answered when it crashed,
    ``on_crash`` with an engine that this VM found to have crashed, and ``on_change`` when requests
    that wait may go on. ``ask`` sends a question to VMs whose links may work.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        vm: str,
        pool: ConnectionPool,
        directory: UpstreamDirectory,
        evidence: CrashEvidence,
        rng: random.Random,
        broadcast: Callable[[CrashReport], None],
        measure_store_silence_s: Callable[[], float],
        accuse: Callable[[list[Subject]], None],
        on_crash: Callable[[Upstream], None],
        on_change: Callable[[], None],
        ask: Callable[[CrashQuestion], None],
    ) -> None:
        self._ask = ask
        self._measure_store_silence_s = measure_store_silence_s
        self._reactor = reactor
        self._vm = vm
        self._pool = pool
        self._directory = directory
        self._evidence = evidence
        self._random = rng
        self._broadcast = broadcast
        self._accuse = accuse
        self._on_crash = on_crash
        self._on_change = on_change
        self._checks: dict[tuple[str, int], set[Subject]] = {}
        self._own_checks: set[tuple[str, int]] = set()  # not only for a VM that asked
        self._unproven = UnprovenCrashes(directory=directory)
        self._undecided: dict[int, tuple[tuple[str, int], float]] = {}
        self._crashed_runs: OrderedDict[tuple[str, int], tuple[Crash, float]] = OrderedDict()
        # Runs that crashed, and then answered, with the time of the crash: a run may crash again.
        self._doubted: set[tuple[tuple[str, int], float]] = set()
        self._own_reports: deque[tuple[float, CrashReport]] = deque(maxlen=MAX_OWN_REPORTS)

    @property
    def is_checking(self) -> bool:
        """Whether the check of any engine is in progress."""
        return bool(self._checks)

    @property
    def has_unproven(self) -> bool:
        """Whether any engine may have crashed while this VM's links were cut."""
        return not self._unproven.is_empty

    def is_checked(self, run: tuple[str, int]) -> bool:
        """Return whether the check of a run of an engine is in progress."""
        return run in self._checks

    def is_undecided(self, job: Job, now: float) -> bool:
        """Return whether a request still waits for the check of its last upstream."""
        run, wait_ends_at = self._undecided.get(id(job), (None, now))
        return run in self._checks and now < wait_ends_at

    def join(self, job: Job, second: Job) -> None:
        """Let a request wait for the check of the upstream of its second send, which has ended."""
        undecided = self._undecided.pop(id(second), None)
        if undecided is not None:
            self._undecided[id(job)] = undecided

    def stop_waiting(self, job: Job) -> bool:
        """Forget that a request waits; return whether its last upstream is still being checked."""
        run, _ = self._undecided.pop(id(job), (None, 0.0))
        return run in self._checks

    def check(
        self, upstream: Upstream, run: tuple[str, int], job: Job, unanswered: list[Job]
    ) -> None:
        """Find out whether an upstream crashed under requests, unless it was leaving anyway."""
        if _is_leaving(upstream) or self._has_reported(run):
            return
        subjects = {subject for found in (job, *unanswered) for subject in list_subjects(found)}
        if run in self._crashed_runs:  # another VM has found out
            self._report_crash(self._crashed_runs[run][0], job.service, subjects, Proof.PEER)
            return
        self._undecided[id(job)] = (run, self._now() + MAX_CHECK_WAIT_S)
        self._own_checks.add(run)
        known = self._checks.get(run)
        if known is not None:
            known |= subjects
            self._unproven.extend(run, subjects)
            return
        crash = Crash(upstream=run[0], born=run[1], version=str(upstream.entry.version))
        self._begin_check(upstream, crash, job.service, subjects)

    def answer_question(self, question: CrashQuestion) -> None:
        """Check an engine for a VM whose links may be cut; a crash is reported to all VMs."""
        crash = Crash(upstream=question.upstream, born=question.born, version=question.version)
        subjects = {Subject(service=question.service, name=name) for name in question.parts}
        found = self._directory.find(crash.upstream)
        if found is None or found.entry.born != crash.born or _is_leaving(found):
            return
        if self._has_reported(crash.run):
            return  # the VM that asks adds its own subjects to that report
        if crash.run in self._crashed_runs:
            self._report_crash(crash, question.service, subjects, Proof.PEER)
        elif crash.run in self._checks:
            self._checks[crash.run] |= subjects
        else:
            self._begin_check(found, crash, question.service, subjects)

    def report_next_starts(self) -> None:
        """Report the runs in question whose engines have started again."""
        for unproven in self._unproven.take_ended(self._now()):
            self._report_crash(
                unproven.crash,
                unproven.service,
                unproven.subjects,
                Proof.NEXT_START,
                unproven.broke_at,
            )

    def _begin_check(
        self, upstream: Upstream, crash: Crash, service: str, subjects: set[Subject]
    ) -> None:
        self._checks[crash.run] = subjects
        start_coroutine(self._confirm_crash(upstream, crash, service))

    def _has_reported(self, run: tuple[str, int]) -> bool:
        return any(_find_run(report) == run for _, report in self._own_reports)

    def record_answer(self, run: tuple[str, int], job: Job) -> None:
        """Doubt the crash of a run that has answered a request that was sent after it."""
        crashed = self._crashed_runs.get(run)
        if crashed is not None and (job.last_sent_at or 0.0) > crashed[1]:
            self._doubt_crash(crashed[0], crashed[1], job.service)

    def record(
        self, crash: Crash, subjects: list[Subject], at: float, proof: Proof = Proof.PEER
    ) -> None:
        """Record a crash, and the subjects that the engine had not answered."""
        unproven = self._unproven.take(crash.run)
        if crash.run not in self._crashed_runs:
            log_event(
                "engine_crashed",
                upstream=crash.upstream,
                version=crash.version,
                parts=[subject.name for subject in subjects[:MAX_LISTED]],
                proof=proof.value,
            )
            self._crashed_runs[crash.run] = (crash, at)
            if len(self._crashed_runs) > MAX_RUNS:
                self._crashed_runs.popitem(last=False)
        self._evidence.record_crash(crash, subjects, at)
        self._accuse(subjects)
        self._on_change()
        unreported = unproven.subjects.difference(subjects) if unproven is not None else set()
        if unproven is not None and unreported:
            self._report_crash(crash, unproven.service, unreported, proof, at)

    def void(self, crash: Crash) -> None:
        """Forget a crash, so that a later one of the same run of the engine counts."""
        self._crashed_runs.pop(crash.run, None)
        kept = [(at, report) for at, report in self._own_reports if _find_run(report) != crash.run]
        self._own_reports = deque(kept, maxlen=MAX_OWN_REPORTS)
        self._evidence.void_crash(crash)
        self._on_change()

    def list_reports(self, now: float) -> Iterator[CrashReport]:
        """Return this VM's recent reports, with their ages, for a VM that has not had them."""
        for at, report in self._own_reports:
            if now - at < REPORT_RETENTION_S:
                age_ms = int((now - at) * 1000)
                yield msgspec.structs.replace(report, age_ms=age_ms)

    async def _confirm_crash(self, upstream: Upstream, crash: Crash, service: str) -> None:
        others = self._list_other_addresses(upstream)
        try:
            state = await check_engine(self._reactor, self._pool, upstream.address, others)
            if state is EngineState.UNKNOWN and crash.run in self._own_checks:
                self._question(crash, service)
                await pause(self._reactor, ANSWER_WAIT_S)
        finally:
            subjects = self._checks.pop(crash.run)
            self._own_checks.discard(crash.run)
        if state is EngineState.CRASHED:
            self._on_crash(upstream)
            self._report_crash(crash, service, subjects, Proof.CONNECTIONS)
        else:
            self._on_change()

    def _question(self, crash: Crash, service: str) -> None:
        """Keep a run that may have crashed, and ask VMs whose links may work about it.

        What it left unanswered and is found until they have answered is kept with it as well.
        """
        subjects = self._checks[crash.run]
        if not self._unproven.add(crash, service, subjects, self._now()):
            return
        log_event("crash_unproven", upstream=crash.upstream, version=crash.version)
        names = [subject.name for subject in sorted(subjects)]
        for begin in range(0, len(names), MAX_PARTS_PER_REPORT):
            self._ask(
                CrashQuestion(
                    vm=self._vm,
                    service=service,
                    upstream=crash.upstream,
                    born=crash.born,
                    version=crash.version,
                    parts=names[begin : begin + MAX_PARTS_PER_REPORT],
                )
            )

    def _list_other_addresses(self, upstream: Upstream) -> list[Address]:
        """Return the addresses of some other upstreams that are not known to have crashed."""
        others = [
            found
            for found in self._directory.all()
            if found.ready
            and found is not upstream
            and (found.name, found.entry.born) not in self._crashed_runs
        ]
        same_service = [found for found in others if found.entry.service == upstream.entry.service]
        chosen = self._random.sample(same_service, min(CONTROLS, len(same_service)))
        chosen += self._random.sample(others, min(CONTROLS, len(others)))
        return [found.address for found in chosen]

    def _doubt_crash(self, crash: Crash, crashed_at: float, service: str) -> None:
        """Find out whether an answer came from the run that crashed, or from the next one."""
        if (crash.run, crashed_at) not in self._doubted:
            self._doubted.add((crash.run, crashed_at))
            self._reactor.callLater(ENTRY_LAG_S, self._void_if_alive, crash, crashed_at, service)

    def _void_if_alive(self, crash: Crash, crashed_at: float, service: str) -> None:
        """Forget a crash if the entry would show the next run by now, and does not."""
        self._doubted.discard((crash.run, crashed_at))
        if self._crashed_runs.get(crash.run) != (crash, crashed_at):
            return  # another VM reported that the run is alive; it may have crashed since
        if self._measure_store_silence_s() >= STORE_SILENCE_S:
            self._doubt_crash(crash, crashed_at, service)
            return
        found = self._directory.find(crash.upstream)
        if found is not None and found.entry.born == crash.born:
            self.void(crash)
            self._report_alive(crash, service)

    def _report_alive(self, crash: Crash, service: str) -> None:
        log_event("engine_alive", upstream=crash.upstream)
        self._broadcast(self._make_report(crash, service, [], alive=True))

    def _make_report(
        self, crash: Crash, service: str, names: list[str], *, alive: bool = False
    ) -> CrashReport:
        return CrashReport(
            vm=self._vm,
            service=service,
            upstream=crash.upstream,
            born=crash.born,
            version=crash.version,
            age_ms=0,
            parts=names,
            alive=alive,
        )

    def _report_crash(
        self,
        crash: Crash,
        service: str,
        subjects: set[Subject],
        proof: Proof,
        crashed_at: float | None = None,
    ) -> None:
        """Record a crash at a time, by default now, and tell the other VMs."""
        at = self._now() if crashed_at is None else crashed_at
        names = [subject.name for subject in sorted(subjects)]
        self.record(crash, sorted(subjects), at, proof)
        for begin in range(0, max(1, len(names)), MAX_PARTS_PER_REPORT):
            part_names = names[begin : begin + MAX_PARTS_PER_REPORT]
            report = self._make_report(crash, service, part_names)
            self._own_reports.append((at, report))
            age_ms = int((self._now() - at) * 1000)
            self._broadcast(msgspec.structs.replace(report, age_ms=age_ms))
            self._reactor.callLater(REPEAT_S, self._repeat_report, at, report)

    def _repeat_report(self, crashed_at: float, report: CrashReport) -> None:
        if any(kept is report for _, kept in self._own_reports):  # else the crash was voided
            age_ms = int((self._now() - crashed_at) * 1000)
            self._broadcast(msgspec.structs.replace(report, age_ms=age_ms))

    def _now(self) -> float:
        return self._reactor.seconds()  # type: ignore[no-any-return]
