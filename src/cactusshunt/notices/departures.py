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
    """When a VM learned, in reactor time (s), that a run of an upstream leaves."""

    known_since: float


class Departures:
    """Departures by upstream and run; the oldest upstreams are forgotten above ``MAX_DEPARTURES``.

    The entry in the store may lag behind the process, or come from a copy, so that what a run says
    may be recorded for another run of its name. A departure therefore counts for every run of the
    upstream, except for one that an answer has shown to stay. Nothing else ends it: an answer
    without the notice may have been made before one with it.
    """

    def __init__(self) -> None:
        self._departures: OrderedDict[str, dict[Run, Departure]] = OrderedDict()
        self._staying: dict[str, Run] = {}  # by upstream: a run that does not leave

    def find(self, run: Run) -> Departure | None:
        """Return the departure that counts for a run, ``None`` if it may be used.

        That is the first one of the upstream since one of its runs was shown to stay: later ones
        may be what the same process says again, recorded for another run.
        """
        known = self._departures.get(run.upstream)
        if not known:
            return None
        if run not in known and self._staying.get(run.upstream) == run:
            return None
        return min(known.values(), key=lambda each: each.known_since)

    def is_doubtful(self, run: Run) -> bool:
        """Return whether only another run of the upstream's name is known to leave."""
        return self.find(run) is not None and run not in self._departures[run.upstream]

    def list_all(self) -> dict[Run, Departure]:
        """Return all departures, those of the latest upstream last."""
        return {run: each for known in self._departures.values() for run, each in known.items()}

    def record(self, run: Run, departure: Departure) -> bool:
        """Record that a run leaves; return whether that is new."""
        known = self._departures.setdefault(run.upstream, {})
        if run in known:
            return False
        if self._staying.pop(run.upstream, None) == run:
            known.clear()  # what was said before, another process had said
        known[run] = departure
        if len(self._departures) > MAX_DEPARTURES:
            forgotten, _ = self._departures.popitem(last=False)
            self._staying.pop(forgotten, None)
        return True

    def record_staying(self, run: Run, sent_at: float) -> bool:
        """Record an answer of a run that does not say that it leaves; return whether that is new.

        It shows that the run stays if the request was sent after the departure was known.
        """
        if not self.is_doubtful(run):
            return False
        if sent_at <= max(each.known_since for each in self._departures[run.upstream].values()):
            return False
        self._staying[run.upstream] = run
        return True
