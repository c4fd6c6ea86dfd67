"""Stand-in for the weight store with a rate limit and a concurrency limit."""

from __future__ import annotations

import sys

from typing import Any

from twisted.web.server import NOT_DONE_YET
from twisted.web.server import Request

from stand_ins.http import read_path
from stand_ins.http import send_answer
from stand_ins.http import serve
from stand_ins.reactor import reactor

RATE_WINDOW_S = 1.0


class WeightServer:
    """Answers a fetch after ``load_s``; refuses and counts those beyond the limits."""

    def __init__(self, *, loads_per_second: float, loads_at_once: int, load_s: float) -> None:
        self._rate = loads_per_second
        self._max_running = loads_at_once
        self._load_s = load_s
        self._running = 0
        self._start_times: list[float] = []
        self.refused = 0
        self.served = 0

    def handle(self, request: Request) -> Any:
        """Answer ``/weights/<item>`` and ``/control``."""
        if read_path(request) == "/control":
            return {"served": self.served, "refused": self.refused, "running": self._running}
        now = reactor.seconds()
        self._start_times = [at for at in self._start_times if now - at < RATE_WINDOW_S]
        burst = self._rate * RATE_WINDOW_S + self._max_running
        if self._running >= self._max_running or len(self._start_times) >= burst:
            self.refused += 1
            request.setResponseCode(429)
            return {"refused": True}
        self._running += 1
        self._start_times.append(now)
        reactor.callLater(self._load_s, self._finish, request)
        return NOT_DONE_YET

    def _finish(self, request: Request) -> None:
        self._running -= 1
        self.served += 1
        send_answer(request, {"loaded": read_path(request)})


def main() -> None:
    """Serve: ``weight_store PORT LOADS_PER_SECOND LOADS_AT_ONCE LOAD_SECONDS``."""
    server = WeightServer(
        loads_per_second=float(sys.argv[2]),
        loads_at_once=int(sys.argv[3]),
        load_s=float(sys.argv[4]),
    )
    serve(server.handle, int(sys.argv[1]))


if __name__ == "__main__":
    main()
