"""Coroutines that run periodically."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from logbook import Logger
from twisted.internet.defer import Deferred

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Coroutine

    from twisted.internet.base import ReactorBase
    from twisted.internet.interfaces import IDelayedCall
    from twisted.python.failure import Failure

log = Logger("periodic")


class Periodic:
    """Runs a coroutine again ``interval_s`` after each run has ended; failures are logged."""

    def __init__(
        self,
        *,
        reactor: ReactorBase,
        interval_s: float,
        run: Callable[[], Awaitable[None]],
    ) -> None:
        self._reactor = reactor
        self._interval_s = interval_s
        self._run = run
        self._next_run: IDelayedCall | None = None
        self._running = False
        self._stopped = True

    def start(self) -> None:
        """Run immediately, and again an interval after each run."""
        self._stopped = False
        self._start_run()

    def stop(self) -> None:
        """Schedule no more runs; a run in progress is not cancelled."""
        self._stopped = True
        if self._next_run is not None and self._next_run.active():
            self._next_run.cancel()

    def set_interval(self, interval_s: float) -> None:
        """Change the interval; a wait in progress keeps its length."""
        self._interval_s = interval_s

    def trigger(self) -> None:
        """Run now instead of at the end of the interval; no effect during a run."""
        if self._next_run is not None and self._next_run.active():
            self._next_run.reset(0)

    def _start_run(self) -> None:
        if not self._stopped and not self._running:
            self._running = True
            start_coroutine(self._run_once())

    async def _run_once(self) -> None:
        try:
            await self._run()
        except Exception:
            log.exception("periodic run failed")
        finally:
            self._running = False
            if not self._stopped:
                self._next_run = self._reactor.callLater(self._interval_s, self._start_run)


def start_coroutine(coroutine: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine on the reactor; a failure is logged."""
    Deferred.fromCoroutine(coroutine).addErrback(_log_failure)


def pause(reactor: ReactorBase, seconds: float) -> Deferred[None]:
    """Return a Deferred that fires after a number of seconds."""
    paused: Deferred[None] = Deferred()
    clock: Any = reactor
    clock.callLater(seconds, paused.callback, None)
    return paused


def _log_failure(failure: Failure) -> None:
    log.error("coroutine failed: {}", failure.getTraceback())
