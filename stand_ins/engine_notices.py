"""What a stand-in engine says of itself in its answers: that it leaves, or wants a pause."""

from __future__ import annotations

import time

from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from twisted.web.server import Request


class EngineNotices:
    """Sets ``Server-Leaving`` in all answers, and ``Retry-After`` in answers that refuse a request.

    ``said`` lists ID, time and text of each such answer; health checks and reports have IDs of the
    caller's own. Lines on standard output say the same, and name the requests that arrive later.
    """

    def __init__(self) -> None:
        self.said: list[tuple[str, float, str]] = []
        self._leaving = False
        self._retry_after: str | None = None
        self._not_run = True
        self._load: str | None = None

    def configure(self, body: dict[str, Any]) -> None:
        """Apply a test call: ``leaving``, and ``retry_after``, a header's text or ``null``.

        ``load`` is the text of ``X-Server-Load``. With ``not_run`` false its refusals do not say
        that the request did not run.
        """
        self._leaving = bool(body.get("leaving", self._leaving))
        self._retry_after = body.get("retry_after", self._retry_after)
        self._not_run = bool(body.get("not_run", True))
        self._load = body.get("load", self._load)

    def forget(self) -> None:
        """Say nothing any more, as after a restart."""
        self._leaving, self._retry_after = False, None

    def mark(self, request: Request) -> None:
        """Add what all answers say."""
        if self._load is not None:
            request.setHeader("X-Server-Load", self._load)
        if self._leaving:
            request.setHeader("Server-Leaving", "1")
            self._record(request, "leaving")

    def refuses(self, request: Request) -> bool:
        """Return whether a request is turned away, and add why to its answer."""
        if self._retry_after is None:
            return False
        if self._not_run:
            request.setHeader("X-Not-Executed", "1")
        request.setHeader("Retry-After", self._retry_after)
        self._record(request, self._retry_after)
        return True

    def record_arrival(self, request: Request) -> None:
        """Print that a request arrived, once anything was said."""
        if self.said:
            print("arrival", request.getHeader("X-Request-Id"), time.time(), flush=True)

    def _record(self, request: Request, text: str) -> None:
        request_id = request.getHeader("X-Request-Id") or ""
        self.said.append((request_id, time.time(), text))
        print("said", request_id, time.time(), text.replace(" ", "_") or "-", flush=True)
