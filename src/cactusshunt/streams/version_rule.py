"""Decides which software version began a stream, and which streams need a record of it.

Load pattern: callers take up many streams at once, at VMs that have just started and know nothing
of earlier attempts, while upstreams of several software versions serve.

Each service has one settled version. A stream without a record was begun by it; a stream that
another version begins is recorded before its first event is passed on.
"""

from __future__ import annotations

import enum

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

# The software version by ID of the attempt that began the stream; ``None`` where records differ.
StreamRecords = dict[str, "str | None"]


class OriginSource(enum.Enum):
    """How it is known which version began a stream; the values are used in logs."""

    OWN = "this VM began it"
    RECORD = "record in the store"
    SETTLED = "no record"
    ONLY = "only version in service"
    UNKNOWN = "not known"


@dataclass(frozen=True, kw_only=True)
class StreamOrigin:
    """The software version that began a stream, ``None`` if it is not known."""

    version: str | None
    source: OriginSource


UNKNOWN_ORIGIN = StreamOrigin(version=None, source=OriginSource.UNKNOWN)


def find_origin(
    *,
    attempt: str,
    records: StreamRecords | None,
    settled: str | None,
    in_service: Collection[str] | None,
    records_may_be_missing: bool,
) -> StreamOrigin:
    """Return the version that began a stream which this VM did not begin.

    ``attempt`` is the ID of the request that brought its first event, empty if the caller did not
    name it. ``records`` maps such IDs to versions and ``in_service`` are the versions of the
    service's upstreams, both as the store had them after the request arrived, ``None`` if that was
    not read. What a VM that was out of step knew before is no evidence: it may miss a new version.
    """
    if records is None:
        return UNKNOWN_ORIGIN
    if attempt in records:
        return StreamOrigin(version=records[attempt], source=OriginSource.RECORD)
    if attempt and settled is not None and not records_may_be_missing:
        return StreamOrigin(version=settled, source=OriginSource.SETTLED)
    only = next(iter(in_service)) if in_service is not None and len(in_service) == 1 else None
    if only is not None and settled in (None, only):
        return StreamOrigin(version=only, source=OriginSource.ONLY)
    return UNKNOWN_ORIGIN


def needs_record(
    version: str, *, recorded: str | None, settled: str | None, in_service: Collection[str]
) -> bool:
    """Return whether a stream's version must be recorded before its first event is passed on.

    ``recorded`` is the version in the stream's record, if an earlier attempt wrote one.
    """
    if recorded is not None:
        return recorded != version
    if settled is None:
        return len(in_service) > 1
    return version != settled


def choose_settled(versions: Iterable[str]) -> str:
    """Return the version of most upstreams; of several, the first by name."""
    counts = Counter(versions)
    return min(counts, key=lambda version: (-counts[version], version))


def compute_settling_wait_s(
    *, settled: str | None, in_service: Collection[str], keep_s: float
) -> float:
    """Return for how long the settled version must be away before another one is settled.

    Unrecorded streams are of the settled version. None of them is open ``keep_s`` after its last
    upstream left. If none was settled and one version serves, there is nothing to wait for.
    """
    return 0.0 if settled is None and len(in_service) == 1 else keep_s
