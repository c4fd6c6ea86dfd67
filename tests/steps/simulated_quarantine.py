"""VMs with a quarantine for prompt parts, and engines that crash, on a manual clock."""

from __future__ import annotations

import random

from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from types import SimpleNamespace
from typing import Any

from twisted.internet.error import ConnectionRefusedError
from twisted.internet.task import Clock

from cactusshunt.exceptions import UpstreamNotReachedError
from cactusshunt.membership.messages import decode_message
from cactusshunt.membership.messages import encode_message
from cactusshunt.platform.store import StoredItem
from cactusshunt.quarantine.quarantine import AttemptEnd
from cactusshunt.quarantine.quarantine import Quarantine
from cactusshunt.routing.failure_history import FailureHistory
from cactusshunt.tasks.periodic import pause
from cactusshunt.tasks.periodic import start_coroutine

STEP_S = 0.005
HOP_S = 0.002
STORE_S = 0.5  # until a change of the store has reached a VM
BACK_S = 2.5
DEADLY_PART = "dead"
DEADLY_REQUEST = "dead request"
DEADLY_PER_S = 4.0
SOUND_PER_S = 60.0
REPEATED_REQUESTS = 5
SUBJECTS = 400  # second parts of sound requests, a few of them in most requests
SERVICE = "engines"


@dataclass(frozen=True, kw_only=True)
class Kind:
    """Whether a VM sends requests again that may have run, and how long sound ones take.

    Streams have a first byte some time after they were sent.
    """

    repeated: bool
    seconds: tuple[float, float]
    first_byte_s: float | None = None


KINDS = {
    "idempotent": Kind(repeated=True, seconds=(0.1, 0.8)),
    "once": Kind(repeated=False, seconds=(0.04, 0.2)),
    "stream": Kind(repeated=False, seconds=(0.3, 3.0), first_byte_s=0.15),
}


@dataclass(kw_only=True, eq=False)
class OpenAttempt:
    """One request of a VM at an engine; ``ended`` means that its connection broke."""

    vm: str
    ended: bool = False


@dataclass(kw_only=True)
class SimulatedEngine:
    """One run of an engine, as all VMs see it."""

    name: str
    alive: bool = True
    address: tuple[str, int] = ("", 0)
    ready: bool = True
    removed_at: float | None = None
    paused_until: float = 0.0
    entry: Any = field(
        default_factory=lambda: SimpleNamespace(born=1, version="1", service=SERVICE)
    )
    failure_history: Any = field(default_factory=FailureHistory)
    open_attempts: list[Any] = field(default_factory=list)

    def holds(self, model: str, adapter: str, now: float) -> bool:
        return True

    def total_running(self, now: float) -> float:
        return float(len(self.open_attempts))


class SimulatedQuarantines:
    """VMs, engines and requests; ``cut`` VMs hear no peers, ``refused`` get no new connections.

    Deadly requests come at ``deadly_vms``, if any are named.
    """

    def __init__(self, *, seed: int, vms: int, engines: int, loss: float = 0.03) -> None:
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.clock.advance(100.0)
        self.loss = loss
        self.cut: set[str] = set()
        self.refused: set[str] = set()
        self.deadly_vms: list[str] = []
        self.born = 0
        self.engines = [self._make_engine() for _ in range(engines)]
        self.kind = KINDS["idempotent"]
        self.sent = 0
        self.deadly_crashes: list[tuple[float, str]] = []
        self.deadly_arrivals: list[tuple[float, str]] = []
        self.deadly_crashes_by_vm: Counter[str] = Counter()
        self.sound: Counter[str] = Counter()
        self.datagrams = 0
        self.vms = {f"vm{number}": self._make_vm(f"vm{number}") for number in range(vms)}

    def _make_engine(self) -> SimulatedEngine:
        self.born += 1
        return SimulatedEngine(name=f"e{self.born}", address=(f"e{self.born}", 1))

    def _make_vm(self, vm: str) -> Quarantine:
        clock: Any = self.clock
        link: Any = SimpleNamespace(
            broadcast=lambda message: self._broadcast(vm, message),
            send=lambda message, peers: self._send(vm, message, peers),
            list_crash_question_peers=lambda: [name for name in self.vms if name != vm],
            peers={},
        )
        quarantine = Quarantine(
            reactor=clock,
            vm=vm,
            pool=SimpleNamespace(  # type: ignore[arg-type]
                open=lambda address: self._open(vm, address),
                release=lambda address, connection: None,
            ),
            directory=SimpleNamespace(  # type: ignore[arg-type]
                of_service=lambda name: self.engines,
                all=lambda: self.engines,
                find=lambda name: next((e for e in self.engines if e.name == name), None),
                usable=lambda name: [found for found in self.engines if found.alive],
            ),
            link=link,
            store=SimpleNamespace(commit=self._commit),  # type: ignore[arg-type]
            measure_store_silence_s=lambda: 0.0,
        )
        quarantine._random.seed(self.rng.random())
        quarantine.list_helpers = lambda service: [
            name for name in self.vms if name not in self.refused
        ]
        return quarantine

    def _broadcast(self, vm: str, message: Any) -> None:
        self._send(vm, message, list(self.vms))

    def _send(self, vm: str, message: Any, peers: list[str]) -> None:
        data = encode_message(message)
        for peer in peers:
            quarantine = self.vms[peer]
            if peer == vm or peer in self.cut or vm in self.cut:
                continue
            self.datagrams += 1
            if self.rng.random() >= self.loss:
                delay_s = self.rng.uniform(HOP_S, 3 * HOP_S)
                self.clock.callLater(delay_s, quarantine.apply_message, decode_message(data))

    async def _commit(self, *, unleased_puts: Any = None, removals: Any = (), **_: Any) -> None:
        for key, value in [*(unleased_puts or {}).items(), *((key, None) for key in removals)]:
            for quarantine in self.vms.values():
                item = StoredItem(key=key, value=value, revision=1)
                self.clock.callLater(STORE_S, quarantine.apply_stored_item, item)

    async def _open(self, vm: str, address: tuple[str, int]) -> Any:
        await self._pause(HOP_S)
        if vm not in self.refused and any(
            engine.alive and engine.address == address for engine in self.engines
        ):
            return SimpleNamespace(usable=True)
        error = UpstreamNotReachedError(reason="Refused.", remedy="")
        raise error from ConnectionRefusedError()

    def run(
        self,
        seconds: float,
        *,
        deadly_from: float,
        crashes_per_s: float,
        deadly_requests: int = 0,
        repeated_per_s: float = 0.0,
    ) -> None:
        """Send sound requests and deadly ones, and let engines crash for other causes.

        With ``deadly_requests`` that many whole requests are deadly, else a part. Sound requests
        that are the same each time come ``repeated_per_s`` times a second besides.
        """
        ends_at = self.clock.seconds() + seconds
        deadly_at = self.clock.seconds() + deadly_from
        while self.clock.seconds() < ends_at:
            if self.rng.random() < SOUND_PER_S * STEP_S:
                self._request(f"s{int(SUBJECTS * self.rng.random() ** 3)}")
            if self.rng.random() < repeated_per_s * STEP_S:
                self._request("s0", f"same {self.rng.randrange(REPEATED_REQUESTS)}")
            if self.clock.seconds() > deadly_at and self.rng.random() < DEADLY_PER_S * STEP_S:
                if deadly_requests:
                    number = self.rng.randrange(deadly_requests)
                    self._request("s0", f"{DEADLY_REQUEST} {number}")
                else:
                    self._request(DEADLY_PART)
            if self.rng.random() < crashes_per_s * STEP_S:
                for _ in range(self.rng.choice((1, 1, 2, len(self.engines) // 3))):
                    self.crash(self.rng.choice(self.engines))
            self.clock.advance(STEP_S)

    def crash(self, engine: SimulatedEngine) -> None:
        """End an engine; another takes its place later."""
        if not engine.alive:
            return
        engine.alive = False
        for attempt in list(engine.open_attempts):
            attempt.ended = True
        self.clock.callLater(BACK_S, self._replace, engine)

    def reset_links(self, vm: str) -> None:
        """Break all requests that a VM has at engines."""
        for engine in self.engines:
            for attempt in engine.open_attempts:
                attempt.ended = attempt.ended or attempt.vm == vm

    def _replace(self, engine: SimulatedEngine) -> None:
        self.engines[self.engines.index(engine)] = self._make_engine()

    def _request(self, second: str, name: str | None = None) -> None:
        """Send a request; those of one name are the same request each time."""
        deadly = second == DEADLY_PART or (name or "").startswith(DEADLY_REQUEST)
        vm = self.rng.choice((deadly and self.deadly_vms) or list(self.vms))
        self.sent += 1
        job = SimpleNamespace(
            service=SERVICE,
            generation=SimpleNamespace(
                model="model", adapter="", prompt_parts=(("first", 1), (second, 1), ("last", 1))
            ),
            digest=name or str(self.sent),
            connection=SimpleNamespace(disconnected=False),
            route=SimpleNamespace(target_latency_ms=800.0),
            deadline=self.clock.seconds() + 4.0,
            done=False,
            last_sent_at=None,
            excluded_upstreams=set(),
            probe_upstreams=None,
        )
        start_coroutine(self._serve(self.vms[vm], job, deadly))

    async def _serve(self, quarantine: Quarantine, job: Any, deadly: bool) -> None:
        result = await self._attempt(quarantine, job, deadly)
        if result == "broken" and self.kind.repeated:
            repeated = await self._attempt(quarantine, job, deadly)
            result = f"broken, {repeated} when repeated"
        quarantine.release(job)
        if not deadly:
            self.sound[result] += 1

    async def _attempt(self, quarantine: Quarantine, job: Any, deadly: bool) -> str:
        block = await quarantine.admit(job)
        if block is not None:
            return "convicted" if block.retry_after_s is None else "held back"
        alive = [engine for engine in self.engines if engine.alive]
        if not alive:
            return "no engine"
        allowed = [
            engine
            for engine in alive
            if not job.probe_upstreams or engine.name in job.probe_upstreams
        ]
        engine: Any = self.rng.choice(allowed) if allowed else None
        if engine is None or not quarantine.may_send(job, engine):
            return "not sent"
        attempt = OpenAttempt(vm=quarantine._vm)
        engine.open_attempts.append(attempt)
        job.last_sent_at = self.clock.seconds()
        quarantine.begin(job, engine)
        if deadly:
            self.deadly_arrivals.append((self.clock.seconds(), job.digest))
        if self.kind.first_byte_s is not None and not deadly:
            self.clock.callLater(self.kind.first_byte_s, quarantine.record_first_byte, job, engine)
        ends_at = self.clock.seconds() + (0.06 if deadly else self.rng.uniform(*self.kind.seconds))
        while not attempt.ended and self.clock.seconds() < ends_at:
            await self._pause(STEP_S)
        if deadly and engine.alive:
            self.deadly_crashes.append((self.clock.seconds(), job.digest))
            self.deadly_crashes_by_vm[quarantine._vm] += 1
            self.crash(engine)
        engine.open_attempts.remove(attempt)
        job.excluded_upstreams.add(engine.name)
        answered = not attempt.ended and not deadly
        end = AttemptEnd.ANSWERED if answered else AttemptEnd.BROKEN
        quarantine.end(job, engine, born=1, end=end)
        return "answered" if answered else "broken"

    async def _pause(self, seconds: float) -> None:
        clock: Any = self.clock
        await pause(clock, seconds)
