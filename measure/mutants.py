"""Mutation tests: runs each listed scenario on a copy of the code without its mechanism.

A scenario that still passes there does not test the mechanism. ``python -m measure.mutants
[NAME ...]`` prints a line for each mutant and exits 1 if a scenario passes without its mechanism.
"""

from __future__ import annotations

import json
import os
import re
import shutil
import subprocess
import sys
import tempfile

from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
COPIED = (
    "src",
    "tests",
    "stand_ins",
    "local",
    "measure",
    "soak",
    "deploy",
    "docs",
    "KNOWN-RED.txt",
    "pyproject.toml",
)
MUTANTS_FILE = Path(__file__).with_name("mutants.json")
RUN_TIMEOUT_S = 600
NOT_RUN = frozenset({"skipped", "untested"})  # statuses of scenarios in behave's summary


@dataclass(frozen=True, kw_only=True)
class Mutant:
    """A text change that removes one mechanism, and the scenario that must then fail."""

    name: str
    file: str
    old: str
    new: str
    scenario: str


def read_mutants() -> list[Mutant]:
    """Return the mutants listed in ``mutants.json``."""
    return [Mutant(**found) for found in json.loads(MUTANTS_FILE.read_text(encoding="utf-8"))]


def count_run_scenarios(output: str) -> int:
    """Return how many scenarios ran according to behave's summary; an outline's examples count."""
    summary = re.search(r"^\d+ scenarios? passed.*$", output, re.MULTILINE)
    counts = re.findall(r"(\d+) (?:scenarios? )?(\w+)", summary[0]) if summary else []
    return sum(int(count) for count, status in counts if status not in NOT_RUN)


def run_mutant(mutant: Mutant) -> bool:
    """Return whether the scenario fails without the mechanism.

    Raise ``ValueError`` if the mutant's text is not in its file or the scenario did not run.
    """
    with tempfile.TemporaryDirectory() as directory:
        copy = Path(directory)
        for name in COPIED:
            source = ROOT / name
            if source.is_dir():
                shutil.copytree(source, copy / name)
            else:
                shutil.copy(source, copy / name)
        target = copy / mutant.file
        text = target.read_text(encoding="utf-8")
        if mutant.old not in text:
            raise ValueError(f"{mutant.name}: its old text is not in {mutant.file}")
        target.write_text(text.replace(mutant.old, mutant.new), encoding="utf-8")
        finished = subprocess.run(
            [sys.executable, "-m", "behave", "tests", "-n", mutant.scenario],
            cwd=copy,
            env={**os.environ, "PYTHONPATH": f"{copy / 'src'}:{copy}"},
            capture_output=True,
            timeout=RUN_TIMEOUT_S,
            check=False,
        )
    output = finished.stdout.decode()
    if not count_run_scenarios(output):
        raise ValueError(f"{mutant.name}: the scenario did not run\n{output}")
    return finished.returncode != 0


def main() -> int:
    """Run all mutants, or only those named as arguments, and return the exit status."""
    selected = set(sys.argv[1:])
    survived = 0
    for mutant in read_mutants():
        if selected and mutant.name not in selected:
            continue
        fails = run_mutant(mutant)
        survived += not fails
        verdict = "fails" if fails else "PASSES"
        print(f"without {mutant.name}: {mutant.scenario!r} {verdict}", flush=True)
    return 1 if survived else 0


if __name__ == "__main__":
    sys.exit(main())
