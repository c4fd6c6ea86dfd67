"""Datagrams to and from the other VMs; losing any of them is harmless."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from twisted.internet.protocol import DatagramProtocol

from cactusshunt.membership.broadcast import choose_recipients
from cactusshunt.membership.messages import decode_message
from cactusshunt.membership.messages import encode_message

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from cactusshunt.membership.messages import Message
    from cactusshunt.membership.messages import PlacementUpdate

MANY_VMS = 16  # above it bytes between zones cost more than the delay of a second hop
LARGEST_DATAGRAM_BYTES = 60_000  # below the limit of UDP over IPv4


class PeerRecord(msgspec.Struct, frozen=True, kw_only=True):
    """What a VM writes about itself into the store, under a lease."""

    address: str
    port: int
    availability_zone: str


@dataclass(frozen=True, kw_only=True)
class Peer:
    """Another VM."""

    vm: str
    record: PeerRecord


class PeerLink(DatagramProtocol):
    """Sends to known peers and hands on what they send."""

    def __init__(self, *, vm: str, receive: Callable[[Message], None]) -> None:
        self._vm = vm
        self._receive = receive
        self._peers: dict[str, Peer] = {}
        self._turn = 0

    @property
    def peers(self) -> dict[str, Peer]:
        """Return the other VMs by name."""
        return self._peers

    def set_peer(self, vm: str, record: PeerRecord | None) -> None:
        """Note a VM's record, or its end."""
        if vm == self._vm:
            return
        if record is None:
            self._peers.pop(vm, None)
            return
        self._peers[vm] = Peer(vm=vm, record=record)

    def send(self, message: Message, recipients: Iterable[str]) -> None:
        """Send one message to several VMs; a datagram that cannot leave is dropped."""
        data = encode_message(message)
        transport: Any = self.transport
        if transport is None or len(data) > LARGEST_DATAGRAM_BYTES:
            return
        for vm in recipients:
            peer = self._peers.get(vm)
            if peer is None:
                continue
            try:
                transport.write(data, (peer.record.address, peer.record.port))
            except OSError:
                continue

    def broadcast(self, news: PlacementUpdate, own_zone: str) -> None:
        """Send news to all peers; in a large fleet with one copy into each other zone."""
        if len(self._peers) < MANY_VMS:
            self.send(news, list(self._peers))
            return
        self._turn += 1
        zones = {vm: peer.record.availability_zone for vm, peer in self._peers.items()}
        near, relays = choose_recipients(zones, own_zone, self._turn)
        self.send(news, near)
        if relays:
            self.send(msgspec.structs.replace(news, forward_in_zone=True), relays)

    def forward_in_zone(self, news: PlacementUpdate, own_zone: str) -> None:
        """Send news that came from another zone to the peers of this one."""
        near = [
            vm
            for vm, peer in self._peers.items()
            if peer.record.availability_zone == own_zone and vm != news.vm
        ]
        self.send(msgspec.structs.replace(news, forward_in_zone=False), near)

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802
        """Hand on a message of a known VM; others may use the port."""
        message = decode_message(datagram)
        if message is not None and message.vm != self._vm:
            self._receive(message)
