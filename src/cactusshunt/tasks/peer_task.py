"""Digests exchanged by control processes, and messages with this VM's entry process."""

from __future__ import annotations

import uuid

from collections import defaultdict
from dataclasses import dataclass
from dataclasses import replace
from functools import singledispatchmethod
from typing import TYPE_CHECKING
from typing import Any

from logbook import Logger

from cactusshunt.decisions.digest import MIN_DIGEST_INTERVAL_S
from cactusshunt.decisions.digest import SentState
from cactusshunt.decisions.digest import add_demand
from cactusshunt.decisions.digest import collect_changed_rates
from cactusshunt.decisions.digest import digest_interval_s
from cactusshunt.decisions.digest import hash_vms
from cactusshunt.decisions.digest import index_rates
from cactusshunt.decisions.digest import pack_demand
from cactusshunt.decisions.digest import split_changes
from cactusshunt.decisions.digest import unpack_demand
from cactusshunt.decisions.digest import version_sort_key
from cactusshunt.schema.generated.messages import EntryReport
from cactusshunt.schema.generated.messages import ModelDemand
from cactusshunt.schema.generated.messages import PeerDigest
from cactusshunt.schema.generated.messages import RoutingTableRequest
from cactusshunt.schema.generated.messages import SubjectVersion
from cactusshunt.schema.generated.messages import SubtreeReply
from cactusshunt.schema.generated.messages import SubtreeRequest
from cactusshunt.schema.generated.messages import UpstreamState
from cactusshunt.schema.generated.messages import VmListReply
from cactusshunt.schema.generated.messages import VmListRequest
from cactusshunt.tasks.control_messages import DemandReported
from cactusshunt.tasks.control_messages import DigestReceived
from cactusshunt.tasks.control_messages import DutiesAssigned
from cactusshunt.tasks.control_messages import LoadLevelsObserved
from cactusshunt.tasks.control_messages import RatesEstimated
from cactusshunt.tasks.control_messages import SettingsAdopted
from cactusshunt.tasks.control_messages import SubtreesReceived
from cactusshunt.tasks.control_messages import UpstreamLeaving
from cactusshunt.tasks.control_messages import UpstreamsObserved
from cactusshunt.tasks.control_messages import UpstreamsRemoved
from cactusshunt.tasks.control_messages import VmListRead
from cactusshunt.tasks.periodic import Periodic

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.base import ReactorBase

    from cactusshunt.decisions.adoption import AdoptedSettings
    from cactusshunt.decisions.membership import Duties
    from cactusshunt.decisions.membership import Membership
    from cactusshunt.decisions.membership import Peer
    from cactusshunt.schema.generated.messages import ItemRate
    from cactusshunt.schema.generated.messages import Vm
    from cactusshunt.schema.generated.process import ProcessSettings
    from cactusshunt.tasks.message_bus import MessageBus
    from cactusshunt.tasks.peer_socket import ClientSocketInterface
    from cactusshunt.tasks.peer_socket import PeerNetwork

log = Logger("peers")

OBSERVED_REFRESH_DIGESTS = 20  # per contact, until versions and own observations repeat
FULL_REFRESH_DIGESTS = 240  # per contact, until all known states and rates are sent again


@dataclass(frozen=True, kw_only=True)
class _Contact:
    """A peer to which this node sends digests, with what was sent to it already."""

    socket: ClientSocketInterface
    address: str
    sent: SentState


class PeerTask:
    """Maintains the peer sockets and this node's view of the membership."""

    def __init__(
        self,
        *,
        reactor: ReactorBase,
        bus: MessageBus,
        network: PeerNetwork,
        settings: ProcessSettings,
        adopted: AdoptedSettings,
        membership: Membership,
        holds_lease: Callable[[], bool],
    ) -> None:
        self._reactor = reactor
        self._bus = bus
        self._network = network
        self._settings = settings
        self._adopted = adopted
        self.membership = membership
        self._holds_lease = holds_lease
        self._lease_holders: set[str] = set()
        self._identity = f"{settings.vm}/control/{uuid.uuid4().hex[:8]}".encode()
        self._contacts: dict[str, _Contact] = {}
        self._own_observations: dict[str, UpstreamState] = {}
        self._other_zone_states: dict[str, UpstreamState] = {}
        self._own_zone_states: dict[str, UpstreamState] = {}
        self._demand: dict[str, ModelDemand] = {}
        self._own_zone_rates: dict[tuple[str, str], ItemRate] = {}
        self._other_zone_rates: dict[tuple[str, str], ItemRate] = {}
        self._duties: Duties | None = None
        self.versions: dict[str, dict[str, SubjectVersion]] = defaultdict(dict)
        self._server = network.listen(
            receive=self._receive, address=f"{settings.address}:{settings.peer_port}"
        )
        self._entry_identity = f"{settings.vm}/entry".encode()
        self._digests = Periodic(
            reactor=reactor, interval_s=MIN_DIGEST_INTERVAL_S, run=self._send_digests
        )
        bus.subscribe(VmListRead, self._receive_vm_list)
        bus.subscribe(SettingsAdopted, lambda _: self._digests.trigger())
        bus.subscribe(UpstreamsObserved, self._receive_observation)
        bus.subscribe(UpstreamsRemoved, self._receive_removal)
        bus.subscribe(UpstreamLeaving, lambda _: self._digests.trigger())
        bus.subscribe(RatesEstimated, self._receive_rates)

    def start(self) -> None:
        """Start sending digests."""
        self._digests.start()

    def stop(self) -> None:
        """Stop sending digests and close the sockets."""
        self._digests.stop()
        for contact in self._contacts.values():
            contact.socket.shutdown()
        self._server.shutdown()

    def send_to_entry(self, message: object) -> None:
        """Send a message to this VM's entry process, if it is connected."""
        self._server.send_to(self._entry_identity, message)

    def dump(self) -> dict[str, Any]:
        """Return this task's state."""
        now = self._reactor.seconds()
        return {
            "vms": len(self.membership.vms),
            "live_peers": [peer.vm for peer in self.membership.live_peers(now)],
            "reachable_zones": sorted(self.membership.reachable_zones(now)),
            "contacts": len(self._contacts),
        }

    def _receive(self, sender: bytes, message: object) -> None:
        self._handle(message, sender)

    @singledispatchmethod
    def _handle(self, message: object, sender: bytes) -> None:
        log.warning("unexpected message {} from {}", type(message).__name__, sender)

    @_handle.register
    def _(self, message: PeerDigest, sender: bytes) -> None:
        del sender
        now = self._reactor.seconds()
        self.membership.record_heard(message.vm, now)
        same_zone = message.availability_zone == self._settings.availability_zone
        if same_zone and message.holds_lease:
            self._lease_holders.add(message.vm)
        else:
            self._lease_holders.discard(message.vm)
        self._record_versions(message)
        self._apply_vm_changes(message)
        if message.upstreams:
            states = tuple(message.upstreams)
            if not same_zone:
                self._other_zone_states.update({state.vm: state for state in states})
            self._bus.publish(UpstreamsObserved(observer=message.vm, states=states))
        if message.load_levels:
            self._bus.publish(
                LoadLevelsObserved(observer=message.vm, levels=dict(message.load_levels))
            )
        self._bus.publish(DigestReceived(observer=message.vm))
        if message.rates:
            if not same_zone:
                self._other_zone_rates.update(index_rates(message.rates))
            self._bus.publish(RatesEstimated(rates=tuple(message.rates)))
        if same_zone and message.demand:
            self._bus.publish(DemandReported(demand=unpack_demand(message.demand)))

    @_handle.register
    def _(self, message: SubtreeRequest, sender: bytes) -> None:
        found = [self._adopted.get(subject) for subject in message.subjects]
        subtrees = [subtree for subtree in found if subtree is not None]
        self._server.send_to(sender, SubtreeReply(subtrees=subtrees))

    @_handle.register
    def _(self, message: SubtreeReply, sender: bytes) -> None:
        del sender
        self._bus.publish(SubtreesReceived(subtrees=tuple(message.subtrees)))

    @_handle.register
    def _(self, message: VmListRequest, sender: bytes) -> None:
        del message
        self._server.send_to(sender, VmListReply(vms=self.membership.vms))

    @_handle.register
    def _(self, message: VmListReply, sender: bytes) -> None:
        del sender
        self._replace_vms(list(message.vms))

    @_handle.register
    def _(self, message: EntryReport, sender: bytes) -> None:
        del sender
        for demand in message.demand:
            self._demand[demand.item] = add_demand(self._demand.get(demand.item), demand)
        for name in message.leaving:
            self._bus.publish(UpstreamLeaving(name=name))
        self._bus.publish(DemandReported(demand=tuple(message.demand)))

    @_handle.register
    def _(self, message: RoutingTableRequest, sender: bytes) -> None:
        del sender
        self._bus.publish(message)

    def _record_versions(self, message: PeerDigest) -> None:
        known = self.versions[message.vm]
        known.update({version.subject: version for version in message.settings})
        newer = self._adopted.find_newer(message.settings)
        contact = self._contacts.get(message.vm)
        if newer and contact is not None:
            contact.socket.send_message(SubtreeRequest(vm=self._settings.vm, subjects=newer))

    def _apply_vm_changes(self, message: PeerDigest) -> None:
        if self._duties is not None and self._duties.polls_vm_list:
            return
        if message.vms or message.removed_vms:
            merged = {vm.vm: vm for vm in self.membership.vms}
            merged.update({vm.vm: vm for vm in message.vms})
            for name in message.removed_vms:
                merged.pop(name, None)
            self._replace_vms(list(merged.values()))
        contact = self._contacts.get(message.vm)
        vm_list_differs = message.vm_list_hash and message.vm_list_hash != hash_vms(
            self.membership.vms
        )
        if vm_list_differs and contact is not None:
            contact.socket.send_message(VmListRequest(vm=self._settings.vm))

    def _receive_vm_list(self, message: VmListRead) -> None:
        self._replace_vms(list(message.vms))

    def _replace_vms(self, vms: list[Vm]) -> None:
        unlisted = {vm.vm for vm in self.membership.vms} - {vm.vm for vm in vms}
        self.membership.replace_vms(vms)
        if unlisted:
            self._bus.publish(UpstreamsRemoved(names=tuple(sorted(unlisted))))
        self._assign_duties()
        self._connect_contacts()

    def _receive_observation(self, message: UpstreamsObserved) -> None:
        for state in message.states:
            if message.observer == self._settings.vm:
                self._own_observations[state.vm] = state
            if state.availability_zone == self._settings.availability_zone:
                self._own_zone_states[state.vm] = state

    def _receive_rates(self, message: RatesEstimated) -> None:
        own = self._settings.availability_zone
        self._own_zone_rates.update(
            index_rates(rate for rate in message.rates if rate.availability_zone == own)
        )

    def _receive_removal(self, message: UpstreamsRemoved) -> None:
        for name in message.names:
            for states in (self._own_observations, self._other_zone_states, self._own_zone_states):
                states.pop(name, None)

    def _assign_duties(self) -> None:
        duties = self.membership.duties(self._reactor.seconds())
        if duties == self._duties:
            return
        self._duties = duties
        self._own_observations = {
            name: state
            for name, state in self._own_observations.items()
            if name in duties.upstreams
        }
        self._bus.publish(DutiesAssigned(duties=duties))

    def _connect_contacts(self) -> None:
        chosen = {peer.vm: peer for peer in self.membership.contacts(self._reactor.seconds())}
        for name in [name for name in self._contacts if name not in chosen]:
            self._contacts.pop(name).socket.shutdown()
            self.versions.pop(name, None)
        for name, peer in chosen.items():
            contact = self._contacts.get(name)
            if contact is not None and contact.address != peer.address:
                contact.socket.shutdown()
                contact = None
            if contact is None:
                self._contacts[name] = self._connect(peer)

    def _connect(self, peer: Peer) -> _Contact:
        socket = self._network.connect(
            receive=self._receive,
            address=peer.address,
            identity=self._identity,
        )
        return _Contact(socket=socket, address=peer.address, sent=SentState())

    async def _send_digests(self) -> None:
        self._assign_duties()
        self._connect_contacts()
        self._digests.set_interval(digest_interval_s(len(self._contacts)))
        demand = list(self._demand.values())
        self._demand = {}
        peers = {peer.vm: peer for peer in self.membership.peers()}
        for name, contact in self._contacts.items():
            peer = peers.get(name)
            if peer is not None:
                same_zone = peer.availability_zone == self._settings.availability_zone
                demand_to_send = (
                    demand if name in self._lease_holders or not self._lease_holders else []
                )
                contact.socket.send_message(
                    self._make_own_zone_digest(contact, demand_to_send)
                    if same_zone
                    else self._make_other_zone_digest(contact)
                )

    def _make_own_zone_digest(self, contact: _Contact, demand: list[ModelDemand]) -> PeerDigest:
        states = {**self._other_zone_states, **self._own_observations}
        return self._make_digest(
            contact.sent, states, self._other_zone_rates, self._adopted.versions(), demand
        )

    def _make_other_zone_digest(self, contact: _Contact) -> PeerDigest:
        """Return a digest of this whole zone for another zone, without load levels."""
        states = {
            name: replace(state, load_level=0) for name, state in self._own_zone_states.items()
        }
        return self._make_digest(
            contact.sent, states, self._own_zone_rates, self.zone_versions(), []
        )

    def zone_versions(self) -> list[SubjectVersion]:
        """Return the oldest version of each subject that a live node of this zone has in force."""
        lowest = {version.subject: version for version in self._adopted.versions()}
        for peer in self.membership.live_peers(self._reactor.seconds()):
            for subject, version in list(lowest.items()):
                known = self.versions.get(peer.vm, {}).get(subject)
                if known is not None and version_sort_key(known) < version_sort_key(version):
                    lowest[subject] = known
        return [lowest[subject] for subject in sorted(lowest)]

    def _make_digest(
        self,
        sent: SentState,
        states: dict[str, UpstreamState],
        rates: dict[tuple[str, str], ItemRate],
        versions: list[SubjectVersion],
        demand: list[ModelDemand],
    ) -> PeerDigest:
        """Return a digest with what changed since the previous one to the same contact."""
        if sent.sequence % FULL_REFRESH_DIGESTS == 0:
            sent.upstreams = {}
            sent.rates = {}
        if sent.sequence % OBSERVED_REFRESH_DIGESTS == 0:
            sent.settings = {}
            for name in self._own_observations:
                sent.upstreams.pop(name, None)
        sent.sequence += 1
        changed, levels = split_changes(sent.upstreams, states)
        vms = {vm.vm: vm for vm in self.membership.vms}
        polls_vm_list = self._duties is not None and self._duties.polls_vm_list
        changed_vms = [vm for name, vm in vms.items() if sent.vms.get(name) != vm]
        digest = PeerDigest(
            vm=self._settings.vm,
            availability_zone=self._settings.availability_zone,
            holds_lease=self._holds_lease(),
            settings=[v for v in versions if sent.settings.get(v.subject) != v],
            upstreams=changed,
            load_levels=levels,
            demand=pack_demand(demand),
            rates=collect_changed_rates(sent, rates),
            vms=changed_vms if polls_vm_list and sent.vms else [],
            removed_vms=sorted(sent.vms.keys() - vms.keys()) if polls_vm_list else [],
            vm_list_hash=hash_vms(self.membership.vms) if polls_vm_list else "",
        )
        sent.settings = {version.subject: version for version in versions}
        sent.upstreams = dict(states)
        sent.vms = vms
        return digest
