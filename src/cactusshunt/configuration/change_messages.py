"""The answer to ``GET /v1/changes`` between VMs, as JSON."""

from __future__ import annotations

import msgspec

from cactusshunt.configuration.change_feed import FeedAnswer
from cactusshunt.exceptions import ZoneReaderError
from cactusshunt.platform.store import StoredItem
from cactusshunt.schema.decoding import UNREADABLE_ERRORS

CHANGES_PATH = b"/v1/changes"


class PassedItem(msgspec.Struct, frozen=True, kw_only=True, rename="camel", omit_defaults=True):
    """A change; the value is base64 text, and missing if the key was removed."""

    key: str
    revision: int
    era: int
    removed: bool = False
    value: bytes = b""
    lease: int = 0


class PassedChanges(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """Changes up to ``revision``, and durations in seconds as in ``FeedAnswer``."""

    items: list[PassedItem]
    revision: int
    era: int
    age_s: float
    held_s: float


def encode_changes(answer: FeedAnswer) -> bytes:
    """Return changes as the body of an answer."""
    items = [
        PassedItem(
            key=item.key,
            revision=item.revision,
            era=item.era,
            removed=item.value is None,
            value=item.value or b"",
            lease=item.lease,
        )
        for item in answer.items
    ]
    return msgspec.json.encode(
        PassedChanges(
            items=items,
            revision=answer.revision,
            era=answer.era,
            age_s=answer.age_s,
            held_s=answer.held_s,
        )
    )


def decode_changes(body: bytes, *, after: int, era: int) -> FeedAnswer:
    """Return the changes in the body of an answer.

    Raises ``ZoneReaderError`` if it is malformed, or of another era, or has changes out of range.
    """
    try:
        found = msgspec.json.decode(body, type=PassedChanges)
    except UNREADABLE_ERRORS as error:
        raise ZoneReaderError(reason=f"{error}.", remedy="Read the store.") from error
    revisions = [item.revision for item in found.items]
    in_order = revisions == sorted(revisions)
    in_range = all(after < revision <= found.revision for revision in revisions)
    of_era = found.era == era and all(item.era == era for item in found.items)
    if not (in_order and in_range and of_era) or found.age_s < 0.0 or found.held_s < 0.0:
        raise ZoneReaderError(
            reason="The changes are of another era or not in order.", remedy="Read the store."
        )
    items = tuple(
        StoredItem(
            key=item.key,
            value=None if item.removed else item.value,
            revision=item.revision,
            era=item.era,
            lease=item.lease,
        )
        for item in found.items
    )
    return FeedAnswer(
        items=items,
        revision=found.revision,
        era=found.era,
        age_s=found.age_s,
        held_s=found.held_s,
    )
