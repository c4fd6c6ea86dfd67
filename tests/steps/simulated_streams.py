"""VMs on a manual clock that begin and take up streams, while a service changes its version."""

from __future__ import annotations

import json
import random

from collections import Counter
from dataclasses import dataclass
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

from simulated_store import SimulatedClient
from simulated_store import SimulatedStore
from twisted.internet.task import Clock

from cactusshunt.platform.documents import UPSTREAMS_PREFIX
from cactusshunt.platform.store import StoredItem
from cactusshunt.streams.stream_records import STREAMS_PREFIX
from cactusshunt.streams.stream_versions import StreamVersions
from cactusshunt.tasks.periodic import start_coroutine

SERVICE = "engines"
OLD, NEW = "1.4", "2.0"
STEP_S = 0.02
STREAMS_PER_S = 40.0
TIMEOUT_MS = 8000.0
ROLLOUT = (10.0, 24.0)  # from the first upstream of the new version to the last of the old one
FIRST_EVENT_S = (0.05, 0.4)
LENGTH_S = (0.3, 4.0)
VIEW_LAG_S = (0.2, 2.8)  # of a VM that gathers changes
TICK_S = 0.5
RETRY_S = 0.3
AWAY_S = 0.6  # of a VM that lost power
ROUTE = SimpleNamespace(can_resume=True, timeout_ms=TIMEOUT_MS, service=SERVICE, traffic_split=[])


class CountedClient(SimulatedClient):
    """A VM's calls to the store, counted."""

    def __init__(self, fleet: SimulatedStreams) -> None:
        super().__init__(fleet.store)
        self._fleet = fleet
        self._calls = fleet.calls

    async def commit(self, **call: Any) -> Any:
        """Write all keys or none."""
        self._calls["writes"] += 1
        self._calls["bytes"] += sum(len(value) for value in (call["unleased_puts"] or {}).values())
        return await super().commit(**call)

    async def read_prefix(self, prefix: str, *, deadline: float) -> Any:
        """Read all items; those of upstreams are made from the versions in service."""
        self._calls["reads"] += 1
        answer = await super().read_prefix(prefix, deadline=deadline)
        if prefix != UPSTREAMS_PREFIX:
            return answer
        versions = self._fleet.list_in_service(self._fleet.clock.seconds())
        return replace(answer, items=[make_entry(n, each) for n, each in enumerate(versions)])


def make_entry(number: int, version: str) -> StoredItem:
    """Return the entry of an upstream of a software version."""
    entry = {"service": SERVICE, "address": "127.0.0.1:1", "state": "ready", "version": version}
    value = json.dumps(entry).encode()
    return StoredItem(key=f"{UPSTREAMS_PREFIX}e{number}", value=value, revision=1)


@dataclass(kw_only=True)
class SimulatedStream:
    """One stream over a caller's tries; ``versions`` are those of its forwarded events."""

    name: str
    vm: str
    ends_at: float
    gives_up_at: float
    versions: set[str]
    broken: bool = False
    taken_up: bool = False
    went_on: bool = False
    unknown: bool = False


class SimulatedVmProcess:
    """One run of a VM's process, with a view of the store and the upstreams that lags."""

    def __init__(self, fleet: SimulatedStreams, vm: str) -> None:
        self._fleet = fleet
        self.lag_s = fleet.rng.uniform(*VIEW_LAG_S)
        self.seen_at = -1.0
        self.client = CountedClient(fleet)
        self.silent_since: float | None = None
        self.streams = StreamVersions(
            reactor=fleet.clock,
            vm=vm,
            store=self.client,  # type: ignore[arg-type]
            era=self.client.era,
            directory=SimpleNamespace(of_service=self._list_upstreams),  # type: ignore[arg-type]
            link=SimpleNamespace(  # type: ignore[arg-type]
                peers={name: None for name in fleet.vms if name != vm}
            ),
            measure_store_silence_s=self._measure_silence_s,
        )
        self.streams.set_configuration(SimpleNamespace(routes=[ROUTE]))  # type: ignore[arg-type]
        self.next_tick_at = 0.0
        self.stands_still_until = -1.0
        self._revisions: dict[str, int] = {}
        self.in_service: list[str] = []

    def step(self, now: float) -> None:
        """Read the store when the lag has passed, and run the periodic work."""
        if now < self.stands_still_until:
            self.silent_since = now if self.silent_since is None else self.silent_since
            return
        if self._fleet.store.down or self.client.cut:
            self.silent_since = now if self.silent_since is None else self.silent_since
        else:
            self.silent_since = None
            if now - self.seen_at >= self.lag_s or self.seen_at < 0.0:
                self._read(now)
        if now >= self.next_tick_at:
            self.next_tick_at = now + TICK_S
            self.streams.tick()

    def _read(self, now: float) -> None:
        self.seen_at = now
        self.in_service = self._fleet.list_in_service(now)
        for key, item in self._fleet.store.current.items.items():
            if self._revisions.get(key) != item.revision:
                self._revisions[key] = item.revision
                self.streams.apply_stored_item(item)

    def _list_upstreams(self, service: str) -> list[Any]:
        return [SimpleNamespace(software_version=version) for version in self.in_service]

    def _measure_silence_s(self) -> float:
        since = self.silent_since
        return 0.0 if since is None else self._fleet.clock.seconds() - since


class SimulatedStreams:
    """A fleet whose VMs lose power at set times; ``joined`` streams have two versions."""

    def __init__(self, vms: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.store = SimulatedStore(self.clock)
        self.calls: Counter[str] = Counter()
        self.vms = [f"vm{number}" for number in range(vms)]
        self.running = {vm: SimulatedVmProcess(self, vm) for vm in self.vms}
        self.all: list[SimulatedStream] = []
        self.out_of_step: set[str] = set()  # these VMs don't end
        self.only_vm: str | None = None  # where streams begin, if not at all VMs
        self.writes_before_rollout = 0

    def list_in_service(self, now: float) -> list[str]:
        """Return the versions of ten upstreams, which are replaced one after the other."""
        begin, end = ROLLOUT
        replaced = int(10 * min(1.0, max(0.0, (now - begin) / (end - begin) + 0.099)))
        return [NEW] * replaced + [OLD] * (10 - replaced)

    def put_out_of_step(self, vm: str, seconds: float, *, stands_still: bool) -> None:
        """Cut a VM off from the store alone, or let it stand still, so that its view grows old."""
        process = self.running[vm]
        if stands_still:
            process.stands_still_until = self.clock.seconds() + seconds
            return
        process.client.cut = True
        self.clock.callLater(seconds, setattr, process.client, "cut", False)

    def run(self, seconds: float, power_lost_at: list[float], killed_per_s: float) -> None:
        """Begin streams and let VMs end; all of them at each of the given times."""
        losses = list(power_lost_at)
        while self.clock.seconds() < seconds:
            now = self.clock.seconds()
            if now < ROLLOUT[0]:
                self.writes_before_rollout = self.calls["writes"]
            if losses and now >= losses[0]:
                losses.pop(0)
                for vm in list(self.running):
                    self.end_vm(vm)
            mortal = [vm for vm in self.running if vm not in self.out_of_step]
            if mortal and self.rng.random() < killed_per_s * STEP_S:
                self.end_vm(self.rng.choice(mortal))
            for process in list(self.running.values()):
                process.step(now)
            if self.running and self.rng.random() < STREAMS_PER_S * STEP_S:
                self._begin(now)
            self.clock.advance(STEP_S)

    def end_vm(self, vm: str) -> None:
        """End a VM's process; its callers take their streams up, and it is back soon."""
        now = self.clock.seconds()
        del self.running[vm]
        self.clock.callLater(AWAY_S, self._start_vm, vm)
        for stream in self.all:
            if stream.vm == vm and not stream.broken and stream.versions and now < stream.ends_at:
                stream.broken = True
                self.clock.callLater(RETRY_S, self._take_up, stream)

    def break_connections(self, vm: str) -> None:
        """Break the streams of a VM that goes on; their callers take them up at other VMs."""
        for stream in self.all:
            is_open = bool(stream.versions) and self.clock.seconds() < stream.ends_at
            if stream.vm == vm and is_open and not stream.broken:
                stream.broken = True
                self.clock.callLater(RETRY_S, self._take_up, stream)

    def _start_vm(self, vm: str) -> None:
        self.running[vm] = SimulatedVmProcess(self, vm)

    def _begin(self, now: float) -> None:
        vm = self.only_vm or self.rng.choice(list(self.running))
        process = self.running[vm]
        if not process.in_service:
            return
        version = self.rng.choice(process.in_service)
        name = f"request{len(self.all)}"
        stream = SimulatedStream(
            name=name,
            vm=vm,
            ends_at=now + self.rng.uniform(*LENGTH_S),
            gives_up_at=now + TIMEOUT_MS / 1000.0,
            versions=set(),
        )
        self.all.append(stream)
        job = self._make_job(name, "")
        upstream = SimpleNamespace(name="e", software_version=version)
        if process.streams.check_begin(job, upstream) is not None:  # type: ignore[arg-type]
            return
        process.streams.begin(job, upstream, abandon=job.sink.drop)  # type: ignore[arg-type]

        def forward() -> None:
            if self.running.get(vm) is process:
                stream.versions.add(version)

        job.sink.on_forward = forward
        self.clock.callLater(self.rng.uniform(*FIRST_EVENT_S), job.sink.receive)

    def _take_up(self, stream: SimulatedStream) -> None:
        if self.clock.seconds() < stream.gives_up_at:
            start_coroutine(self._take_up_once(stream))

    async def _take_up_once(self, stream: SimulatedStream) -> None:
        stream.taken_up = True
        ready = [
            vm for vm, process in self.running.items() if process.in_service and vm != self.only_vm
        ]
        if ready:
            process = self.running[self.rng.choice(ready)]
            job = self._make_job(f"{stream.name}-again", stream.name)
            refusal = await process.streams.find_version(job)
            if refusal is None and job.stream_version in process.in_service:
                stream.versions.add(job.stream_version)
                stream.went_on = True
                return
            stream.unknown = refusal is not None
        self.clock.callLater(RETRY_S, self._take_up, stream)

    def _make_job(self, name: str, begun_by: str) -> Any:
        return SimpleNamespace(
            service=SERVICE,
            route=ROUTE,
            request_id=name.encode(),
            begun_by=begun_by.encode(),
            stream_version=None,
            passed_on=False,
            is_detour=False,
            sink=HeldSink(),
        )

    @property
    def joined(self) -> int:
        """Return how many streams have events of two versions."""
        return sum(len(stream.versions) > 1 for stream in self.all)

    def list_taken_up(self) -> list[SimulatedStream]:
        """Return the streams that were taken up while their version was in service."""
        return [
            stream
            for stream in self.all
            if stream.taken_up and (stream.gives_up_at < ROLLOUT[1] or NEW in stream.versions)
        ]

    def count_records(self) -> int:
        """Return how many records the store has."""
        return sum(key.startswith(STREAMS_PREFIX) for key in self.store.current.items)


class HeldSink:
    """Forwards the first event once it has arrived and is not held back."""

    def __init__(self) -> None:
        self._held = self._arrived = self._dropped = False
        self.on_forward: Any = lambda: None

    def hold_events(self) -> int:
        """Hold the first event back."""
        self._held = True
        return 1

    def is_holding(self, hold: int) -> bool:
        """Return whether the first event is held back."""
        return self._held and hold == 1

    def drop(self) -> None:
        """Drop the event, as the request is answered otherwise."""
        self._held, self._dropped = False, True

    def release_events(self, hold: int) -> None:
        """Forward what is held back."""
        del hold
        if self._held:
            self._held = False
            if self._arrived:
                self.on_forward()

    def receive(self) -> None:
        """Receive the first event."""
        self._arrived = True
        if not self._held and not self._dropped:
            self.on_forward()
