"""Decides whether and when a request that got no answer yet is sent to a second upstream.

Load patterns: with one slow upstream among sound ones, requests at the slow one are late, and a
second send to another upstream is answered sooner. In the opposite pattern all upstreams are slow
because of overload. Second sends would add to it, so none are made (docs/design/second-sends.md).

The usual times include those that other VMs report, for VMs that see few requests themselves.
"""

from __future__ import annotations

import enum
import math

from collections import OrderedDict
from collections import defaultdict
from collections import deque
from dataclasses import dataclass
from statistics import median
from typing import TYPE_CHECKING

from cactusshunt.membership.messages import AnswerTime

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

# Times are compared with the latest ones only, so that a change of the load shows within seconds.
SAMPLE_RETENTION_S = 30.0
MAX_SAMPLES = 64  # by service and size
MIN_SAMPLES = 20  # fewer say nothing about a percentile near 95
MAX_KINDS = 64  # services and sizes with samples; the least recently used one is dropped first
# Figures: docs/design/second-sends.md. A lower percentile spends more second sends for less gain.
DELAY_PERCENTILE = 0.95
# Answers that vary little would otherwise be repeated for a difference that no caller notices.
MIN_DELAY_FACTOR = 2.5  # of the median
MIN_DELAY_S = 0.02
SLOW_FRACTION = 0.5  # of the upstreams in use; if more are late, the cause is overload
# Median at all upstreams but the slowest / lowest such median lately; a larger one means overload.
LOAD_FACTOR = 2.0
# Reported times are whole ms, and a median of 0 would never double.
MIN_BASELINE_S = 0.001
BASELINE_DOUBLING_S = 300.0  # work that stays larger for some minutes is the usual one
MAX_DOUBLINGS = 30.0  # 1 ms becomes 12 days; a float overflows at 1,024 doublings (3.6 days)
SLOW_RETENTION_S = 10.0  # an upstream that was late may be sound again, which only a request shows
# Second sends that may be saved up while none is needed; several requests are often late together.
MAX_SAVED_SENDS = 5.0
MAX_REPORTED_TIMES = 32  # in one report; at most 1,400 bytes with names of 10 bytes
REPORT_COPIES = 2  # reports that list a time, since one may be lost
# Bytes a second that the times may add to the reports of a VM to all others; the design page
# (docs/design/shared-load.md) allows 1,000.
REPORT_BYTES_PER_S = 900.0
ANSWER_TIME_BYTES = 24  # of an encoded ``AnswerTime`` at most, without its two names
# Seconds of that allowance that may be saved up: those of five reports, so that a burst of answers
# is spread over them.
SAVED_REPORT_S = 1.0
MAX_WAITING_TIMES = 8  # to be reported, of each kind; the earliest are dropped as least relevant
MAX_ANSWER_MS = 600_000  # a longer time is an error of the VM that reports it
MAX_SIZE_CLASS = 63  # that of the largest token count in a message, a signed 64-bit integer
# Datagrams arrive out of order by a few reports at most; two full reports are 64 numbers.
NUMBER_WINDOW = 2 * MAX_REPORTED_TIMES
MAX_PEERS = 1_000  # whose numbers are kept; the largest deployment has 820 VMs


class Verdict(enum.Enum):
    """Whether a second send is allowed, or why not."""

    ALLOWED = "allowed"
    OFF = "the operator's share is 0, or this VM is told to stop"
    UNKNOWN_TIMES = "too few answers to say what is late"
    LITTLE_TIME = "most answers take longer than the time that is left"
    ALL_SLOW = "many upstreams are late, or most answers take longer than shortly before"
    SHARE_USED = "the operator's share is used up"


@dataclass(frozen=True, kw_only=True)
class Kind:
    """Requests whose times are compared: a service, and the size class of the request.

    The times of streams are those of their first bytes.
    """

    service: str
    size_class: int
    streams: bool = False


@dataclass(frozen=True, kw_only=True, eq=False)
class Send:
    """One send of a request to an upstream, at a reactor time in s."""

    kind: Kind
    upstream: str
    sent_at: float


@dataclass(frozen=True, kw_only=True)
class UsualTimes:
    """How long answers of a kind take lately (s), and after what time one is late."""

    median_s: float
    late_after_s: float
    samples: int


@dataclass(frozen=True, kw_only=True)
class _Baseline:
    """The lowest recent median in s, and when it was found (reactor time, s).

    It doubles every ``BASELINE_DOUBLING_S`` until a lower median replaces it.
    """

    median_s: float
    at: float

    def compute(self, now: float) -> float:
        """Return its value now."""
        doublings = min(MAX_DOUBLINGS, (now - self.at) / BASELINE_DOUBLING_S)
        return float(self.median_s * 2.0**doublings)


@dataclass(frozen=True, kw_only=True)
class _Sample:
    upstream: str
    took_s: float
    at: float


@dataclass(kw_only=True)
class _PeerNumbers:
    """Numbers of the latest times that one VM reported, and when one was new (reactor time, s)."""

    recent: set[int]
    heard_at: float

    def is_duplicate(self, number: int) -> bool:
        """Return whether a number was seen, or is too old to tell."""
        return number in self.recent or number <= max(self.recent) - NUMBER_WINDOW

    def add(self, number: int, now: float) -> None:
        """Record a new number, and forget those that are too old to tell."""
        oldest = max(self.recent | {number}) - NUMBER_WINDOW
        self.recent = {found for found in self.recent | {number} if found > oldest}
        self.heard_at = now


def compute_size_class(tokens: int) -> int:
    """Return the size class of a request: those of a class differ by less than a factor of two."""
    return max(0, tokens).bit_length()


def compute_usual_times(times_by_upstream: dict[str, list[float]]) -> UsualTimes | None:
    """Return the usual times at all upstreams but the slowest, ``None`` if too few are known.

    The slowest one is left out: where there are few upstreams, its times would otherwise determine
    the percentile. Times are in seconds.
    """
    slowest = max(times_by_upstream, key=lambda name: median(times_by_upstream[name]), default="")
    others = [name for name in times_by_upstream if name != slowest] or [slowest]
    times = sorted(time for name in others for time in times_by_upstream.get(name, ()))
    if len(times) < MIN_SAMPLES:
        return None
    median_s = median(times)
    percentile_s = times[min(len(times) - 1, math.ceil(DELAY_PERCENTILE * len(times)) - 1)]
    return UsualTimes(
        median_s=median_s,
        late_after_s=max(percentile_s, MIN_DELAY_FACTOR * median_s, MIN_DELAY_S),
        samples=len(times),
    )


class Hedging:
    """Recent times of answers at this VM and others, and what is left of the operator's share.

    ``max_share`` limits second sends to that fraction of the callers' requests; 0 is off.
    ``first_number`` is that of the first time reported to other VMs: larger than all numbers that
    an earlier process of this VM used, for example the start of the process in ms of Unix time.
    ``serves`` tells whether an upstream of a name is one of a service, for times of other VMs.
    """

    def __init__(
        self,
        *,
        max_share: float = 0.0,
        first_number: int = 0,
        serves: Callable[[str, str], bool] = lambda upstream, service: True,
    ) -> None:
        self._max_share = max_share
        self._serves = serves
        self._next_number = first_number
        self._services: frozenset[str] = frozenset()
        # Times to be reported; kinds take turns, so that frequent ones leave room for others.
        self._waiting: OrderedDict[Kind, deque[_Sample]] = OrderedDict()
        self._reported_once: list[tuple[Kind, _Sample, int]] = []  # each with its number
        # Reactor time (s) from which REPORT_BYTES_PER_S allows another time to be reported.
        self._next_report_at = 0.0
        self._peer_numbers: OrderedDict[str, _PeerNumbers] = OrderedDict()
        self._stopping = False
        self._saved = 0.0  # second sends that the operator's share allows now
        self._samples: OrderedDict[Kind, deque[_Sample]] = OrderedDict()
        self._baselines: dict[Kind, _Baseline] = {}
        self._open: defaultdict[str, set[Send]] = defaultdict(set)  # by service
        self._late_at: defaultdict[str, dict[str, float]] = defaultdict(dict)  # by upstream

    @property
    def enabled(self) -> bool:
        """Return whether there are second sends at all."""
        return self._max_share > 0.0 and not self._stopping

    def set_share(self, max_share: float) -> None:
        """Apply the operator's share; a lower one also cuts what was saved up."""
        if max_share < self._max_share:
            self._saved = 0.0
        self._max_share = max_share
        if max_share <= 0.0:
            self._waiting.clear()
            self._reported_once.clear()

    def set_services(self, services: Iterable[str]) -> None:
        """Apply the services of the configuration; other VMs' times of others are ignored."""
        self._services = frozenset(services)

    def begin_stop(self) -> None:
        """Send nothing a second time from now on, because this VM is told to stop."""
        self._stopping = True

    def count_request(self) -> None:
        """Count a caller's request, which allows its part of a second send."""
        self._saved = min(MAX_SAVED_SENDS, self._saved + self._max_share)

    def begin(self, send: Send) -> None:
        """Record that a request is sent."""
        self._open[send.kind.service].add(send)

    def end(self, send: Send, now: float, *, took_s: float | None, answered: bool) -> None:
        """Record the end of a send; ``took_s`` is ``None`` if it says nothing of the usual times.

        One that was cancelled before its answer counts only if it was late by then. Its time is a
        lower bound, so that an earlier one does not show whether the upstream is slow.
        """
        service = send.kind.service
        self._open[service].discard(send)
        usual = self.find_usual_times(send.kind, now)
        is_late = took_s is not None and usual is not None and took_s >= usual.late_after_s
        if took_s is None or not (answered or is_late):
            return
        sample = _Sample(upstream=send.upstream, took_s=took_s, at=now)
        self._record(send.kind, sample, usual, now)
        if self._max_share > 0.0:
            self._waiting.setdefault(send.kind, deque(maxlen=MAX_WAITING_TIMES)).append(sample)
            if len(self._waiting) > MAX_KINDS:
                self._waiting.popitem(last=False)

    def _record(self, kind: Kind, sample: _Sample, usual: UsualTimes | None, now: float) -> None:
        """Record a time; ``usual`` are the usual times without it."""
        late_at = self._late_at[kind.service]
        if sample.at >= late_at.get(sample.upstream, -math.inf):
            if usual is not None and sample.took_s >= usual.late_after_s:
                self._forget_late(kind.service, now)
                late_at[sample.upstream] = sample.at
            else:
                late_at.pop(sample.upstream, None)
        samples = self._samples.setdefault(kind, deque(maxlen=MAX_SAMPLES))
        self._samples.move_to_end(kind)
        samples.append(sample)
        if len(self._samples) > MAX_KINDS:
            forgotten, _ = self._samples.popitem(last=False)
            self._baselines.pop(forgotten, None)
        if usual is not None:
            known = self._baselines.get(kind)
            lowest_s = max(usual.median_s, MIN_BASELINE_S)
            if known is None or lowest_s < known.compute(now):
                self._baselines[kind] = _Baseline(median_s=lowest_s, at=now)

    def list_unreported(
        self, now: float, *, receivers: int, status_bytes: int = 0
    ) -> list[AnswerTime]:
        """Return the times that the next report to other VMs lists, each in two reports.

        As many new ones are listed as the bytes allow that go to all ``receivers``. Which ones does
        not depend on how long they took, as the receivers compute percentiles of them.
        ``status_bytes`` are those of a report that is sent for the times alone.
        """
        listed, self._reported_once = self._reported_once, []
        room = MAX_REPORTED_TIMES - len(listed)
        if receivers and self._waiting and room and now >= self._next_report_at:
            sent_bytes = status_bytes
            saved_from = max(self._next_report_at, now - SAVED_REPORT_S)
            while self._waiting and len(self._reported_once) < room:
                kind, sample = self._take_waiting()
                if now - sample.at >= SAMPLE_RETENTION_S:
                    continue
                self._reported_once.append((kind, sample, self._next_number))
                self._next_number += 1
                names = len(kind.service.encode()) + len(sample.upstream.encode())
                sent_bytes += ANSWER_TIME_BYTES + names
                cost_s = REPORT_COPIES * receivers * sent_bytes / REPORT_BYTES_PER_S
                self._next_report_at = saved_from + cost_s
                if now < self._next_report_at:
                    break
        return [
            AnswerTime(
                service=kind.service,
                size_class=kind.size_class,
                streams=kind.streams,
                upstream=sample.upstream,
                took_ms=round(sample.took_s * 1000.0),
                age_ms=int((now - sample.at) * 1000.0),
                number=number,
            )
            for kind, sample, number in listed + self._reported_once
        ]

    def _take_waiting(self) -> tuple[Kind, _Sample]:
        kind, samples = self._waiting.popitem(last=False)
        sample = samples.pop()
        if samples:
            self._waiting[kind] = samples
        return kind, sample

    def record_peer_answer(self, vm: str, answer: AnswerTime, now: float) -> None:
        """Record a time that another VM reported, unless it is invalid, too old or a duplicate."""
        is_valid = (
            answer.service in self._services
            and self._serves(answer.upstream, answer.service)
            and 0 <= answer.size_class <= MAX_SIZE_CLASS
            and 0 <= answer.took_ms <= MAX_ANSWER_MS
            and 0 <= answer.age_ms < SAMPLE_RETENTION_S * 1000.0
        )
        if self._max_share <= 0.0 or not is_valid or not self._is_new(vm, answer.number, now):
            return
        kind = Kind(service=answer.service, size_class=answer.size_class, streams=answer.streams)
        sample = _Sample(
            upstream=answer.upstream,
            took_s=answer.took_ms / 1000.0,
            at=now - answer.age_ms / 1000.0,
        )
        self._record(kind, sample, self.find_usual_times(kind, now), now)

    def _is_new(self, vm: str, number: int, now: float) -> bool:
        """Return whether a VM's number was not seen, and remember it.

        After a retention period without a new one any number counts: the clock of a VM that began
        again may have been set back.
        """
        known = self._peer_numbers.get(vm)
        if known is None or now - known.heard_at >= SAMPLE_RETENTION_S:
            known = _PeerNumbers(recent=set(), heard_at=now)
            self._peer_numbers[vm] = known
        elif known.is_duplicate(number):
            return False
        known.add(number, now)
        self._peer_numbers.move_to_end(vm)
        if len(self._peer_numbers) > MAX_PEERS:
            self._peer_numbers.popitem(last=False)
        return True

    def find_usual_times(self, kind: Kind, now: float) -> UsualTimes | None:
        """Return how long answers take lately, ``None`` if too few are known."""
        times: dict[str, list[float]] = {}
        for sample in self._recent(kind, now):
            times.setdefault(sample.upstream, []).append(sample.took_s)
        return compute_usual_times(times)

    def list_late(self, service: str, now: float) -> frozenset[str]:
        """Return the upstreams that a second send avoids: late lately, or with a request late."""
        self._forget_late(service, now)
        late = set(self._late_at[service])
        usual = {kind: self.find_usual_times(kind, now) for kind in self._list_open_kinds(service)}
        for send in self._open[service]:
            found = usual[send.kind]
            if found is not None and now - send.sent_at >= found.late_after_s:
                late.add(send.upstream)
        return frozenset(late)

    def _forget_late(self, service: str, now: float) -> None:
        late_at = self._late_at[service]
        for name in [name for name, at in late_at.items() if now - at >= SLOW_RETENTION_S]:
            del late_at[name]

    def decide(self, send: Send, now: float, *, left_s: float) -> Verdict:
        """Return whether a request that is late may be sent again; ``left_s`` is its time left."""
        if not self.enabled:
            return Verdict.OFF
        usual = self.find_usual_times(send.kind, now)
        if usual is None:
            return Verdict.UNKNOWN_TIMES
        if left_s < usual.median_s:
            return Verdict.LITTLE_TIME
        baseline = self._baselines.get(send.kind)
        if baseline is not None and usual.median_s > LOAD_FACTOR * baseline.compute(now):
            return Verdict.ALL_SLOW
        late = self.list_late(send.kind.service, now)
        in_use = late | self._list_in_use(send.kind.service, now)
        if len(late - {send.upstream}) + 1 > SLOW_FRACTION * len(in_use | {send.upstream}):
            return Verdict.ALL_SLOW
        return Verdict.ALLOWED if self._saved >= 1.0 else Verdict.SHARE_USED

    def spend(self) -> None:
        """Count a second send."""
        self._saved -= 1.0

    def _list_open_kinds(self, service: str) -> set[Kind]:
        return {send.kind for send in self._open[service]}

    def _list_in_use(self, service: str, now: float) -> frozenset[str]:
        kinds = [kind for kind in self._samples if kind.service == service]
        recent = {sample.upstream for kind in kinds for sample in self._recent(kind, now)}
        return frozenset(recent | {send.upstream for send in self._open[service]})

    def _recent(self, kind: Kind, now: float) -> Iterable[_Sample]:
        samples = self._samples.get(kind, ())
        return [sample for sample in samples if now - sample.at < SAMPLE_RETENTION_S]
