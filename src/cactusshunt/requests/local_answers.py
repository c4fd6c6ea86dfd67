"""Local answers: those that the system generates itself."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from cactusshunt.platform import headers as names
from cactusshunt.platform.request_headers import build_local_answer_headers

if TYPE_CHECKING:
    from cactusshunt.platform.headers import Headers


class ErrorBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of a local answer; ``ran`` is ``no``, or ``unknown`` if the request may have run."""

    error: str
    ran: str
    request_id: str


def build_refusal(
    request_id: bytes, reason: str, retry_after_s: float
) -> tuple[int, Headers, bytes]:
    """Return status, headers and body of a 503: the request did not run and never will."""
    body = _encode(request_id, reason, "no")
    return 503, build_local_answer_headers(request_id, retry_after_s), body


def build_unauthorized(request_id: bytes) -> tuple[int, Headers, bytes]:
    """Return status, headers and body of a 401: the request did not run, for lack of a key."""
    headers = [*build_local_answer_headers(request_id), (b"WWW-Authenticate", b"Bearer")]
    return 401, headers, _encode(request_id, "no known key", "no")


def build_quota_refusal(
    request_id: bytes, reason: str, retry_after_s: float
) -> tuple[int, Headers, bytes]:
    """Return status, headers and body of a 429: the request did not run and never will."""
    body = _encode(request_id, reason, "no")
    return 429, build_local_answer_headers(request_id, retry_after_s), body


def build_rejection(request_id: bytes, reason: str) -> tuple[int, Headers, bytes]:
    """Return status, headers and body of a 501: the request did not run and never will succeed."""
    return 501, build_local_answer_headers(request_id), _encode(request_id, reason, "no")


def build_failure(status: int, request_id: bytes, reason: str) -> tuple[int, Headers, bytes]:
    """Return status, headers and body of a failure; the body says that the request may have run."""
    return status, build_local_answer_headers(request_id), _encode(request_id, reason, "unknown")


def mark_for_peer(answer: tuple[int, Headers, bytes], *, ran: bool) -> tuple[int, Headers, bytes]:
    """Return a local answer that says to the VM that passed the request on whether it ran."""
    status, headers, body = answer
    said = names.DETOUR_UNKNOWN if ran else names.DETOUR_NOT_RUN
    return status, [*headers, (names.DETOUR_RESULT, said)], body


def _encode(request_id: bytes, reason: str, ran: str) -> bytes:
    return msgspec.json.encode(
        ErrorBody(error=reason, ran=ran, request_id=request_id.decode("latin-1"))
    )
