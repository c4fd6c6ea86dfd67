"""Header names on the platform's wire, and what they hold."""

from __future__ import annotations

READY_PATH = b"/v1/readyz"  # asked by the balancer once a second
REQUEST_ID = b"x-request-id"
DEADLINE = b"x-deadline-ms"
RESPONSE_SEAL = b"x-response-seal"  # signature that an engine puts on its answer
EXPECT_INSTANCE = b"x-expect-instance"  # identity the upstream must have to take the request
INSTANCE_ID = b"x-instance-id"
NOT_RUN = b"x-not-executed"
SERVER_LOAD = b"x-server-load"  # running, waiting, slots
MODEL = b"x-model"  # MODEL or MODEL/ADAPTER
TOKEN_COUNT = b"x-token-count"  # prompt tokens, largest number of output tokens
PROMPT_PREFIX = b"x-prompt-prefix"  # ID:TOKENS parts of the prompt, shared ones first
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
"""Set by this system alone; dropped from what callers send."""
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
"""Concern one connection only (RFC 9110, section 7.6.1), or are set anew with the framing."""

REFUSAL_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise that a request did not run and never will."""

Headers = list[tuple[bytes, bytes]]


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, by its lower-case name."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def connection_options(headers: Headers) -> frozenset[bytes]:
    """Return the lower-case words of all ``Connection`` headers."""
    words = b",".join(value for key, value in headers if key.lower() == b"connection")
    return frozenset(word.strip().lower() for word in words.split(b",") if word.strip())


def select_forwarded_headers(
    headers: Headers, dropped: frozenset[bytes] = HOP_BY_HOP_HEADERS
) -> Headers:
    """Return the headers that go beyond one connection, without ``dropped``."""
    named = connection_options(headers)
    return [(k, v) for k, v in headers if k.lower() not in dropped and k.lower() not in named]
