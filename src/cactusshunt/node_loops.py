"""Repeats the periodic tasks of a node."""

from __future__ import annotations

from typing import Any

from twisted.internet.task import LoopingCall

from cactusshunt.node_log import log_event


class NodeLoops:
    """Runs functions at fixed intervals; one that fails is started again an interval later."""

    def __init__(self, *, reactor: Any) -> None:
        self._reactor = reactor

    def repeat(self, seconds: float, run: Any) -> None:
        """Run a function every ``seconds``, the first time after ``seconds``."""
        loop = LoopingCall(run)
        loop.clock = self._reactor
        loop.start(seconds, now=False).addErrback(self._log_failure, run, seconds)

    def _log_failure(self, failure: Any, run: Any, seconds: float) -> None:
        log_event("task_failed", reason=failure.getTraceback()[-1500:])
        self._reactor.callLater(seconds, self.repeat, seconds, run)
