"""The store turns one node away, which begins streams and is killed a moment later."""

from __future__ import annotations

import asyncio
import os
import sys

from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness.record import run_and_leave  # noqa: E402
from harness.store_relay import SILENT  # noqa: E402
from harness.versions import VersionsCase  # noqa: E402
from harness.versions import run_case  # noqa: E402

STREAMS = 24


async def play(case: VersionsCase) -> None:
    """Turn the first node away, let streams begin at it, and kill it."""
    if case.trouble and os.environ.get("TROUBLE") != "kill":
        case.deployment.relays[case.first].decide = lambda request: SILENT
        case.record.write("turned away", node=case.first)
    await asyncio.sleep(0.05)
    case.begin(STREAMS)
    await asyncio.sleep(2.0)
    if case.trouble and os.environ.get("TROUBLE") != "away":
        case.deployment.kill(case.first)


if __name__ == "__main__":
    run_and_leave(run_case(FOLDER, play))
