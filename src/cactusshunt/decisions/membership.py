"""Membership: known peers of all zones, and the duties of this process for its zone.

No safety property depends on this view; a wrong one only costs efficiency.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from cactusshunt.decisions.rendezvous import choose_owners
from cactusshunt.decisions.rendezvous import hash_score

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cactusshunt.schema.generated.messages import Vm


PEER_TIMEOUT_S = 15.0  # silence after which other peers take over a peer's duties
DUTY_HOLDERS_PER_ZONE = 2  # processes that watch the store, and that poll the VM list
POLLERS_PER_UPSTREAM = 1
REMOTE_CONTACTS_PER_ZONE = 2  # peers in another zone to which a store watcher sends digests


@dataclass(frozen=True, kw_only=True)
class Peer:
    """Another control process and the Unix time of its last message, or of this one's start."""

    vm: str
    availability_zone: str
    address: str
    last_heard_at: float = 0.0


@dataclass(frozen=True, kw_only=True)
class Duties:
    """Duties of this process for its zone; ``upstreams`` are those that it polls."""

    watches_store: bool = True
    polls_vm_list: bool = True
    upstreams: frozenset[str] = field(default_factory=frozenset)


class Membership:
    """This process's view of the VM list and of the peers that send messages to it."""

    def __init__(self, *, vm: str, availability_zone: str, started_at: float) -> None:
        self._vm = vm
        self._availability_zone = availability_zone
        self._started_at = started_at
        self._vms: dict[str, Vm] = {}
        self._entries: list[Vm] = []
        self._last_heard_at: dict[str, float] = {}
        self._duty_candidates: tuple[str, ...] = ()
        self._duties = Duties()

    @property
    def vms(self) -> list[Vm]:
        """Return the last known VM list, sorted by name."""
        return [self._vms[name] for name in sorted(self._vms)]

    def replace_vms(self, vms: Iterable[Vm]) -> None:
        """Replace the VM list by a complete one."""
        self._vms = {vm.vm: vm for vm in vms}
        self._entries = [vm for name, vm in sorted(self._vms.items()) if vm.role == "entry"]
        self._duty_candidates = ()

    def record_heard(self, vm: str, now: float) -> None:
        """Record that a message from a peer arrived."""
        self._last_heard_at[vm] = now

    def peers(self) -> list[Peer]:
        """Return every other entry VM that is listed and not leaving."""
        return [
            Peer(
                vm=vm.vm,
                availability_zone=vm.availability_zone,
                address=vm.address,
                last_heard_at=self._last_heard_at.get(vm.vm, self._started_at),
            )
            for vm in self._entries
            if vm.vm != self._vm and not vm.leaving
        ]

    def live_peers(self, now: float) -> list[Peer]:
        """Return the peers of this zone that sent a message recently."""
        return [
            peer
            for peer in self.peers()
            if peer.availability_zone == self._availability_zone
            and now - peer.last_heard_at < PEER_TIMEOUT_S
        ]

    def reachable_zones(self, now: float) -> set[str]:
        """Return this zone and each zone of which any peer sent a message recently."""
        heard = {
            peer.availability_zone
            for peer in self.peers()
            if now - peer.last_heard_at < PEER_TIMEOUT_S
        }
        return heard | {self._availability_zone}

    def duties(self, now: float) -> Duties:
        """Return this process's duties, given the live peers of its zone."""
        names = (self._vm, *(peer.vm for peer in self.live_peers(now)))
        if names == self._duty_candidates:
            return self._duties
        self._duty_candidates = names
        self._duties = self._assign_duties(names)
        return self._duties

    def _assign_duties(self, names: tuple[str, ...]) -> Duties:
        watchers = choose_owners(names, "store-watch", DUTY_HOLDERS_PER_ZONE)
        vm_list_pollers = choose_owners(names, "vm-list", DUTY_HOLDERS_PER_ZONE)
        own = frozenset(
            vm.vm
            for vm in self._vms.values()
            if vm.role != "entry"
            and vm.availability_zone == self._availability_zone
            and self._vm in choose_owners(names, vm.vm, POLLERS_PER_UPSTREAM)
        )
        return Duties(
            watches_store=self._vm in watchers,
            polls_vm_list=self._vm in vm_list_pollers,
            upstreams=own,
        )

    def contacts(self, now: float) -> list[Peer]:
        """Return the peers to which this process sends digests.

        All peers of its own zone and, if it watches the store, a few of each other zone. Each
        sender chooses those by its own hash, so that no peer receives digests from many.
        """
        own = [peer for peer in self.peers() if peer.availability_zone == self._availability_zone]
        remote: dict[str, list[Peer]] = {}
        for peer in self.peers():
            if peer.availability_zone != self._availability_zone:
                remote.setdefault(peer.availability_zone, []).append(peer)
        chosen = list(own)
        if self.duties(now).watches_store:
            for peers in remote.values():
                peers.sort(key=lambda peer: hash_score(peer.vm, self._vm), reverse=True)
                chosen.extend(peers[:REMOTE_CONTACTS_PER_ZONE])
        return chosen
