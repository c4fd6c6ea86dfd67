"""Convicts subjects that crashed engines, and lifts convictions, together with the other VMs."""

from __future__ import annotations

import time

from collections import defaultdict
from typing import TYPE_CHECKING
from typing import Any

from cactusshunt.membership.messages import ConvictedPart
from cactusshunt.membership.messages import PartReport
from cactusshunt.node_log import log_event
from cactusshunt.quarantine.completion_reports import KNOWN_COMPLETION_S
from cactusshunt.quarantine.convicted_keys import decode_conviction
from cactusshunt.quarantine.convicted_keys import make_key
from cactusshunt.quarantine.crash_evidence import CONFIRMATION_S
from cactusshunt.quarantine.crash_evidence import SUSPICION_S
from cactusshunt.quarantine.crash_evidence import Conviction
from cactusshunt.quarantine.crash_evidence import Verdict
from cactusshunt.quarantine.subject import MAX_LISTED
from cactusshunt.quarantine.subject import Subject

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactusshunt.membership.messages import Broadcast
    from cactusshunt.platform.store import StoredItem
    from cactusshunt.quarantine.completion_reports import CompletionReports
    from cactusshunt.quarantine.conviction_store import ConvictionStore
    from cactusshunt.quarantine.crash_evidence import CrashEvidence

# VMs reply after a random delay of up to this time. All hear the first reply, so that those whose
# delay is longer need not repeat what it says.
MAX_REPLY_DELAY_S = 0.03
MAX_CONVICTIONS = 256
STORE = "store"  # source of a conviction that was read from the key-value store


class Convictions:
    """Convicts subjects on which no VM had an answer, and shares convictions.

    ``rank`` returns a VM's place among those that may write a subject's conviction, 0 first;
    ``on_change`` is called when requests that wait may go on.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        vm: str,
        evidence: CrashEvidence,
        store: ConvictionStore,
        completions: CompletionReports,
        broadcast: Callable[[Broadcast], None],
        rank: Callable[[Subject], int],
        on_change: Callable[[], None],
    ) -> None:
        self._reactor = reactor
        self._vm = vm
        self._evidence = evidence
        self._conviction_store = store
        self._completions = completions
        self._broadcast = broadcast
        self._rank = rank
        self._on_change = on_change

    def accuse(self, subjects: list[Subject]) -> None:
        """Convict subjects that a crash left unanswered, unless another VM had answers on them."""
        accused = [subject for subject in subjects if self._is_accused(subject)]
        if accused:
            self._question(accused)
            self._reactor.callLater(CONFIRMATION_S / 2.0, self._question, accused)
            self._reactor.callLater(CONFIRMATION_S + MAX_REPLY_DELAY_S, self._convict, accused)

    def refute(self, subject: Subject) -> bool:
        """Lift a conviction that an answer has refuted; return whether there was one."""
        conviction = self._evidence.convictions.get(subject)
        if conviction is None or not self._is_refuted(conviction):
            return False
        self.lift(subject, "an answer was completed")
        self._conviction_store.start_removal(subject)
        return True

    def end_expired(self, now: float) -> None:
        """Forget convictions that ended long ago."""
        for subject, conviction in list(self._evidence.convictions.items()):
            if now > conviction.ends_at + SUSPICION_S:
                self.lift(subject, "it ended")
                if self._rank(subject) == 0:
                    self._conviction_store.start_removal(subject)

    def apply_message(self, message: ConvictedPart) -> None:
        """Apply another VM's conviction, or tell the VMs what refutes it."""
        now = self._now()
        subject = Subject(service=message.service, name=message.part)
        conviction = Conviction(
            subject=subject,
            engines=tuple(message.engines),
            versions=frozenset(message.versions),
            last_crash_at=now - message.crash_age_ms / 1000.0,
            ends_at=now + message.left_ms / 1000.0,
        )
        if self._is_refuted(conviction):
            self._completions.report([subject], again=True)
            return
        if self._add_conviction(conviction, source=message.vm):
            self._conviction_store.write_later(conviction)

    def apply_stored_item(self, item: StoredItem) -> None:
        """Apply a conviction in the store, or its removal, by which an operator lifts it."""
        if item.value is None:
            self._apply_removal(item)
            return
        conviction = decode_conviction(item.value, now=self._now(), unix_s=time.time())
        if conviction is None:
            log_event("record_unreadable", key=item.key)
            return
        if self._is_refuted(conviction):
            self._conviction_store.start_removal(conviction.subject)
            return
        self._conviction_store.record_stored(conviction.subject)
        self._add_conviction(conviction, source=STORE)

    def lift(self, subject: Subject, reason: str) -> bool:
        """Lift a conviction at this VM; return whether there was one."""
        if not self._evidence.lift(subject):
            return False
        log_event("part_lifted", service=subject.service, part=subject.name, reason=reason)
        self._on_change()
        return True

    def describe_conviction(self, conviction: Conviction) -> ConvictedPart:
        """Return the message that tells another VM of a conviction."""
        return ConvictedPart(
            vm=self._vm,
            service=conviction.subject.service,
            part=conviction.subject.name,
            engines=list(conviction.engines[:MAX_LISTED]),
            versions=sorted(conviction.versions),
            left_ms=int(max(0.0, conviction.ends_at - self._now()) * 1000),
            crash_age_ms=int((self._now() - conviction.last_crash_at) * 1000),
        )

    def _is_refuted(self, conviction: Conviction) -> bool:
        """Return whether an answer on a subject was completed after the crashes."""
        completed_at = self._evidence.completed_at(conviction.subject)
        return completed_at is not None and completed_at > conviction.last_crash_at

    def _is_accused(self, subject: Subject) -> bool:
        """Return whether a subject is to be convicted if no VM had an answer on it."""
        later = self._now() + CONFIRMATION_S
        known = self._evidence.convictions.get(subject)
        if known is not None and later < known.ends_at:
            return False
        return self._evidence.assess(subject, later) is Verdict.CONVICTED

    def _question(self, subjects: list[Subject]) -> None:
        """Ask the other VMs for answers on subjects."""
        accused = [subject for subject in subjects if self._is_accused(subject)]
        by_service: defaultdict[str, list[str]] = defaultdict(list)
        for subject in accused:
            by_service[subject.service].append(subject.name)
        for service, names in by_service.items():
            self._broadcast(PartReport(vm=self._vm, service=service, questioned=names))

    def _convict(self, subjects: list[Subject]) -> None:
        """Convict the subjects on which no VM had an answer."""
        now = self._now()
        for subject in subjects:
            if not self._is_accused(subject):
                continue
            self._evidence.convictions.pop(subject, None)
            conviction = self._evidence.make_conviction(subject, now)
            if self._add_conviction(conviction, source=self._vm):
                self._send_conviction(conviction)
                self._conviction_store.write_later(conviction)

    def _add_conviction(self, conviction: Conviction, source: str) -> bool:
        """Add a conviction; return whether it is new."""
        subject = conviction.subject
        known = self._evidence.convictions.get(subject)
        if known is not None and known.ends_at >= conviction.ends_at - KNOWN_COMPLETION_S:
            return False
        self._evidence.convictions.pop(subject, None)
        if source != STORE:
            self._conviction_store.record_replaced(subject)
        self._evidence.convict(conviction)
        while len(self._evidence.convictions) > MAX_CONVICTIONS:
            del self._evidence.convictions[next(iter(self._evidence.convictions))]
        log_event(
            "part_convicted",
            service=subject.service,
            part=subject.name,
            engines=list(conviction.engines[:MAX_LISTED]),
            versions=sorted(conviction.versions),
            left_s=round(conviction.ends_at - self._now(), 1),
            source=source,
        )
        self._on_change()
        return True

    def _send_conviction(self, conviction: Conviction) -> None:
        self._broadcast(self.describe_conviction(conviction))

    def _apply_removal(self, item: StoredItem) -> None:
        self._conviction_store.record_removal(item.key)
        for subject, conviction in list(self._evidence.convictions.items()):
            if make_key(subject) != item.key:
                continue
            if item.from_copy:
                self._conviction_store.write_later(conviction)
            else:
                self.lift(subject, "it was removed from the store")

    def _now(self) -> float:
        return self._reactor.seconds()  # type: ignore[no-any-return]
