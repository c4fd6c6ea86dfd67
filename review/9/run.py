"""The only server of a service crashes for a while; do kept connections still get answers?"""

from __future__ import annotations

import asyncio
import sys

from review.harness2.rig import CannotRunError
from review.harness2.rig import Client
from review.harness2.rig import Deployment
from review.harness2.rig import run_case

TIMEOUT_S = 2.0  # timeoutMs of the route
GRACE_S = 0.5  # the rule: no final answer half a second after timeoutMs
CLIENTS = 12
DOWN_S = 3.0
ROUTES = [
    {
        "name": "link",
        "hostname": "h",
        "prefix": "/a/",
        "service": "access",
        "routeType": "idempotent",
        "timeoutMs": 2_000,
        "targetLatencyMs": 200,
        "attempts": 2,
    },
]


async def ask(deployment: Deployment, client: Client, method: str, request_id: str) -> bool:
    """Send one request; return whether it had its final answer in time."""
    headers = {"Host": "h", "X-Request-Id": request_id, "X-Deadline-Ms": "2000"}
    try:
        answer = await client.ask(method, "/a/x", headers, timeout_s=TIMEOUT_S + GRACE_S)
    except (TimeoutError, OSError, EOFError) as error:
        deployment.record.write("unanswered", id=request_id, error=repr(error))
        return False
    deployment.record.write("answered", id=request_id, status=answer.status)
    return True


async def judge(deployment: Deployment, trouble: bool) -> bool:
    """Return whether requests that outlast their route's time have a final answer."""
    deployment.start_store()
    await deployment.wait_store()
    await deployment.configure(ROUTES, [{"name": "access"}])
    port = deployment.start_service("s1", "access")
    deployment.start_node("n1")
    await deployment.wait_ready(1)
    clients = [Client(deployment.front("n1")) for _ in range(CLIENTS)]
    for client in clients:
        await client.open()
    if trouble:
        deployment.processes["s1"].kill()
        deployment.record.write("killed", process="s1")
        await asyncio.sleep(0.5)
    # Each client keeps its connection and looks first whether the link is there.
    asking = [ask(deployment, found, "HEAD", f"head-{n}") for n, found in enumerate(clients)]
    in_time = await asyncio.gather(*asking)
    if trouble:
        await asyncio.sleep(DOWN_S)
        arguments = ["s1", str(port), str(deployment.store), "access", ""]
        deployment.start("s1", "-m", "stand_ins.platform_engine", *arguments)
        await asyncio.sleep(DOWN_S)
    asking = [ask(deployment, found, "GET", f"get-{n}") for n, found in enumerate(clients)]
    in_time += await asyncio.gather(*asking)
    other = Client(deployment.front("n1"))
    await other.open()
    if not await ask(deployment, other, "GET", "get-on-a-new-connection"):
        raise CannotRunError("the server is not back")
    for client in [*clients, other]:
        client.close()
    late = in_time.count(False)
    deployment.record.write("judged", requests=len(in_time), unanswered=late)
    return not (late >= 8 and late > len(in_time) / 4)


if __name__ == "__main__":
    sys.exit(run_case(judge))
