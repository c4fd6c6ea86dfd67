"""Streams that may be resumed, while servers of two software versions serve.

Three nodes; one server of the old version, then three of the new one join, as in a release. Streams
begin at the first node. Seconds later the connections of half of their clients break, which take
the streams up at the second node. ORDER: no more than two streams may hold events of both versions.
"""

from __future__ import annotations

import asyncio
import os
import time

from itertools import pairwise
from typing import TYPE_CHECKING
from typing import Any

from harness.clients import Stream
from harness.clients import read_stream
from harness.deployment import Deployment
from harness.record import Record
from harness.servers import Server

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

OLD, NEW = "4.1", "4.2"
MODEL = "daka510000"
ALLOWED_STREAMS = 2  # "More than two streams hold events from engines of two software versions"
CONFIGURATION: dict[str, Any] = {
    "version": 7,
    "routes": [
        {
            "name": "tags",
            "hostname": "ficu95.example",
            "prefix": "/tags/",
            "service": "palabra",
            "routeType": "streaming",
            "canResume": True,
            "timeoutMs": 15000,
            "targetLatencyMs": 1500,
            "gapAimMs": 400,
            "attempts": 2,
            "priority": 2,
        }
    ],
    "services": [
        {
            "name": "palabra",
            "maxConnections": 370,
            "healthPath": "/healthz",
            "engine": {
                "slots": 64,
                "kvCapacity": 141956,
                "weightsSizeMb": 230000,
                "maxAdapters": 8,
                "loadsPerS": 2.5,
                "models": [{"name": MODEL, "weightsSizeMb": 72700, "loadS": 1.2}],
            },
        }
    ],
    "limits": {
        "maxHeaderBytes": 32768,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 10000,
        "idleTimeoutMs": 60000,
    },
}


class VersionsCase:
    """Runs the case; ``begin_streams`` does what is particular to it and returns the streams."""

    def __init__(self, record: Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(record)
        self.deployment = Deployment(self.record, nodes=3)
        self.first, self.second, _ = self.deployment.nodes
        self.tasks: list[asyncio.Task[None]] = []
        self.streams: list[Stream] = []

    async def prepare(self) -> None:
        """Start everything; the old version is settled before the new one joins."""
        deployment = self.deployment
        await deployment.start_store()
        await deployment.configure(CONFIGURATION)
        await self._make_server("i-old-1", OLD).start()
        await deployment.start_nodes()
        await deployment.wait_until(lambda: self._all_know(1))
        await deployment.wait_until(self._is_settled)
        for name in ("i-new-1", "i-new-2", "i-new-3"):
            await self._make_server(name, NEW).start()
        await deployment.wait_until(lambda: self._all_know(4))
        await asyncio.sleep(3.0)  # nothing else has happened for a while

    def _make_server(self, name: str, version: str) -> Server:
        return Server(
            name=name,
            service="palabra",
            record=self.record,
            store_port=self.deployment.store,
            zone="buceo" if version == OLD else "cordon",
            version=version,
            models=(MODEL,),
        )

    async def _all_know(self, servers: int) -> bool:
        known = [await self.deployment.knows(node, servers) for node in self.deployment.nodes]
        return all(known)

    async def _is_settled(self) -> bool:
        return bool(await self.deployment.read_store("cactusshunt/versions/"))

    def begin(self, count: int) -> None:
        """Begin streams at the first node; their clients go on at the second one if need be."""
        for _ in range(count):
            stream = Stream()
            self.streams.append(stream)
            self.tasks.append(asyncio.ensure_future(self._follow(stream)))

    def break_connections(self) -> None:
        """Reset every second client's connection to the first node."""
        self.record.write("connections reset", count=len(self.streams[::2]))
        for stream in self.streams[::2]:
            stream.break_connection()

    async def _follow(self, stream: Stream) -> None:
        fronts = self.deployment.fronts
        ends_at = time.monotonic() + 12.0  # the client's own deadline
        port = fronts[self.first]
        while not stream.complete and time.monotonic() < ends_at:
            left_ms = int((ends_at - time.monotonic()) * 1000)
            await read_stream(
                self.record, stream, port, "/tags/2f", model=MODEL, deadline_ms=left_ms
            )
            if not stream.complete:
                await asyncio.sleep(0.3)
                port = fronts[self.second]

    async def finish(self) -> int:
        """Wait for all streams and return the exit status."""
        await asyncio.gather(*self.tasks)
        joined = [stream for stream in self.streams if len(stream.versions) > 1]
        begun_new = sum(stream.events[:1] == [(1, NEW)] for stream in self.streams)
        for stream in self.streams:
            at = [n for (n, v), (_, w) in pairwise(stream.events) if v != w]
            self.record.write(
                "stream",
                first_id=stream.first_id,
                events=len(stream.events),
                versions=sorted(stream.versions),
                version_changes_after_event=at,
                complete=stream.complete,
                attempts=stream.attempts,
            )
        self.record.say(
            f"{len(self.streams)} streams, {begun_new} begun by the new version, "
            f"{sum(s.complete for s in self.streams)} complete, "
            f"{len(joined)} with events of two versions ({ALLOWED_STREAMS} are allowed)"
        )
        if not any(stream.events for stream in self.streams):
            return 2
        return 1 if len(joined) > ALLOWED_STREAMS else 0


async def run_case(record: Path, play: Callable[[VersionsCase], Any]) -> int:
    """Prepare, play and judge a case; 2 if it could not run."""
    case = VersionsCase(record)
    try:
        await case.prepare()
        await play(case)
        return await case.finish()
    except (TimeoutError, OSError, ConnectionError) as error:
        case.record.say(f"could not run: {error!r}")
        return 2
    finally:
        case.deployment.stop()
        case.record.close()
