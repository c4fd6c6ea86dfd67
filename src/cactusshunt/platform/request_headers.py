"""Headers that the system sets on requests to upstreams and on its own answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusshunt.platform import headers as names

if TYPE_CHECKING:
    from cactusshunt.platform.headers import Headers

LOWEST_RANK = 9


def describe_request(
    headers: Headers,
    *,
    instance: str,
    left_ms: float,
    rank: int | None,
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
    if rank is not None:
        described.append((b"X-Request-Priority", str(min(LOWEST_RANK, max(0, rank))).encode()))
    if resume_after is not None:
        described = [(k, v) for k, v in described if k.lower() != names.LAST_EVENT_ID]
        described.append((b"Last-Event-Id", resume_after))
    if body_bytes is not None:
        described.append((b"Content-Length", str(body_bytes).encode()))
    return described


def describe_answer(request_id: bytes, retry_after_s: float | None = None) -> Headers:
    """Return the headers of an answer of the system's own."""
    described: Headers = [(b"Content-Type", b"application/json")]
    if request_id:
        described.append((b"X-Request-Id", request_id))
    if retry_after_s is not None:
        described.append((b"Retry-After", f"{retry_after_s:.2f}".encode()))
    return described
