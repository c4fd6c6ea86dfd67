"""Bounds what the clients of all listening ports make a process hold, and their connections."""

from __future__ import annotations

import enum

from collections import Counter
from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol as Interface

from cactusshunt.http1.client_choice import choose_for_descriptor
from cactusshunt.http1.client_choice import choose_for_memory

if TYPE_CHECKING:
    from collections.abc import Iterator

    from twisted.internet.base import ReactorBase

    from cactusshunt.http1.client_choice import ClientState

# Fraction of ``limits.memoryMb`` (160 MB or more) that clients may make the process hold; the
# process takes a further 50 MB itself.
HELD_FRACTION = 0.3
PRESSED_PART = 0.5  # fraction of the limit above which little input is read ahead
FILE_DESCRIPTORS = 200  # of ``limits.maxFds``, which the platform sets aside for files
# Each request takes a further descriptor for its upstream, for a moment after its caller left too.
# The rest is for the store, the other VMs and idle connections to upstreams.
CALLERS_PART = 0.25  # of the other descriptors
PEERS_PART = 0.1
INTERNAL_PART = 0.025  # for each of the ports for readiness and metrics, which few clients use
REPORT_INTERVAL_S = 60.0  # between two reports of one source address
MAX_SOURCES = 256  # counted by address until they are reported; the others are counted together
OTHER_SOURCES = "other"
# After this many connections closed for new ones within REST_S seconds, a port accepts none for
# REST_S. It bounds the CPU time that accepting and closing takes, as a closed client may connect
# again at once. Clients wait in the queue of the listening socket.
CLOSED_BEFORE_REST = 20
REST_S = 0.1


def compute_max_connections(max_fds: int, part: float) -> int:
    """Return how many connections a port may have that gets a part of the descriptors."""
    return max(1, int(part * (max_fds - FILE_DESCRIPTORS)))


class Restriction(enum.Enum):
    """Why a client was refused or its connection was closed."""

    MEMORY = "memory"
    DESCRIPTORS = "descriptors"
    BODY = "body"
    HEAD = "head"
    TIME = "time"


class Client(Interface):
    """A connection that is bounded."""

    counted_bytes: int

    def describe(self) -> ClientState:
        """Return what the connection does, and what it makes the process hold."""

    def restrict(self, restriction: Restriction) -> None:
        """Refuse the request that arrives, or end the connection."""


class ClientGuard:
    """Counts what all connections hold, and closes those that hold most above the limit.

    ``limit_bytes`` is in bytes of process memory; ``None`` means no limit.
    """

    def __init__(self, *, reactor: ReactorBase, limit_bytes: float | None = None) -> None:
        self.reactor = reactor
        self._limit_bytes = float("inf") if limit_bytes is None else limit_bytes
        self._listeners: list[ListenerGuard] = []
        self._relieving = False
        self._unreported: dict[str, Counter[str]] = {}
        self._reported_at: dict[str, float] = {}
        self.held_bytes = 0
        self.restricted: Counter[str] = Counter()

    def add_listener(self, max_connections: float = float("inf")) -> ListenerGuard:
        """Return the bound of one more listening port."""
        listener = ListenerGuard(guard=self, max_connections=max_connections)
        self._listeners.append(listener)
        return listener

    @property
    def is_pressed(self) -> bool:
        """Return whether much of the limit is used."""
        return self.held_bytes > PRESSED_PART * self._limit_bytes

    def count(self, client: Client, held_bytes: int) -> None:
        """Record what a connection holds now."""
        self.held_bytes += held_bytes - client.counted_bytes
        client.counted_bytes = held_bytes
        if self.held_bytes > self._limit_bytes and not self._relieving:
            self._relieve()

    def record(self, source: str, restriction: Restriction) -> None:
        """Count a restriction for the metrics and the next report."""
        self.restricted[restriction.value] += 1
        if source not in self._unreported and len(self._unreported) >= MAX_SOURCES:
            source = OTHER_SOURCES
        self._unreported.setdefault(source, Counter())[restriction.value] += 1

    def list_reports(self) -> Iterator[tuple[str, dict[str, int]]]:
        """Yield source addresses that were restricted, each once in a minute, and how often."""
        now = self.reactor.seconds()
        recent = {key: at for key, at in self._reported_at.items() if now < at + REPORT_INTERVAL_S}
        self._reported_at = recent
        for source in [source for source in self._unreported if source not in recent]:
            if len(recent) > 2 * MAX_SOURCES and source != OTHER_SOURCES:
                continue
            recent[source] = now
            yield source, dict(self._unreported.pop(source))

    def _relieve(self) -> None:
        self._relieving = True
        try:
            states = [(found, found[1].describe()) for found in self._list_all()]
            for listener, client in choose_for_memory(states, self.held_bytes, self._limit_bytes):
                listener.restrict(client, Restriction.MEMORY)
        finally:
            self._relieving = False

    def _list_all(self) -> Iterator[tuple[ListenerGuard, Client]]:
        for listener in self._listeners:
            for client in listener.clients:
                yield listener, client


class ListenerGuard:
    """Bounds the connections of one listening port, which ``attach`` names once it is open."""

    def __init__(self, *, guard: ClientGuard, max_connections: float) -> None:
        self._guard = guard
        self._max_connections = max_connections
        self.clients: dict[Client, str] = {}  # with their source addresses
        self._closed_in_window = 0
        self._window_ends = 0.0
        self._port: Any = None

    @property
    def is_pressed(self) -> bool:
        """Return whether much of the memory for clients is used."""
        return self._guard.is_pressed

    def attach(self, port: Any) -> None:
        """Name the port, of which few connections are accepted in one iteration of the reactor."""
        self._port = port
        port.numberAccepts = CLOSED_BEFORE_REST

    def open(self, client: Client, source: str, held_bytes: int) -> None:
        """Record a new connection, and close another one, or this one, if there are too many."""
        self.clients[client] = source
        self._guard.count(client, held_bytes)
        if len(self.clients) <= self._max_connections:
            return
        now = self._guard.reactor.seconds()
        states = {found: found.describe() for found in self.clients if found is not client}
        chosen = choose_for_descriptor(states, now)
        self.restrict(client if chosen is None else chosen, Restriction.DESCRIPTORS)
        self._rest_if_many(now)

    def count(self, client: Client, held_bytes: int) -> None:
        """Record what a connection holds now."""
        if client in self.clients:
            self._guard.count(client, held_bytes)

    def record(self, client: Client, restriction: Restriction) -> None:
        """Count a restriction that a connection made itself."""
        self._guard.record(self.clients.get(client, OTHER_SOURCES), restriction)

    def restrict(self, client: Client, restriction: Restriction) -> None:
        """Restrict a connection, and count that."""
        self.record(client, restriction)
        client.restrict(restriction)

    def close(self, client: Client) -> None:
        """Record that a connection has ended, or is about to as it was aborted."""
        if self.clients.pop(client, None) is not None:
            self._guard.count(client, 0)

    def _rest_if_many(self, now: float) -> None:
        if now >= self._window_ends:
            self._window_ends = now + REST_S
            self._closed_in_window = 0
        self._closed_in_window += 1
        if self._closed_in_window == CLOSED_BEFORE_REST and self._port is not None:
            self._port.stopReading()
            self._guard.reactor.callLater(REST_S, self._accept_again)

    def _accept_again(self) -> None:
        if self._port.connected:  # not closed meanwhile
            self._port.numberAccepts = CLOSED_BEFORE_REST
            self._port.startReading()
