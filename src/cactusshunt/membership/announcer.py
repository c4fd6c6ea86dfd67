"""Tells peers about this VM's work, and the order holder what callers ask for."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from cactusshunt.membership.messages import DemandReport
from cactusshunt.membership.messages import EngineWork
from cactusshunt.membership.messages import ItemDemand
from cactusshunt.membership.messages import Status
from cactusshunt.membership.peer_link import MANY_VMS
from cactusshunt.membership.tenure import SILENCE_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactusshunt.membership.membership_task import MembershipTask
    from cactusshunt.membership.peer_link import PeerLink
    from cactusshunt.placement.demand_meter import DemandMeter
    from cactusshunt.routing.upstream_directory import UpstreamDirectory

STATUS_S = 0.2  # a prompt's prefill takes about half of it
DEMAND_S = 0.4  # placement follows demand that moves within seconds
SILENT_EVERY = 8  # words of demand between two that name silent items too, for a new holder
HURRY_S = 0.01  # requests that begin to wait together are told in one datagram


class Announcer:
    """Sends this VM's words; ``take_demand`` hands them to this VM's own order task as well."""

    def __init__(
        self,
        *,
        reactor: Any,
        vm: str,
        availability_zone: str,
        link: PeerLink,
        directory: UpstreamDirectory,
        meter: DemandMeter,
        membership: MembershipTask,
        take_demand: Callable[[DemandReport], None],
        plan_now: Callable[[], None],
    ) -> None:
        self._reactor = reactor
        self._vm = vm
        self._zone = availability_zone
        self._link = link
        self._directory = directory
        self._meter = meter
        self._membership = membership
        self._take_demand = take_demand
        self._plan_now = plan_now
        self._sent = 0
        self._words = 0
        self._told_work = False
        self._hurried = False

    def send_status(self) -> None:
        """Tell peers about this VM's work at upstreams, and all of them of a silent store."""
        self._sent += 1
        work = [
            EngineWork(
                upstream=found.name,
                running=found.running,
                pending=found.own_pending_tokens(),
                tokens_per_s=found.own_tokens_per_s(),
                long_streams=found.own_long_streams,
            )
            for found in self._directory.all()
            if found.running
        ]
        silent_s = self._membership.store_silent_s(self._reactor.seconds())
        lonely = silent_s >= SILENCE_S
        if not work and not self._told_work and not lonely:
            return
        self._told_work = bool(work)
        status = Status(
            vm=self._vm, status_number=self._sent, store_silent_ms=int(silent_s * 1000), work=work
        )
        tells_all = lonely or len(self._link.peers) < MANY_VMS
        self._link.send(status, list(self._link.peers) if tells_all else self._near())

    def send_demand(self) -> None:
        """Tell the order holder what callers ask for."""
        found = self._meter.read(self._reactor.seconds())
        self._words += 1
        if self._words % SILENT_EVERY == 0:
            found = dict.fromkeys(self._meter.list_requested_items(), (0.0, 0)) | found
        items = [
            ItemDemand(
                service=key[0],
                item=key[1],
                tokens_per_ms=round(rate, 4),
                waiting=waiting,
                total_requests=self._meter.count_requests(key),
            )
            for key, (rate, waiting) in found.items()
        ]
        word = DemandReport(vm=self._vm, items=items)
        self._take_demand(word)
        holder = self._membership.holder
        if holder is not None:
            self._link.send(word, [holder])

    def hurry(self) -> None:
        """Tell the order holder soon that requests wait."""
        if not self._hurried:
            self._hurried = True
            self._reactor.callLater(HURRY_S, self._send_hurried)

    def _send_hurried(self) -> None:
        self._hurried = False
        self.send_demand()
        self._plan_now()

    def _near(self) -> list[str]:
        """Return the VMs of the own zone."""
        return [
            vm
            for vm, peer in self._link.peers.items()
            if peer.record.availability_zone == self._zone
        ]
