"""The store turns one node away, which begins streams that are then taken up elsewhere."""

from __future__ import annotations

import asyncio
import sys

from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness.record import run_and_leave  # noqa: E402
from harness.versions import VersionsCase  # noqa: E402
from harness.versions import run_case  # noqa: E402

STREAMS = 48


async def play(case: VersionsCase) -> None:
    """Turn the first node away, let streams begin at it, and break half of the connections."""
    if case.trouble:
        case.deployment.relays[case.first].turned_away = True
        case.record.write("turned away", node=case.first)
    await asyncio.sleep(0.05)
    case.begin(STREAMS)
    await asyncio.sleep(2.0)
    case.break_connections()


if __name__ == "__main__":
    run_and_leave(run_case(FOLDER / "record.txt", play))
