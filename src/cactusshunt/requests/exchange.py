"""One exchange of a caller's request with an upstream, or with the VM that passes it on."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from cactusshunt.http1.upstream_connection import ExchangeEnd
    from cactusshunt.http1.upstream_connection import UpstreamConnection
    from cactusshunt.platform.headers import Headers
    from cactusshunt.requests.job import Job

# Upstreams stop work at their deadline; what still arrives after this time is no answer.
LATE_ANSWER_S = 2.0
# How long an answer is awaited after that of an earlier request came, as a multiple of the latency
# objective.
STRAY_WAIT_FACTOR = 4.0
METHODS_USUALLY_WITHOUT_BODY = (b"GET", b"HEAD", b"DELETE")  # if empty, sent without Content-Length


def count_body_bytes(job: Job) -> int | None:
    """Return the length to send with a request's body, ``None`` to send none."""
    has_body = job.request.body or job.request.method not in METHODS_USUALLY_WITHOUT_BODY
    return len(job.request.body) if has_body else None


def prepare_exchange(job: Job, now: float) -> None:
    """Reset what a request keeps of its latest attempt."""
    job.last_sent_at = now
    job.resumed = job.sink.forwarding_started
    job.sink.reset()
    job.attempt_first_byte_at = 0.0


async def exchange(
    reactor: Any, job: Job, connection: UpstreamConnection, headers: Headers
) -> ExchangeEnd:
    """Send a prepared request and receive its answer into ``job.sink``.

    It is cancelled when its caller disconnects, if it may be, and some time after its deadline.
    """
    if job.cancellable:
        job.connection.on_disconnect = connection.cancel
    job.running = True
    stray_timers: list[Any] = []
    wait_s = job.route.target_latency_ms * STRAY_WAIT_FACTOR / 1000.0
    job.sink.waits_past_strays = not job.repeatable
    job.sink.on_stray = lambda: stray_timers.append(reactor.callLater(wait_s, connection.give_up))
    exchange_end = connection.exchange(
        job.request.method, job.request.target, headers, job.request.body, job.sink
    )
    job.on_timeout = connection.cancel if job.cancellable else None
    left_s = max(0.0, job.deadline + LATE_ANSWER_S - reactor.seconds())
    last_end = reactor.callLater(left_s, connection.cancel)
    job.connection.gate.attach(connection)
    end = await exchange_end
    job.connection.gate.detach(connection)
    for timer in (last_end, *stray_timers):
        if timer.active():
            timer.cancel()
    job.running = False
    job.on_timeout = None
    if not job.done:
        job.connection.on_disconnect = None
    return end
