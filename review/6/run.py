"""An engine in trouble sends bytes without end; do requests for another service get answers?"""

from __future__ import annotations

import asyncio
import sys
import time

from review.harness2.rig import Client
from review.harness2.rig import Deployment
from review.harness2.rig import run_case

TIMEOUT_S = 1.0  # timeoutMs of the route
GRACE_S = 0.5  # the rule: no final answer half a second after timeoutMs
REQUESTS = 60
INTERVAL_S = 0.1
PIECE_BYTES = "8"
SERVICES = [
    {
        "name": "engines",
        "engine": {
            "models": [{"name": "captions", "weightsSizeMb": 100, "loadS": 0.2}],
            "weightsSizeMb": 210,
            "maxAdapters": 2,
            "loadsPerS": 5,
        },
    },
    {"name": "access"},
]
ROUTES = [
    {
        "name": "stream",
        "hostname": "h",
        "prefix": "/s/",
        "service": "engines",
        "routeType": "streaming",
        "timeoutMs": 15_000,
        "targetLatencyMs": 600,
    },
    {
        "name": "check-in",
        "hostname": "h",
        "prefix": "/a/",
        "service": "access",
        "routeType": "idempotent",
        "timeoutMs": 1_000,
        "targetLatencyMs": 200,
        "attempts": 2,
    },
]


async def ask_stream(deployment: Deployment) -> None:
    """Ask for one stream, as a client does; it leaves when the route's time is up."""
    client = Client(deployment.front("n1"))
    headers = {
        "Host": "h",
        "X-Request-Id": "stream-1",
        "X-Model": "captions",
        "X-Token-Count": "100,80",
        "X-Deadline-Ms": "15000",
    }
    try:
        await client.open()
        deployment.record.write("sent", id="stream-1")
        answer = await client.ask("POST", "/s/x", headers, b"{}", timeout_s=15.5)
        deployment.record.write("answered", id="stream-1", status=answer.status)
    except (TimeoutError, OSError, EOFError) as error:
        deployment.record.write("unanswered", id="stream-1", error=repr(error))
    finally:
        client.close()


async def ask_plainly(deployment: Deployment, number: int) -> bool:
    """Send one request for the sound service; return whether it had its final answer in time."""
    client = Client(deployment.front("n1"))
    request_id = f"plain-{number}"
    headers = {"Host": "h", "X-Request-Id": request_id, "X-Deadline-Ms": "1000"}
    sent_at = time.monotonic()
    try:
        await client.open()
        left_s = sent_at + TIMEOUT_S + GRACE_S - time.monotonic()
        answer = await client.ask("GET", "/a/x", headers, timeout_s=left_s)
        took_ms = int((time.monotonic() - sent_at) * 1000)
        deployment.record.write("answered", id=request_id, status=answer.status, took_ms=took_ms)
        return True
    except (TimeoutError, OSError, EOFError) as error:
        deployment.record.write("unanswered", id=request_id, error=repr(error))
        return False
    finally:
        client.close()


async def judge(deployment: Deployment, trouble: bool) -> bool:
    """Return whether requests that outlast their route's time have a final answer."""
    deployment.start_store()
    await deployment.wait_store()
    await deployment.configure(ROUTES, SERVICES)
    port = deployment.take_port()
    arguments = ["e1", str(port), str(deployment.store), "engines", "captions", PIECE_BYTES]
    module = "review.harness2.trouble_engine"
    deployment.start("e1", "-m", module, *arguments, "1" if trouble else "0")
    deployment.start_service("s1", "access")
    deployment.start_node("n1")
    await deployment.wait_ready(2)
    await asyncio.sleep(1.0)
    stream = asyncio.create_task(ask_stream(deployment))
    asking = []
    for number in range(REQUESTS):
        asking.append(asyncio.create_task(ask_plainly(deployment, number)))
        await asyncio.sleep(INTERVAL_S)
    in_time = await asyncio.gather(*asking)
    await stream
    late = in_time.count(False)
    deployment.record.write("judged", requests=REQUESTS, unanswered=late)
    return not (late >= 8 and late > REQUESTS / 4)


if __name__ == "__main__":
    sys.exit(run_case(judge))
