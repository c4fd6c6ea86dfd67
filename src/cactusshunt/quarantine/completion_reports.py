"""Tells the other VMs on which suspected subjects answers were completed."""

from __future__ import annotations

from collections import OrderedDict
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from cactusshunt.membership.messages import PartReport
from cactusshunt.quarantine.subject import MAX_PARTS_PER_REPORT

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from cactusshunt.quarantine.crash_evidence import CrashEvidence
    from cactusshunt.quarantine.subject import Subject

KNOWN_COMPLETION_S = 1.0  # a completion that is newer by less is not reported again


@dataclass(frozen=True, kw_only=True)
class ReportedCompletion:
    """When an answer on a subject was completed, and when this VM sent or got the last report."""

    at: float = float("-inf")
    heard_at: float = float("-inf")


NO_REPORT = ReportedCompletion()


class CompletionReports:
    """Reports each completed answer once, unless another VM asks for it."""

    def __init__(
        self,
        *,
        reactor: Any,
        vm: str,
        evidence: CrashEvidence,
        broadcast: Callable[[PartReport], None],
    ) -> None:
        self._reactor = reactor
        self._vm = vm
        self._evidence = evidence
        self._broadcast = broadcast
        self._reported_completions: OrderedDict[Subject, ReportedCompletion] = OrderedDict()

    def report(self, subjects: Iterable[Subject], *, again: bool = False) -> None:
        """Tell the other VMs of completed answers that they may not know of, or all ``again``."""
        now = self._now()
        by_service: defaultdict[str, dict[str, int]] = defaultdict(dict)
        for subject in subjects:
            at = self._evidence.completed_at(subject)
            known_at = self._reported_completions.get(subject, NO_REPORT).at
            if at is not None and (again or at > known_at + KNOWN_COMPLETION_S):
                self.remember(subject, at)
                by_service[subject.service][subject.name] = int((now - at) * 1000)
        for service, completed in by_service.items():
            self._broadcast(PartReport(vm=self._vm, service=service, completed=completed))

    def answer_question(self, subjects: list[Subject], asked_at: float) -> None:
        """Report answers on subjects, unless another VM has since the question."""
        unanswered = [
            subject
            for subject in subjects
            if self._reported_completions.get(subject, NO_REPORT).heard_at < asked_at
        ]
        self.report(unanswered, again=True)

    def remember(self, subject: Subject, at: float) -> None:
        """Record a report of an answer that was completed on a subject, sent or received now."""
        self._reported_completions[subject] = ReportedCompletion(at=at, heard_at=self._now())
        self._reported_completions.move_to_end(subject)
        if len(self._reported_completions) > MAX_PARTS_PER_REPORT:
            self._reported_completions.popitem(last=False)

    def _now(self) -> float:
        return self._reactor.seconds()  # type: ignore[no-any-return]
