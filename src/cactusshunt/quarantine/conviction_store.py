"""Writes convictions into the platform's store, and removes them."""

from __future__ import annotations

import time

from typing import TYPE_CHECKING
from typing import Any

from cactusshunt.exceptions import StoreError
from cactusshunt.node_log import log_event
from cactusshunt.quarantine.convicted_keys import encode_conviction
from cactusshunt.quarantine.convicted_keys import make_key
from cactusshunt.tasks.periodic import start_coroutine

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactusshunt.platform.store import PlatformStore
    from cactusshunt.quarantine.crash_evidence import Conviction
    from cactusshunt.quarantine.crash_evidence import CrashEvidence
    from cactusshunt.quarantine.subject import Subject

STORE_DELAY_S = 0.2  # in which peers take a conviction back that they know to be wrong
STORE_RANK_DELAY_S = 0.3  # the preferred VM writes a conviction; others if it did not
MAX_STORE_DELAY_S = 3.0
STORE_TIMEOUT_S = 0.5


class ConvictionStore:
    """Writes for this VM, and knows what the store holds.

    ``rank`` returns a VM's place among those that may write a subject's conviction, 0 first.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        vm: str,
        store: PlatformStore,
        evidence: CrashEvidence,
        rank: Callable[[Subject], int],
    ) -> None:
        self._reactor = reactor
        self._vm = vm
        self._store = store
        self._evidence = evidence
        self._rank = rank
        self._stored: set[Subject] = set()

    def record_stored(self, subject: Subject) -> None:
        """Record that the store holds a conviction of a subject."""
        self._stored.add(subject)

    def record_replaced(self, subject: Subject) -> None:
        """Record that the store holds an older conviction of a subject, or none."""
        self._stored.discard(subject)

    def record_removal(self, key: str) -> None:
        """Record that a key was removed from the store."""
        self._stored = {subject for subject in self._stored if make_key(subject) != key}

    def write_later(self, conviction: Conviction) -> None:
        """Write a conviction into the store, after VMs that are preferred for it."""
        rank_delay_s = min(MAX_STORE_DELAY_S, self._rank(conviction.subject) * STORE_RANK_DELAY_S)
        self._reactor.callLater(STORE_DELAY_S + rank_delay_s, self._start_write, conviction)

    def _start_write(self, conviction: Conviction) -> None:
        is_current = self._evidence.convictions.get(conviction.subject) is conviction
        if is_current and conviction.subject not in self._stored:
            start_coroutine(self._write(conviction))

    async def _write(self, conviction: Conviction) -> None:
        now = self._now()
        value = encode_conviction(conviction, vm=self._vm, now=now, unix_s=time.time())
        try:
            await self._store.commit(
                expected={},
                puts={},
                unleased_puts={make_key(conviction.subject): value},
                deadline=now + STORE_TIMEOUT_S,
            )
        except StoreError as error:
            log_event("conviction_unwritten", part=conviction.subject.name, reason=error.reason)

    def start_removal(self, subject: Subject) -> None:
        """Remove a conviction."""
        start_coroutine(self._remove(subject))

    async def _remove(self, subject: Subject) -> None:
        try:
            await self._store.commit(
                expected={},
                puts={},
                removals=[make_key(subject)],
                deadline=self._now() + STORE_TIMEOUT_S,
            )
        except StoreError as error:
            log_event("conviction_unwritten", part=subject.name, reason=error.reason)

    def _now(self) -> float:
        return self._reactor.seconds()  # type: ignore[no-any-return]
