"""Shares the process's time between connections whose input is to be parsed.

Load pattern: many connections of callers or upstreams send input that is costly to parse, and an
ordinary one a request or an answer.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING
from typing import Protocol as Interface

if TYPE_CHECKING:
    from twisted.internet.base import ReactorBase

# An ordinary request takes less than 0.1 ms to parse. Timeouts begin at 300 ms (connecting), so
# that turns of 10 ms delay no other task noticeably.
SLICE_S = 0.002  # parsing time of one connection, before others get their turn
TURN_S = 0.010  # parsing time of waiting connections in one iteration of the reactor
# Time in each iteration that connections with much input get at least; it comes on top of TURN_S if
# the others use that up.
HEAVY_S = 0.003
WINDOW_S = 0.020  # period in which at most TURN_S are spent on input as it arrives
EVENTS_BETWEEN_CHECKS = 4  # of the clock; a usual request has 3, each takes at most 1.5 ms
INPUT_PIECE_BYTES = 16_384  # given to the parser at once; usual requests and answers are smaller


class Parsing(Interface):
    """A connection with input."""

    waits_turn: bool

    @property
    def has_much_input(self) -> bool:
        """Return whether it sends more than an ordinary request has."""

    def parse(self, until: float) -> bool:
        """Parse up to a reactor time in s; return whether there is more to parse."""

    def abort(self) -> None:
        """End the connection."""


class InputTurns:
    """Parses input as it arrives while that takes little time, and otherwise in turns."""

    def __init__(self, *, reactor: ReactorBase) -> None:
        self._reactor = reactor
        self._light: deque[Parsing] = deque()
        self._heavy: deque[Parsing] = deque()
        self._scheduled = False
        self._window_ends = 0.0
        self._spent_s = 0.0

    def now(self) -> float:
        """Return the reactor time in s, to which connections parse."""
        return self._reactor.seconds()

    def take(self, connection: Parsing) -> None:
        """Parse a connection's input now or in a later turn."""
        if connection.waits_turn:
            return
        now = self._reactor.seconds()
        if now >= self._window_ends:
            self._window_ends = now + WINDOW_S
            self._spent_s = 0.0
        if self._spent_s < TURN_S and not (self._heavy and connection.has_much_input):
            more = connection.parse(now + SLICE_S)
            self._spent_s += self._reactor.seconds() - now
            if not more:
                return
        self._add(connection)

    def _add(self, connection: Parsing) -> None:
        connection.waits_turn = True
        (self._heavy if connection.has_much_input else self._light).append(connection)
        if not self._scheduled:
            self._scheduled = True
            self._reactor.callLater(0.0, self._run_turn)

    def _run_turn(self) -> None:
        end = self._reactor.seconds() + TURN_S
        try:
            self._serve(self._light, end)
            self._serve(self._heavy, max(end, self._reactor.seconds() + HEAVY_S))
        finally:
            self._scheduled = bool(self._light or self._heavy)
            if self._scheduled:
                self._reactor.callLater(0.0, self._run_turn)

    def _serve(self, queue: deque[Parsing], end: float) -> None:
        for _ in range(len(queue)):
            now = self._reactor.seconds()
            if now >= end:
                return
            connection = queue.popleft()
            connection.waits_turn = False
            try:
                more = connection.parse(now + SLICE_S)
            except Exception:
                connection.abort()  # as Twisted does if an error occurs while data arrives
                raise
            if more:
                connection.waits_turn = True
                (self._heavy if connection.has_much_input else self._light).append(connection)
