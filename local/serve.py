"""``make serve``: runs the local deployment until interrupted.

With ``--once`` it sends one request to each entry, checks the answers and exits."""

from __future__ import annotations

import http.client
import json
import signal
import sys
import threading

from local.deployment import ADMINISTRATOR_TOKEN
from local.deployment import CALLER_TOKEN
from local.deployment import Deployment

TOKENS_PER_STREAM = 12
INITIAL_ITEMS = {"streams/captions@v1", "streams/summaries@v1", "grid/defects@v1"}


def describe(deployment: Deployment) -> str:
    """Return a line with the deployment's addresses and an example request."""
    callers = deployment.port(0, 0)
    second_port = deployment.port(1, 0)
    curl = (
        f"curl -N http://127.0.0.1:{callers}/v1/chat/completions"
        f" -H 'Authorization: Bearer {CALLER_TOKEN}' -H 'Content-Type: application/json'"
        ' -d \'{"model":"streams/captions","stream":true,'
        '"messages":[{"role":"user","content":"hello"}]}\''
    )
    return (
        f"ready: callers 127.0.0.1:{callers} and 127.0.0.1:{second_port}, administration"
        f" 127.0.0.1:{deployment.port(0, 1)} and 127.0.0.1:{deployment.port(1, 1)}"
        f" (token {ADMINISTRATOR_TOKEN}); try: {curl}"
    )


def request_stream(port: int) -> str:
    """Send a streaming request; return the answer's text, or nothing if it is incomplete."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=30)
    body = {
        "model": "streams/captions",
        "stream": True,
        "max_tokens": TOKENS_PER_STREAM,
        "messages": [{"role": "user", "content": "hello"}],
    }
    headers = {"Authorization": f"Bearer {CALLER_TOKEN}", "Content-Type": "application/json"}
    connection.request("POST", "/v1/chat/completions", json.dumps(body), headers)
    lines = connection.getresponse().read().decode().splitlines()
    events = [line.removeprefix("data: ") for line in lines if line.startswith("data: ")]
    if not events or events[-1] != "[DONE]" or len(events) != TOKENS_PER_STREAM + 1:
        return ""
    chunks = [json.loads(event) for event in events[:-1]]
    return "".join(chunk["choices"][0]["delta"]["content"] for chunk in chunks)


def main() -> int:
    """Run the deployment; return the exit status."""
    interrupted = threading.Event()
    for kind in (signal.SIGINT, signal.SIGTERM):
        signal.signal(kind, lambda *_: interrupted.set())
    deployment = Deployment()
    try:
        deployment.start()
        deployment.wait_reachable(INITIAL_ITEMS)
        print(describe(deployment), flush=True)
        if "--once" not in sys.argv[1:]:
            interrupted.wait()
            return 0
        answers = [request_stream(deployment.port(number, 0)) for number in (0, 1)]
        for number, answer in enumerate(answers):
            print(f"entry {number}: {answer}")
        return 0 if all(answers) and len(set(answers)) == 1 else 1
    finally:
        deployment.stop()


if __name__ == "__main__":
    sys.exit(main())
