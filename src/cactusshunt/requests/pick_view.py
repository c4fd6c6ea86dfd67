"""Views of the picker's choice for operators: the real choice, with request limits only read."""

from __future__ import annotations

from dataclasses import dataclass
from types import SimpleNamespace
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from cactusshunt.platform.documents import READY
from cactusshunt.requests.admission import Refusal
from cactusshunt.requests.admission import check_placement_wait
from cactusshunt.requests.upstream_picker import UpstreamPicker
from cactusshunt.routing.queued_work import estimate_first_token_ms
from cactusshunt.routing.upstream import Upstream  # noqa: TC001

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactusshunt.limits.limited_upstream import Place
    from cactusshunt.limits.request_limits import RequestLimits
    from cactusshunt.notices.upstream_notices import UpstreamNotices
    from cactusshunt.requests.fair_admission import FairAdmission
    from cactusshunt.requests.job import Job
    from cactusshunt.routing.upstream_directory import UpstreamDirectory

_PERMIT_AT_HAND = object()
NO_LOAD = "no upstream holds the model, and no load is ordered yet"


class CandidateView(msgspec.Struct, frozen=True, kw_only=True):
    """One upstream of the service: figures of the choice, and why it is passed over, if it is.

    ``expected_ms`` is the expected time to the first byte, ``None`` for services without models.
    """

    upstream: str
    availability_zone: str
    running: float
    slots: int
    pending_tokens: int
    uncached_tokens: int
    tokens_per_ms: float
    long_streams: float
    failure_share: float
    permit_wait_ms: int
    expected_ms: int | None
    passed_over: str | None


@dataclass(frozen=True, kw_only=True)
class ChoiceView:
    """The choice: an upstream, or why there is none; with ``waits`` the request would wait."""

    upstream: Upstream | None = None
    waits: bool = False
    reason: str = ""
    retry_after_s: float | None = None
    expected_ms: int | None = None


class _ReadLimits:
    """Request limits for one choice: estimates as they are, but nothing is taken or counted."""

    def __init__(self, limits: RequestLimits) -> None:
        self._limits = limits
        self.room = limits.room

    def estimate_wait_ms(self, upstream: str, priority: int, place: Place | None) -> float:
        return self._limits.estimate_wait_ms(upstream, priority, place)

    def count_held_back(self, upstream: str) -> None:
        """Count nothing."""

    def take_permit(self, upstream: str, priority: int, place: Place | None) -> Any:
        """Return whether a permit is at hand, as something or ``None``; take none."""
        return None if self.estimate_wait_ms(upstream, priority, place) else _PERMIT_AT_HAND

    def find(self, upstream: str) -> Any:
        """Return what the picker asks of a limited upstream."""
        limited = self._limits.find(upstream)
        if limited is None:
            return None
        return SimpleNamespace(
            name=upstream,
            estimate_wait_s=limited.estimate_wait_s,
            plan_return_s=lambda wanted_s, now: wanted_s,
            usage=SimpleNamespace(count_held_back=lambda: None, count_refused=lambda: None),
        )


class PickView(UpstreamPicker):
    """A picker that only looks: requests neither wait here nor take anything."""

    def __init__(
        self,
        *,
        reactor: Any,
        directory: UpstreamDirectory,
        availability_zone: str,
        limits: RequestLimits,
        notices: UpstreamNotices,
        prefer_version: Callable[[Job], str | None],
        fair_admission: FairAdmission,
    ) -> None:
        read_limits: Any = _ReadLimits(limits)
        unused: Any = None
        super().__init__(
            reactor=reactor,
            directory=directory,
            meter=unused,
            availability_zone=availability_zone,
            trigger_planning=lambda: None,
            limits=read_limits,
            notices=notices,
            prefer_version=prefer_version,
        )
        self.fair_admission = fair_admission  # of the VM's picker; a choice records nothing there

    def choose(self, job: Job) -> ChoiceView:
        """Return what the picker would choose now."""
        picked = self._choose(job)
        if picked is None:
            return self._describe_load(job)
        refusal = picked.refusal
        if refusal is not None:
            return ChoiceView(
                waits=refusal.may_wait,
                reason=refusal.reason,
                retry_after_s=round(refusal.retry_after_s, 2),
            )
        expected_ms = int(picked.expected_ms) if job.generation is not None else None
        if picked.awaits_permit is not None:
            wait_ms = self._limits.estimate_wait_ms(
                picked.awaits_permit.name, job.route.priority, None
            )
            return ChoiceView(
                upstream=picked.awaits_permit,
                waits=True,
                reason=f"request limit: a permit is expected in {wait_ms:.0f} ms",
                expected_ms=expected_ms,
            )
        return ChoiceView(
            upstream=picked.upstream,
            reason="least expected time" if job.generation is not None else "least load per slot",
            expected_ms=expected_ms,
        )

    def list_candidates(self, job: Job) -> list[CandidateView]:
        """Return all known upstreams of the request's service; those that may get it come first."""
        reasons = self._find_reasons(job)
        views = [
            self._describe(found, job, reasons.get(found.name))
            for found in self._directory.of_service(job.service)
        ]
        return sorted(
            views, key=lambda view: (view.passed_over is not None, view.expected_ms or view.running)
        )

    def _describe_load(self, job: Job) -> ChoiceView:
        now = self._now()
        expected_at = self._expected_at(job)
        refusal = check_placement_wait(
            now=now,
            waiting_since=now,
            left_ms=job.remaining_first_byte_ms(now),
            expected_at=expected_at,
        )
        if refusal is not None:
            return ChoiceView(reason=refusal.reason, retry_after_s=round(refusal.retry_after_s, 2))
        if expected_at is None:
            return ChoiceView(waits=True, reason=NO_LOAD)
        expected_ms = max(0, int((expected_at - now) * 1000))
        return ChoiceView(
            waits=True, reason="a load of the model is under way", expected_ms=expected_ms
        )

    def _describe(self, upstream: Upstream, job: Job, passed_over: str | None) -> CandidateView:
        found = self._make_candidate(upstream, job, self._now())
        expected_ms = found.permit_wait_ms + estimate_first_token_ms(
            found.work, found.tokens_per_ms
        )
        return CandidateView(
            upstream=found.name,
            availability_zone=upstream.entry.zone,
            running=found.running,
            slots=upstream.entry.slots,
            pending_tokens=int(found.pending_tokens),
            uncached_tokens=int(found.uncached_tokens),
            tokens_per_ms=round(found.tokens_per_ms, 1),
            long_streams=found.long_streams,
            failure_share=round(found.failure_share, 2),
            permit_wait_ms=int(found.permit_wait_ms),
            expected_ms=int(expected_ms) if job.generation is not None else None,
            passed_over=passed_over,
        )

    def _find_reasons(self, job: Job) -> dict[str, str]:
        """Return why upstreams are passed over, by the first step of the choice that drops them."""
        now = self._now()
        known = self._directory.of_service(job.service)
        remaining = self._list_usable(job)
        if not (remaining if job.generation is None else self._list_holders(remaining, job, now)):
            remaining = [*remaining, *self._list_last_resort(job)]
        reasons: dict[str, str] = {}
        _drop(reasons, known, remaining, lambda found: self._explain_unusable(found))
        if job.generation is not None:
            holders = self._list_holders(remaining, job, now)
            _drop(reasons, remaining, holders, lambda found: self._explain_missing(found, job))
            remaining = holders
        steps: list[tuple[Callable[[list[Upstream]], list[Upstream]], Callable[[Upstream], str]]]
        steps = [
            (
                lambda found: self._list_preferred(found, job),
                lambda _: "streams should begin at another software version now",
            ),
            (
                lambda found: [one for one in found if self._limits.room.has_room(one)],
                lambda _: "it is brittle and has no room",
            ),
            (
                lambda found: _list_or_none(self._list_unpaused(found, job)),
                lambda found: f"it wants a pause for {max(0.0, found.paused_until - now):.1f} s",
            ),
            (
                lambda found: self._prefer_healthy(found, job, now),
                lambda found: f"it rests after failures for"
                f" {max(0.0, found.failure_history.resting_until - now):.1f} s",
            ),
        ]
        for select, explain in steps:
            kept = select(remaining)
            _drop(reasons, remaining, kept, explain)
            remaining = kept
        return reasons

    def _explain_unusable(self, upstream: Upstream) -> str:
        if upstream.leaving:
            return "its answers say that it leaves"
        if upstream.entry.state != READY:
            return f"its entry says {upstream.entry.state}"
        return "its software version did not begin the stream"

    def _explain_missing(self, upstream: Upstream, job: Job) -> str:
        now = self._now()
        coming_at = upstream.held.coming.get(job.item)
        if coming_at is not None and coming_at > now:
            return f"it loads {job.item}, expected in {int((coming_at - now) * 1000)} ms"
        return f"it does not hold {job.item}"


def _list_or_none(found: list[Upstream] | Refusal) -> list[Upstream]:
    return [] if isinstance(found, Refusal) else found


def _drop(
    reasons: dict[str, str],
    before: list[Upstream],
    after: list[Upstream],
    explain: Callable[[Upstream], str],
) -> None:
    kept = {found.name for found in after}
    for found in before:
        if found.name not in kept:
            reasons[found.name] = explain(found)
