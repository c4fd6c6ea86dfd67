"""What the store says, kept up to date over one waiting call."""

from __future__ import annotations

import random

from traceback import format_exc
from typing import TYPE_CHECKING
from typing import Protocol as Interface

from cactusshunt.exceptions import HistoryLostError
from cactusshunt.exceptions import StoreError
from cactusshunt.node_log import log_event
from cactusshunt.platform.store import StoredItem
from cactusshunt.tasks.periodic import pause

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.base import ReactorBase

    from cactusshunt.platform.store import PlatformStore

CALL_TIMEOUT_S = 0.8  # far above the store's usual answer, below what a configuration may take
FIRST_PAUSE_S = 0.08
LONGEST_PAUSE_S = 0.6
WAIT_PART = 0.5  # of the time in which a configuration must be in force
GATHER_PART = 0.4  # of the same time, in which changes gather that are then read in one call
LARGE_GATHER_PART = 0.7  # the same where many VMs call: the store's rate and price are shared
MANY_VMS = 32


def choose_gather_part(vms: int) -> float:
    """Return the share of the configuration's bound in which changes gather."""
    many = min(1.0, vms / MANY_VMS)
    return GATHER_PART + (LARGE_GATHER_PART - GATHER_PART) * many * many


class ViewListener(Interface):
    """Is told of every change, in the order of the store's revisions for each key."""

    def item_changed(self, item: StoredItem) -> None:
        """Take a new value, or a removal."""

    def store_answered(self) -> None:
        """Note that the store answered a read just now."""


class PlatformView:
    """Reads everything once, then waits for changes; every wait has an end.

    A watch that is silent is found when its bounded wait passes without an answer; lost history
    leads to a complete read, in which keys that are missing count as removed.
    """

    def __init__(
        self,
        *,
        reactor: ReactorBase,
        store: PlatformStore,
        listener: ViewListener,
        config_bound_s: float,
        count_vms: Callable[[], int],
    ) -> None:
        self._reactor = reactor
        self._store = store
        self._listener = listener
        self._wait_s = max(0.5, config_bound_s * WAIT_PART)
        self._config_bound_s = config_bound_s
        self._count_vms = count_vms
        self._revisions: dict[str, int] = {}
        self._revision = 0
        self._random = random.Random()

    async def run(self) -> None:
        """Follow the store for as long as the process runs."""
        failures = 0
        complete = False
        while True:
            try:
                if complete:
                    await self._wait_for_changes()
                else:
                    await self._read_all()
                    complete = True
                if failures:
                    log_event("store_regained", failures=failures, revision=self._revision)
                failures = 0
            except HistoryLostError:
                complete = False
                log_event("store_history_lost", revision=self._revision)
            except StoreError as error:
                failures += 1
                if failures == 1:
                    log_event("store_lost", reason=error.reason)
                await self._rest(min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2 ** min(failures, 4)))

    async def _read_all(self) -> None:
        now = self._reactor.seconds()
        found = await self._store.read_prefix("", deadline=now + CALL_TIMEOUT_S * 3)
        present = {item.key for item in found.items}
        for item in found.items:
            self._take(item)
        for key in [key for key in self._revisions if key not in present]:
            if self._revisions[key] <= found.revision:
                self._forget(key, found.revision)
        self._revision = found.revision
        self._listener.store_answered()

    async def _wait_for_changes(self) -> None:
        now = self._reactor.seconds()
        found = await self._store.wait_for_changes(
            "",
            after=self._revision,
            wait_s=self._wait_s,
            deadline=now + self._wait_s + CALL_TIMEOUT_S,
        )
        for item in found.items:
            self._take(item)
        self._revision = max(self._revision, found.revision)
        self._listener.store_answered()
        if found.items:
            part = choose_gather_part(self._count_vms())
            await self._rest(part * self._config_bound_s)

    def _take(self, item: StoredItem) -> None:
        if item.value is None:
            self._forget(item.key, item.revision)
            return
        if self._revisions.get(item.key, 0) >= item.revision:
            return
        self._revisions[item.key] = item.revision
        self._hand_on(item)

    def _forget(self, key: str, revision: int) -> None:
        if self._revisions.get(key, 0) > revision:
            return
        if self._revisions.pop(key, None) is not None:
            self._hand_on(StoredItem(key=key, value=None, revision=revision))

    def _hand_on(self, item: StoredItem) -> None:
        """Hand a change on; one that its reader fails at must not end the view."""
        try:
            self._listener.item_changed(item)
        except Exception as error:
            log_event("change_failed", key=item.key, error=repr(error), trace=format_exc(limit=-4))

    async def _rest(self, seconds: float) -> None:
        """Pause for a part of the time, so that VMs don't call all at once."""
        await pause(self._reactor, seconds * self._random.uniform(0.6, 1.0))
