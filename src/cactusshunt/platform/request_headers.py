"""Headers that the system sets on requests to upstreams and on its own answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusshunt.platform import headers as names

if TYPE_CHECKING:
    from cactusshunt.platform.headers import Headers

LOWEST_PRIORITY = 9


def build_request_headers(
    headers: Headers,
    *,
    instance: str,
    left_ms: float,
    engine_priority: int | None,
    resume_after: bytes | None,
    body_bytes: int | None,
) -> Headers:
    """Return a caller's headers with those of one attempt.

    ``instance`` is the only upstream that may take the request, ``left_ms`` the time for which it
    may work; ``rank`` is its urgency at a model engine, ``resume_after`` the last event that the
    caller has; ``body_bytes`` is ``None`` for a request without a body.
    """
    described = [
        *headers,
        (b"X-Deadline-Ms", str(int(max(1.0, left_ms))).encode()),
        (b"X-Expect-Instance", instance.encode()),
    ]
    if engine_priority is not None:
        described.append(
            (b"X-Request-Priority", str(min(LOWEST_PRIORITY, max(0, engine_priority))).encode())
        )
    if resume_after is not None:
        described = [(k, v) for k, v in described if k.lower() != names.LAST_EVENT_ID]
        described.append((b"Last-Event-Id", resume_after))
    if body_bytes is not None:
        described.append((b"Content-Length", str(body_bytes).encode()))
    return described


def build_local_answer_headers(request_id: bytes, retry_after_s: float | None = None) -> Headers:
    """Return the headers of an answer of the system's own."""
    described: Headers = [(b"Content-Type", b"application/json")]
    if request_id:
        described.append((b"X-Request-Id", request_id))
    if retry_after_s is not None:
        described.append((b"Retry-After", f"{retry_after_s:.2f}".encode()))
    return described
