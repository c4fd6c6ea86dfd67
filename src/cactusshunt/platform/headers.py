"""Names of the platform's HTTP headers and the formats of their values."""

from __future__ import annotations

READY_PATH = b"/v1/readyz"  # polled by the load balancer once a second
REQUEST_ID = b"x-request-id"
DEADLINE = b"x-deadline-ms"
RESPONSE_SEAL = b"x-response-seal"  # signature that an engine puts on its answer
EXPECT_INSTANCE = b"x-expect-instance"  # name of the only upstream that may accept the request
INSTANCE_ID = b"x-instance-id"
NOT_RUN = b"x-not-executed"
SERVER_LOAD = b"x-server-load"  # running requests, waiting requests, slots
MODEL = b"x-model"  # MODEL or MODEL/ADAPTER
TOKEN_COUNT = b"x-token-count"  # prompt tokens, maximum output tokens
PROMPT_PREFIX = b"x-prompt-prefix"  # ID:TOKENS of each part of the prompt, shared parts first
PRIORITY = b"x-request-priority"  # 0 is the most urgent
LAST_EVENT_ID = b"last-event-id"
RETRY_AFTER = b"retry-after"
CONTENT_ENCODING = b"content-encoding"
KEEP_ALIVE = b"keep-alive"

SYSTEM_HEADERS = frozenset(
    {
        EXPECT_INSTANCE,
        PRIORITY,
        DEADLINE,
        b"x-expect-version",
        b"x-hold",
        b"x-pin-ms",
        b"x-kv-backup",
        b"kv-from",
        b"kv-fetch",
        b"wait-ms",
    }
)
"""Set only by this system; removed from callers' requests."""
HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        KEEP_ALIVE,
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
"""Apply to one connection only (RFC 9110, section 7.6.1), or are set again with the framing."""

REFUSAL_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses by which an upstream promises that the request did not run and never will."""

Headers = list[tuple[bytes, bytes]]


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of the header with the given lower-case name."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def read_connection_options(headers: Headers) -> frozenset[bytes]:
    """Return the lower-case options that all ``Connection`` headers list."""
    options = b",".join(value for key, value in headers if key.lower() == b"connection")
    return frozenset(option.strip().lower() for option in options.split(b",") if option.strip())


def select_forwarded_headers(
    headers: Headers, dropped: frozenset[bytes] = HOP_BY_HOP_HEADERS
) -> Headers:
    """Return the headers to forward: not in ``dropped`` nor named by ``Connection``."""
    hop_names = read_connection_options(headers)
    return [(k, v) for k, v in headers if k.lower() not in dropped and k.lower() not in hop_names]
