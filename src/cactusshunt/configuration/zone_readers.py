"""Passes changes of the store on within a zone: asks this VM's reader, and serves as one."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from cactusshunt.configuration.change_feed import ChangeFeed
from cactusshunt.configuration.change_messages import CHANGES_PATH
from cactusshunt.configuration.change_messages import decode_changes
from cactusshunt.configuration.change_service import ChangeService
from cactusshunt.configuration.zone_reader import ReaderChooser
from cactusshunt.exceptions import ChangesTooLargeError
from cactusshunt.exceptions import UpstreamError
from cactusshunt.exceptions import ZoneReaderError
from cactusshunt.http1.collected_answer import call
from cactusshunt.node_log import log_event
from cactusshunt.platform import headers as names
from cactusshunt.platform.store import StoredRange

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactusshunt.configuration.change_feed import FeedAnswer
    from cactusshunt.configuration.store_era import StoreEra
    from cactusshunt.http1.connection_pool import ConnectionPool
    from cactusshunt.membership.peer_link import PeerLink


@dataclass(frozen=True, kw_only=True)
class PassedOn:
    """Changes that a reader passed on; its view was complete at ``complete_at`` (reactor time)."""

    changes: StoredRange
    complete_at: float


class ZoneReaders:
    """This VM's use of its zone's readers, and its service for other VMs.

    ``must_read_store`` returns whether this VM needs the store's own answers, as the order holder
    does. ``calls`` and ``failures`` count calls to readers.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        vm: str,
        availability_zone: str,
        link: PeerLink,
        pool: ConnectionPool,
        era: StoreEra,
        must_read_store: Callable[[], bool],
        configuration_version: Callable[[], int],
    ) -> None:
        self._reactor = reactor
        self._vm = vm
        self._availability_zone = availability_zone
        self._link = link
        self._pool = pool
        self._era = era
        self._must_read_store = must_read_store
        self._configuration_version = configuration_version
        self._chooser = ReaderChooser(vm=vm)
        self._reader: str | None = None
        self.feed = ChangeFeed()
        self.service = ChangeService(reactor=reactor, feed=self.feed, era=era)
        self.calls = 0
        self.failures = 0

    @property
    def reader(self) -> str | None:
        """Return the VM that is asked for changes, ``None`` if this VM reads the store."""
        return self._reader

    def is_reader(self) -> bool:
        """Return whether other VMs of the zone may ask this one."""
        self._update_candidates()
        return self._link.is_large_fleet and self._chooser.is_reader

    def find(self, *, era: int, store_failed: bool, may_ask: bool = True) -> str | None:
        """Return the reader to ask for changes of an era, ``None`` to read the store."""
        self._update_candidates()
        found = None
        may_ask = may_ask and self._link.is_large_fleet and not self._must_read_store()
        if may_ask and era == self._era.number:
            found = self._chooser.choose(self._reactor.seconds(), store_failed=store_failed)
        if found != self._reader:
            log_event("zone_reader_changed", reader=found or "", before=self._reader or "")
            self._reader = found
        return found

    def record_store_regained(self) -> None:
        """Record that the store answers again: its readers could not serve without it."""
        self._chooser.forget_earlier_failures()

    async def ask(
        self, reader: str, *, after: int, era: int, wait_s: float, deadline: float
    ) -> PassedOn:
        """Wait up to ``wait_s`` for changes after a revision, and return those that a VM has.

        Raises ``ZoneReaderError`` if there are none that can be used, after which the reader is not
        asked for a while, or ``ChangesTooLargeError``.
        """
        self.calls += 1
        sent_at = self._reactor.seconds()
        try:
            answer = await self._fetch(
                reader, after=after, era=era, wait_s=wait_s, deadline=deadline
            )
            if era != self._era.number:
                raise ZoneReaderError(
                    reason="The store came back from a copy meanwhile.", remedy="Read the store."
                )
        except ChangesTooLargeError:
            raise
        except ZoneReaderError as error:
            self.failures += 1
            self._chooser.record_failure(reader, self._reactor.seconds())
            log_event("zone_reader_failed", reader=reader, reason=error.reason)
            raise
        self._chooser.record_answer(reader)
        changes = StoredRange(items=answer.items, revision=answer.revision, era=answer.era)
        # The reader answered at ``sent_at + held_s`` or later, however long the answer took.
        return PassedOn(changes=changes, complete_at=sent_at + answer.held_s - answer.age_s)

    async def _fetch(
        self, reader: str, *, after: int, era: int, wait_s: float, deadline: float
    ) -> FeedAnswer:
        peer = self._link.peers.get(reader)
        if peer is None:
            raise ZoneReaderError(reason="The VM has left.", remedy="Read the store.")
        origin = f"{self._vm};{self._configuration_version()}"
        query = f"?after={after}&era={era}&waitMs={int(wait_s * 1000)}"
        try:
            answer = await call(
                reactor=self._reactor,
                pool=self._pool,
                address=(peer.record.address, peer.record.port),
                method=b"GET",
                target=CHANGES_PATH + query.encode(),
                headers=[(names.DETOUR, origin.encode())],
                deadline=deadline,
            )
        except UpstreamError as error:
            raise ZoneReaderError(reason=error.reason, remedy="Read the store.") from error
        if answer.status == 413:
            raise ChangesTooLargeError(
                reason="The changes are too large to be passed on.", remedy="Read the store."
            )
        if answer.status != 200:
            said = answer.body[:80].decode("latin-1")
            raise ZoneReaderError(
                reason=f"Status {answer.status}: {said}.", remedy="Read the store."
            )
        return decode_changes(answer.body, after=after, era=era)

    def _update_candidates(self) -> None:
        if not self._link.is_large_fleet:
            return
        zone = [
            vm
            for vm in self._link.list_customer_peers()
            if self._link.peers[vm].record.availability_zone == self._availability_zone
        ]
        self._chooser.set_candidates([self._vm, *zone])
