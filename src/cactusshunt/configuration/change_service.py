"""Answers the VMs that ask this one for changes of the store, at once or when there are some."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any
from urllib.parse import parse_qs

from twisted.internet.defer import Deferred
from twisted.internet.defer import succeed

from cactusshunt.configuration.change_feed import FeedAnswer
from cactusshunt.configuration.change_feed import FeedRefusal
from cactusshunt.configuration.change_messages import encode_changes

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.interfaces import IDelayedCall

    from cactusshunt.configuration.change_feed import ChangeFeed
    from cactusshunt.configuration.store_era import StoreEra
    from cactusshunt.http1.caller_connection import CallerConnection
    from cactusshunt.http1.caller_connection import ReceivedRequest

MAX_HELD_CALLS = 600  # a reader of 820 VMs in 3 zones has 136, or 272 if the other reader fails
ROUND_S = 0.5  # of the 3 s in which a change has to reach all VMs; for passing it on to followers
MAX_ROUND_BYTES = 180_000  # what the slowest link (5 Mbit/s) carries in 0.3 s
STALE_MARGIN_S = 0.001  # after the moment at which the view gets too old, above rounding errors
MAX_NUMBER_DIGITS = 16
JSON_HEADERS = [(b"Content-Type", b"application/json")]
REFUSAL_STATUSES = {FeedRefusal.TOO_LARGE: 413}  # 410 for all others

PollResult = FeedAnswer | FeedRefusal


@dataclass(kw_only=True, eq=False)
class _HeldCall:
    after: int
    era: int
    since: float
    result: Deferred[PollResult]
    timer: IDelayedCall | None = None

    def stop_timer(self) -> None:
        """Cancel the end of the wait."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()


class ChangeService:
    """Holds calls until the store's next answer, the end of their wait, or a refusal."""

    def __init__(self, *, reactor: Any, feed: ChangeFeed, era: StoreEra) -> None:
        self._reactor = reactor
        self._feed = feed
        self._era = era
        self._held: list[_HeldCall] = []
        self._round_began_at = 0.0
        self._round_bytes = 0
        self.closed = False
        era.on_change.append(self.publish)

    @property
    def held(self) -> int:
        """Return the number of VMs that wait for changes."""
        return len(self._held)

    def poll(self, *, after: int, era: int, wait_s: float) -> Deferred[PollResult]:
        """Return the changes after a revision, at the latest after ``wait_s``."""
        now = self._reactor.seconds()
        found = self._select(after, era)
        if isinstance(found, FeedRefusal) or found.items or wait_s <= 0.0:
            return succeed(found)
        if len(self._held) >= MAX_HELD_CALLS:
            return succeed(FeedRefusal.TOO_MANY)
        result: Deferred[PollResult] = Deferred()
        call = _HeldCall(after=after, era=era, since=now, result=result)
        # A call that waits longer than the view may be passed on is refused at that moment.
        left_s = max(0.0, self._feed.measure_left_s(now)) + STALE_MARGIN_S
        call.timer = self._reactor.callLater(min(wait_s, left_s), self._end_wait, call)
        self._held.append(call)
        return result

    def publish(self) -> None:
        """Answer the waiting calls after a read of the store, or a change of its era.

        A call that knows more than this VM waits on: it may have read the store later.
        """
        held, self._held = self._held, []
        for call in held:
            found = self._select(call.after, call.era)
            if isinstance(found, FeedAnswer) and found.revision < call.after:
                self._held.append(call)
            else:
                self._answer(call, found)

    def close(self) -> None:
        """Answer all waiting calls, and refuse all others, because the process stops."""
        self.closed = True
        self.publish()

    def handle(self, request: ReceivedRequest, connection: CallerConnection) -> None:
        """Answer the request of another VM: 200 with changes, else it reads the store itself."""
        query = _read_query(request.target)
        if query is None or request.method != b"GET":
            connection.answer(400, JSON_HEADERS, b"{}")
            return
        after, era, wait_ms = query
        result = self.poll(after=after, era=era, wait_s=wait_ms / 1000.0)
        connection.on_disconnect = self._make_drop(result)
        result.addCallback(_write_answer, connection)

    def _make_drop(self, result: Deferred[PollResult]) -> Callable[[], None]:
        def drop() -> None:
            for call in [call for call in self._held if call.result is result]:
                call.stop_timer()
                self._held.remove(call)

        return drop

    def _select(self, after: int, era: int) -> PollResult:
        if self.closed:
            return FeedRefusal.STOPPING
        now = self._reactor.seconds()
        found = self._feed.select(after=after, era=era, now=now, known_era=self._era.number)
        if isinstance(found, FeedAnswer) and found.items and not self._has_room_for(found, now):
            return FeedRefusal.TOO_LARGE
        return found

    def _has_room_for(self, answer: FeedAnswer, now: float) -> bool:
        """Return whether the changes can be sent in time, and count them if so."""
        if now - self._round_began_at >= ROUND_S:
            self._round_began_at, self._round_bytes = now, 0
        # base64 takes four bytes for three; names and numbers take about 100
        size = sum(100 + len(item.key) + 4 * len(item.value or b"") // 3 for item in answer.items)
        if self._round_bytes + size > MAX_ROUND_BYTES:
            return False
        self._round_bytes += size
        return True

    def _end_wait(self, call: _HeldCall) -> None:
        self._held.remove(call)
        call.result.callback(self._add_held_s(call, self._select(call.after, call.era)))

    def _answer(self, call: _HeldCall, found: PollResult) -> None:
        call.stop_timer()
        call.result.callback(self._add_held_s(call, found))

    def _add_held_s(self, call: _HeldCall, found: PollResult) -> PollResult:
        if isinstance(found, FeedRefusal):
            return found
        return replace(found, held_s=self._reactor.seconds() - call.since)


def _write_answer(result: PollResult, connection: CallerConnection) -> None:
    if isinstance(result, FeedRefusal):
        status = REFUSAL_STATUSES.get(result, 410)
        connection.answer(status, [(b"Content-Type", b"text/plain")], result.value.encode())
    else:
        connection.answer(200, JSON_HEADERS, encode_changes(result))


def _read_query(target: bytes) -> tuple[int, int, int] | None:
    """Return revision, era and wait in ms from a target, ``None`` if one is missing or no count."""
    query = parse_qs(target.partition(b"?")[2].decode("latin-1"))
    values = [query.get(name, [""])[0] for name in ("after", "era", "waitMs")]
    if not all(value.isdecimal() and len(value) <= MAX_NUMBER_DIGITS for value in values):
        return None
    after, era, wait_ms = map(int, values)
    return after, era, wait_ms
