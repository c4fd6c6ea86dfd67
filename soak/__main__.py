"""``python -m soak --seed N --minutes M``: one run, a report, status 1 on a broken promise."""

from __future__ import annotations

import random
import signal
import sys
import threading
import time

from collections import Counter
from dataclasses import replace
from pathlib import Path
from typing import Annotated

import typer

from soak.callers import Caller
from soak.faulty_link import LinkMode
from soak.fleet import SoakFleet
from soak.promises import Evidence
from soak.promises import Run
from soak.promises import find_broken
from soak.schedule import Fault
from soak.schedule import draw_faults

LINK_MODES = {
    "link_delay": LinkMode.DELAY,
    "link_silent": LinkMode.SILENT,
    "link_cut_up": LinkMode.CUT_TO_SERVER,
    "link_cut_down": LinkMode.CUT_FROM_SERVER,
}
RESTART_S = 0.3  # as a platform that restarts a process after a short delay
CALM_S = 4.0  # at the end, in which open requests are answered


class Soak:
    """One run of a fleet under a schedule of faults."""

    def __init__(self, *, fleet: SoakFleet, faults: list[Fault], callers: list[Caller]) -> None:
        self._fleet = fleet
        self._planned = faults
        self._callers = callers
        self._faults: list[Fault] = []
        self._versions: list[tuple[str, int, int]] = []
        self._ended_badly: list[str] = []
        self._over = False

    def run(self, seconds: float) -> Evidence:
        """Inject the faults, wait until they and the callers are done, and return what was seen."""
        started = time.time()
        threads = [threading.Thread(target=self._watch_versions, daemon=True)]
        for caller in self._callers:
            caller.start()
        for fault in self._planned:
            shifted = replace(fault, at=started + fault.at)
            self._faults.append(shifted)
            threads.append(threading.Thread(target=self._inject, args=(shifted,), daemon=True))
        for thread in threads:
            thread.start()
        time.sleep(seconds)
        for thread in threads[1:]:
            thread.join()
        time.sleep(CALM_S)
        self._over = True
        for caller in self._callers:
            caller.stopping = True
        for caller in self._callers:
            caller.join(25.0)
        return Evidence(
            results=[result for caller in self._callers for result in caller.results],
            runs=self._read_runs(),
            faults=self._faults,
            versions=self._versions,
            overcommitted=[
                n for n in self._fleet.engines if self._fleet.state_of(n)["overcommitted"]
            ],
            ended_badly=self._ended_badly,
        )

    def _inject(self, fault: Fault) -> None:
        time.sleep(max(0.0, fault.at - time.time()))
        kind, target = fault.kind, fault.target
        if kind in LINK_MODES:
            self._fleet.links.set_mode(self._fleet.link_of(target), LINK_MODES[kind])
            time.sleep(fault.for_s)
            self._fleet.links.set_mode(self._fleet.link_of(target), LinkMode.CALM)
        elif kind == "link_reset":
            self._fleet.links.reset(self._fleet.link_of(target))
        elif kind.endswith("_pause"):
            name = "store" if kind == "store_pause" else target
            self._fleet.signal(name, signal.SIGSTOP)
            time.sleep(fault.for_s)
            self._fleet.signal(name, signal.SIGCONT)
        elif kind == "store_down":
            self._fleet.set_store_down(True)
            time.sleep(fault.for_s)
            self._fleet.set_store_down(False)
        elif kind == "configuration":
            self._fleet.configure()
        elif kind == "drain":
            self._drain(fault)
        else:
            self._end_process(kind, target)

    def _drain(self, fault: Fault) -> None:
        try:
            self._fleet.inject_fault(fault.target, "drain", 0)
        except OSError:
            return
        time.sleep(fault.for_s)
        self._end_process("upstream_kill", fault.target)

    def _end_process(self, kind: str, target: str) -> None:
        process = self._fleet.processes[target]
        self._fleet.signal(target, signal.SIGCONT)
        self._fleet.signal(target, signal.SIGTERM if kind == "node_stop" else signal.SIGKILL)
        status = process.wait()
        if status not in (0, -signal.SIGKILL):
            self._ended_badly.append(f"{target} ({status})")
        time.sleep(RESTART_S)
        if self._fleet.processes[target] is process:
            start = self._fleet.start_node if target.startswith("n") else self._fleet.start_upstream
            start(target)

    def _watch_versions(self) -> None:
        while not self._over:
            for node in self._fleet.caller_ports:
                process = self._fleet.processes[node].pid
                try:
                    version = self._fleet.dump(node)["configuration_version"]
                except (OSError, ValueError, KeyError):
                    continue
                if self._fleet.processes[node].pid == process:
                    self._versions.append((node, process, version))
            time.sleep(0.2)

    def _read_runs(self) -> list[Run]:
        runs = []
        for name in self._fleet.engines:
            for line in self._fleet.read_log(name).splitlines():
                words = line.split()
                if len(words) == 3 and words[0] == "run":
                    runs.append(Run(upstream=name, identity=words[1], at=float(words[2])))
        return runs


def run_soak(
    seed: Annotated[int, typer.Option(help="Draws faults and callers.")] = 1,
    minutes: Annotated[float, typer.Option(min=0.1)] = 1.0,
    nodes: Annotated[int, typer.Option(min=2, max=40)] = 4,
    callers: Annotated[int, typer.Option(min=1, max=200)] = 12,
    first_port: Annotated[int, typer.Option(min=1024, max=60000)] = 9600,
    logs: Annotated[Path | None, typer.Option(help="Folder that keeps the logs.")] = None,
) -> None:
    """Run the programs under faults and hold what was seen against the promises."""
    fleet = SoakFleet(first_port=first_port, nodes=nodes)
    faults = draw_faults(seed, minutes * 60.0, list(fleet.caller_ports), list(fleet.engines))
    threads = [
        Caller(fleet=fleet, draw=random.Random(f"{seed}/{number}")) for number in range(callers)
    ]
    try:
        fleet.start()
        evidence = Soak(fleet=fleet, faults=faults, callers=threads).run(minutes * 60.0)
    finally:
        fleet.stop(logs)
    broken = find_broken(evidence)
    statuses = Counter(result.status for result in evidence.results)
    print(f"seed {seed}: {len(evidence.results)} requests, {len(faults)} faults")
    print(
        "answers:", ", ".join(f"{status or 'cut'}: {n}" for status, n in sorted(statuses.items()))
    )
    print("faults:", ", ".join(f"{k}: {n}" for k, n in Counter(f.kind for f in faults).items()))
    for line in broken:
        print("BROKEN", line)
    print("no promise was broken" if not broken else f"{len(broken)} promises were broken")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    typer.run(run_soak)
