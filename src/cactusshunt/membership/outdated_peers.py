"""Helps VMs that the store turns away to learn what the others know.

The registration of such a VM ends with its lease, after which nobody reports to it. It still knows
its peers, and reports to all of them that the store is silent. Without the order holder's updates
it would refuse requests for models that were loaded since.
"""

from __future__ import annotations

import random

from typing import TYPE_CHECKING

from cactusshunt.membership.peer_link import Peer
from cactusshunt.membership.tenure import STORE_SILENCE_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactusshunt.membership.messages import Status
    from cactusshunt.membership.peer_link import PeerLink
    from cactusshunt.membership.peer_link import PeerRecord

# A VM that is turned away reports several times a second; one that does not for so long has ended,
# and its address may become that of another host.
RETENTION_S = 60.0
REPORTING_S = 1.0  # five reports of a VM that is turned away; a VM that ended sends none
ANSWERING_VMS = 8.0  # on average, to each report; one answer suffices, and datagrams may be lost


class OutdatedPeers:
    """Remembers the records of VMs after their registrations ended, while they report.

    ``answer`` sends this VM's status to a VM that need not be registered.
    """

    def __init__(
        self,
        *,
        link: PeerLink,
        clock: Callable[[], float],
        answer: Callable[[tuple[str, int]], None],
    ) -> None:
        self._link = link
        self._clock = clock
        self._answer = answer
        self._random = random.Random()
        self._records: dict[str, tuple[PeerRecord, float]] = {}  # each with when it was last known
        self._reported_at: dict[str, float] = {}  # VMs whose registration ended

    def remember_registered(self) -> None:
        """Remember the VMs that are registered, before registrations change."""
        now = self._clock()
        for vm, peer in self._link.peers.items():
            self._records[vm] = (peer.record, now)
        self._records = {
            vm: known for vm, known in self._records.items() if now < known[1] + RETENTION_S
        }

    def record_status(self, status: Status, own_version: int) -> None:
        """Record a report; answer a VM that is turned away and has an older configuration."""
        record = self._find(status.vm)
        if record is None:
            return
        now = self._clock()
        self._records[status.vm] = (record, now)
        if status.vm not in self._link.peers:
            self._reported_at[status.vm] = now
        is_turned_away = status.store_silent_ms >= STORE_SILENCE_S * 1000.0
        is_behind = 0 < status.configuration_version < own_version
        if not (is_turned_away and is_behind):
            return
        if self._random.random() * len(self._link.peers) < ANSWERING_VMS:
            self._answer((record.address, record.port))

    def list_reporting(self) -> dict[str, Peer]:
        """Return the VMs that report although their registrations ended."""
        earliest = self._clock() - max(REPORTING_S, self._link.report_times.two_of_any_s)
        self._reported_at = {
            vm: at
            for vm, at in self._reported_at.items()
            if at > earliest and vm not in self._link.peers
        }
        return {vm: Peer(vm=vm, record=self._records[vm][0]) for vm in self._reported_at}

    def has_address(self, host: str) -> bool:
        """Return whether an address is that of a VM that is registered, or reported since."""
        if any(peer.record.address == host for peer in self._link.peers.values()):
            return True
        now = self._clock()
        return any(
            record.address == host and now < at + RETENTION_S
            for record, at in self._records.values()
        )

    def _find(self, vm: str) -> PeerRecord | None:
        peer = self._link.peers.get(vm)
        if peer is not None:
            return peer.record
        record, at = self._records.get(vm, (None, 0.0))
        return record if self._clock() < at + RETENTION_S else None
