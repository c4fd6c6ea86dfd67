"""Processor time of control in one VM of a large zone, by ``python -m measure.capacity.vm_cost``.

Runs the tasks of one node with a simulated clock and without sockets. Each VM of its zone sends it
a status report for each one that it gets, and the other zones send their summaries. Prints the
processor time in ms and the status reports each way, both per simulated second, and a profile with
``--profile``.
"""

from __future__ import annotations

import argparse
import cProfile
import json
import pstats
import random
import time

from collections import deque
from pathlib import Path
from typing import Any

from twisted.internet.testing import MemoryReactorClock

from cactusshunt.membership.messages import EngineWork
from cactusshunt.membership.messages import Status
from cactusshunt.membership.messages import ZoneWork
from cactusshunt.membership.messages import decode_message
from cactusshunt.membership.messages import encode_message
from cactusshunt.membership.peer_link import MESSAGE_VERSION
from cactusshunt.membership.peer_link import PeerRecord
from cactusshunt.membership.zone_summaries import SUMMARY_INTERVAL_S
from cactusshunt.node import Node
from cactusshunt.platform.boot import BootSettings
from cactusshunt.platform.boot import ListenAddresses
from cactusshunt.platform.boot import StoreSettings
from cactusshunt.platform.store import StoredItem
from cactusshunt.routing.upstream import Attempt

ZONES = 3
ENGINES_PER_VM = 10
REQUESTS_PER_S = 2.0
FIRST_TOKEN_S = 0.3
REQUEST_S = 1.0
STEP_S = 0.05
REPLY_STEPS = 4  # in which the zone's reports are spread
WARM_UP_S = 4.0
RUNNING = round(REQUESTS_PER_S * REQUEST_S)  # requests of each VM at a time
MEMBERSHIP_INTERVAL_S = 0.4  # of lease renewals


class MeasuredVm:
    """One VM with its tasks; ``write`` is the transport of its link."""

    def __init__(self, *, vms: int, store_answers: bool) -> None:
        self.reactor: Any = MemoryReactorClock()
        self.reactor.advance(1000.0)
        self._random = random.Random(7)
        self._store_answers = store_answers
        self._numbers: dict[str, int] = {}
        self.sent = self.received = 0
        # The VMs that send a report in each of the next steps; timers for each would cost more
        # than what is measured.
        self._replies: deque[list[str]] = deque([] for _ in range(REPLY_STEPS))
        settings = BootSettings(
            node="vm0",
            ip="10.0.0.0",
            zone="z0",
            port_range=(4000, 4010),
            listen=ListenAddresses(front="127.0.0.1:1", ready="127.0.0.1:2"),
            platform=StoreSettings(address="127.0.0.1:3"),
        )
        self._node = Node(reactor=self.reactor, settings=settings, settings_path=Path("none"))
        self.tasks = self._node._tasks
        self.tasks.link.transport = self  # type: ignore[assignment]
        self.zone_of = {f"vm{number}": f"z{number % ZONES}" for number in range(vms)}
        for vm, zone in self.zone_of.items():
            record = PeerRecord(
                address=vm, port=1, availability_zone=zone, message_version=MESSAGE_VERSION
            )
            value = json.dumps({name: getattr(record, name) for name in record.__struct_fields__})
            self._store(f"cactusshunt/vm/{vm}", value)
        self.engines = [f"i-{number:010d}" for number in range(vms * ENGINES_PER_VM)]
        for number, engine in enumerate(self.engines):
            entry = {"service": "s", "address": "10.1.0.1:80", "state": "ready"}
            self._store(f"servers/{engine}", json.dumps({**entry, "zone": f"z{number % ZONES}"}))
        self._node._begin_tasks()
        self._repeat(1.0 / REQUESTS_PER_S, self._begin_request)
        self._repeat(SUMMARY_INTERVAL_S, self._send_summaries)
        self._repeat(MEMBERSHIP_INTERVAL_S, self._renew_lease)

    def write(self, data: bytes, address: tuple[str, int]) -> None:
        """Count a status report; its receiver in this zone sends one too."""
        if data[1:3] != b"\xa1s":  # the tag of a status report
            return
        self.sent += 1
        if self.zone_of[address[0]] == "z0":
            self._replies[self._random.randrange(len(self._replies))].append(address[0])

    def run(self, seconds: float) -> None:
        """Let simulated time pass."""
        for _ in range(round(seconds / STEP_S)):
            self.reactor.advance(STEP_S)
            due = self._replies.popleft()
            self._replies.append([])
            for vm in due:
                self._receive_status(vm)

    def _receive_status(self, vm: str) -> None:
        status = Status(
            vm=vm, status_number=self._next(vm), store_silent_ms=0, work=self._draw_work(RUNNING)
        )
        self.received += 1
        self._deliver(status)

    def _send_summaries(self) -> None:
        for zone in range(1, ZONES):
            running = RUNNING * len(self.zone_of) // ZONES
            summary = ZoneWork(
                vm=f"vm{zone}",
                zone=f"z{zone}",
                summary_number=self._next(f"z{zone}"),
                age_ms=100,
                work=self._draw_work(running),
            )
            self._deliver(summary)

    def _deliver(self, message: Any) -> None:
        data = encode_message(message)
        assert decode_message(data) is not None
        self.tasks.link.datagramReceived(data, ("", 0))

    def _draw_work(self, running: int) -> list[EngineWork]:
        return [
            EngineWork(upstream=name, running=1, pending={1: 900}, tokens_per_s=20_000)
            for name in self._random.sample(self.engines, running)
        ]

    def _begin_request(self) -> None:
        now = self.reactor.seconds()
        upstream = self._random.choice(self.tasks.directory.usable("s"))
        attempt = Attempt(tokens=900.0, priority=1, sent_at=now, long_running=True)
        self.tasks._meter.record_request(("s", f"m{self._random.randrange(300)}"), 900.0, now)
        upstream.begin(attempt)
        self.reactor.callLater(FIRST_TOKEN_S, upstream.record_first_token, attempt)
        self.reactor.callLater(REQUEST_S, upstream.end, attempt)

    def _renew_lease(self) -> None:
        if self._store_answers:
            self.tasks.membership.record_store_answer()
        self.tasks.membership.count_recent_vms(self.reactor.seconds())

    def _repeat(self, seconds: float, run: Any) -> None:
        self._node._loops.repeat(seconds, run)

    def _next(self, name: str) -> int:
        self._numbers[name] = self._numbers.get(name, 0) + 1
        return self._numbers[name]

    def _store(self, key: str, value: str) -> None:
        item = StoredItem(key=key, value=value.encode(), revision=1)
        self._node.stored_item_changed(item)


def main() -> None:
    """Measure, and print one line of JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--vms", type=int, default=300)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--silent-store", action="store_true")
    parser.add_argument("--profile", action="store_true")
    options = parser.parse_args()
    vm = MeasuredVm(vms=options.vms, store_answers=not options.silent_store)
    vm.run(WARM_UP_S)
    vm.sent = vm.received = 0
    profile = cProfile.Profile()
    started_at = time.process_time()
    if options.profile:
        profile.runcall(vm.run, options.seconds)
        pstats.Stats(profile).sort_stats("tottime").print_stats(22)
    else:
        vm.run(options.seconds)
    found = {
        "vms": options.vms,
        "cpu_ms": round((time.process_time() - started_at) * 1000.0 / options.seconds, 1),
        "sent": round(vm.sent / options.seconds, 1),
        "received": round(vm.received / options.seconds, 1),
    }
    print(json.dumps(found))


if __name__ == "__main__":
    main()
