"""Publish and subscribe between the tasks of one process."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

from logbook import Logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.base import ReactorBase

T = TypeVar("T")
log = Logger("message_bus")


class MessageBus:
    """Delivers each message to its subscribers in a later iteration of the reactor."""

    def __init__(self, *, reactor: ReactorBase) -> None:
        self._reactor = reactor
        self._subscribers: dict[type[Any], list[Callable[[Any], None]]] = defaultdict(list)

    def subscribe(self, kind: type[T], receive: Callable[[T], None]) -> None:
        """Call ``receive`` with each message of a type."""
        self._subscribers[kind].append(receive)

    def publish(self, message: object) -> None:
        """Deliver a message to all subscribers of its type."""
        for receive in self._subscribers[type(message)]:
            self._reactor.callLater(0, self._deliver, receive, message)

    def _deliver(self, receive: Callable[[Any], None], message: object) -> None:
        try:
            receive(message)
        except Exception:
            log.exception("subscriber failed on message {}", type(message).__name__)
