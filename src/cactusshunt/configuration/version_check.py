"""Detects that this VM's view of the store is stale, from the versions that peers have in force."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from cactusshunt.exceptions import StoreError
from cactusshunt.exceptions import UpstreamError
from cactusshunt.node_log import log_event
from cactusshunt.platform.documents import CONFIGURATION_KEY
from cactusshunt.platform.store import StoredItem
from cactusshunt.tasks.periodic import start_coroutine

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactusshunt.configuration.peer_configuration import PeerConfiguration
    from cactusshunt.configuration.platform_view import PlatformView
    from cactusshunt.configuration.platform_view import ViewListener
    from cactusshunt.platform.store import PlatformStore

READ_TIMEOUT_S = 0.8
NOTICE_S = 0.1  # beyond the longest pause of the view, for the answer of its next call
# After it, peers are asked. A VM that the store serves hears from it sooner, as it renews its lease
# twice a second and more.
STORE_SILENCE_S = 1.0
NO_REVISION = 0  # of what peers give
MAX_READ_INTERVAL_S = 8.0  # a version that only peers remember is not looked for more often


class VersionCheck:
    """Reads the configuration over its own connection while peers have a newer one.

    The view may be late by its longest pause, so nothing is read before that has passed. ``newest``
    is the newest version that any VM reported. If the store does not answer this VM, the VMs that
    reported the version are asked for it, one after the other.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        store: PlatformStore,
        view: PlatformView,
        listener: ViewListener,
        peers: PeerConfiguration,
        measure_store_silence_s: Callable[[], float],
    ) -> None:
        self._reactor = reactor
        self._store = store
        self._view = view
        self._listener = listener
        self._peers = peers
        self._measure_store_silence_s = measure_store_silence_s
        self._own_version = 0
        self._reported: dict[str, int] = {}  # newer versions than the own, by VM, the latest last
        self._asking_peers = False
        self._check_scheduled = False
        self.newest = 0
        self.reads = 0

    @property
    def versions_behind(self) -> int:
        """Return by how much the newest version that any VM reported exceeds this VM's."""
        return max(0, self.newest - self._own_version)

    def record_own_version(self, version: int) -> None:
        """Record the version in force at this VM."""
        self._own_version = version
        self.newest = max(self.newest, version)
        self._reported = {vm: found for vm, found in self._reported.items() if found > version}

    def record_peer_version(self, version: int, vm: str) -> None:
        """Record the version in force at a peer; 0 if it reports none."""
        becomes_known = version > self.newest
        self.newest = max(self.newest, version)
        if version > self._own_version:
            self._reported.pop(vm, None)
            self._reported[vm] = version
        if self.versions_behind and not self._check_scheduled:
            self._schedule_check(self._view.longest_pause_s + NOTICE_S)
        if becomes_known and self._measure_store_silence_s() >= STORE_SILENCE_S:
            start_coroutine(self._read_from_peers())

    def _schedule_check(self, delay_s: float) -> None:
        self._check_scheduled = True
        self._reactor.callLater(delay_s, self._check, delay_s)

    def _check(self, waited_s: float) -> None:
        self._check_scheduled = False
        if self.versions_behind:
            start_coroutine(self._read())
            self._schedule_check(min(2.0 * waited_s, MAX_READ_INTERVAL_S))

    async def _read(self) -> None:
        self.reads += 1
        log_event("configuration_behind", version=self._own_version, newest=self.newest)
        now = self._reactor.seconds()
        try:
            answer = await self._store.read_prefix(CONFIGURATION_KEY, deadline=now + READ_TIMEOUT_S)
        except StoreError as error:
            log_event("configuration_unread", reason=error.reason)
            await self._read_from_peers()
            return
        before = self._own_version
        for item in answer.items:
            if item.key == CONFIGURATION_KEY:
                self._listener.stored_item_changed(item)
        if self._own_version > before:
            self._view.read_all_next()

    async def _read_from_peers(self) -> None:
        if self._asking_peers:
            return
        self._asking_peers = True
        asked: set[str] = set()
        try:
            while (vm := self._find_reporter(asked)) is not None:
                asked.add(vm)
                await self._read_from_peer(vm)
        finally:
            self._asking_peers = False

    def _find_reporter(self, asked: set[str]) -> str | None:
        """Return the VM that reported the newest version last, of those that were not asked."""
        reporters = [vm for vm in reversed(self._reported) if vm not in asked]
        return max(reporters, key=self._reported.__getitem__, default=None)

    async def _read_from_peer(self, vm: str) -> None:
        before = self._own_version
        try:
            value = await self._peers.read(vm, before)
        except UpstreamError as error:
            log_event("configuration_unread", reason=error.reason, peer=vm)
            return
        item = StoredItem(key=CONFIGURATION_KEY, value=value, revision=NO_REVISION)
        self._listener.stored_item_changed(item)
        if self._own_version > before:
            log_event("configuration_from_peer", version=self._own_version, peer=vm)
