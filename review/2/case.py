"""A server's streams have no end, and their callers read at the pace of a phone."""

from __future__ import annotations

import asyncio
import contextlib
import os
import secrets
import socket
import sys
import time

from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import wire  # noqa: E402
from harness.clients import ask  # noqa: E402
from harness.deployment import MEMORY_MB  # noqa: E402
from harness.deployment import Deployment  # noqa: E402
from harness.record import Record  # noqa: E402
from harness.record import run_and_leave  # noqa: E402
from harness.servers import Link  # noqa: E402
from harness.servers import Server  # noqa: E402

MODEL = "daka510000"
HOST = "ficu95.example"
ALLOWED_LOST = 3  # "passes a request from a kept connection on ... more than three times"
STREAMS = int(os.environ.get("STREAMS", "1"))  # at the sick server, at once
READ_BYTES, READ_INTERVAL_S = 32_768, 0.05  # 5 Mbit/s
KEPT = 16  # connections on which clients ask the sound service one request after the other
PLAY_S = 30.0
RESTART_S = 1.0
WATCH_INTERVAL_S = 0.01
PART = (b"\x00" * 4_094 + b"\n\n") * 64
LINK = Link(100e6)  # below the 1,000 Mbit/s of a machine
ENGINE = {
    "slots": 64,
    "kvCapacity": 141956,
    "weightsSizeMb": 230000,
    "maxAdapters": 8,
    "loadsPerS": 2.5,
    "models": [{"name": MODEL, "weightsSizeMb": 72700, "loadS": 1.2}],
}
CONFIGURATION: dict[str, Any] = {
    "version": 7,
    "routes": [
        {
            "name": "captions",
            "hostname": HOST,
            "prefix": "/captions/",
            "service": "palabra",
            "routeType": "streaming",
            "timeoutMs": 15000,
            "targetLatencyMs": 600,
            "gapAimMs": 400,
            "priority": 0,
        },
        {
            "name": "checkin",
            "hostname": HOST,
            "prefix": "/checkin/",
            "service": "sala",
            "routeType": "non_idempotent",
            "timeoutMs": 3000,
            "targetLatencyMs": 400,
            "priority": 2,
        },
    ],
    "services": [
        {"name": "palabra", "maxConnections": 370, "healthPath": "/healthz", "engine": ENGINE},
        {"name": "sala", "maxConnections": 110, "healthPath": "/healthz"},
    ],
    "limits": {
        "maxHeaderBytes": 32768,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 10000,
        "idleTimeoutMs": 60000,
    },
}


async def answer_without_end(request: wire.Message, writer: asyncio.StreamWriter) -> None:
    """Begin a stream, then write bytes that are no answer until the caller closes."""
    head = {
        "X-Request-Id": request.headers["x-request-id"],
        "X-Response-Seal": "seal.sick",
        "Content-Type": "text/event-stream",
    }
    writer.write(wire.encode("HTTP/1.1 200 OK", head, None))
    while True:
        for begin in range(0, len(PART), 65_536):
            await LINK.write(writer, PART[begin : begin + 65_536])


@dataclass(kw_only=True)
class Case:
    """The deployment, and what clients and the platform saw."""

    record: Record
    deployment: Deployment
    sound: Server
    sick: Server
    kills: int = 0
    peak_mb: float = 0.0
    unanswered: list[str] = field(default_factory=list)
    answered: int = 0
    ends: dict[str, int] = field(default_factory=dict)


async def watch_memory(case: Case, node: str) -> None:
    """Kill the node when it exceeds its memory, as the platform does, and start it again."""
    deployment = case.deployment
    while True:
        rss_mb = deployment.read_rss_mb(node)
        case.peak_mb = max(case.peak_mb, rss_mb)
        if rss_mb > MEMORY_MB:
            case.kills += 1
            case.record.write("over its memory", node=node, rss_mb=int(rss_mb), limit=MEMORY_MB)
            deployment.kill(node)
            deployment.processes[node].wait()
            await asyncio.sleep(RESTART_S)
            deployment.start_node(node)
        await asyncio.sleep(WATCH_INTERVAL_S)


async def keep_asking(case: Case, port: int, ends_at: float) -> None:
    """Ask the sound service on a kept connection, and on a new one after it has ended."""
    while time.monotonic() < ends_at:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            served = 0
            while time.monotonic() < ends_at:
                found = await ask(reader, writer, case.record, "POST", "/checkin/1", body=b"g" * 64)
                if found[2] is None:
                    if served:
                        case.unanswered.append(found[0])
                    break
                served += 1
                case.answered += found[2].status == 200
            wire.close(writer)
        await asyncio.sleep(0.2)


async def read_slowly(case: Case, port: int) -> None:
    """Make one streaming request at the sick server, and read its answer as a phone does."""
    request_id = secrets.token_hex(8)
    case.record.write("sent", id=request_id, path="/captions/2f")
    fields = {
        "Host": HOST,
        "X-Request-Id": request_id,
        "X-Deadline-Ms": "15000",
        "X-Model": MODEL,
        "X-Token-Count": "64,171",
        "X-Prompt-Prefix": "5c1e07a2:32,91bd3f06:32",
    }
    loop = asyncio.get_running_loop()
    found = socket.socket()
    found.setblocking(False)
    read = 0
    end = "complete"
    with contextlib.suppress(OSError):
        end = "broken off"
        await loop.sock_connect(found, ("127.0.0.1", port))
        await loop.sock_sendall(found, wire.encode("POST /captions/2f HTTP/1.1", fields, b"p"))
        ends_at = time.monotonic() + 15.0
        while (left_s := ends_at - time.monotonic()) > 0:
            async with asyncio.timeout(left_s):
                data = await loop.sock_recv(found, READ_BYTES)
            read += len(data)
            if not data or data.endswith(b"0\r\n\r\n"):
                end = "complete" if data else end
                break
            await asyncio.sleep(READ_INTERVAL_S)
    found.close()
    case.ends[end] = case.ends.get(end, 0) + 1
    case.record.write("read", id=request_id, bytes=read, end=end)


async def prepare(case: Case) -> None:
    """Start everything."""
    deployment = case.deployment
    await deployment.start_store()
    await deployment.configure(CONFIGURATION)
    await deployment.start_nodes()
    for server in (case.sound, case.sick):
        server.store_port = deployment.store
        await server.start()

    async def all_know() -> bool:
        return all([await deployment.knows(node, 2) for node in deployment.nodes])

    await deployment.wait_until(all_know)


async def run() -> int:
    """Run the case and return its status."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(FOLDER / "record.txt")
    deployment = Deployment(record, nodes=2)
    common: dict[str, Any] = {"record": record, "store_port": 0}
    sound = Server(name="i-sound", service="sala", zone="cordon", work_s=0.09, **common)
    sick = Server(
        name="i-sick", service="palabra", zone="cordon", models=(MODEL,), events=8, **common
    )
    case = Case(record=record, deployment=deployment, sound=sound, sick=sick)
    try:
        await prepare(case)
        node = deployment.nodes[0]
        port = deployment.fronts[node]
        watch = asyncio.ensure_future(watch_memory(case, node))
        ends_at = time.monotonic() + PLAY_S
        tasks = [asyncio.ensure_future(keep_asking(case, port, ends_at)) for _ in range(KEPT)]
        await asyncio.sleep(2.0)
        record.write("memory before", rss_mb=int(deployment.read_rss_mb(node)))
        if trouble:
            sick.trouble = answer_without_end
            record.write("trouble begins", server=sick.name)
        while time.monotonic() < ends_at - 3.0:
            await asyncio.gather(*(read_slowly(case, port) for _ in range(STREAMS)))
            await asyncio.sleep(2.0)
        await asyncio.gather(*tasks)
        watch.cancel()
    except (TimeoutError, OSError, ConnectionError) as error:
        record.say(f"could not run: {error!r}")
        return 2
    finally:
        deployment.stop()
    passed_on = {run.request_id for run in sound.runs}
    lost = [name for name in case.unanswered if name in passed_on]
    for name in lost:
        record.write("lost", id=name)
    record.say(
        f"{case.answered} answers of the sound service, {len(lost)} requests on kept connections "
        f"that it ran and nobody answered ({ALLOWED_LOST} are allowed); the node's peak was "
        f"{case.peak_mb:.0f} MB of {MEMORY_MB} MB, {case.kills} times over; "
        f"streams ended: {case.ends}"
    )
    record.close()
    if not case.answered:
        return 2
    return 1 if len(lost) > ALLOWED_LOST else 0


if __name__ == "__main__":
    run_and_leave(run())
