"""A write to the store that gets no answer is carried out late, after a newer one."""

from __future__ import annotations

import asyncio
import base64
import json
import sys

from pathlib import Path
from typing import TYPE_CHECKING

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness.record import run_and_leave  # noqa: E402
from harness.versions import VersionsCase  # noqa: E402
from harness.versions import run_case  # noqa: E402

if TYPE_CHECKING:
    from harness import wire

LATE_S = 3.0  # "done 1 to 6 s later"


async def count_recorded(case: VersionsCase) -> int:
    """Return how many streams the store's records name, which the verdict does not use."""
    items = await case.deployment.read_store("cactusshunt/streams/")
    values = [json.loads(base64.b64decode(item["value"])) for item in items]
    return sum(len(ids) for value in values for ids in value["attempts"].values())


async def play(case: VersionsCase) -> None:
    """Lose the answer of one write, let streams begin, and break connections when all is calm."""
    writes = 0

    def delay(request: wire.Message) -> float | None:
        nonlocal writes
        if (request.method, request.target) != ("POST", "/v1/kv-txn"):
            return None
        writes += 1
        is_late = case.trouble and writes == 1
        case.record.write("write", number=writes, done_after_s=LATE_S if is_late else 0)
        return LATE_S if is_late else None

    case.deployment.relays[case.first].delay = delay
    case.begin(4)
    await asyncio.sleep(0.2)
    for _ in range(4):
        case.begin(12)
        await asyncio.sleep(0.6)
    for _ in range(4):
        case.record.write("store", recorded_streams=await count_recorded(case))
        await asyncio.sleep(0.5)
    case.break_connections()


if __name__ == "__main__":
    run_and_leave(run_case(FOLDER / "record.txt", play))
