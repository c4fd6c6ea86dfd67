"""Chooses, for each limited upstream or group of customers, the VM that issues permits.

All VMs rank the issuers of such a subject alike, so that one usually gets all shares. A share is
delegated to one issuer at a time: the next one gets it when the last delegation has ended.
"""

from __future__ import annotations

import math

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cactusshunt.decisions.rendezvous import rank_nodes
from cactusshunt.permits.shares import DELEGATION_LIFETIME_S

if TYPE_CHECKING:
    from collections.abc import Sequence

SILENCE_S = 1.0  # an issuer that leaves demand unanswered for this long is passed over
MIN_UNANSWERED = 3  # messages in that time, since single datagrams may be lost
SILENT_ISSUER_PAUSE_S = 3.0  # for which such an issuer is not asked, without ``probes``
MAX_DATAGRAM_DELAY_S = 0.25  # between VMs, with a full link; a delegation may begin that much later


@dataclass(frozen=True, kw_only=True)
class IssuerChoice:
    """The issuer to ask for permits; ``delegates`` tells whether it also gets this VM's share."""

    issuer: str
    delegates: bool


class IssuerChooser:
    """Delegations of this VM's shares, and which issuers answer it; times are reactor time.

    With ``probes`` an issuer that left messages unanswered is passed over until it answers one that
    neither delegates nor asks, instead of for SILENT_ISSUER_PAUSE_S.
    """

    def __init__(self, *, vm: str, probes: bool = False) -> None:
        self._vm = vm
        self._probes = probes
        self._silent_pause_s = math.inf if probes else SILENT_ISSUER_PAUSE_S
        self._candidates: tuple[str, ...] = ()
        self._ranked: dict[str, list[str]] = {}
        self._delegated: dict[str, tuple[str, float]] = {}
        # by issuer, the time of the first message without an answer and their number
        self._unanswered: dict[str, tuple[float, int]] = {}
        self._silent_until: dict[str, float] = {}

    def set_candidates(self, candidates: Sequence[str]) -> None:
        """Set the VMs that can issue permits, this one included."""
        ordered = tuple(sorted(candidates))
        if ordered != self._candidates:
            self._candidates = ordered
            self._ranked.clear()
            if self._probes:
                for gone in self._silent_until.keys() - set(ordered):
                    del self._silent_until[gone]
                for gone in self._unanswered.keys() - set(ordered):
                    del self._unanswered[gone]

    def list_silent(self, now: float) -> list[str]:
        """Return the candidates that are passed over because they did not answer."""
        return [vm for vm, until in self._silent_until.items() if now < until]

    def list_next(self, subject: str, now: float) -> list[str]:
        """Return the candidates for a subject that are not passed over, the preferred one first."""
        return [vm for vm in self._rank(subject) if not self._is_silent(vm, now)]

    def passes_over(self, subject: str, now: float) -> bool:
        """Return whether the first candidate for a subject did not answer."""
        ranked = self._rank(subject)
        return bool(ranked) and self._is_silent(ranked[0], now)

    def has_delegated(self, subject: str, issuer: str, now: float) -> bool:
        """Return whether this VM's share is at an issuer at the moment."""
        delegated = self._delegated.get(subject)
        return delegated is not None and delegated[0] == issuer and now < delegated[1]

    def choose(self, subject: str, now: float) -> IssuerChoice | None:
        """Return the issuer for a subject, ``None`` while another delegation has to end."""
        preferred = self._find_preferred(subject, now)
        if preferred is None:
            return None
        delegated = self._delegated.get(subject)
        if delegated is not None and delegated[0] != preferred and now < delegated[1]:
            earlier = delegated[0]
            if earlier in self._candidates and not self._is_silent(earlier, now):
                return IssuerChoice(issuer=earlier, delegates=False)
            return None
        return IssuerChoice(issuer=preferred, delegates=True)

    def record_sent(
        self,
        subject: str,
        choice: IssuerChoice,
        *,
        asks: bool,
        now: float,
        delegates: bool | None = None,
    ) -> None:
        """Record a message to an issuer; ``asks`` tells whether it has to answer.

        ``delegates`` is false if the message does not delegate the share although it may.
        """
        if choice.delegates if delegates is None else delegates:
            ends_at = now + DELEGATION_LIFETIME_S + MAX_DATAGRAM_DELAY_S
            self._delegated[subject] = (choice.issuer, ends_at)
        if asks:
            self.record_question(choice.issuer, now)

    def record_question(self, issuer: str, now: float) -> None:
        """Record a message that an issuer has to answer."""
        since, count = self._unanswered.get(issuer, (now, 0))
        self._unanswered[issuer] = (since, count + 1)

    def record_answer(self, issuer: str) -> None:
        """Record that an issuer answered."""
        self._unanswered.pop(issuer, None)
        self._silent_until.pop(issuer, None)

    def has_been_silent_s(self, issuer: str, now: float) -> float:
        """Return for how long an issuer has left a message unanswered."""
        return now - self._unanswered.get(issuer, (now, 0))[0]

    def forget(self, subject: str) -> None:
        """Forget an upstream that has left or no longer has a limit."""
        self._ranked.pop(subject, None)
        self._delegated.pop(subject, None)

    def _find_preferred(self, subject: str, now: float) -> str | None:
        return next((vm for vm in self._rank(subject) if not self._is_silent(vm, now)), None)

    def _rank(self, subject: str) -> list[str]:
        ranked = self._ranked.get(subject)
        if ranked is None:
            ranked = rank_nodes(self._candidates, f"permits/{subject}")
            self._ranked[subject] = ranked
        return ranked

    def _is_silent(self, vm: str, now: float) -> bool:
        if vm == self._vm:
            return False
        since, count = self._unanswered.get(vm, (now, 0))
        if count >= MIN_UNANSWERED and now - since >= SILENCE_S:
            del self._unanswered[vm]
            self._silent_until[vm] = now + self._silent_pause_s
        return now < self._silent_until.get(vm, now)
