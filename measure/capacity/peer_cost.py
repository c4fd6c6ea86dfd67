"""Cost of digests between control processes: messages, bytes and processor time per node."""

from __future__ import annotations

import random
import time

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.task import Clock

from cactusshunt.decisions.adoption import AdoptedSettings
from cactusshunt.decisions.membership import Membership
from cactusshunt.schema.codec import decode_message
from cactusshunt.schema.codec import encode_message
from cactusshunt.schema.generated.messages import EntryReport
from cactusshunt.schema.generated.messages import ItemRate
from cactusshunt.schema.generated.messages import ModelDemand
from cactusshunt.schema.generated.messages import Subtree
from cactusshunt.schema.generated.messages import UpstreamState
from cactusshunt.schema.generated.messages import Vm
from cactusshunt.schema.generated.process import ProcessSettings
from cactusshunt.tasks.control_messages import RatesEstimated
from cactusshunt.tasks.control_messages import UpstreamsObserved
from cactusshunt.tasks.message_bus import MessageBus
from cactusshunt.tasks.peer_task import PeerTask

if TYPE_CHECKING:
    from collections.abc import Callable

WARM_UP_S = 22
MEASURED_S = 20
MESSAGE_OVERHEAD_BYTES = 4 + 52  # ZeroMQ framing of its two frames; TCP and IP headers with the ACK
ITEMS_PER_ENGINE = 12
LOAD_LEVEL_CHANGE_FRACTION = 0.1  # fraction of engines whose load level is redrawn each second
ITEM_CHANGES_PER_ENGINE_PER_S = 0.002


@dataclass(kw_only=True)
class Traffic:
    """Messages and bytes that one node sent and received."""

    sent_messages: int = 0
    sent_bytes: int = 0
    received_messages: int = 0
    received_bytes: int = 0


@dataclass(kw_only=True)
class CountingNetwork:
    """In-process network that delivers messages between tasks and counts them by node."""

    clock: Clock
    servers: dict[str, tuple[str, Callable[[bytes, Any], None]]] = field(default_factory=dict)
    clients: dict[bytes, tuple[str, Callable[[bytes, Any], None]]] = field(default_factory=dict)
    traffic: dict[str, Traffic] = field(default_factory=dict)

    def deliver(
        self,
        source: str,
        target: str,
        receive: Callable[[bytes, Any], None],
        identity: bytes,
        message: object,
    ) -> None:
        """Encode, count, decode and deliver a message."""
        frames = encode_message(message)
        size = sum(len(frame) for frame in frames) + MESSAGE_OVERHEAD_BYTES
        sent = self.traffic.setdefault(source, Traffic())
        sent.sent_messages += 1
        sent.sent_bytes += size
        received = self.traffic.setdefault(target, Traffic())
        received.received_messages += 1
        received.received_bytes += size
        decoded = decode_message(frames).ok
        self.clock.callLater(0.001, receive, identity, decoded)


@dataclass(kw_only=True)
class NodeNetwork:
    """A node's access to the counting network."""

    network: CountingNetwork
    vm: str

    def listen(self, *, receive: Callable[[bytes, Any], None], address: str) -> Any:
        """Register a node as the listener on an address."""
        self.network.servers[address] = (self.vm, receive)
        return _Server(node=self)

    def connect(
        self, *, receive: Callable[[bytes, Any], None], address: str, identity: bytes
    ) -> Any:
        """Register a connection to an address."""
        unique = identity + address.encode()
        self.network.clients[unique] = (self.vm, receive)
        return _Client(node=self, address=address, identity=unique)


@dataclass(kw_only=True)
class _Server:
    node: NodeNetwork

    def send_to(self, identity: bytes, message: object) -> None:
        network = self.node.network
        found = network.clients.get(identity)
        if found is not None:
            network.deliver(self.node.vm, found[0], found[1], b"", message)

    def shutdown(self) -> None:
        """Do nothing."""


@dataclass(kw_only=True)
class _Client:
    node: NodeNetwork
    address: str
    identity: bytes

    def send_message(self, message: object) -> None:
        network = self.node.network
        vm, receive = network.servers[self.address]
        network.deliver(self.node.vm, vm, receive, self.identity, message)

    def shutdown(self) -> None:
        """Do nothing."""


@dataclass(frozen=True, kw_only=True)
class PeerSize:
    """Size of a measured deployment."""

    zones: int
    nodes_per_zone: int
    engines_per_zone: int
    targets: int = 100
    subjects: int = 20


@dataclass(frozen=True, kw_only=True)
class PeerCost:
    """Mean cost of a node per second; ``busiest_node_bytes`` is of the node with most traffic."""

    messages: float
    sent_bytes: float
    received_bytes: float
    busiest_node_bytes: float
    cpu_cores: float


class PeerCluster:
    """The real peer tasks of all nodes in some zones, on one manual clock."""

    def __init__(self, *, size: PeerSize) -> None:
        self._size = size
        self._clock = Clock()
        self._clock.advance(1000.0)
        self._random = random.Random(3)
        self.network = CountingNetwork(clock=self._clock)
        self._vms = self._list_vms()
        self._states = {
            vm.vm: self._make_initial_state(vm) for vm in self._vms if vm.role == "engine"
        }
        self._nodes: list[tuple[Vm, PeerTask, MessageBus]] = []
        for vm in self._vms:
            if vm.role == "entry":
                self._add_node(vm)
        for _, task, _ in self._nodes:
            task._replace_vms(self._vms)
            task.start()

    def measure(self) -> PeerCost:
        """Advance the clock and return the cost of a node per second."""
        self._advance_clock(WARM_UP_S)
        self.network.traffic.clear()
        started_at = time.process_time()
        self._advance_clock(MEASURED_S)
        cpu_s = time.process_time() - started_at
        traffic = list(self.network.traffic.values())
        nodes = len(self._nodes)
        busiest = max(found.sent_bytes + found.received_bytes for found in traffic)
        return PeerCost(
            messages=sum(found.sent_messages for found in traffic) / nodes / MEASURED_S,
            sent_bytes=sum(found.sent_bytes for found in traffic) / nodes / MEASURED_S,
            received_bytes=sum(found.received_bytes for found in traffic) / nodes / MEASURED_S,
            busiest_node_bytes=busiest / MEASURED_S,
            cpu_cores=cpu_s / nodes / MEASURED_S,
        )

    def _advance_clock(self, seconds: int) -> None:
        for _ in range(seconds):
            self._publish_observations()
            self._clock.pump([0.1] * 10)

    def _list_vms(self) -> list[Vm]:
        size = self._size
        vms = []
        for zone in range(size.zones):
            for number in range(size.nodes_per_zone):
                vms.append(_make_vm(f"entry-{zone}-{number}", "entry", zone, 8000))
            for number in range(size.engines_per_zone):
                vms.append(_make_vm(f"engine-{zone}-{number}", "engine", zone, 9000))
        return sorted(vms, key=lambda vm: vm.vm)

    def _make_initial_state(self, vm: Vm) -> UpstreamState:
        return UpstreamState(
            vm=vm.vm,
            role="engine",
            kind=vm.kind,
            address=vm.address,
            availability_zone=vm.availability_zone,
            items=[
                f"team-{n % 20}/model-{n}@v1"
                for n in self._random.sample(range(self._size.targets), ITEMS_PER_ENGINE)
            ],
            slots=64,
        )

    def _add_node(self, vm: Vm) -> None:
        bus = MessageBus(reactor=self._clock)  # type: ignore[arg-type]
        adopted = AdoptedSettings()
        for number in range(self._size.subjects):
            adopted.adopt_if_newer(
                Subtree(subject=f"teams/t{number}", generation=0, revision=5, documents={})
            )
        task = PeerTask(
            reactor=self._clock,  # type: ignore[arg-type]
            bus=bus,
            network=NodeNetwork(network=self.network, vm=vm.vm),
            settings=ProcessSettings(
                vm=vm.vm,
                availability_zone=vm.availability_zone,
                address=vm.vm,
                peer_port=8000,
                store_urls=["http://s"],
                vm_list_url="http://l",
            ),
            adopted=adopted,
            membership=Membership(
                vm=vm.vm,
                availability_zone=vm.availability_zone,
                started_at=self._clock.seconds(),
            ),
            holds_lease=lambda: vm.vm.endswith("-0"),
        )
        self._nodes.append((vm, task, bus))

    def _publish_observations(self) -> None:
        """Change some engine states, and publish each node's observations and demand."""
        for name, state in self._states.items():
            level = state.load_level
            if self._random.random() < LOAD_LEVEL_CHANGE_FRACTION:
                level = self._random.randrange(9)
            items = list(state.items)
            if self._random.random() < ITEM_CHANGES_PER_ENGINE_PER_S:
                items[0] = f"team-1/model-{self._random.randrange(self._size.targets)}@v1"
            self._states[name] = replace(state, load_level=level, items=items)
        for vm, task, bus in self._nodes:
            duties = task.membership.duties(self._clock.seconds())
            states = tuple(self._states[name] for name in sorted(duties.upstreams))
            bus.publish(UpstreamsObserved(observer=vm.vm, states=states))
            self._report_demand(vm, task)
            bus.publish(RatesEstimated(rates=self._make_rates(vm.availability_zone)))

    def _report_demand(self, vm: Vm, task: PeerTask) -> None:
        requested = self._random.sample(range(self._size.targets), min(60, self._size.targets))
        task._handle(
            EntryReport(
                vm=vm.vm,
                sequence=1,
                demand=[
                    ModelDemand(
                        item=f"team-{n % 20}/model-{n}",
                        arrivals=1,
                        waiting=0,
                        late=0,
                        finished=1,
                        busy_s=1.0,
                    )
                    for n in requested
                ],
            ),
            b"",
        )

    def _make_rates(self, zone: str) -> tuple[ItemRate, ...]:
        return tuple(
            ItemRate(
                availability_zone=zone,
                item=f"team-{n % 20}/model-{n}",
                rate=6.0 + self._random.random(),
                service_s=1.0,
            )
            for n in range(self._size.targets)
        )


def _make_vm(name: str, role: Any, zone: int, port: int) -> Vm:
    return Vm(
        vm=name,
        role=role,
        kind="fenced" if role == "engine" else "entry",
        address=f"{name}:{port}",
        availability_zone=f"zone-{zone}",
        leaving=False,
    )


def measure_peers(size: PeerSize) -> PeerCost:
    """Return the cost of a node in a deployment of a size."""
    return PeerCluster(size=size).measure()
