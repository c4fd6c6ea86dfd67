"""The operator raises the limits for clients; do kept connections follow the configuration?"""

from __future__ import annotations

import asyncio
import sys

from pathlib import Path
from typing import Any

from review.harness2.rig import Client
from review.harness2.rig import Deployment
from review.harness2.rig import run_case

TIMEOUT_S = 3.0
CONFIG_S = 2.0  # configMs
WAIT_S = 4.0  # from the acknowledgement to the requests, twice configMs
CLIENTS = 12
SMALL_BYTES = 65_536
LARGE_BYTES = 1_048_576
BODY = b"x" * 200_000
ROUTES = [
    {
        "name": "check-in",
        "hostname": "h",
        "prefix": "/a/",
        "service": "access",
        "timeoutMs": 2_000,
        "targetLatencyMs": 200,
    },
]


def make_limits(body_bytes: int) -> dict[str, Any]:
    """Return the limits for clients of a configuration."""
    return {
        "maxHeaderBytes": 16_384,
        "maxBodyBytes": body_bytes,
        "headerTimeoutMs": 5_000,
        "idleTimeoutMs": 15_000,
    }


async def post(deployment: Deployment, client: Client, request_id: str, body: bytes) -> int:
    """Send one request and return the status of its answer, 0 without one."""
    headers = {"Host": "h", "X-Request-Id": request_id, "X-Deadline-Ms": "2000"}
    status = 0
    try:
        answer = await client.ask("POST", "/a/x", headers, body, timeout_s=TIMEOUT_S)
        status = answer.status
    except (TimeoutError, OSError, EOFError) as error:
        deployment.record.write("unanswered", id=request_id, error=repr(error))
    deployment.record.write("answered", id=request_id, bytes=len(body), status=status)
    return status


async def judge(deployment: Deployment, trouble: bool) -> bool:
    """Return whether requests that the configuration allows are refused by an older one."""
    services = [{"name": "access"}]
    deployment.start_store()
    await deployment.wait_store()
    first = SMALL_BYTES if trouble else LARGE_BYTES
    await deployment.configure(ROUTES, services, make_limits(first))
    deployment.start_service("s1", "access")
    deployment.start_node("n1")
    await deployment.wait_ready(1)
    clients = [Client(deployment.front("n1")) for _ in range(CLIENTS)]
    for number, client in enumerate(clients):
        await client.open()
        await post(deployment, client, f"before-{number}", b"x" * 100)
    if trouble:
        await deployment.configure(ROUTES, services, make_limits(LARGE_BYTES))
    await asyncio.sleep(WAIT_S)
    other = Client(deployment.front("n1"))
    await other.open()
    if await post(deployment, other, "new-connection", BODY) != 200:
        return False  # nor does a new connection follow the configuration
    sending = [post(deployment, found, f"kept-{n}", BODY) for n, found in enumerate(clients)]
    statuses = await asyncio.gather(*sending)
    for client in [*clients, other]:
        client.close()
    requests = 2 * CLIENTS + 1
    denied = statuses.count(413)
    deployment.record.write("judged", requests=requests, denied=denied)
    return not denied > 5 + requests / 500


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, judge))
