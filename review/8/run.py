"""A node gets no new connections to servers; how many servers does a deadly request crash?"""

from __future__ import annotations

import asyncio
import json
import sys
import time

from review.harness2.rig import CannotRunError
from review.harness2.rig import Client
from review.harness2.rig import Deployment
from review.harness2.rig import run_case

SERVERS = 9  # of the site's larger service
NODES = ["n1", "n2", "n3"]
OFFSET = 1_000  # of the ports by which the first node reaches the servers
CONTACT_S = 3.0  # contactMs
RETRIES = 3  # of the rule: reaches engines in more than three
FIRST_GAP_S = 0.2  # between the first three deadly requests; the others come contactMs later
DEADLY_GAP_S = 1.3
DEADLY_REQUESTS = 12
BACK_S = 2.0  # a crashed server is back after that
CALM_S = 4.0
ROUTES = [
    {
        "name": "check-in",
        "hostname": "h",
        "prefix": "/a/",
        "service": "access",
        "timeoutMs": 2_000,
        "targetLatencyMs": 300,
    },
]


async def post(deployment: Deployment, node: str, path: str, request_id: str) -> int:
    """Send one request on a connection of its own; return its status, 0 without an answer."""
    client = Client(deployment.front(node))
    headers = {"Host": "h", "X-Request-Id": request_id, "X-Deadline-Ms": "2000"}
    status = 0
    try:
        await client.open()
        status = (await client.ask("POST", path, headers, b"{}", timeout_s=2.5)).status
    except (TimeoutError, OSError, EOFError) as error:
        deployment.record.write("unanswered", id=request_id, error=repr(error))
    finally:
        client.close()
    deployment.record.write("answered", id=request_id, status=status)
    return status


async def keep_asking(deployment: Deployment, node: str, gap_s: float) -> None:
    """Send sound requests to a node, so that it has open connections to all servers."""
    asking = set()
    number = 0
    while True:
        number += 1
        sending = post(deployment, node, f"/a/sound-{number}", f"{node}-{number}")
        task = asyncio.create_task(sending)
        asking.add(task)
        task.add_done_callback(asking.discard)
        await asyncio.sleep(gap_s)


async def judge(deployment: Deployment, trouble: bool) -> bool:
    """Return whether few deadly requests reach servers after the third crash."""
    view, control = deployment.take_port(), deployment.take_port()
    deployment.start_store(f"{view}:{OFFSET}")
    await deployment.wait_store()
    await deployment.configure(ROUTES, [{"name": "access"}])
    ports = [deployment.start_service(f"s{number}", "access") for number in range(SERVERS)]
    pairs = [f"{port + OFFSET}:{port}" for port in ports]
    deployment.start("link", "-m", "review.harness2.link", str(control), *pairs)
    for node in NODES:
        deployment.start_node(node, store=view if node == "n1" else 0, zone="east")
    await deployment.wait_ready(SERVERS)
    deadly = json.dumps({"path": "/a/deadly", "back_s": BACK_S}).encode()
    for port in ports:
        await deployment.call(port, "POST", "/test/deadly", deadly)
    asking = [
        asyncio.create_task(keep_asking(deployment, node, 0.02 if node == "n1" else 0.3))
        for node in NODES
    ]
    await asyncio.sleep(CALM_S)
    if trouble:
        reader, writer = await asyncio.open_connection("127.0.0.1", control)
        writer.write(b"refuse\n")
        await reader.readline()
        deployment.record.write("refused", node="n1")
        await asyncio.sleep(0.3)
    for number in range(DEADLY_REQUESTS):
        await post(deployment, "n1", "/a/deadly", f"deadly-{number}")
        if number == 2:
            await asyncio.sleep(CONTACT_S)
        await asyncio.sleep(FIRST_GAP_S if number < 2 else DEADLY_GAP_S)
    for task in asking:
        task.cancel()
    await asyncio.sleep(BACK_S)
    return await count_late(deployment, ports) <= RETRIES


async def count_late(deployment: Deployment, ports: list[int]) -> int:
    """Count the deadly requests that servers got over contactMs after the third crash."""
    crashes: list[float] = []
    arrived: list[float] = []
    for port in ports:
        state = json.loads((await deployment.call(port, "GET", "/test/runs"))[1])
        crashes += state["crashes"]
        arrived += [at for at, _ in state["deadly"]]
    if not arrived:
        raise CannotRunError("no server got the deadly request")
    began_at = min(arrived)
    for at in sorted(crashes):
        deployment.record.write("crashed", after_s=round(at - began_at, 2))
    for at in sorted(arrived):
        deployment.record.write("got_deadly", after_s=round(at - began_at, 2))
    third = sorted(crashes)[2] if len(crashes) > 2 else time.time()
    late = sum(at > third + CONTACT_S for at in arrived)
    deployment.record.write("judged", crashes=len(crashes), late=late)
    return late


if __name__ == "__main__":
    sys.exit(run_case(judge, nodes=len(NODES)))
