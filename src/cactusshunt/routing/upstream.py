"""One upstream as this VM knows it: its entry, its models, its work and its failures."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from cactusshunt.platform.boot import split_address
from cactusshunt.platform.documents import READY
from cactusshunt.routing.failure_history import FailureHistory
from cactusshunt.routing.prompt_cache import PromptCache
from cactusshunt.routing.queued_work import DEFAULT_TOKENS_PER_MS
from cactusshunt.routing.queued_work import update_prefill_rate
from cactusshunt.routing.reported_load import WorkFigure
from cactusshunt.routing.reported_load import choose_newer
from cactusshunt.routing.reported_load import compute_slowdown

if TYPE_CHECKING:
    from collections.abc import Container

    from cactusshunt.http1.connection_pool import Address
    from cactusshunt.membership.messages import EngineWork
    from cactusshunt.platform.documents import UpstreamEntry
    from cactusshunt.routing.queued_work import QueuedWork

PEER_REPORT_MAX_AGE_S = 1.5  # at least; two intervals of a VM's reports if these are longer
LOAD_HEADER_MAX_AGE_S = 0.5


@dataclass(frozen=True, kw_only=True)
class Attempt:
    """One request at an upstream: uncached tokens, priority, reactor time of sending.

    ``long_running`` means that generating the answer takes longer than the latency objective.
    """

    tokens: float
    priority: int
    sent_at: float
    long_running: bool = False


@dataclass(frozen=True, kw_only=True)
class HeldItems:
    """Models and adapters that an engine holds or loads, as last reported.

    ``born`` identifies the start of the engine's process. ``order`` is the order holder's fencing
    token and the number of its update, ``received_at`` when that arrived; ``version`` counts the
    changes applied here. ``models`` maps models to their adapters, ``coming`` maps items that are
    being loaded to the time when they are expected. Times are reactor time in seconds.
    """

    born: int = 0
    order: tuple[int, int] = (0, 0)
    version: int = 0
    received_at: float = -1e9
    models: dict[str, frozenset[str]] = field(default_factory=dict)
    coming: dict[str, float] = field(default_factory=dict)

    def holds(self, model: str, adapter: str, now: float) -> bool:
        """Return whether the engine holds the model, and the adapter unless it is empty."""
        adapters = self.models.get(model)
        if adapters is None or not adapter:
            return adapters is not None
        # An adapter is in ``models`` once ordered, and counts as held at its expected time.
        return adapter in adapters and self.coming.get(f"{model}/{adapter}", 0.0) <= now


class Upstream:
    """Mutable record of an upstream; ``routing.choice`` gets copies of its figures.

    ``missing_at_version`` maps items that the upstream did not hold according to its answer (421)
    to ``held.version`` at that time: they count as missing until the next change of ``held``.
    Names with ``own``, ``running`` and ``cache`` concern this VM's requests, not those of its
    peers. Long streams are requests whose generation takes longer than the latency objective.
    """

    def __init__(self, *, name: str, entry: UpstreamEntry) -> None:
        self.name = name
        self.entry = entry
        self.address: Address = split_address(entry.address)
        self.removed_at: float | None = None
        self.told_gone = False  # another VM has read that its entry was removed, this one has not
        self.leaving = False  # an answer of this start, or perhaps of it, said so
        self.paused_until = 0.0  # it wants no request of this VM or another one
        self.request_limit_per_s: float | None = None  # of all VMs together
        self.turned_away_until = 0.0  # rest of a brittle upstream that turned a request away
        self.held = HeldItems()
        self.missing_at_version: dict[str, int] = {}
        self.failure_history = FailureHistory()
        self.cache = PromptCache()
        self._own_tokens_per_ms: float | None = None
        self._own_without_first_token: set[Attempt] = set()
        self._own_running = 0
        self._own_long_streams = 0
        # of each VM or zone: when its report came, until when it counts, and what it says
        self._peer_work: dict[str, tuple[float, float, EngineWork]] = {}
        self._reported_load: tuple[float, int, int] | None = None
        self.own_figure: WorkFigure | None = None  # from answers to this VM
        self._figure: WorkFigure | None = None  # the latest of all VMs
        self.load_fault_logged = False

    @property
    def ready(self) -> bool:
        """Return whether the upstream accepts new requests, by its entry and by its answers."""
        return self.entry.state == READY and not self.leaving

    @property
    def software_version(self) -> str:
        """Return the version of the upstream's software, empty if its entry names none."""
        return self.entry.software_version

    @property
    def running(self) -> int:
        """Return the number of this VM's requests at the upstream."""
        return self._own_running

    @property
    def may_have_work(self) -> bool:
        """Return whether this VM or a peer may have something to report on the upstream."""
        return bool(self._own_running or self._peer_work) or self.own_figure is not None

    @property
    def own_long_streams(self) -> int:
        """Return the number of this VM's long streams at the upstream."""
        return self._own_long_streams

    def long_streams(self, now: float) -> int:
        """Return the number of all VMs' long streams, as last reported."""
        return self._own_long_streams + sum(
            work.long_streams for _, work in self._recent_peer_work(now)
        )

    @property
    def rate(self) -> float:
        """Return the usual prefill rate in tokens per ms: the mean of this VM's and its peers'."""
        peer_rates = [work.tokens_per_s / 1000.0 for _, _, work in self._peer_work.values()]
        rates = [rate for rate in (self._own_tokens_per_ms, *peer_rates) if rate]
        return sum(rates) / len(rates) if rates else DEFAULT_TOKENS_PER_MS

    def own_tokens_per_s(self) -> int:
        """Return the prefill rate in tokens per s as this VM measured it, 0 if it measured none."""
        return int(self._own_tokens_per_ms * 1000.0) if self._own_tokens_per_ms is not None else 0

    def learn_rate_from_first_token(self, work: QueuedWork, took_ms: float, now: float) -> None:
        """Update the prefill rate from one request's time to its first token."""
        previous_tokens_per_ms = (
            self._own_tokens_per_ms if self._own_tokens_per_ms is not None else self.rate
        )
        self._own_tokens_per_ms = update_prefill_rate(
            previous_tokens_per_ms, work, took_ms, self.slowdown(now)
        )

    def learn_rate_without_token(self, work: QueuedWork, took_ms: float, now: float) -> None:
        """Lower the prefill rate after a request that ended without a first token."""
        previous_tokens_per_ms = (
            self._own_tokens_per_ms if self._own_tokens_per_ms is not None else self.rate
        )
        self._own_tokens_per_ms = min(
            previous_tokens_per_ms,
            update_prefill_rate(previous_tokens_per_ms, work, took_ms, self.slowdown(now)),
        )

    def holds(self, model: str, adapter: str, now: float) -> bool:
        """Return whether the upstream holds the items, unless it answered that it does not."""
        item = f"{model}/{adapter}" if adapter else model
        if self.missing_at_version.get(item, -1) >= self.held.version:
            return False
        return self.held.holds(model, adapter, now)

    def begin(self, attempt: Attempt) -> None:
        """Count a request that was sent."""
        self._own_without_first_token.add(attempt)
        self._own_running += 1
        self._own_long_streams += attempt.long_running

    def record_first_token(self, attempt: Attempt) -> None:
        """Stop counting a request's tokens as pending; its first token has arrived."""
        self._own_without_first_token.discard(attempt)

    def end(self, attempt: Attempt) -> None:
        """Count a request's end."""
        self._own_without_first_token.discard(attempt)
        self._own_running -= 1
        self._own_long_streams -= attempt.long_running

    def own_pending_tokens(self) -> dict[int, int]:
        """Return the tokens of this VM's requests without a first token, by priority."""
        pending: dict[int, int] = {}
        for attempt in self._own_without_first_token:
            pending[attempt.priority] = pending.get(attempt.priority, 0) + int(attempt.tokens)
        return pending

    def pending_tokens(self, priority: int, now: float) -> float:
        """Return the queued tokens of all VMs at the same or a more urgent priority.

        The tokens that the upstream has processed since a peer's report are subtracted from those
        reported. The upstream's rate is divided among the reports in proportion to their tokens. No
        report gets below 0, so that an old report of a VM that ended does not reduce newer ones.
        """
        own = sum(
            attempt.tokens
            for attempt in self._own_without_first_token
            if attempt.priority <= priority
        )
        reports = [
            (
                (now - received_at) * 1000.0,
                sum(
                    count
                    for queued_priority, count in work.pending.items()
                    if queued_priority <= priority
                ),
            )
            for received_at, work in self._recent_peer_work(now)
        ]
        reported = sum(tokens for _, tokens in reports)
        if not reported:
            return own
        share_per_ms = self.rate / self.slowdown(now) / reported
        return own + sum(
            tokens * max(0.0, 1.0 - age_ms * share_per_ms) for age_ms, tokens in reports
        )

    def total_running(self, now: float) -> float:
        """Return the larger of the numbers of requests that all VMs and the upstream reported."""
        total = self._own_running + sum(work.running for _, work in self._recent_peer_work(now))
        if self._reported_load is not None and now - self._reported_load[0] < LOAD_HEADER_MAX_AGE_S:
            return max(total, self._reported_load[1] + self._reported_load[2])
        return total

    def record_peer_work(
        self,
        vm: str,
        work: EngineWork | None,
        now: float,
        max_age_s: float = PEER_REPORT_MAX_AGE_S,
    ) -> None:
        """Record another VM's report on its work here; ``None`` means no work."""
        if work is None:
            self._peer_work.pop(vm, None)
        else:
            self._peer_work[vm] = (now, now + max_age_s, work)
            if work.work_percent:
                self._figure = choose_newer(
                    self._figure,
                    WorkFigure(
                        percent=float(work.work_percent),
                        observed_at=now - max(0, work.work_percent_age_ms) / 1000.0,
                    ),
                )

    def list_peer_work(self, vms: Container[str], now: float) -> list[EngineWork]:
        """Return the recent reports of some VMs on their work here."""
        return [
            work
            for vm, (_, counts_until, work) in self._peer_work.items()
            if vm in vms and now < counts_until
        ]

    def record_load(self, running: int, waiting: int, now: float) -> None:
        """Record the load that the upstream reported in an answer's header."""
        self._reported_load = (now, running, waiting)

    def record_work_percent(self, percent: float, now: float) -> None:
        """Record how long work takes at the upstream's machine according to an answer's header."""
        self._figure = self.own_figure = WorkFigure(percent=percent, observed_at=now)

    def slowdown(self, now: float) -> float:
        """Return how many times as long as usual work is expected to take at the upstream."""
        return compute_slowdown(self._figure, now)

    def reset_after_restart(self) -> None:
        """Forget the models, failures and own rate of the process before the restart."""
        self.held = HeldItems()
        self.missing_at_version = {}
        self.cache.clear()
        self.failure_history = FailureHistory()
        self._own_tokens_per_ms = None
        self.own_figure = self._figure = None

    def _recent_peer_work(self, now: float) -> list[tuple[float, EngineWork]]:
        """Return the peers' reports that are not too old, with the time of each."""
        return [
            (received_at, work)
            for received_at, counts_until, work in self._peer_work.values()
            if now < counts_until
        ]
