"""Coroutines that a task runs again and again."""

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
    """Runs a coroutine, waits an interval, and runs it again; a failure is logged."""

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
        self._next: IDelayedCall | None = None
        self._running = False
        self._stopped = True

    def start(self) -> None:
        """Run now and then after each interval."""
        self._stopped = False
        self._begin()

    def stop(self) -> None:
        """Run no more; a run in progress ends by itself."""
        self._stopped = True
        if self._next is not None and self._next.active():
            self._next.cancel()

    def set_interval(self, interval_s: float) -> None:
        """Change the interval from the next run on."""
        self._interval_s = interval_s

    def trigger(self) -> None:
        """Run at once instead of after the rest of the interval."""
        if self._next is not None and self._next.active():
            self._next.reset(0)

    def _begin(self) -> None:
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
                self._next = self._reactor.callLater(self._interval_s, self._begin)


def start_coroutine(coroutine: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine on the reactor and log its failure."""
    Deferred.fromCoroutine(coroutine).addErrback(_log_failure)


def pause(reactor: ReactorBase, seconds: float) -> Deferred[None]:
    """Return a Deferred that ends after a time."""
    paused: Deferred[None] = Deferred()
    clock: Any = reactor
    clock.callLater(seconds, paused.callback, None)
    return paused


def _log_failure(failure: Failure) -> None:
    log.error("coroutine failed: {}", failure.getTraceback())
