"""The store is silent for two seconds while a stream is taken up."""

from __future__ import annotations

import asyncio
import os
import sys
import time

from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness.clients import Stream  # noqa: E402
from harness.clients import read_stream  # noqa: E402
from harness.deployment import Deployment  # noqa: E402
from harness.record import Record  # noqa: E402
from harness.record import run_and_leave  # noqa: E402
from harness.servers import Server  # noqa: E402
from harness.versions import CONFIGURATION  # noqa: E402
from harness.versions import MODEL  # noqa: E402

SILENT_S = 2.0
CALM_S = 5.0  # after the store is back; from contactMs = 3 s on it is stable, and machines in touch
STREAMS = 16  # the rule counts from 12 on
DEADLINE_S = 8.0
PATH = "/tags/2f"


async def begin_and_take_up(record: Record, begin_at: int, take_up_at: int) -> Stream:
    """Begin a stream at one node and, as its connection breaks, take it up at another one."""
    stream = Stream()
    ends_at = time.monotonic() + DEADLINE_S
    await read_stream(record, stream, begin_at, PATH, model=MODEL, deadline_ms=8000, leave_after=5)
    left_ms = int((ends_at - time.monotonic()) * 1000)
    while stream.events and not stream.complete and left_ms > 300:
        await read_stream(record, stream, take_up_at, PATH, model=MODEL, deadline_ms=left_ms)
        if not stream.complete:
            await asyncio.sleep(0.5)
        left_ms = int((ends_at - time.monotonic()) * 1000)
    return stream


async def begin_only(record: Record, port: int) -> Stream:
    """Read a whole stream at one node."""
    stream = Stream()
    await read_stream(record, stream, port, PATH, model=MODEL, deadline_ms=8000)
    return stream


async def prepare(deployment: Deployment, record: Record) -> None:
    """Start everything; two servers have the same software version."""
    await deployment.start_store()
    await deployment.configure(CONFIGURATION)
    await deployment.start_nodes()
    for name in ("i-one", "i-two"):
        server = Server(
            name=name,
            service="palabra",
            record=record,
            store_port=deployment.store,
            zone="cordon",
            version="4.1",
            models=(MODEL,),
            events=30,
        )
        await server.start()

    async def all_know() -> bool:
        settled = bool(await deployment.read_store("cactusshunt/versions/"))
        return settled and all([await deployment.knows(node, 2) for node in deployment.nodes])

    await deployment.wait_until(all_know)
    await asyncio.sleep(3.0)


async def play(deployment: Deployment, record: Record, *, trouble: bool) -> tuple[list[Any], ...]:
    """Return the streams that were taken up in the end, and new ones of the same time."""
    first, second = (deployment.fronts[node] for node in deployment.nodes)
    if trouble:
        record.write("store silent", for_s=SILENT_S)
        for relay in deployment.relays.values():
            relay.turned_away = True
    early = asyncio.ensure_future(begin_and_take_up(record, first, second))
    await asyncio.sleep(SILENT_S)
    for relay in deployment.relays.values():
        relay.turned_away = False
    record.write("store answers")
    await asyncio.sleep(CALM_S)
    await early
    record.write("calm", since_s=CALM_S)
    taken_up, _, new = await asyncio.gather(
        asyncio.gather(*(begin_and_take_up(record, first, second) for _ in range(STREAMS))),
        asyncio.gather(*(begin_only(record, first) for _ in range(STREAMS))),
        asyncio.gather(*(begin_only(record, second) for _ in range(STREAMS))),
    )
    return taken_up, new


async def run() -> int:
    """Run the case and return its status."""
    record = Record(FOLDER / "record.txt")
    deployment = Deployment(record, nodes=2)
    try:
        await prepare(deployment, record)
        trouble = os.environ.get("TROUBLE", "1") != "0"
        taken_up, new = await play(deployment, record, trouble=trouble)
    except (TimeoutError, OSError, ConnectionError) as error:
        record.say(f"could not run: {error!r}")
        return 2
    finally:
        deployment.stop()
    tried = [stream for stream in taken_up if len(stream.events) >= 5]
    went_on = [stream for stream in tried if len(stream.events) > 6]
    begun = [stream for stream in new if stream.events]
    for stream in tried:
        record.write("taken up", events=len(stream.events), attempts=stream.attempts)
    record.say(
        f"{len(went_on)} of {len(tried)} streams that were taken up went on, "
        f"{len(begun)} of {len(new)} new streams began"
    )
    record.close()
    if len(tried) < 12 or not begun:
        return 2
    return 1 if len(went_on) / len(tried) < 0.5 * len(begun) / len(new) else 0


if __name__ == "__main__":
    run_and_leave(run())
