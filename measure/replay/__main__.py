"""``make replay``: replays traces, prints a table and writes JSON.

``python -m measure.replay [--deployment NAME] [--trace INDEX] [--fault NAME] [--seed N]``
"""

from __future__ import annotations

import json

from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict
from pathlib import Path
from typing import Annotated
from typing import Any

import typer

from measure.replay.deployments import make_cofnod
from measure.replay.deployments import make_servicio
from measure.replay.policies import make_policies
from measure.replay.simulation import FAULTS
from measure.replay.simulation import Simulation
from measure.replay.traces import make_traces

OUTPUT = Path("build/replay")
WORKER_PROCESSES = 8
DEPLOYMENTS = {"servicio": make_servicio, "cofnod": make_cofnod}


def run_replay(deployment_name: str, trace_number: int, fault: str, policy: int, seed: int) -> Any:
    """Run one replay and return its row of the table."""
    deployment = DEPLOYMENTS[deployment_name](seed)
    trace = make_traces(deployment, seed)[trace_number]
    chosen = make_policies()[policy]
    simulation = Simulation(
        deployment=deployment, trace=trace, policy=chosen, fault=fault, seed=seed
    )
    outcome = simulation.run()
    return {
        "deployment": deployment_name,
        "trace": trace.name,
        "fault": fault,
        "policy": chosen.name,
        "engines": len(deployment.engines),
        **asdict(outcome),
    }


def main(
    deployment: Annotated[str, typer.Option(help="servicio, cofnod or all.")] = "all",
    trace: Annotated[int, typer.Option(help="Index of a trace from 0, or -1 for all.")] = -1,
    fault: Annotated[str, typer.Option(help="Name of a fault, or all.")] = "all",
    seed: Annotated[int, typer.Option(help="Seed of traces and deployments.")] = 1,
) -> None:
    """Replay traces under the planner and under each baseline policy."""
    names = list(DEPLOYMENTS) if deployment == "all" else [deployment]
    traces = list(range(4)) if trace < 0 else [trace]
    faults = list(FAULTS) if fault == "all" else [fault]
    jobs = [
        (name, number, kind, policy, seed)
        for name in names
        for number in traces
        for kind in faults
        for policy in range(len(make_policies()))
    ]
    rows = []
    print_heading()
    with ProcessPoolExecutor(WORKER_PROCESSES) as pool:
        for row in pool.map(run_replay, *zip(*jobs, strict=True)):
            print_row(row)
            rows.append(row)
    OUTPUT.mkdir(parents=True, exist_ok=True)
    (OUTPUT / f"seed-{seed}.json").write_text(json.dumps(rows, indent=1), encoding="utf-8")


def print_heading() -> None:
    """Print the table's header."""
    print(
        f"{'deployment':10} {'trace':15} {'fault':13} {'policy':15} {'attained':>8} "
        f"{'per accel':>9} {'loads':>6} {'out of reach s':>14} {'refused':>8} {'late':>7}"
        f" {'lost':>6}"
    )


def print_row(row: Any) -> None:
    """Print the result of one replay."""
    share = row["attained"] / max(1, row["requests"])
    print(
        f"{row['deployment']:10} {row['trace']:15} {row['fault']:13} {row['policy']:15} "
        f"{share:8.4f} {row['attained'] / row['engines']:9.0f} {row['loads']:6} "
        f"{row['longest_out_of_reach_s']:14.0f} {row['refused']:8} {row['late']:7}"
        f" {row['lost']:6}",
        flush=True,
    )


if __name__ == "__main__":
    typer.run(main)
