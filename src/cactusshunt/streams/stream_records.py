"""Keys and values of the platform's store that say which software versions began streams."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import quote
from urllib.parse import unquote

import msgspec

from cactusshunt.platform.documents import SYSTEM_PREFIX
from cactusshunt.schema.decoding import UNREADABLE_ERRORS

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cactusshunt.platform.store import StoredItem
    from cactusshunt.streams.version_rule import StreamRecords

STREAMS_PREFIX = SYSTEM_PREFIX + "streams/"
SETTLED_PREFIX = SYSTEM_PREFIX + "versions/"


class StoredStreams(msgspec.Struct, frozen=True, kw_only=True):
    """The streams that one run of a VM's process recorded: attempts' IDs by software version."""

    attempts: dict[str, list[str]]


def make_streams_key(vm: str, incarnation: str) -> str:
    """Return the key for the streams of one run of a VM's process."""
    return f"{STREAMS_PREFIX}{quote(vm, safe='')}/{incarnation}"


def make_settled_key(service: str) -> str:
    """Return the key of a service's settled version."""
    return SETTLED_PREFIX + quote(service, safe="")


def read_settled_service(key: str) -> str:
    """Return the service of a settled version's key."""
    return unquote(key.removeprefix(SETTLED_PREFIX))


def encode_streams(versions: dict[str, str]) -> bytes:
    """Return the value for streams, given the software version by attempt ID."""
    attempts: dict[str, list[str]] = {}
    for attempt, version in versions.items():
        attempts.setdefault(version, []).append(attempt)
    return msgspec.json.encode(StoredStreams(attempts=attempts))


def decode_streams(items: Iterable[StoredItem]) -> StreamRecords:
    """Return the software version by attempt ID, ``None`` where records differ.

    Values that are malformed are left out.
    """
    versions: StreamRecords = {}
    for item in items:
        try:
            stored = msgspec.json.decode(item.value or b"", type=StoredStreams)
        except UNREADABLE_ERRORS:
            continue
        for version, attempts in stored.attempts.items():
            for attempt in attempts:
                agrees = versions.get(attempt, version) == version
                versions[attempt] = version if agrees else None
    return versions
