"""Stand-in for a plain service that counts executions by idempotency key."""

from __future__ import annotations

import sys

from collections import Counter
from typing import Any

from twisted.web.server import NOT_DONE_YET
from twisted.web.server import Request

from stand_ins.http import abort_connection
from stand_ins.http import read_json
from stand_ins.http import read_path
from stand_ins.http import send_answer
from stand_ins.http import serve
from stand_ins.reactor import reactor


class ServiceServer:
    """Echoes requests; ``POST /control`` sets ``lose_answers`` and ``delay_ms``."""

    def __init__(self) -> None:
        self.executions: Counter[str] = Counter()
        self._lose_answers = 0
        self._delay_ms = 0

    def handle(self, request: Request) -> Any:
        """Execute and echo a request after the delay, or answer a control call."""
        path = read_path(request)
        if path == "/control":
            request_body = read_json(request)
            self._lose_answers = request_body.get("lose_answers", self._lose_answers)
            self._delay_ms = request_body.get("delay_ms", self._delay_ms)
            return {"executions": dict(self.executions)}
        reactor.callLater(self._delay_ms / 1000, self._execute, request, path)
        return NOT_DONE_YET

    def _execute(self, request: Request, path: str) -> None:
        self.executions[request.getHeader("Idempotency-Key") or "none"] += 1
        if self._lose_answers > 0:
            self._lose_answers -= 1
            abort_connection(request)
            return
        request.setHeader("X-Request-Id", request.getHeader("X-Request-Id") or "")
        body = request.content.read().decode() if request.content is not None else ""
        send_answer(request, {"path": path, "method": request.method.decode(), "body": body})


def main() -> None:
    """Serve on the port given as the first argument."""
    serve(ServiceServer().handle, int(sys.argv[1]))


if __name__ == "__main__":
    main()
