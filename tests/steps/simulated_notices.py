"""VMs with the real notices, directories and links in memory, and engines that leave or rest."""

from __future__ import annotations

import json
import random

from collections import defaultdict
from dataclasses import dataclass
from types import SimpleNamespace
from typing import Any

from twisted.internet.task import Clock

from cactusshunt.membership.peer_link import PeerLink
from cactusshunt.membership.peer_link import PeerRecord
from cactusshunt.notices.departures import Run
from cactusshunt.notices.upstream_notices import UpstreamNotices
from cactusshunt.platform.store import StoredItem
from cactusshunt.requests.admission import Refusal
from cactusshunt.routing.upstream_directory import UpstreamDirectory

SERVICE = "s"
DRAIN_S = 2.0
WORK_S = 0.2
ZONES = 3
LOST_SHARE = 0.02  # of the datagrams
LINK_S = (0.001, 0.002, 0.005, 0.03)
CONNECT_S = (0.0, 0.0, 0.001, 0.3)
MAX_WAIT_S = 1.0
RECHECK_S = 0.03
STATUS_S = 0.2  # between two reports on the load of engines
TICK_S = 1.0
REGISTRATION_S = 0.5
EARLIER_VERSION = 4  # of the messages of a build that knows no notices


@dataclass(frozen=True, kw_only=True)
class Arrival:
    """A request at an engine: when, from which start of which VM, and when its caller sent it."""

    at: float
    vm: str
    start: int
    sent_at: float


class SimulatedEngine:
    """Runs requests in ``slots``, and says what it is told to say."""

    def __init__(self, fleet: SimulatedNotices, name: str, slots: int) -> None:
        self._fleet = fleet
        self.name = name
        self.slots = slots
        self.born = 1
        self.leaving = False
        self.rest: tuple[float, str] = (0.0, "")  # until when it refuses, and its Retry-After
        self.running = 0
        self.arrivals: list[Arrival] = []
        # when it refused which start of which VM, and for how many seconds
        self.refusals: list[tuple[float, tuple[str, int], float]] = []
        self.overfull_at: list[float] = []

    def arrive(self, vm: SimulatedVm, sent_at: float, written_at: float, run: Run) -> None:
        """Take a request and answer it after its work, or refuse it."""
        clock = self._fleet.clock
        now = clock.seconds()
        self.arrivals.append(Arrival(at=now, vm=vm.name, start=vm.start_number, sent_at=sent_at))
        headers = [(b"Server-Leaving", b"1")] if self.leaving else []
        status, after_s = 200, WORK_S
        if now < self.rest[0]:
            status, after_s = 503, 0.0
            headers.append((b"Retry-After", self.rest[1].encode()))
            self.refusals.append((now, (vm.name, vm.start_number), float(self.rest[1])))
        elif self.running >= self.slots:
            status, after_s = 503, 0.0
            self.overfull_at.append(now)
        else:
            self.running += 1
            clock.callLater(after_s, self._end)
        delay_s = after_s + self._fleet.random.choice(LINK_S)
        clock.callLater(
            delay_s, vm.run, vm.start_number, vm.receive, run, status, headers, written_at
        )

    def _end(self) -> None:
        self.running -= 1


class SimulatedVm:
    """One VM; with ``earlier`` of the build before, which knows no notices."""

    def __init__(self, fleet: SimulatedNotices, name: str, *, earlier: bool) -> None:
        self.fleet = fleet
        self.name = name
        self.earlier = earlier
        self.zone = f"z{int(name[2:]) % ZONES}"
        self.start_number = 0
        self.frozen = False
        self._postponed: list[Any] = []
        # by start of this VM's process and run of an engine, when an answer said that it leaves
        self.told_at: dict[tuple[int, Run], float] = {}
        self.refused = 0
        self.begin()

    def begin(self) -> None:
        """Start the process, with an empty memory."""
        fleet = self.fleet
        self.start_number += 1
        self.link = PeerLink(vm=self.name, receive=self._receive)
        self.link.transport = SimpleNamespace(write=self._write)  # type: ignore[assignment]
        self.directory = UpstreamDirectory(drain_s=DRAIN_S, clock=fleet.clock.seconds)
        start = self.start_number
        reactor = SimpleNamespace(
            seconds=fleet.clock.seconds,
            callLater=lambda s, run, *args: fleet.clock.callLater(s, self.run, start, run, *args),
        )
        self.notices = UpstreamNotices(
            reactor=reactor,
            vm=self.name,
            directory=self.directory,
            link=self.link,
            drain_s=DRAIN_S,
        )
        for engine in fleet.engines.values():
            self.see_engine(engine)
        for name, record in fleet.registered.items():
            self.link.set_peer(name, record)
        self._tick(start)

    def _tick(self, start: int) -> None:
        if start == self.start_number:
            self.notices.tick()
            self.fleet.clock.callLater(TICK_S, self.run, start, self._tick, start)

    def run(self, start: int, run: Any, *arguments: Any) -> None:
        """Run something of a start of the process, later if the VM is frozen."""
        if start != self.start_number:
            return
        if self.frozen:
            self._postponed.append((run, arguments))
        else:
            run(*arguments)

    def thaw(self) -> None:
        """Run what a freeze has postponed; it excuses what the VM was told before."""
        self.frozen = False
        self.start_number += 0
        self.told_at.clear()
        postponed, self._postponed = self._postponed, []
        for run, arguments in postponed:
            run(*arguments)

    def see_engine(self, engine: SimulatedEngine, state: str = "ready") -> None:
        """Read an engine's entry from the store."""
        entry = {"service": SERVICE, "address": "10.0.0.1:80", "state": state}
        entry |= {"born": engine.born, "slots": engine.slots}
        item = StoredItem(
            key=f"servers/{engine.name}", value=json.dumps(entry).encode(), revision=1
        )
        self.directory.apply_stored_entry(item)

    def request(self, sent_at: float, waits_until: float, excluded: frozenset[str]) -> None:
        """Choose an engine for a caller's request, as the picker does, and connect to it."""
        now = self.fleet.clock.seconds()
        known = self.directory.usable(SERVICE)
        known = known or self.notices.list_last_resort(SERVICE, sent_at)
        known = [found for found in known if found.name not in excluded]
        awake = known if self.earlier else self.notices.select_awake(known)
        if isinstance(awake, Refusal):
            if awake.may_wait and now < waits_until:
                again = (self.request, sent_at, waits_until, excluded)
                self.fleet.clock.callLater(RECHECK_S, self.run, self.start_number, *again)
                return
            self.refused += 1
            self.fleet.come_back(awake.retry_after_s)
            return
        if not awake:
            self.refused += 1
            return
        pair = self.fleet.random.sample(awake, min(2, len(awake)))
        chosen = min(pair, key=lambda found: self.fleet.reported[found.name])
        delay_s = self.fleet.random.choice(CONNECT_S)
        arguments = (chosen, sent_at, waits_until, excluded)
        self.fleet.clock.callLater(delay_s, self.run, self.start_number, self._send, *arguments)

    def _send(
        self, upstream: Any, sent_at: float, waits_until: float, excluded: frozenset[str]
    ) -> None:
        if not self.earlier and not self.notices.may_send(upstream, sent_at):
            self.request(sent_at, waits_until, excluded)
            return
        run = Run(upstream=upstream.name, born=upstream.entry.born)
        if not self.earlier:
            self.notices.begin(run)
        engine = self.fleet.engines[upstream.name]
        written_at = self.fleet.clock.seconds()
        delay_s = self.fleet.random.choice(LINK_S)
        self.fleet.clock.callLater(delay_s, engine.arrive, self, sent_at, written_at, run)

    def receive(self, run: Run, status: int, headers: Any, written_at: float) -> None:
        """Take an answer, and pass it on; what was refused goes elsewhere."""
        now = self.fleet.clock.seconds()
        if any(name == b"Server-Leaving" for name, _ in headers):
            self.told_at.setdefault((self.start_number, run), now)
        if not self.earlier:
            self.notices.record_answer(run, status=status, headers=headers, sent_at=written_at)
        if status == 503:
            self.request(now, now + MAX_WAIT_S, frozenset({run.upstream}))

    def _write(self, data: bytes, address: tuple[str, int]) -> None:
        receiver = self.fleet.vms[address[0]]
        if self.fleet.random.random() >= LOST_SHARE:
            delay_s = self.fleet.random.choice(LINK_S)
            self.fleet.clock.callLater(delay_s, receiver.get_datagram, data)

    def get_datagram(self, data: bytes) -> None:
        """Get another VM's datagram; an earlier build cannot decode it."""
        if not self.earlier:
            self.run(self.start_number, self.link.datagramReceived, data, None)

    def _receive(self, message: Any) -> None:
        if message.forward_in_zone:
            self.link.forward_in_zone(message, self.zone)
        self.notices.apply_message(message)


class SimulatedNotices:
    """A fleet whose callers send requests that any engine can take."""

    def __init__(
        self, *, vms: int, engines: int, slots: int, earlier_vms: int = 0, seed: int = 1
    ) -> None:
        self.clock = Clock()
        self.clock.advance(1_000.0)
        self.random = random.Random(seed)
        self.engines = {
            f"e{n}": SimulatedEngine(self, f"e{n}", slots) for n in range(1, engines + 1)
        }
        self.registered: dict[str, PeerRecord] = {}
        self.vms: dict[str, SimulatedVm] = {}
        for number in range(vms):
            name = f"vm{number}"
            earlier = number < earlier_vms
            self.vms[name] = SimulatedVm(self, name, earlier=earlier)
            version = EARLIER_VERSION if earlier else EARLIER_VERSION + 1
            zone = self.vms[name].zone
            self.registered[name] = PeerRecord(
                address=name, port=1, availability_zone=zone, message_version=version
            )
        for vm in self.vms.values():
            for name, record in self.registered.items():
                vm.link.set_peer(name, record)
        self.sent = 0
        self.reported: dict[str, int] = {}
        self._report_loads()

    def _report_loads(self) -> None:
        """Let all VMs know what runs at the engines, which grows old until the next report."""
        self.reported = {name: engine.running for name, engine in self.engines.items()}
        self.clock.callLater(STATUS_S, self._report_loads)

    def send(self, *, per_s: float, seconds: float) -> None:
        """Let callers send requests through all VMs for some seconds."""
        end = self.clock.seconds() + seconds
        while self.clock.seconds() < end:
            self.clock.advance(self.random.expovariate(per_s))
            self.sent += 1
            self._send_one()

    def _send_one(self) -> None:
        now = self.clock.seconds()
        vm = self.random.choice(list(self.vms.values()))
        vm.run(vm.start_number, vm.request, now, now + MAX_WAIT_S, frozenset())

    def come_back(self, after_s: float) -> None:
        """Let a caller that was refused come back to any VM."""
        self.clock.callLater(after_s, self._send_one)

    def restart(self, name: str) -> None:
        """Start a VM's process again."""
        self.vms[name].begin()

    def freeze(self, name: str, seconds: float) -> None:
        """Freeze a VM."""
        self.vms[name].frozen = True
        self.clock.callLater(seconds, self.vms[name].thaw)

    def count_late(self) -> int:
        """Return the requests that reached an engine too long after their VM was told."""
        late = 0
        for engine in self.engines.values():
            run = Run(upstream=engine.name, born=engine.born)
            for arrival in engine.arrivals:
                vm = self.vms[arrival.vm]
                told_at = vm.told_at.get((arrival.start, run))
                if told_at is not None and not vm.earlier:
                    late += arrival.sent_at > told_at + DRAIN_S
        return late

    def count_most_in_pause(self) -> int:
        """Return the most requests of one VM that reached an engine in a pause."""
        most = 0
        for engine in self.engines.values():
            by_vm = defaultdict(list)
            for arrival in engine.arrivals:
                by_vm[(arrival.vm, arrival.start)].append(arrival.at)
            for at, vm, seconds in engine.refusals:
                if not self.vms[vm[0]].earlier:
                    in_pause = sum(at + 0.5 < each < at + seconds for each in by_vm[vm])
                    most = max(most, in_pause)
        return most

    def find_peak(self, engine: str, begins: float, window_s: float) -> int:
        """Return the most requests that reached an engine within a time, from a moment on."""
        times = sorted(each.at for each in self.engines[engine].arrivals if each.at >= begins)
        return max((sum(at <= each < at + window_s for each in times) for at in times), default=0)
