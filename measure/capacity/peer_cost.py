"""Digests between control processes: messages, bytes and processor time a node."""

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
FRAME_OVERHEAD_BYTES = 4 + 52  # ZeroMQ framing of two frames, and TCP, IP and its acknowledgement
ITEMS_PER_ENGINE = 12
CHANGING_PART = 0.1  # of the engines' load levels that move from one second to the next
MOVES_PER_ENGINE_S = 0.002


@dataclass(kw_only=True)
class Traffic:
    """What one node sent and received."""

    sent_messages: int = 0
    sent_bytes: int = 0
    received_messages: int = 0
    received_bytes: int = 0


@dataclass(kw_only=True)
class CountingNetwork:
    """Delivers messages between tasks in one process and counts them by node."""

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
        """Encode, count, decode and pass on one message."""
        frames = encode_message(message)
        size = sum(len(frame) for frame in frames) + FRAME_OVERHEAD_BYTES
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
    """One node's view of the counting network."""

    network: CountingNetwork
    vm: str

    def listen(self, *, receive: Callable[[bytes, Any], None], address: str) -> Any:
        """Register a node."""
        self.network.servers[address] = (self.vm, receive)
        return _Server(node=self)

    def connect(
        self, *, receive: Callable[[bytes, Any], None], address: str, identity: bytes
    ) -> Any:
        """Register a connection."""
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
    """Cost of one node a second; ``watcher`` ones speak with other zones too."""

    messages: float
    sent_bytes: float
    received_bytes: float
    busiest_bytes: float
    cpu_share: float


class PeerCluster:
    """Real peer tasks of whole zones on one manual clock."""

    def __init__(self, *, size: PeerSize) -> None:
        self._size = size
        self._clock = Clock()
        self._clock.advance(1000.0)
        self._random = random.Random(3)
        self.network = CountingNetwork(clock=self._clock)
        self._vms = self._list_vms()
        self._states = {vm.vm: self._first_state(vm) for vm in self._vms if vm.role == "engine"}
        self._nodes: list[tuple[Vm, PeerTask, MessageBus]] = []
        for vm in self._vms:
            if vm.role == "entry":
                self._add_node(vm)
        for _, task, _ in self._nodes:
            task._replace_vms(self._vms)
            task.start()

    def measure(self) -> PeerCost:
        """Let time pass and return what a node costs a second."""
        self._run(WARM_UP_S)
        self.network.traffic.clear()
        began = time.process_time()
        self._run(MEASURED_S)
        cpu_s = time.process_time() - began
        traffic = list(self.network.traffic.values())
        nodes = len(self._nodes)
        busiest = max(found.sent_bytes + found.received_bytes for found in traffic)
        return PeerCost(
            messages=sum(found.sent_messages for found in traffic) / nodes / MEASURED_S,
            sent_bytes=sum(found.sent_bytes for found in traffic) / nodes / MEASURED_S,
            received_bytes=sum(found.received_bytes for found in traffic) / nodes / MEASURED_S,
            busiest_bytes=busiest / MEASURED_S,
            cpu_share=cpu_s / nodes / MEASURED_S,
        )

    def _run(self, seconds: int) -> None:
        for _ in range(seconds):
            self._observe()
            self._clock.pump([0.1] * 10)

    def _list_vms(self) -> list[Vm]:
        size = self._size
        vms = []
        for zone in range(size.zones):
            for number in range(size.nodes_per_zone):
                vms.append(_vm(f"entry-{zone}-{number}", "entry", zone, 8000))
            for number in range(size.engines_per_zone):
                vms.append(_vm(f"engine-{zone}-{number}", "engine", zone, 9000))
        return sorted(vms, key=lambda vm: vm.vm)

    def _first_state(self, vm: Vm) -> UpstreamState:
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

    def _observe(self) -> None:
        """Let each node observe its share of the engines, and count demand."""
        for name, state in self._states.items():
            level = state.load_level
            if self._random.random() < CHANGING_PART:
                level = self._random.randrange(9)
            items = list(state.items)
            if self._random.random() < MOVES_PER_ENGINE_S:
                items[0] = f"team-1/model-{self._random.randrange(self._size.targets)}@v1"
            self._states[name] = replace(state, load_level=level, items=items)
        for vm, task, bus in self._nodes:
            duties = task.membership.duties(self._clock.seconds())
            states = tuple(self._states[name] for name in sorted(duties.upstreams))
            bus.publish(UpstreamsObserved(observer=vm.vm, states=states))
            self._report_demand(vm, task)
            bus.publish(RatesEstimated(rates=self._rates(vm.availability_zone)))

    def _report_demand(self, vm: Vm, task: PeerTask) -> None:
        asked = self._random.sample(range(self._size.targets), min(60, self._size.targets))
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
                    for n in asked
                ],
            ),
            b"",
        )

    def _rates(self, zone: str) -> tuple[ItemRate, ...]:
        return tuple(
            ItemRate(
                availability_zone=zone,
                item=f"team-{n % 20}/model-{n}",
                rate=6.0 + self._random.random(),
                service_s=1.0,
            )
            for n in range(self._size.targets)
        )


def _vm(name: str, role: Any, zone: int, port: int) -> Vm:
    return Vm(
        vm=name,
        role=role,
        kind="fenced" if role == "engine" else "entry",
        address=f"{name}:{port}",
        availability_zone=f"zone-{zone}",
        leaving=False,
    )


def measure_peers(size: PeerSize) -> PeerCost:
    """Return what a node costs at a size."""
    return PeerCluster(size=size).measure()
