"""Convictions in the platform's store, for VMs that start later or hear no peer."""

from __future__ import annotations

from urllib.parse import quote

import msgspec

from cactusshunt.platform.documents import SYSTEM_PREFIX
from cactusshunt.quarantine.crash_evidence import Conviction
from cactusshunt.quarantine.subject import Subject
from cactusshunt.schema.decoding import UNREADABLE_ERRORS

CONVICTED_PREFIX = SYSTEM_PREFIX + "convicted/"


class StoredConviction(msgspec.Struct, frozen=True, kw_only=True):
    """A conviction as it was at ``written_at``, in Unix seconds.

    ``left_s`` is its rest at that time, ``crash_age_s`` the time since the last crash.
    """

    service: str
    part: str
    engines: list[str]
    versions: list[str]
    written_at: float
    left_s: float
    crash_age_s: float
    vm: str


def make_key(subject: Subject) -> str:
    """Return the key of a subject's conviction."""
    return f"{CONVICTED_PREFIX}{quote(subject.service, safe='')}/{quote(subject.name, safe='')}"


def encode_conviction(conviction: Conviction, *, vm: str, now: float, unix_s: float) -> bytes:
    """Return a conviction as a value of the store; ``vm`` is the writer."""
    return msgspec.json.encode(
        StoredConviction(
            service=conviction.subject.service,
            part=conviction.subject.name,
            engines=list(conviction.engines),
            versions=sorted(conviction.versions),
            written_at=unix_s,
            left_s=conviction.ends_at - now,
            crash_age_s=now - conviction.last_crash_at,
            vm=vm,
        )
    )


def decode_conviction(value: bytes, *, now: float, unix_s: float) -> Conviction | None:
    """Return a conviction with its rest at ``now``, or ``None`` if the value is malformed.

    The writer's time of day may differ: it never makes a conviction longer than it was.
    """
    try:
        stored = msgspec.json.decode(value, type=StoredConviction)
    except UNREADABLE_ERRORS:
        return None
    age_s = max(0.0, unix_s - stored.written_at)
    return Conviction(
        subject=Subject(service=stored.service, name=stored.part),
        engines=tuple(stored.engines),
        versions=frozenset(stored.versions),
        last_crash_at=now - stored.crash_age_s - age_s,
        ends_at=now + stored.left_s - age_s,
    )
