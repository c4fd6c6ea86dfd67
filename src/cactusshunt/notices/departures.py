"""Upstreams that have said in an answer that they leave."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

MAX_DEPARTURES = 4_096  # a bound on memory; upstreams leave some at a time


@dataclass(frozen=True, kw_only=True)
class Run:
    """One run of an upstream's process: its name, and the start that its store entry gives."""

    upstream: str
    born: int


@dataclass(frozen=True, kw_only=True)
class Departure:
    """When a VM learned that a run of an upstream leaves.

    ``known_since`` is reactor time in seconds, ``unix_ms`` the time of day.
    """

    known_since: float
    unix_ms: int


class Departures:
    """Departures by run; the oldest are forgotten above ``MAX_DEPARTURES``.

    Nothing but another start ends a departure: an answer without the notice may have been made
    before one with it, and an entry of the store may be old.
    """

    def __init__(self) -> None:
        self._departures: OrderedDict[Run, Departure] = OrderedDict()

    def find(self, run: Run) -> Departure | None:
        """Return the departure of a run, ``None`` if it has not said that it leaves."""
        return self._departures.get(run)

    def list_all(self) -> dict[Run, Departure]:
        """Return all departures, the latest last."""
        return dict(self._departures)

    def adopt(self, run: Run, born: int) -> None:
        """Take over the departure of an earlier run of an upstream that was not told apart.

        ``born`` is the Unix time in ms of the run's start that the entry has since. If the
        notice is later, the answer that had it was already the new run's.
        """
        departure = self._departures.get(run)
        if departure is not None and departure.unix_ms >= born > run.born:
            self.record(Run(upstream=run.upstream, born=born), departure)

    def record(self, run: Run, departure: Departure) -> bool:
        """Record that a run leaves; return whether that is new."""
        if run in self._departures:
            return False
        self._departures[run] = departure
        if len(self._departures) > MAX_DEPARTURES:
            self._departures.popitem(last=False)
        return True
