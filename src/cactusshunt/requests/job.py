"""State of one caller's request while it is handled."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from cactusshunt.platform import headers as names
from cactusshunt.routing.queued_work import DECODE_STEP_MS

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactusshunt.customers.customer import Customer
    from cactusshunt.http1.caller_connection import CallerConnection
    from cactusshunt.http1.caller_connection import ReceivedRequest
    from cactusshunt.notices.departures import Run
    from cactusshunt.permits.permit_pool import Permit
    from cactusshunt.platform.documents import Route
    from cactusshunt.platform.headers import Headers
    from cactusshunt.platform.model_headers import GenerationRequest
    from cactusshunt.requests.answer_sink import AnswerSink
    from cactusshunt.requests.hedging import Send
    from cactusshunt.requests.outcome import Outcome


@dataclass(frozen=True, kw_only=True)
class PermitWait:
    """A wait for a permit: the upstream, the place among those that wait, begin and latest end.

    ``admitted`` means that the issuer's answer showed that the permit comes in time.
    """

    upstream: str
    place: tuple[int, int] | None
    began_at: float
    ends_at: float
    admitted: bool = False


@dataclass(kw_only=True, eq=False)
class Job:
    """A request with its route, its deadline, and the outcomes of its attempts.

    ``deadline`` is the reactor time (s) by which it is answered; ``done`` means that the answer is
    settled; ``running`` means that an attempt was sent whose outcome is still open; ``resumed``
    means that the latest attempt continues a stream of which the caller has a part.
    ``first_byte_at`` is when the first byte of an answer's body arrived in any attempt, ``None``
    before; ``attempt_first_byte_at`` is the same for the latest attempt, 0 before.
    ``failed_upstreams`` are the runs of upstreams that failed it; if it may be repeated and no
    other upstream can take it, they may get it again although they are excluded.
    ``permit_wait`` is set while the request waits for a permit of a limited upstream.
    ``probe_upstreams`` are the only ones to send it to if it may crash its upstream, else ``None``;
    ``is_detour`` means that another VM passed it on; ``unreached`` counts connections to upstreams
    that failed for it; ``digest`` identifies what the caller sent, once it is needed.
    ``attempt_version`` is the software version of the latest attempt's upstream, ``None`` if it is
    not known; ``stream_version`` is the only one at which the stream may go on, ``None`` while it
    has not begun. ``passed_on`` means that another VM may have begun it. ``is_second`` means that
    this is the second send of another job, ``superseded`` that the other of two was answered first;
    ``send`` is the attempt whose time is recorded for second sends, ``None`` once it is.
    ``customer`` is whose request it is, ``None`` without customers and on public routes, and
    ``key_digest`` the digest of the key that the caller sent, if it is of use to other VMs.
    """

    request: ReceivedRequest
    connection: CallerConnection
    route: Route
    service: str
    generation: GenerationRequest | None
    request_id: bytes
    headers: Headers
    deadline: float
    sink: AnswerSink
    outcomes: list[Outcome] = field(default_factory=list)
    excluded_upstreams: set[str] = field(default_factory=set)
    failed_upstreams: set[Run] = field(default_factory=set)
    done: bool = False
    running: bool = False
    attempt_first_byte_at: float = 0.0
    on_timeout: Callable[[], None] | None = None
    retry_after_s: float = 0.3
    last_sent_at: float | None = None
    resumed: bool = False
    first_byte_at: float | None = None
    permit_wait: PermitWait | None = None
    probe_upstreams: frozenset[str] | None = None
    is_detour: bool = False
    unreached: int = 0
    digest: str | None = None
    attempt_version: str | None = None
    stream_version: str | None = None
    passed_on: bool = False
    is_second: bool = False
    superseded: bool = False
    send: Send | None = None
    customer: Customer | None = None
    key_digest: str = ""
    quota_permit: Permit | None = None

    @property
    def takes_up(self) -> bool:
        """Return whether the caller continues a stream of which it has a part."""
        last_event = names.find_header(self.request.headers, names.LAST_EVENT_ID)
        return self.route.can_resume and last_event is not None

    @property
    def begun_by(self) -> bytes:
        """Return the ID of the attempt that began a stream which is taken up, if it is named."""
        return names.find_header(self.request.headers, names.RESUMES) or b""

    @property
    def may_go_on(self) -> bool:
        """Return whether a stream that broke off may be resumed within the same answer."""
        version_is_known = self.stream_version is not None
        return self.route.can_resume and bool(self.sink.events.last_id) and version_is_known

    @property
    def caller(self) -> bytes:
        """Return what identifies the caller, which stays when it connects from elsewhere.

        It is the customer's name, which other VMs know too, or the credentials that are forwarded.
        """
        if self.customer is not None:
            return self.customer.name.encode()
        return names.find_header(self.headers, names.AUTHORIZATION) or b""

    @property
    def customer_name(self) -> str:
        """Return the name of the customer, empty without one, for logs and metrics."""
        return "" if self.customer is None else self.customer.name

    @property
    def repeatable(self) -> bool:
        """Return whether the request may be sent again after it may have run."""
        if self.route.streams:
            return self.route.can_resume
        return self.route.repeatable

    @property
    def cancellable(self) -> bool:
        """Return whether an attempt is cancelled when the caller disconnects or time is up."""
        return self.route.streams or self.route.repeatable

    @property
    def kind(self) -> str:
        """Return ``streaming``, ``idempotent`` or ``non_idempotent``, for logs and metrics."""
        if self.route.streams:
            return "streaming"
        return "idempotent" if self.route.repeatable else "non_idempotent"

    @property
    def long_running(self) -> bool:
        """Return whether generating its tokens takes longer than the latency objective."""
        if self.generation is None:
            return False
        return self.generation.output_tokens * DECODE_STEP_MS > self.route.target_latency_ms

    @property
    def item(self) -> str:
        """Return ``model`` or ``model/adapter``; empty for a request without a model."""
        if self.generation is None:
            return ""
        if self.generation.adapter:
            return f"{self.generation.model}/{self.generation.adapter}"
        return self.generation.model

    def left_ms(self, now: float) -> float:
        """Return the time until the deadline in ms."""
        return max(0.0, (self.deadline - now) * 1000.0)

    def remaining_first_byte_ms(self, now: float) -> float:
        """Return the time in ms for which the caller still waits for a first byte."""
        left = self.left_ms(now)
        if not self.route.streams:
            return left
        waited = (now - self.request.arrived_at) * 1000.0
        return min(left, max(0.0, self.route.caller_silence_timeout_ms - waited))
