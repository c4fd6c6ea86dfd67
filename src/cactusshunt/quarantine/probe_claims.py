"""Which VM may send a request with a suspected subject: one at a time over all VMs.

A VM claims a subject before it sends such a request and waits until a competing claim would have
arrived. Of two claims at the same time the preferred VM's stands, which all VMs compute alike.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cactusshunt.decisions.rendezvous import hash_score

if TYPE_CHECKING:
    from cactusshunt.quarantine.subject import Subject

SETTLE_S = 0.04  # two hops between availability zones, with a margin
CLAIM_LIFETIME_S = 2.0  # of a claim that is not repeated
CLAIM_REPEAT_S = 0.5


@dataclass(frozen=True, kw_only=True)
class Claim:
    """A VM's claim; ``ends_at`` and ``settled_at`` are reactor time in seconds."""

    vm: str
    settled_at: float
    ends_at: float


class ProbeClaims:
    """The claims that this VM knows, its own included."""

    def __init__(self, *, vm: str) -> None:
        self._vm = vm
        self._claims: dict[Subject, Claim] = {}

    def is_taken(self, subject: Subject, now: float) -> bool:
        """Return whether another VM has a subject."""
        known = self._find(subject, now)
        return known is not None and known.vm != self._vm

    def claim(self, subject: Subject, now: float) -> None:
        """Claim a subject for this VM, or prolong its claim, unless another VM has it."""
        if self.is_taken(subject, now):
            return
        known = self._find(subject, now)
        settled_at = known.settled_at if known is not None else now + SETTLE_S
        self._claims[subject] = Claim(
            vm=self._vm, settled_at=settled_at, ends_at=now + CLAIM_LIFETIME_S
        )

    def apply(self, vm: str, subject: Subject, now: float) -> None:
        """Apply another VM's claim, unless that of a preferred VM stands."""
        known = self._find(subject, now)
        if known is not None and known.vm != vm and not self._is_preferred(vm, known.vm, subject):
            return
        self._claims[subject] = Claim(vm=vm, settled_at=now, ends_at=now + CLAIM_LIFETIME_S)

    def release(self, vm: str, subject: Subject) -> None:
        """End a VM's claim."""
        known = self._claims.get(subject)
        if known is not None and known.vm == vm:
            del self._claims[subject]

    def holds(self, subject: Subject, now: float) -> bool:
        """Return whether this VM may send a request with the subject now."""
        known = self._find(subject, now)
        return known is not None and known.vm == self._vm and now >= known.settled_at

    def _find(self, subject: Subject, now: float) -> Claim | None:
        known = self._claims.get(subject)
        if known is None or now >= known.ends_at:
            return None
        return known

    def _is_preferred(self, vm: str, other: str, subject: Subject) -> bool:
        return hash_score(vm, subject.name) > hash_score(other, subject.name)
