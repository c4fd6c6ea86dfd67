"""One upstream as this VM knows it: its entry, its holdings, its work and its failures."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from cactusshunt.platform.boot import split_address
from cactusshunt.platform.documents import READY
from cactusshunt.routing.failure_history import FailureHistory
from cactusshunt.routing.prompt_cache import PromptCache
from cactusshunt.routing.queued_work import DEFAULT_TOKENS_PER_MS
from cactusshunt.routing.queued_work import observe_rate

if TYPE_CHECKING:
    from cactusshunt.http1.connection_pool import Address
    from cactusshunt.membership.messages import EngineWork
    from cactusshunt.platform.documents import EngineEntry
    from cactusshunt.routing.queued_work import QueuedWork

PEER_WORD_S = 1.5  # after which a VM's word about its work counts no more
REPORT_WORD_S = 0.5  # after which a load header counts no more


@dataclass(frozen=True, kw_only=True)
class Attempt:
    """One request at an upstream: uncached tokens, priority, time of sending.

    ``lasts_long`` tells of a stream that goes on for longer than its objective to the first byte.
    """

    tokens: float
    priority: int
    sent_at: float
    lasts_long: bool = False


@dataclass(frozen=True, kw_only=True)
class HeldItems:
    """Models with their adapters in one start of an engine, and what is coming.

    ``order`` is the holder's token and the number of its word; ``version`` counts the words taken.
    """

    born: int = 0
    order: tuple[int, int] = (0, 0)
    version: int = 0
    said_at: float = -1e9
    models: dict[str, frozenset[str]] = field(default_factory=dict)
    coming: dict[str, float] = field(default_factory=dict)

    def holds(self, model: str, adapter: str, now: float) -> bool:
        """Tell whether a request for the model, and its adapter if any, can run."""
        adapters = self.models.get(model)
        if adapters is None or not adapter:
            return adapters is not None
        return adapter in adapters and self.coming.get(f"{model}/{adapter}", 0.0) <= now


class Upstream:
    """Mutable record; decisions take numbers from it and never change it."""

    def __init__(self, *, name: str, entry: EngineEntry) -> None:
        self.name = name
        self.entry = entry
        self.address: Address = split_address(entry.address)
        self.removed_at: float | None = None
        self.held = HeldItems()
        self.missing: dict[str, int] = {}
        self.failure_history = FailureHistory()
        self.cache = PromptCache()
        self._own_rate: float | None = None
        self._waiting: set[Attempt] = set()
        self._running = 0
        self._long_streams = 0
        self._peer_work: dict[str, tuple[float, EngineWork]] = {}
        self._reported: tuple[float, int, int] | None = None

    @property
    def ready(self) -> bool:
        """Tell whether the upstream takes new work by its own word."""
        return self.entry.state == READY

    @property
    def running(self) -> int:
        """Return this VM's requests at the upstream."""
        return self._running

    @property
    def own_long_streams(self) -> int:
        """Return this VM's long streams at the upstream."""
        return self._long_streams

    def long_streams(self, now: float) -> int:
        """Return the long streams of all VMs, as last heard."""
        return self._long_streams + sum(work.long_streams for _, work in self._heard(now))

    @property
    def rate(self) -> float:
        """Return the prefill rate in tokens a ms, as seen here and by peers that work with it."""
        seen = [work.tokens_per_s / 1000.0 for _, work in self._peer_work.values()]
        rates = [rate for rate in (self._own_rate, *seen) if rate]
        return sum(rates) / len(rates) if rates else DEFAULT_TOKENS_PER_MS

    def own_tokens_per_s(self) -> int:
        """Return the prefill rate as this VM saw it, 0 if it saw none."""
        return int(self._own_rate * 1000.0) if self._own_rate is not None else 0

    def note_first_token_after(self, work: QueuedWork, took_ms: float) -> None:
        """Learn the prefill rate from one request's time to its first token."""
        known = self._own_rate if self._own_rate is not None else self.rate
        self._own_rate = observe_rate(known, work, took_ms)

    def note_no_token_for(self, work: QueuedWork, took_ms: float) -> None:
        """Learn from a request that ended without a first token: the rate is lower than that."""
        known = self._own_rate if self._own_rate is not None else self.rate
        self._own_rate = min(known, observe_rate(known, work, took_ms))

    def holds(self, model: str, adapter: str, now: float) -> bool:
        """Tell whether the items are there, unless the upstream denied it since."""
        item = f"{model}/{adapter}" if adapter else model
        if self.missing.get(item, -1) >= self.held.version:
            return False
        return self.held.holds(model, adapter, now)

    def begin(self, attempt: Attempt) -> None:
        """Count a request that was sent."""
        self._waiting.add(attempt)
        self._running += 1
        self._long_streams += attempt.lasts_long

    def note_first_token(self, attempt: Attempt) -> None:
        """Count a request whose prompt has been read."""
        self._waiting.discard(attempt)

    def end(self, attempt: Attempt) -> None:
        """Count a request's end."""
        self._waiting.discard(attempt)
        self._running -= 1
        self._long_streams -= attempt.lasts_long

    def own_pending_tokens(self) -> dict[int, int]:
        """Return this VM's tokens that wait for their first token, by priority."""
        pending: dict[int, int] = {}
        for attempt in self._waiting:
            pending[attempt.priority] = pending.get(attempt.priority, 0) + int(attempt.tokens)
        return pending

    def pending_tokens(self, priority: int, now: float) -> float:
        """Return the tokens ahead of a request of a priority, of all VMs as last heard."""
        total = 0.0
        for attempt in self._waiting:
            if attempt.priority <= priority:
                total += attempt.tokens
        rate = self.rate
        for heard_at, work in self._heard(now):
            tokens = sum(count for rank, count in work.pending.items() if rank <= priority)
            total += max(0.0, tokens - (now - heard_at) * 1000.0 * rate)
        return total

    def total_running(self, now: float) -> float:
        """Return the requests of all VMs, as last heard or as the upstream said."""
        total = self._running + sum(work.running for _, work in self._heard(now))
        if self._reported is not None and now - self._reported[0] < REPORT_WORD_S:
            return max(total, self._reported[1] + self._reported[2])
        return total

    def record_peer_work(self, vm: str, work: EngineWork | None, now: float) -> None:
        """Take another VM's word about its work here; ``None`` means none."""
        if work is None:
            self._peer_work.pop(vm, None)
        else:
            self._peer_work[vm] = (now, work)

    def take_load(self, running: int, waiting: int, now: float) -> None:
        """Take the load that the upstream put on an answer."""
        self._reported = (now, running, waiting)

    def forget_state(self) -> None:
        """Forget what a start of the upstream held and learnt."""
        self.held = HeldItems()
        self.missing = {}
        self.cache.clear()
        self.failure_history = FailureHistory()
        self._own_rate = None

    def _heard(self, now: float) -> list[tuple[float, EngineWork]]:
        """Return the peers' words that still count, with the time of each."""
        return [word for word in self._peer_work.values() if now - word[0] < PEER_WORD_S]
