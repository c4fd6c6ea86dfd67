"""Steps on upstreams that leave by their entries in the store, which VMs read one by one."""

from __future__ import annotations

import json
import random
import time
import uuid

from concurrent.futures import ThreadPoolExecutor
from types import SimpleNamespace
from typing import Any

from behave import given
from behave import then
from behave import when
from twisted.internet.task import Clock

from cactusshunt.membership.messages import EntryReport
from cactusshunt.membership.peer_link import MESSAGE_VERSION
from cactusshunt.membership.peer_link import PeerLink
from cactusshunt.membership.peer_link import PeerRecord
from cactusshunt.notices.entry_reports import EntryReports
from cactusshunt.platform.store import StoredItem
from cactusshunt.routing.upstream_directory import UpstreamDirectory
from local.platform_deployment import call
from local.platform_deployment import wait_until
from local.ports import offset_port
from soak.faulty_link import LinkMode
from soak.fleet import SoakFleet

FIRST_PORT = offset_port(14_300)
SERVICE = "s"
ZONES = 5
LINK_S = (0.001, 0.002, 0.005)
DRAIN_S = 2.0  # of the nodes' settings, the default
REVISION = 100  # at which the VMs have read all upstreams
BORN = 7
READ = "e1"  # the upstream of which one VM reads more
REQUESTS_PER_S = 40


class ReadingVm:
    """One VM's directory, link and reports."""

    def __init__(self, fleet: ReadingFleet, name: str) -> None:
        self.name = name
        self.zone = f"z{int(name[2:]) % ZONES}"
        self.reports = 0
        self._fleet = fleet
        self.link = PeerLink(vm=name, receive=self._receive)
        transport: Any = SimpleNamespace(write=self._write)
        self.link.transport = transport
        clock: Any = fleet.clock
        self.directory = UpstreamDirectory(drain_s=DRAIN_S, clock=clock.seconds)
        self.entry_reports = EntryReports(
            reactor=clock, vm=name, directory=self.directory, link=self.link
        )
        for upstream in fleet.upstreams:
            self.read(upstream, REVISION)

    def read(
        self, upstream: str, revision: int, *, state: str = "ready", born: int = BORN, era: int = 0
    ) -> None:
        """Read an upstream's entry in the store; an empty state stands for none."""
        entry = {"service": SERVICE, "address": "10.0.0.1:80", "state": state, "born": born}
        value = json.dumps(entry).encode() if state else None
        item = StoredItem(key=f"servers/{upstream}", value=value, revision=revision, era=era)
        self.directory.apply_stored_entry(item)

    def uses(self, upstream: str) -> bool:
        return upstream in {found.name for found in self.directory.usable(SERVICE)}

    def may_use(self, upstream: str) -> bool:
        """Return whether a request that was chosen for an upstream may still be sent there."""
        found = self.directory.find(upstream)
        return found is not None and self.directory.may_use(found)

    def _receive(self, message: Any) -> None:
        assert isinstance(message, EntryReport)
        if message.forward_in_zone:
            self.link.forward_in_zone(message, self.zone)
        self.entry_reports.apply_message(message)

    def _write(self, data: bytes, address: tuple[str, int]) -> None:
        self._fleet.reporters.add(self.name)
        if self._fleet.random.random() >= self._fleet.lost_share:
            receiver = self._fleet.vms[address[0]]
            delay_s = self._fleet.random.choice(LINK_S)
            self._fleet.clock.callLater(delay_s, receiver.link.datagramReceived, data, None)


class ReadingFleet:
    """VMs that know the same upstreams."""

    def __init__(self, *, vms: int, upstreams: int, lost_share: float) -> None:
        self.clock = Clock()
        self.clock.advance(1_000.0)
        self.random = random.Random(1)
        self.lost_share = lost_share
        self.upstreams = [f"e{number}" for number in range(1, upstreams + 1)]
        self.reporters: set[str] = set()
        self.vms = {f"vm{number}": ReadingVm(self, f"vm{number}") for number in range(vms)}
        for vm in self.vms.values():
            for peer in self.vms.values():
                record = PeerRecord(
                    address=peer.name,
                    port=1,
                    availability_zone=peer.zone,
                    message_version=MESSAGE_VERSION,
                )
                vm.link.set_peer(peer.name, record)
        self.advance(2.0)
        assert not self.reporters  # entries that are read for the first time are told to nobody

    def advance(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.005)):
            self.clock.advance(0.005)


@given(
    "{vms:d} VMs that know {upstreams:d} upstreams, and datagrams of which {percent:d} % are lost"
)
def make_fleet(context: Any, vms: int, upstreams: int, percent: int) -> None:
    context.fleet = ReadingFleet(vms=vms, upstreams=upstreams, lost_share=percent / 100.0)
    context.first, context.other, *_ = context.fleet.vms.values()


@when("one VM reads that an upstream {how}")
def read_first(context: Any, how: str) -> None:
    state = {"is draining": "draining", "has no entry": ""}[how]
    context.first.read(READ, REVISION + 10, state=state)
    context.fleet.advance(0.1)
    context.soon = [not vm.uses(READ) for vm in context.fleet.vms.values()]
    context.reporters = set(context.fleet.reporters)
    context.fleet.advance(1.4)


@then("within {seconds:g} seconds no VM uses it")
def check_unused(context: Any, seconds: float) -> None:
    using = [vm.name for vm in context.fleet.vms.values() if vm.uses(READ) or vm.may_use(READ)]
    assert not using, using


@then("within {seconds:g} seconds 9 of 10 VMs did not")
def check_soon(context: Any, seconds: float) -> None:
    assert context.soon.count(True) >= 0.9 * len(context.soon), context.soon.count(True)


@then("at most {count:d} VMs have sent reports of it")
def check_reporters(context: Any, count: int) -> None:
    forwarders = ZONES * 3  # of the report and its repetitions, where it is forwarded
    allowed = count if len(context.fleet.vms) <= 16 else count + forwarders
    assert len(context.fleet.reporters) <= allowed, context.fleet.reporters


@when("the same VM reads its entry again")
def read_again(context: Any) -> None:
    context.first.read(READ, REVISION + 20)
    context.fleet.advance(0.5)


@when("another VM reads an entry of before")
def read_outdated(context: Any) -> None:
    context.other.read(READ, REVISION + 5)


@when("another VM reads a later entry")
def read_later(context: Any) -> None:
    context.other.read(READ, REVISION + 20)


@when("another VM reads the entry of its next start")
def read_next_start(context: Any) -> None:
    context.other.read(READ, REVISION + 20, born=BORN + 1)


@when("another VM reads an entry in the next era")
def read_next_era(context: Any) -> None:
    context.other.read(READ, REVISION - 50, era=1)


@when("11 s later another VM reads an older entry")
def read_long_after(context: Any) -> None:
    context.fleet.advance(11.0)
    context.other.read(READ, REVISION + 5)


@when("the same VM reads that all others have none")
def read_none_left(context: Any) -> None:
    for upstream in context.fleet.upstreams:
        context.first.read(upstream, REVISION + 20, state="")
    context.fleet.advance(5.0)


@then("all VMs use it")
def check_used(context: Any) -> None:
    assert all(vm.uses(READ) for vm in context.fleet.vms.values())


@then("that VM uses it")
def check_other_uses(context: Any) -> None:
    assert context.other.uses(READ)


@then("that VM does not use it")
def check_other_does_not(context: Any) -> None:
    assert not context.other.uses(READ)


@then("all VMs but that one use them")
def check_fallback(context: Any) -> None:
    for vm in context.fleet.vms.values():
        known = [upstream for upstream in context.fleet.upstreams if vm.uses(upstream)]
        assert bool(known) == (vm is not context.first), (vm.name, known)


@given("4 nodes of which three do not hear the store")
def start_nodes(context: Any) -> None:
    fleet = context.fleet = SoakFleet(first_port=FIRST_PORT, nodes=4)
    context.cleanups = [*getattr(context, "cleanups", []), fleet.stop]
    fleet.start()


def send_request(context: Any, node: str) -> tuple[str, float, int]:
    request_id = uuid.uuid4().hex
    headers = {"Host": "h", "X-Request-Id": request_id, "X-Deadline-Ms": "4000"}
    sent_at = time.time()
    status = call(context.fleet.caller_ports[node], "GET", "/again/x", None, headers)[0]
    return request_id, sent_at, status


@when("an upstream leaves by its entry, and requests come at all nodes for {seconds:d} seconds")
def leave(context: Any, seconds: int) -> None:
    fleet = context.fleet
    nodes = list(fleet.caller_ports)
    for node in nodes[1:]:
        fleet.links.set_mode(fleet.store_port_of(node), LinkMode.SILENT)
    fleet.inject_fault("s1", "drain")
    with ThreadPoolExecutor(40) as pool:
        sending = []
        known = pool.submit(
            wait_until, lambda: '"state":"draining"' in fleet.read_log(nodes[0]).replace(" ", "")
        )
        known.result()
        context.known_at = time.time()
        for number in range(seconds * REQUESTS_PER_S):
            sending.append(pool.submit(send_request, context, nodes[number % len(nodes)]))
            time.sleep(1.0 / REQUESTS_PER_S)
        context.sent = [found.result() for found in sending]
    for node in nodes[1:]:
        fleet.links.set_mode(fleet.store_port_of(node), LinkMode.NORMAL)


@then(
    "no request that was sent later than drainMs after the first node had read it "
    "reaches the upstream"
)
def check_late(context: Any) -> None:
    ran = set(context.fleet.state_of("s1")["runs"])
    late = [
        sent_at - context.known_at
        for request_id, sent_at, _ in context.sent
        if request_id in ran and sent_at > context.known_at + DRAIN_S
    ]
    assert not late, (len(late), max(late))


@then("all requests are answered")
def check_answered(context: Any) -> None:
    statuses = {status for _, _, status in context.sent}
    assert statuses == {200}, statuses
