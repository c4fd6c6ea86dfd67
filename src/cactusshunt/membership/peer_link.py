"""Datagrams to and from the other VMs; each is repeated or superseded, so losses are harmless."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from twisted.internet.protocol import DatagramProtocol

from cactusshunt.decisions.election_order import VmSizeField  # noqa: TC001 msgspec reads it
from cactusshunt.membership.broadcast import choose_forwarders
from cactusshunt.membership.messages import ConvictedPart
from cactusshunt.membership.messages import CrashQuestion
from cactusshunt.membership.messages import CrashReport
from cactusshunt.membership.messages import DemandReport
from cactusshunt.membership.messages import EntryReport
from cactusshunt.membership.messages import LimitReport
from cactusshunt.membership.messages import NoticeReport
from cactusshunt.membership.messages import PartReport
from cactusshunt.membership.messages import PermitGrant
from cactusshunt.membership.messages import PermitRequest
from cactusshunt.membership.messages import PlacementUpdate
from cactusshunt.membership.messages import QuotaDoubt
from cactusshunt.membership.messages import QuotaGrant
from cactusshunt.membership.messages import QuotaRequest
from cactusshunt.membership.messages import Status
from cactusshunt.membership.messages import StopAnswer
from cactusshunt.membership.messages import StopQuestion
from cactusshunt.membership.messages import ZoneWork
from cactusshunt.membership.messages import decode_message
from cactusshunt.membership.messages import encode_message
from cactusshunt.membership.report_times import ReportTimes
from cactusshunt.membership.report_times import compute_report_times
from cactusshunt.schema.decoding import UNREADABLE_ERRORS

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from cactusshunt.membership.messages import Broadcast
    from cactusshunt.membership.messages import Message

LARGE_FLEET_PEERS = 16  # from this many on, saving traffic between zones outweighs a second hop
MAX_DATAGRAM_BYTES = 60_000  # below the UDP limit over IPv4
MESSAGE_NAMES: dict[type[Message], str] = {
    Status: "status",
    ZoneWork: "zone_work",
    DemandReport: "demand",
    PlacementUpdate: "placement",
    LimitReport: "limits",
    PermitRequest: "permit_requests",
    PermitGrant: "permits",
    QuotaRequest: "quota_requests",
    QuotaGrant: "quotas",
    QuotaDoubt: "quota_doubts",
    CrashReport: "crashes",
    CrashQuestion: "crash_questions",
    PartReport: "parts",
    ConvictedPart: "convictions",
    NoticeReport: "notices",
    EntryReport: "entries",
    StopQuestion: "stop_questions",
    StopAnswer: "stop_answers",
}
# What a VM's messages include beyond status, demand and placement: 1 nothing, 2 request limits,
# 3 also crashes of engines; 4: the VM also accepts requests that others pass on; 5 also what
# upstreams say of themselves; 6 also quotas of customers, and the customer of requests that are
# passed on; 7 also the work of whole zones; 8 also questions on crashes of engines, and
# upstreams that left by their entries. Questions of new order holders need none: VMs of earlier
# builds ignore them.
MESSAGE_VERSION = 8
LIMITS_MESSAGE_VERSION = 2
CRASHES_MESSAGE_VERSION = 3
DETOUR_MESSAGE_VERSION = 4
NOTICES_MESSAGE_VERSION = 5
CUSTOMERS_MESSAGE_VERSION = 6
ZONE_WORK_MESSAGE_VERSION = 7
CRASH_QUESTIONS_MESSAGE_VERSION = 8
ENTRIES_MESSAGE_VERSION = 8
NEEDED_MESSAGE_VERSION: dict[type[Message], int] = {
    LimitReport: LIMITS_MESSAGE_VERSION,
    CrashReport: CRASHES_MESSAGE_VERSION,
    PartReport: CRASHES_MESSAGE_VERSION,
    ConvictedPart: CRASHES_MESSAGE_VERSION,
    NoticeReport: NOTICES_MESSAGE_VERSION,
    EntryReport: ENTRIES_MESSAGE_VERSION,
    ZoneWork: ZONE_WORK_MESSAGE_VERSION,
}


class PeerRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The record under which a VM registers in the store, bound to its lease.

    ``message_version`` is missing in the records of earlier versions of the node, which ignore
    ``size``; it is missing if a VM's settings state none.
    """

    address: str
    port: int
    availability_zone: str
    message_version: int = 1
    size: VmSizeField = msgspec.UNSET


def decode_peer_record(data: bytes) -> tuple[PeerRecord, str]:
    """Return a VM's record, without its size if that is unreadable, and why it is.

    Raises ``UNREADABLE_ERRORS`` if another field is unreadable.
    """
    try:
        return msgspec.json.decode(data, type=PeerRecord), ""
    except UNREADABLE_ERRORS as error:
        fields = msgspec.json.decode(data, type=dict[str, msgspec.Raw])
        if fields.pop("size", None) is None:
            raise
        return msgspec.json.decode(msgspec.json.encode(fields), type=PeerRecord), str(error)


@dataclass(frozen=True, kw_only=True)
class Peer:
    """Another registered VM and its record."""

    vm: str
    record: PeerRecord


class PeerLink(DatagramProtocol):
    """Sends messages to registered peers and passes received ones to ``receive``.

    ``list_reporting`` returns VMs that report although the store turned them away and their
    registrations ended: they get status reports and updates as before, but count nowhere else.
    ``report_times`` follows the sizes of zones with each ``update_report_times``; ``bytes_sent``
    counts the bytes of datagrams by kind of message, see ``MESSAGE_NAMES``.
    """

    def __init__(self, *, vm: str, receive: Callable[[Message], None]) -> None:
        self._vm = vm
        self._receive = receive
        self._peers: dict[str, Peer] = {}
        self._broadcasts = 0
        self.list_reporting: Callable[[], dict[str, Peer]] = dict
        self.report_times = ReportTimes()
        self.bytes_sent: Counter[str] = Counter()

    @property
    def peers(self) -> dict[str, Peer]:
        """Return the registered peers by VM name."""
        return self._peers

    @property
    def is_large_fleet(self) -> bool:
        """Return whether updates are forwarded rather than sent to each VM."""
        return len(self._peers) >= LARGE_FLEET_PEERS

    def update_report_times(self, own_zone: str) -> ReportTimes:
        """Return how often to report now, and how long reports count, and remember it."""
        peers = (self.list_reporting() | self._peers).values()
        self.report_times = compute_report_times(
            own_zone=own_zone, zones_of_peers=[peer.record.availability_zone for peer in peers]
        )
        return self.report_times

    def set_peer(self, vm: str, record: PeerRecord | None) -> None:
        """Record a VM's registration; ``None`` removes the VM."""
        if vm == self._vm:
            return
        if record is None:
            self._peers.pop(vm, None)
            return
        self._peers[vm] = Peer(vm=vm, record=record)

    def send(self, message: Message, recipients: Iterable[str]) -> None:
        """Send a message to several VMs; one that is too large or cannot be sent is dropped."""
        known = self._peers
        self._send_to(message, [known[vm] for vm in recipients if vm in known])

    def _send_to(self, message: Message, peers: Iterable[Peer]) -> None:
        data = encode_message(message)
        if self.transport is None or len(data) > MAX_DATAGRAM_BYTES:
            return
        for peer in peers:
            self._write(message, data, (peer.record.address, peer.record.port))

    def send_to(self, message: Message, address: tuple[str, int]) -> None:
        """Send a message to a VM that need not be registered; it is dropped if it cannot be."""
        if self.transport is not None:
            self._write(message, encode_message(message), address)

    def _write(self, message: Message, data: bytes, address: tuple[str, int]) -> None:
        transport: Any = self.transport
        try:
            transport.write(data, address)
        except (OSError, ValueError, OverflowError):  # also for an address that is none
            return
        self.bytes_sent[MESSAGE_NAMES[type(message)]] += len(data)

    def list_limit_peers(self) -> list[str]:
        """Return the peers that understand messages on request limits."""
        return self._list_peers_from(LIMITS_MESSAGE_VERSION)

    def list_notice_peers(self) -> list[str]:
        """Return the peers that understand what upstreams say of themselves."""
        return self._list_peers_from(NOTICES_MESSAGE_VERSION)

    def list_customer_peers(self) -> list[str]:
        """Return the peers that understand customers and their quotas."""
        return self._list_peers_from(CUSTOMERS_MESSAGE_VERSION)

    def list_crash_question_peers(self) -> list[str]:
        """Return the peers that check an engine for a VM whose links may be cut."""
        return self._list_peers_from(CRASH_QUESTIONS_MESSAGE_VERSION)

    def _list_peers_from(self, message_version: int) -> list[str]:
        return [
            vm for vm, peer in self._peers.items() if peer.record.message_version >= message_version
        ]

    def find_peer(self, vm: str) -> Peer | None:
        """Return a VM that is registered, or reports although its registration ended."""
        return self._peers.get(vm) or self.list_reporting().get(vm)

    def list_zone_vms(self, zone: str) -> list[str]:
        """Return the registered and the reporting VMs in an availability zone."""
        return [peer.vm for peer in self._list_in_zone(zone)]

    def list_zone_work_peers(self, zone: str) -> list[str]:
        """Return the peers in an availability zone that can send the work of the whole zone."""
        return [
            vm
            for vm in self._list_peers_from(ZONE_WORK_MESSAGE_VERSION)
            if self._peers[vm].record.availability_zone == zone
        ]

    def broadcast(self, update: Broadcast) -> None:
        """Send an update to all peers, in a large fleet via one forwarder in each zone."""
        registered, reporting = self._list_receivers(update)
        if self.is_large_fleet:
            self._send_to_forwarders(update, registered, reporting)
        else:
            self._send_to(update, [*registered, *reporting])

    def send_to_other_zones(self, update: Broadcast, own_zone: str) -> None:
        """Send an update via one forwarder in each zone but this VM's own."""
        registered, reporting = (
            [peer for peer in peers if peer.record.availability_zone != own_zone]
            for peers in self._list_receivers(update)
        )
        self._send_to_forwarders(update, registered, reporting)

    def _list_receivers(self, update: Broadcast) -> tuple[list[Peer], list[Peer]]:
        """Return the registered and the reporting VMs that understand an update."""
        needed = NEEDED_MESSAGE_VERSION.get(type(update), 1)
        registered = [self._peers[vm] for vm in self._list_peers_from(needed)]
        reporting = self.list_reporting().values()
        return registered, [peer for peer in reporting if peer.record.message_version >= needed]

    def _send_to_forwarders(
        self, update: Broadcast, registered: list[Peer], reporting: list[Peer]
    ) -> None:
        self._broadcasts += 1
        # VMs that the store turned away forward updates only where none is registered: the others
        # in their zone are known to them from before.
        served = {peer.record.availability_zone for peer in registered}
        unserved = [peer for peer in reporting if peer.record.availability_zone not in served]
        candidates = {peer.vm: peer for peer in (*registered, *unserved)}
        zones = {vm: peer.record.availability_zone for vm, peer in candidates.items()}
        forwarders = choose_forwarders(zones, self._broadcasts)
        self._send_to(
            msgspec.structs.replace(update, forward_in_zone=True),
            [candidates[vm] for vm in forwarders],
        )

    def forward_in_zone(self, update: Broadcast, own_zone: str) -> None:
        """Forward an update from another zone to the peers in this zone."""
        self._send_to(
            msgspec.structs.replace(update, forward_in_zone=False),
            [peer for peer in self._list_in_zone(own_zone) if peer.vm != update.vm],
        )

    def send_to_all(self, message: Message) -> None:
        """Send a message to all peers."""
        self._send_to(message, (self.list_reporting() | self._peers).values())

    def send_in_zone(self, message: Message, zone: str) -> None:
        """Send a message to all peers in an availability zone."""
        self._send_to(message, self._list_in_zone(zone))

    def count_peers(self, zone: str | None) -> int:
        """Return to how many VMs a message to a zone goes, or to all zones for ``None``."""
        if zone is not None:
            return len(self._list_in_zone(zone))
        return len(self.list_reporting() | self._peers)

    def _list_in_zone(self, zone: str) -> list[Peer]:
        peers = (self.list_reporting() | self._peers).values()
        return [peer for peer in peers if peer.record.availability_zone == zone]

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802
        """Pass on a message of another VM; ignore anything else that arrives at the port."""
        message = decode_message(datagram)
        if message is not None and message.vm != self._vm:
            self._receive(message)
