"""Headers that this system sets on requests to upstreams and on answers of its own."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusshunt.platform import headers as names

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cactusshunt.platform.headers import Headers

LOWEST_PRIORITY = 9


def build_request_headers(
    headers: Headers,
    *,
    upstream_name: str,
    left_ms: float,
    engine_priority: int | None,
    resume_after: bytes | None,
    body_bytes: int | None,
) -> Headers:
    """Return a caller's headers with those of one attempt added.

    ``upstream_name`` is the only upstream that may accept the request; ``left_ms`` is the time
    until the caller's deadline, sent as ``X-Deadline-Ms``; ``engine_priority`` is 0 for the most
    urgent requests and ``None`` for upstreams that are not model engines; ``resume_after`` is the
    ID of the last event that the caller received; ``body_bytes`` is ``None`` without a body.
    """
    built = [
        *headers,
        (b"X-Deadline-Ms", str(int(max(1.0, left_ms))).encode()),
        (b"X-Expect-Instance", upstream_name.encode()),
    ]
    if engine_priority is not None:
        built.append(
            (b"X-Request-Priority", str(min(LOWEST_PRIORITY, max(0, engine_priority))).encode())
        )
    return _add_framing(built, resume_after, body_bytes)


def build_detour_headers(
    headers: Headers,
    *,
    vm: str,
    configuration_version: int,
    left_ms: float,
    resume_after: bytes | None,
    stream_version: str | None,
    avoided: Sequence[str],
    key_digest: str,
    body_bytes: int | None,
) -> Headers:
    """Return a caller's headers for another VM; the arguments are as for an upstream.

    ``stream_version`` is the software version at which a stream may go on, ``None`` for any;
    ``avoided`` names upstreams that the request must not reach; ``key_digest`` is that of the
    caller's key, by which the other VM finds the customer itself, or empty.
    """
    built = [
        *headers,
        (b"X-Deadline-Ms", str(int(max(1.0, left_ms))).encode()),
        (names.DETOUR, names.encode_detour(vm, configuration_version)),
    ]
    if stream_version is not None:
        built.append((names.STREAM_VERSION, names.encode_stream_version(stream_version)))
    if avoided:
        built.append((names.AVOIDED, names.encode_avoided(avoided)))
    if key_digest:
        built = [(k, v) for k, v in built if k.lower() != names.CUSTOMER_NAME]
        built.append((names.CUSTOMER_DIGEST, key_digest.encode("latin-1")))
    return _add_framing(built, resume_after, body_bytes)


def _add_framing(built: Headers, resume_after: bytes | None, body_bytes: int | None) -> Headers:
    if resume_after is not None:
        built = [(k, v) for k, v in built if k.lower() != names.LAST_EVENT_ID]
        built.append((b"Last-Event-Id", resume_after))
    if body_bytes is not None:
        built.append((b"Content-Length", str(body_bytes).encode()))
    return built


def build_local_answer_headers(request_id: bytes, retry_after_s: float | None = None) -> Headers:
    """Return the headers of an answer that this system generates itself."""
    built: Headers = [(b"Content-Type", b"application/json")]
    if request_id:
        built.append((b"X-Request-Id", request_id))
    if retry_after_s is not None:
        built.append((b"Retry-After", f"{retry_after_s:.2f}".encode()))
    return built
