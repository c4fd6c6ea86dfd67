"""``python -m soak --seed N --minutes M``: runs a soak test; exits 1 if a guarantee is violated."""

from __future__ import annotations

import json
import random
import signal
import sys
import threading
import time

from collections import Counter
from contextlib import suppress
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Annotated

import typer

from local.platform_deployment import wait_until
from soak.callers import DEADLY_PART
from soak.callers import DEADLY_PATH
from soak.callers import Caller
from soak.customer_checks import CustomerObservations
from soak.customer_checks import describe_usage
from soak.customer_checks import read_arrivals
from soak.customers import FLOOD_CALLERS
from soak.customers import FLOOD_KINDS
from soak.customers import CredentialDraw
from soak.customers import CustomerKeys
from soak.customers import draw_floods
from soak.customers import draw_key_changes
from soak.customers import shows_key
from soak.faulty_link import LinkMode
from soak.fleet import SoakFleet
from soak.fleet import handles_signals
from soak.guarantees import DeadlyEvent
from soak.guarantees import ExecutionRecord
from soak.guarantees import LimitedArrival
from soak.guarantees import Observations
from soak.guarantees import ObservedVersion
from soak.guarantees import find_violations
from soak.notices import SaidNotice
from soak.notices import read_notices
from soak.orders import OrderRecord
from soak.orders import read_orders
from soak.schedule import Fault
from soak.schedule import draw_brittle
from soak.schedule import draw_copies
from soak.schedule import draw_cuts
from soak.schedule import draw_deadly
from soak.schedule import draw_faults
from soak.schedule import draw_limits
from soak.schedule import draw_notices
from soak.schedule import draw_signals

if TYPE_CHECKING:
    from collections.abc import Callable

LINK_MODES = {
    "link_delay": LinkMode.DELAY,
    "link_silent": LinkMode.SILENT,
    "link_cut_up": LinkMode.CUT_TO_SERVER,
    "link_cut_down": LinkMode.CUT_FROM_SERVER,
}
# mode of the links, and whether open connections are reset
CUT_MODES = {
    "cut_silent": (LinkMode.SILENT, False),
    "cut_reset": (LinkMode.REFUSE, True),
    "cut_refuse": (LinkMode.REFUSE, False),
}
TAKEN_UP_ANSWERS = ("500", "404", "302", "421", "refuse", "empty", "json", "anew", "unsealed")
ODD_ENTRIES = (
    '{"service": "access", "address": "127.0.0.1:99999", "state": "ready"}',
    '{"service": "access", "address": "[::1]:80", "state": "ready"}',
    '{"models": ' + "[" * 20_000 + "]" * 20_000 + "}",
    '{"service": "access", "slots": ' + "9" * 5_000 + "}",
)
BRITTLE_PER_S, BRITTLE_ROOM, BRITTLE_WORK_S = 2, 10, 0.1
DEADLY_REPEAT_S = 0.3
SIGNALS_BY_KIND = {
    "node_stop": (signal.SIGTERM,),
    "node_signals": (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM),
}
SIGNAL_GAP_S = 0.05
RESTART_DELAY_S = 0.3  # imitates a platform that restarts ended processes
COOL_DOWN_S = 4.0  # lets open requests finish at the end of a run


class SoakRun:
    """One run of a fleet under a schedule of faults."""

    def __init__(self, *, fleet: SoakFleet, faults: list[Fault], callers: list[Caller]) -> None:
        self._fleet = fleet
        self._planned_faults = faults
        self._callers = callers
        self._faults: list[Fault] = []
        self._versions: list[ObservedVersion] = []
        self._configured: list[tuple[float, int]] = []
        self._copying = threading.Lock()
        self._starting = threading.Lock()
        self._failed_processes: list[str] = []
        self._shown: set[str] = set()
        self._finished = False
        self._injectors = {
            "leaving": self._let_leave,
            "rest": self._let_rest,
            "taken_up": self._fail_taken_up,
            "echo": self._echo_refusals,
            "odd_entry": self._write_odd_entry,
            "key_change": self._change_key,
            "flood": self._flood,
        }

    def run(self, seconds: float) -> Observations:
        """Inject the faults, wait for them and the callers to end, and return the observations."""
        started = time.time()
        threads = [threading.Thread(target=self._watch_versions, daemon=True)]
        for caller in self._callers:
            caller.start()
        for fault in self._planned_faults:
            scheduled = replace(fault, at=started + fault.at)
            self._faults.append(scheduled)
            threads.append(threading.Thread(target=self._inject, args=(scheduled,), daemon=True))
        for thread in threads:
            thread.start()
        time.sleep(seconds)
        for thread in threads[1:]:
            thread.join()
        time.sleep(COOL_DOWN_S)
        self._finished = True
        for caller in self._callers:
            caller.stopping = True
        for caller in self._callers:
            caller.join(25.0)
        runs = self._read_runs()
        return Observations(
            results=[result for caller in self._callers for result in caller.results],
            runs=runs,
            customers=self._read_customers(runs),
            limited=self._read_limited(),
            deadly=self._read_deadly(),
            falls=self._read_falls(),
            notices=self._read_notices(),
            orders=self._read_orders(),
            nodes=[n for n in self._fleet.caller_ports if n not in self._fleet.earlier_nodes],
            instances=sum(name.startswith("s") for name in self._fleet.upstream_ports),
            faults=self._faults,
            versions=self._versions,
            configured=self._configured,
            overcommitted=[n for n in self._fleet.upstream_ports if self._was_overcommitted(n)],
            failed_processes=self._failed_processes,
        )

    def _inject(self, fault: Fault) -> None:
        time.sleep(max(0.0, fault.at - time.time()))
        kind, target = fault.kind, fault.target
        if kind in LINK_MODES:
            for port in self._fleet.link_ports_of(target):
                self._fleet.links.set_mode(port, LINK_MODES[kind])
            time.sleep(fault.duration_s)
            for port in self._fleet.link_ports_of(target):
                self._fleet.links.set_mode(port, LinkMode.NORMAL)
        elif kind == "link_reset":
            for port in self._fleet.link_ports_of(target):
                self._fleet.links.reset(port)
        elif kind.endswith("_pause"):
            name = "store" if kind == "store_pause" else target
            self._fleet.signal(name, signal.SIGSTOP)
            time.sleep(fault.duration_s)
            self._fleet.signal(name, signal.SIGCONT)
        elif kind == "store_down":
            self._fleet.set_store_down(True)
            time.sleep(fault.duration_s)
            self._fleet.set_store_down(False)
        elif kind == "store_copy":
            self._restore_store(fault)
        elif kind == "configuration":
            self._configure()
        elif kind == "drain":
            self._drain(fault)
        elif kind == "limit":
            self._limit(fault)
        elif kind in CUT_MODES:
            self._cut_off(fault)
        elif kind in self._injectors:
            self._injectors[kind](fault)
        elif kind == "brittle":
            self._make_brittle(fault)
        elif kind == "deadly":
            self._make_deadly(
                fault, "e", lambda name: self._fleet.set_deadly_part(name, DEADLY_PART)
            )
        elif kind == "deadly_path":
            self._make_deadly(
                fault, "s", lambda name: self._fleet.set_deadly_path(name, DEADLY_PATH)
            )
        else:
            self._restart_process(kind, target)

    def _configure(self) -> None:
        self._configured.append((time.time(), self._fleet.configure()))

    def _restore_store(self, fault: Fault) -> None:
        """Let the store come back from a copy, and write the newest configuration again."""
        with self._copying:
            self._fleet.save_store()
            time.sleep(fault.duration_s - fault.value)
            self._fleet.restore_store(fault.value)

    def _change_key(self, fault: Fault) -> None:
        began = time.time()
        self._configured.append((began, self._fleet.change_key(fault.target, int(fault.value))))

    def _flood(self, fault: Fault) -> None:
        """Let a customer send many times its usual load."""
        rngs = [random.Random(f"{fault.value}/{number}") for number in range(FLOOD_CALLERS)]
        callers = [
            Caller(
                fleet=self._fleet,
                rng=rng,
                credentials=CredentialDraw(rng=rng, customer=fault.target),
                kinds=FLOOD_KINDS[fault.target],
            )
            for rng in rngs
        ]
        self._callers += callers
        for caller in callers:
            caller.start()
        time.sleep(fault.duration_s)
        for caller in callers:
            caller.stopping = True

    def _drain(self, fault: Fault) -> None:
        try:
            self._fleet.inject_fault(fault.target, "drain", 0)
        except OSError:
            return
        time.sleep(fault.duration_s)
        self._restart_process("upstream_kill", fault.target)

    def _limit(self, fault: Fault) -> None:
        try:
            self._fleet.name_limit(fault.target, f"{fault.value:g}")
            time.sleep(fault.duration_s)
            self._fleet.name_limit(fault.target, None)
        except OSError:  # the upstream was killed, and starts again without a limit
            return

    def _let_leave(self, fault: Fault) -> None:
        with suppress(OSError):
            self._fleet.say(fault.target, leaving=True)
        time.sleep(fault.duration_s)
        self._restart_process("upstream_kill", fault.target)

    def _let_rest(self, fault: Fault) -> None:
        with suppress(OSError):
            self._fleet.say(fault.target, retry_after=f"{fault.value:g}")
        time.sleep(fault.duration_s)
        with suppress(OSError):
            self._fleet.say(fault.target, retry_after=None)

    def _fail_taken_up(self, fault: Fault) -> None:
        with suppress(OSError):
            answer = TAKEN_UP_ANSWERS[int(fault.value) % len(TAKEN_UP_ANSWERS)]
            self._fleet.fail_taken_up(fault.target, answer)
            self._fleet.inject_fault(fault.target, "tear-new", 3)
        time.sleep(fault.duration_s)
        with suppress(OSError):
            self._fleet.fail_taken_up(fault.target, None)

    def _echo_refusals(self, fault: Fault) -> None:
        with suppress(OSError):
            self._fleet.inject_fault(fault.target, "refuse", 2)
            self._fleet.echo_refusals(fault.target, "before", anonymous=fault.value % 2 == 0)
        time.sleep(fault.duration_s)
        with suppress(OSError):
            self._fleet.end_echo(fault.target)

    def _write_odd_entry(self, fault: Fault) -> None:
        with suppress(OSError):
            self._fleet.put("servers/odd", ODD_ENTRIES[int(fault.value) % len(ODD_ENTRIES)])

    def _cut_off(self, fault: Fault) -> None:
        mode, resets = CUT_MODES[fault.kind]
        self._fleet.cut_off(fault.target, mode)
        if resets:
            self._fleet.reset(fault.target)
        time.sleep(fault.duration_s)
        self._fleet.cut_off(fault.target, LinkMode.NORMAL)

    def _make_brittle(self, fault: Fault) -> None:
        """Let all instances say that they are brittle, also those that start again."""
        instances = [name for name in self._fleet.upstream_ports if name.startswith("s")]
        while time.time() < fault.ends_at:
            for name in instances:
                with suppress(OSError):
                    self._fleet.make_brittle(
                        name, per_s=BRITTLE_PER_S, room=BRITTLE_ROOM, work_s=BRITTLE_WORK_S
                    )
            time.sleep(DEADLY_REPEAT_S)
        for name in instances:
            with suppress(OSError):
                self._fleet.end_brittle(name)

    def _make_deadly(self, fault: Fault, prefix: str, name_cause: Callable[[str], None]) -> None:
        """Name the cause to all upstreams until the end, also to those that start again."""
        upstreams = [name for name in self._fleet.upstream_ports if name.startswith(prefix)]
        while time.time() < fault.ends_at:
            for upstream in upstreams:
                with suppress(OSError):
                    name_cause(upstream)
            time.sleep(DEADLY_REPEAT_S)

    def _restart_process(self, kind: str, target: str) -> None:
        process = self._fleet.processes[target]
        self._fleet.signal(target, signal.SIGCONT)
        if kind in SIGNALS_BY_KIND:
            wait_until(lambda: process.poll() is not None or handles_signals(process.pid))
        for number in SIGNALS_BY_KIND.get(kind, (signal.SIGKILL,)):
            self._fleet.signal(target, number)
            time.sleep(SIGNAL_GAP_S)
        status = process.wait()
        if status not in (0, -signal.SIGKILL):
            self._failed_processes.append(f"{target} ({status})")
        time.sleep(RESTART_DELAY_S)
        start = self._fleet.start_node if target.startswith("n") else self._fleet.start_upstream
        with self._starting:  # of the faults that ended the process, one starts it again
            if self._fleet.processes[target] is process:
                start(target)

    def _watch_versions(self) -> None:
        while not self._finished:
            for node in self._fleet.caller_ports:
                try:
                    state = self._fleet.dump(node)
                    self._versions.append(
                        ObservedVersion(
                            node=node,
                            pid=state["pid"],
                            at=time.time(),
                            version=state["configuration_version"],
                        )
                    )
                    if shows_key(json.dumps(state)):
                        self._shown.add(f"the dump of {node}")
                    if shows_key(self._fleet.metrics(node)):
                        self._shown.add(f"the metrics of {node}")
                except (OSError, ValueError, KeyError):
                    continue
            time.sleep(0.2)

    def _was_overcommitted(self, upstream: str) -> bool:
        """Return whether an upstream was overcommitted; a dead engine tells when it is back."""
        states: list[bool] = []

        def is_read() -> bool:
            states.append(bool(self._fleet.state_of(upstream)["overcommitted"]))
            return True

        wait_until(is_read)
        return states[0]

    def _read_runs(self) -> list[ExecutionRecord]:
        runs = []
        for name in self._fleet.upstream_ports:
            for line in self._fleet.read_log(name).splitlines():
                fields = line.split()
                if len(fields) == 3 and fields[0] == "run":
                    runs.append(
                        ExecutionRecord(upstream=name, request_id=fields[1], at=float(fields[2]))
                    )
        return runs

    def _read_customers(self, runs: list[ExecutionRecord]) -> CustomerObservations | None:
        if self._fleet.keys is None:
            return None
        logs = {node: self._fleet.read_log(node) for node in self._fleet.caller_ports}
        shown = [f"the log of {node}" for node, log in logs.items() if shows_key(log)]
        return CustomerObservations(
            history=self._fleet.keys.history,
            arrivals=[
                arrival
                for name in self._fleet.upstream_ports
                for arrival in read_arrivals(name, self._fleet.read_log(name))
            ],
            first_runs={run.request_id: run.at for run in sorted(runs, key=lambda run: -run.at)},
            shown=[*shown, *sorted(self._shown)],
        )

    def _read_limited(self) -> list[LimitedArrival]:
        return [
            LimitedArrival(
                upstream=name, request_id=fields[1], at=float(fields[2]), limit=float(fields[3])
            )
            for name in self._fleet.upstream_ports
            for fields in map(str.split, self._fleet.read_log(name).splitlines())
            if len(fields) == 4 and fields[0] == "limited"
        ]

    def _read_notices(self) -> list[SaidNotice]:
        return [
            notice
            for name in self._fleet.upstream_ports
            for notice in read_notices(name, self._fleet.read_log(name))
        ]

    def _read_orders(self) -> list[OrderRecord]:
        if self._fleet.earlier_nodes:  # which may be two holders in an outage of the store
            return []
        return [
            order
            for name in self._fleet.upstream_ports
            for order in read_orders(name, self._fleet.read_log(name))
        ]

    def _read_falls(self) -> list[float]:
        return [
            float(line.split()[2])
            for name in self._fleet.upstream_ports
            for line in self._fleet.read_log(name).splitlines()
            if line.startswith("fall ")
        ]

    def _read_deadly(self) -> list[DeadlyEvent]:
        return [
            DeadlyEvent(
                kind=fields[0],
                cause="part" if name.startswith("e") else "request",
                request_id=fields[1],
                at=float(fields[2]),
            )
            for name in self._fleet.upstream_ports
            for fields in map(str.split, self._fleet.read_log(name).splitlines())
            if len(fields) == 3 and fields[0] in ("deadly", "crash")
        ]


def run_soak(
    seed: Annotated[int, typer.Option(help="Seed of the faults and callers.")] = 1,
    minutes: Annotated[float, typer.Option(min=0.1)] = 1.0,
    nodes: Annotated[int, typer.Option(min=2, max=40)] = 4,
    callers: Annotated[int, typer.Option(min=1, max=200)] = 12,
    first_port: Annotated[int, typer.Option(min=1024, max=60000)] = 20000,
    beside: Annotated[
        str, typer.Option(help="Commit whose build every second node runs, beside the present one.")
    ] = "",
    customers: Annotated[
        bool, typer.Option(help="Let the configuration have customers; never with --beside.")
    ] = True,
    logs: Annotated[
        Path | None, typer.Option(help="Folder into which the logs are copied.")
    ] = None,
) -> None:
    """Run the programs under faults and check the observations against the guarantees."""
    keys = CustomerKeys() if customers and not beside else None
    fleet = SoakFleet(first_port=first_port, nodes=nodes, beside=beside, keys=keys)
    faults = draw_faults(seed, minutes * 60.0, list(fleet.caller_ports), list(fleet.upstream_ports))
    faults += draw_signals(seed, minutes * 60.0, list(fleet.caller_ports))
    faults += draw_copies(seed, minutes * 60.0)
    faults += draw_deadly(seed, minutes * 60.0)
    faults += draw_cuts(seed, minutes * 60.0, list(fleet.caller_ports))
    faults.append(draw_brittle(seed, minutes * 60.0))
    faults += draw_notices(seed, minutes * 60.0, list(fleet.upstream_ports))
    faults += draw_limits(seed, minutes * 60.0, list(fleet.upstream_ports))
    if keys is not None:
        faults += draw_key_changes(seed, minutes * 60.0)
        faults += draw_floods(seed, minutes * 60.0)
    threads = [
        Caller(
            fleet=fleet,
            rng=random.Random(f"{seed}/{number}"),
            credentials=_make_credentials(f"{seed}/{number}/customers") if keys else None,
        )
        for number in range(callers)
    ]
    try:
        fleet.start()
        observations = SoakRun(fleet=fleet, faults=faults, callers=threads).run(minutes * 60.0)
    finally:
        fleet.stop(logs)
    violations = find_violations(observations)
    statuses = Counter(result.status for result in observations.results)
    print(f"seed {seed}: {len(observations.results)} requests, {len(faults)} faults")
    print(
        "answers:",
        ", ".join(f"{status or 'cut'}: {n}" for status, n in sorted(statuses.items())),
    )
    print("faults:", ", ".join(f"{k}: {n}" for k, n in Counter(f.kind for f in faults).items()))
    if observations.customers is not None:
        print("customers:", describe_usage(observations.customers, observations.results))
    for line in violations:
        print("VIOLATED", line)
    print("no guarantee was violated" if not violations else f"{len(violations)} violations")
    sys.exit(1 if violations else 0)


def _make_credentials(seed: str) -> CredentialDraw:
    return CredentialDraw(rng=random.Random(seed))


if __name__ == "__main__":
    typer.run(run_soak)
