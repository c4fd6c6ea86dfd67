"""Names of the platform's HTTP headers, formats of their values, and the readiness path."""

from __future__ import annotations

import math
import re

from contextlib import suppress
from dataclasses import dataclass
from email.utils import parsedate_to_datetime
from typing import TYPE_CHECKING
from urllib.parse import quote
from urllib.parse import unquote

from cactusshunt.exceptions import HeaderValueError

if TYPE_CHECKING:
    from collections.abc import Iterable

CONFIGURATION_PATH = b"/v1/configuration"  # between VMs: the configuration that a VM has in force
READY_PATH = b"/v1/readyz"  # polled by the platform's load balancer once a second
REQUEST_ID = b"x-request-id"  # set by the caller; the upstream returns it
AUTHORIZATION = b"authorization"  # the caller's credentials, where the platform gives any
DEADLINE = b"x-deadline-ms"  # ms left for the request, a duration and not a point in time
RESPONSE_SEAL = b"x-response-seal"  # signature that an engine puts on its answer
EXPECT_INSTANCE = b"x-expect-instance"  # name of the only upstream that may accept the request
INSTANCE_ID = b"x-instance-id"  # name of the upstream that answers
NOT_RUN = b"x-not-executed"  # set by an upstream that did not run the request; any value
SERVER_LOAD = b"x-server-load"  # running requests, waiting requests, slots, work percent
REQUEST_LIMIT = b"server-limit"  # requests a second that an upstream takes from all VMs together
LEAVING = b"server-leaving"  # 1 in all answers of an upstream that leaves
BRITTLE = b"server-brittle"  # requests a second that an upstream may turn away before it ends
MODEL = b"x-model"  # MODEL or MODEL/ADAPTER
TOKEN_COUNT = b"x-token-count"  # prompt tokens, maximum output tokens
PROMPT_PREFIX = b"x-prompt-prefix"  # ID:TOKENS of each part; those shared with other prompts first
PRIORITY = b"x-request-priority"  # 0 is the most urgent
LAST_EVENT_ID = b"last-event-id"  # of the last event received, to continue a stream
RETRY_AFTER = b"retry-after"  # s; the upstream that sends it wants no request for so long
DATE = b"date"  # when an answer was made
DETOUR = b"cactusshunt-detour"  # between VMs: the VM that passes a request on, its configuration
CUSTOMER_NAME = b"x-tenant"  # the customer whose request it is; only a VM sets it
CUSTOMER_DIGEST = b"cactusshunt-customer"  # between VMs: SHA-256 of the caller's key, hexadecimal
DETOUR_RESULT = b"cactusshunt-detour-result"  # between VMs: in a VM's own answers to such requests
# between VMs: the software version that began a stream, in requests passed on and answers to them
STREAM_VERSION = b"cactusshunt-stream-version"
# between VMs: upstreams that the request must not reach; names, separated by commas
AVOIDED = b"cactusshunt-avoided"
RESUMES = b"resumes"  # ID of the caller's attempt that brought the stream's first event
DETOUR_NOT_RUN, DETOUR_UNKNOWN = b"not-run", b"unknown"  # the request did not run, or may have
CONTENT_ENCODING = b"content-encoding"
CONTENT_LENGTH = b"content-length"
CONTENT_TYPE = b"content-type"
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
        DETOUR,
        STREAM_VERSION,
        AVOIDED,
        CUSTOMER_DIGEST,
    }
)
"""Removed from callers' requests; this system sets the first three and last four on its own."""
CREDENTIAL_HEADERS = frozenset({AUTHORIZATION, CUSTOMER_NAME})
"""Removed from callers' requests too while the configuration has customers."""
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
        CONTENT_LENGTH,
        b"expect",
        DETOUR_RESULT,
        STREAM_VERSION,
    }
)
"""Apply to one connection only (RFC 9110, section 7.6.1), or are set again for the next one."""

REFUSAL_STATUSES = frozenset({408, 421, 429, 503})
"""Refusals; if ``x-not-executed`` is missing, they count as a request that may have run."""

Headers = list[tuple[bytes, bytes]]
MAX_NUMBER_LENGTH = 12  # digits
MAX_VERSION_LENGTH = 19  # digits of a configuration version, which may be a time in ns
MAX_PAUSE_S = 1e9  # of longer ones no clock will see the end
MAX_REPORTED_REQUESTS = 10_000  # running or waiting at an upstream; engines have 64 slots
MIN_WORK_PERCENT = 50.0  # machines differ in speed by a factor of 1.3
MAX_WORK_PERCENT = 1_600.0  # shared machines slow down by a factor of up to 8
_SECONDS = re.compile(rb"\d+(\.\d+)?")
_DECIMAL_NUMBER = re.compile(rb"\d{1,12}(\.\d{1,12})?")


@dataclass(frozen=True, kw_only=True)
class DetourOrigin:
    """The VM that passed a request on, and the version of its configuration."""

    vm: str
    configuration_version: int


@dataclass(frozen=True, kw_only=True)
class ServerLoad:
    """Load that an upstream reports: running requests, waiting ones, and its slots.

    ``work_percent`` is how long work takes at its machine at the moment, 100 being usual; ``None``
    if the upstream does not report it. ``out_of_range`` means that a number was bounded or left out
    because it was absurd.
    """

    running: int
    waiting: int
    slots: int
    work_percent: float | None = None
    out_of_range: bool = False


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of the header with the given lower-case name."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def is_count(value: bytes) -> bool:
    """Return whether a header's value is a whole number that is not absurdly large."""
    return value.isdigit() and len(value) <= MAX_NUMBER_LENGTH


def read_content_type(headers: Headers) -> bytes:
    """Return the media type of an answer in lower case, without parameters; empty without one."""
    return (find_header(headers, CONTENT_TYPE) or b"").partition(b";")[0].strip().lower()


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


def read_key(headers: Headers) -> bytes | None:
    """Return the key that a caller sends as a bearer token, ``None`` if there is not exactly one.

    With several ``Authorization`` headers none counts, since readers differ in which one they use.
    """
    values = [value for key, value in headers if key.lower() == AUTHORIZATION]
    if len(values) != 1:
        return None
    scheme, _, key = values[0].strip().partition(b" ")
    return (key.strip() or None) if scheme.lower() == b"bearer" else None


def read_key_digest(headers: Headers) -> str | None:
    """Return the digest of the caller's key that another VM names, ``None`` if it names none."""
    value = find_header(headers, CUSTOMER_DIGEST)
    return None if value is None else value.decode("latin-1")


def read_detour(headers: Headers) -> DetourOrigin | None:
    """Return which VM passed a request on, ``None`` if none did."""
    value = find_header(headers, DETOUR)
    vm, _, version = (value or b"").rpartition(b";")
    if not vm or not version.isdigit() or len(version) > MAX_VERSION_LENGTH:
        return None
    return DetourOrigin(vm=vm.decode("latin-1"), configuration_version=int(version))


def encode_detour(vm: str, configuration_version: int) -> bytes:
    """Return the VM that sends a request, and its configuration, as a header's value."""
    return f"{vm};{configuration_version}".encode()


def encode_stream_version(version: str) -> bytes:
    """Return a software version as a header's value; any version has one."""
    return b"=" + quote(version, safe="").encode()


def read_stream_version(headers: Headers) -> str | None:
    """Return the software version that began a stream, ``None`` if the other VM names none."""
    value = find_header(headers, STREAM_VERSION)
    if value is None or not value.startswith(b"="):
        return None
    return unquote(value[1:].decode("latin-1"))


def read_avoided(headers: Headers) -> list[str]:
    """Return the names of the upstreams that a request of another VM must not reach."""
    value = find_header(headers, AVOIDED) or b""
    return [unquote(name.decode("latin-1")) for name in value.split(b",") if name]


def encode_avoided(upstreams: Iterable[str]) -> bytes:
    """Return names of upstreams as a header's value."""
    return b",".join(quote(name, safe="").encode() for name in upstreams)


def read_brittleness(headers: Headers) -> int | None:
    """Return how many requests a second an upstream may turn away; ``None`` if it names none.

    Raises ``HeaderValueError`` for anything but a whole number.
    """
    value = find_header(headers, BRITTLE)
    if value is None:
        return None
    if not value.strip().isdigit() or len(value) > MAX_NUMBER_LENGTH:
        raise HeaderValueError(
            reason=f"Server-Brittle is {value[:40]!r}, not a whole number.",
            remedy="What was named before, if anything, stays in force for its time.",
        )
    return int(value)


def read_request_limit(headers: Headers) -> float | None:
    """Return the limit that an answer names, in requests a second; ``None`` if it names none.

    Raises ``HeaderValueError`` for anything but a decimal number without sign and exponent.
    """
    value = find_header(headers, REQUEST_LIMIT)
    if value is None:
        return None
    if _DECIMAL_NUMBER.fullmatch(value.strip()) is None:
        raise HeaderValueError(
            reason=f"Server-Limit is {value[:40]!r}, not a decimal number.",
            remedy="The limit named before, if any, stays in force.",
        )
    return float(value)


def read_server_load(headers: Headers) -> ServerLoad | None:
    """Return the load that an answer reports, within bounds; ``None`` if it reports none.

    Raises ``HeaderValueError`` unless it begins with three whole numbers, and has at most four
    numbers. A fourth that is no positive number is left out.
    """
    value = find_header(headers, SERVER_LOAD)
    if value is None:
        return None
    parts = [part.strip() for part in value.split(b",")]
    if len(parts) not in (3, 4) or not all(is_count(part) for part in parts[:3]):
        raise HeaderValueError(
            reason=f"X-Server-Load is {value[:40]!r}, not three or four numbers.",
            remedy="The load of this upstream is estimated from the requests sent to it.",
        )
    given = (int(parts[0]), int(parts[1]), int(parts[2]))
    running, waiting, slots = (min(number, MAX_REPORTED_REQUESTS) for number in given)
    given_percent = _read_positive(parts[3]) if len(parts) == 4 else None
    percent = given_percent
    if percent is not None:
        percent = min(MAX_WORK_PERCENT, max(MIN_WORK_PERCENT, percent))
    bounded = (running, waiting, slots) != given or percent != given_percent
    return ServerLoad(
        running=running,
        waiting=waiting,
        slots=slots,
        work_percent=percent,
        out_of_range=bounded or (len(parts) == 4 and percent is None),
    )


def _read_positive(value: bytes) -> float | None:
    """Return a positive finite number, ``None`` if it is none."""
    with suppress(ValueError):
        number = float(value)
        if math.isfinite(number) and number > 0.0:
            return number
    return None


def read_leaving(headers: Headers) -> bool:
    """Return whether an answer says that its upstream leaves."""
    return any(key.lower() == LEAVING and value.strip() == b"1" for key, value in headers)


def read_retry_after(headers: Headers) -> float | None:
    """Return for how many seconds an upstream wants no request; ``None`` if it does not say.

    Of several values the longest counts. A date counts from the answer's own ``Date``, so that the
    clocks of the two need not agree. Raises ``HeaderValueError`` if no value can be read.
    """
    values = [value.strip() for key, value in headers if key.lower() == RETRY_AFTER]
    if not values:
        return None
    made_at = find_header(headers, DATE)
    readable = [
        seconds for value in values if (seconds := _read_seconds(value, made_at)) is not None
    ]
    if not readable:
        raise HeaderValueError(
            reason=f"Retry-After is {values[0][:40]!r}, neither seconds nor a date.",
            remedy="A pause that was named before, if any, goes on.",
        )
    return min(MAX_PAUSE_S, max(readable))


def _read_seconds(value: bytes, made_at: bytes | None) -> float | None:
    if _SECONDS.fullmatch(value):
        return float(value)
    with suppress(ValueError, TypeError, OverflowError):
        until = parsedate_to_datetime(value.decode("ascii"))
        since = parsedate_to_datetime((made_at or b"").decode("ascii"))
        return max(0.0, (until - since).total_seconds())
    return None
