"""Sends the requests that may crash an upstream apart from each other, over all VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from cactusshunt.membership.messages import PartReport
from cactusshunt.quarantine.probe_claims import CLAIM_REPEAT_S
from cactusshunt.quarantine.probe_claims import ProbeClaims
from cactusshunt.quarantine.subject import Subject

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from cactusshunt.quarantine.crash_evidence import CrashEvidence
    from cactusshunt.requests.job import Job
    from cactusshunt.routing.upstream import Upstream
    from cactusshunt.routing.upstream_directory import UpstreamDirectory

LAST_PROBE = "probe:"  # claimed for the probe of a subject that one more crash may convict


class Probes:
    """The requests that this VM sends, or is about to, to find out what crashes upstreams.

    ``list_outstanding`` returns this VM's requests at an upstream; ``on_released`` is called when
    claims end, so that others that wait for them go on.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        vm: str,
        directory: UpstreamDirectory,
        evidence: CrashEvidence,
        broadcast: Callable[[PartReport], None],
        list_outstanding: Callable[[Upstream], Iterable[Job]],
        on_released: Callable[[], None],
    ) -> None:
        self._reactor = reactor
        self._vm = vm
        self._directory = directory
        self._evidence = evidence
        self._broadcast = broadcast
        self._list_outstanding = list_outstanding
        self._on_released = on_released
        self._claims = ProbeClaims(vm=vm)
        self._probes: dict[Subject, Job] = {}

    def begin(self, job: Job, suspects: list[Subject], now: float) -> bool:
        """Return whether the request may be sent now; claims that do not lead there end."""
        claims = self._plan(job, suspects, now)
        if not claims or not self._claim(job, claims, now):
            self.release(job)
            return False
        return all(self._claims.holds(subject, now) for subject in claims)

    def holds(self, job: Job, subject: Subject, now: float) -> bool:
        """Return whether a request may be sent as the probe of a subject."""
        return self._probes.get(subject) is job and self._claims.holds(subject, now)

    def release(self, job: Job) -> None:
        """End the claims of a request."""
        released = [subject for subject, probe in self._probes.items() if probe is job]
        for subject in released:
            del self._probes[subject]
            self._claims.release(self._vm, subject)
        if released:
            names = [subject.name for subject in released]
            self._broadcast(PartReport(vm=self._vm, service=job.service, released=names))
            self._on_released()

    def apply_claims(self, report: PartReport) -> None:
        """Apply what another VM claims, or no longer claims."""
        now = self._now()
        for name in report.claimed:
            self._claims.apply(report.vm, Subject(service=report.service, name=name), now)
        for name in report.released:
            self._claims.release(report.vm, Subject(service=report.service, name=name))

    def _plan(self, job: Job, suspects: list[Subject], now: float) -> list[Subject]:
        """Return what to claim for a probe, if it may be sent now, and set where to send it."""
        if not all(self._evidence.may_probe(subject, now) for subject in suspects):
            return []
        unanswered = [subject for subject in suspects if not self._evidence.had_answer(subject)]
        is_grave = any(self._evidence.is_nearly_convicted(subject, now) for subject in unanswered)
        is_repeat = job.last_sent_at is not None
        if is_grave and is_repeat and not all(subject.is_request for subject in unanswered):
            return []  # a crash under another request says more about a part
        job.probe_upstreams = None
        if is_grave or any(subject.is_request for subject in unanswered):
            job.probe_upstreams = self._list_upstreams(job, now, spare_last=is_grave)
        if job.probe_upstreams is not None and not job.probe_upstreams:
            return []
        last_probe = [Subject(service=job.service, name=LAST_PROBE)] if is_grave else []
        return [*suspects, *last_probe]

    def _list_upstreams(self, job: Job, now: float, *, spare_last: bool) -> frozenset[str] | None:
        """Return the upstreams at which a crash under this request harms the fewest others.

        With ``spare_last`` the only sound one counts only while nothing runs there. ``None`` means
        any, since none holds the request's model yet.
        """
        usable = self._directory.usable(job.service)
        if job.generation is not None:
            model, adapter = job.generation.model, job.generation.adapter
            usable = [found for found in usable if found.holds(model, adapter, now)]
            if not usable:
                return None
        sound = [
            found
            for found in usable
            if not found.failure_history.resting(now) and found.paused_until <= now
        ]
        spares = spare_last and len(sound) == 1
        return frozenset(
            found.name
            for found in sound
            if found.name not in job.excluded_upstreams
            and not self.is_at(found, job)
            and not (spares and found.total_running(now))
        )

    def is_at(self, upstream: Upstream, job: Job) -> bool:
        """Return whether another request that may crash the upstream is at it."""
        return any(
            other is not job and other.probe_upstreams is not None
            for other in self._list_outstanding(upstream)
        )

    def _claim(self, job: Job, subjects: list[Subject], now: float) -> bool:
        """Claim all subjects for a request, or none if one is claimed by another."""
        if any(self._is_claimed_elsewhere(subject, job, now) for subject in subjects):
            return False
        new = [subject for subject in subjects if self._probes.get(subject) is not job]
        for subject in subjects:
            self._claims.claim(subject, now)
            self._probes[subject] = job
        if new:
            self._announce_claims(job, new)
        return True

    def _is_claimed_elsewhere(self, subject: Subject, job: Job, now: float) -> bool:
        """Return whether another request, here or at another VM, has a subject."""
        probe = self._probes.get(subject)
        return (probe is not None and probe is not job) or self._claims.is_taken(subject, now)

    def _announce_claims(self, job: Job, subjects: list[Subject]) -> None:
        names = [subject.name for subject in subjects]
        self._broadcast(PartReport(vm=self._vm, service=job.service, claimed=names))
        self._reactor.callLater(CLAIM_REPEAT_S, self._repeat_claims, job, subjects)

    def _repeat_claims(self, job: Job, subjects: list[Subject]) -> None:
        kept = [subject for subject in subjects if self._probes.get(subject) is job]
        for subject in kept:
            self._claims.claim(subject, self._now())
        if kept:
            self._announce_claims(job, kept)

    def _now(self) -> float:
        return self._reactor.seconds()  # type: ignore[no-any-return]
