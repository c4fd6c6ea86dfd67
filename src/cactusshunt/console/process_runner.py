"""Runs an entry or control process until it is stopped by a signal."""

from __future__ import annotations

import signal

from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol
from typing import cast

import typer

from twisted.internet.defer import Deferred

from cactusshunt.console.json_logging import install_logging
from cactusshunt.console.process_settings import read_process_settings

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine
    from pathlib import Path

    from twisted.internet.epollreactor import EPollReactor

    from cactusshunt.schema.generated.process import ProcessSettings

INVALID_SETTINGS_EXIT_STATUS = 2


class LongRunningProcess(Protocol):
    """A process that is started and stopped exactly once."""

    def start(self) -> None:
        """Start serving."""

    def stop(self) -> Coroutine[Any, Any, None]:
        """Stop after the requests in flight have ended."""


def run_process(
    path: Path, role: str, create: Callable[[Any, ProcessSettings], LongRunningProcess]
) -> None:
    """Run a process until SIGTERM or SIGINT, then stop it gracefully."""
    from twisted.internet import reactor as installed_reactor

    reactor = cast("EPollReactor", installed_reactor)
    result = read_process_settings(path)
    if result.is_error():
        for error in result.error:
            typer.echo(f"{path}: {error}", err=True)
        raise typer.Exit(INVALID_SETTINGS_EXIT_STATUS)
    settings = result.ok
    install_logging(vm=settings.vm, role=role, level=settings.log_level)
    process = create(reactor, settings)
    stopping: list[bool] = []

    def stop(*_: object) -> None:
        if stopping:
            return
        stopping.append(True)
        done = Deferred.fromCoroutine(process.stop())
        done.addBoth(lambda _: reactor.stop())

    def handle_signal(*_: object) -> None:
        reactor.callFromThread(stop)

    reactor.callWhenRunning(process.start)
    signal.signal(signal.SIGTERM, handle_signal)
    signal.signal(signal.SIGINT, handle_signal)
    reactor.run(installSignalHandlers=False)
