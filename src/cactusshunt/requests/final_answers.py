"""Final answers of this system's own."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from cactusshunt.platform import headers as names


class ErrorBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of an answer that no upstream gave."""

    error: str
    ran: str
    request_id: str


def describe_refusal(
    request_id: bytes, reason: str, retry_after_s: float
) -> tuple[int, names.Headers, bytes]:
    """Return a 503: the request did not run and never will."""
    status, headers, body = _describe(503, request_id, reason, "no")
    headers.append((b"Retry-After", f"{retry_after_s:.2f}".encode()))
    return status, headers, body


def describe_failure(
    status: int, request_id: bytes, reason: str
) -> tuple[int, names.Headers, bytes]:
    """Return a failure after which the request may have run."""
    return _describe(status, request_id, reason, "unknown")


def _describe(
    status: int, request_id: bytes, reason: str, ran: str
) -> tuple[int, names.Headers, bytes]:
    body = msgspec.json.encode(
        ErrorBody(error=reason, ran=ran, request_id=request_id.decode("latin-1"))
    )
    headers: names.Headers = [(b"Content-Type", b"application/json")]
    if request_id:
        headers.append((b"X-Request-Id", request_id))
    return status, headers, body
