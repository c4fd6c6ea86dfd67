"""Encodes and decodes messages between processes and records in the store."""

from __future__ import annotations

from dataclasses import MISSING
from dataclasses import fields
from functools import cache
from typing import Any
from typing import TypeVar

import msgspec

from expression import Error
from expression import Ok
from expression import Result

from cactusshunt.exceptions import CactusshuntError
from cactusshunt.schema.decoding import UNREADABLE_ERRORS
from cactusshunt.schema.generated import messages

T = TypeVar("T")
_NO_DEFAULT = object()

PEER_MESSAGES: dict[bytes, type[Any]] = {
    kind.__name__.encode(): kind
    for kind in (
        messages.EntryReport,
        messages.PeerDigest,
        messages.RoutingTable,
        messages.RoutingTableRequest,
        messages.SubtreeReply,
        messages.SubtreeRequest,
        messages.UpstreamUpdate,
        messages.VmListReply,
        messages.VmListRequest,
    )
}


class MessageError(CactusshuntError):
    """A message or record does not follow its schema."""


def encode_message(message: object) -> list[bytes]:
    """Return the frames of a message: its type name and its MessagePack body.

    Members that equal their default are omitted from the body.
    """
    kind: type[Any] = type(message)
    defaults = _member_defaults(kind.__name__.encode())
    body = {
        name: value
        for name in kind.__dataclass_fields__
        if (value := getattr(message, name)) != defaults.get(name, _NO_DEFAULT)
    }
    return [kind.__name__.encode(), msgspec.msgpack.encode(body)]


@cache
def _member_defaults(name: bytes) -> dict[str, Any]:
    """Return the default values of the members of a message type, by member name."""
    defaults: dict[str, Any] = {}
    for member in fields(PEER_MESSAGES[name]):
        if member.default is not MISSING:
            defaults[member.name] = member.default
        elif member.default_factory is not MISSING:
            defaults[member.name] = member.default_factory()
    return defaults


def decode_message(frames: list[bytes]) -> Result[Any, MessageError]:
    """Return the message in frames that ``encode_message`` created."""
    if len(frames) != 2 or frames[0] not in PEER_MESSAGES:
        return Error(_invalid_message("of unknown type"))
    try:
        return Ok(msgspec.msgpack.decode(frames[1], type=PEER_MESSAGES[frames[0]]))
    except UNREADABLE_ERRORS as error:
        return Error(_invalid_message(f"invalid ({error})"))


def encode_record(record: object) -> bytes:
    """Return a record as JSON, so that operators can read it in the store."""
    return msgspec.json.encode(record)


def decode_record(data: bytes, kind: type[T]) -> Result[T, MessageError]:
    """Return the record in data read from the store."""
    try:
        return Ok(msgspec.json.decode(data, type=kind))
    except UNREADABLE_ERRORS as error:
        return Error(_invalid_message(f"invalid ({error})"))


def _invalid_message(problem: str) -> MessageError:
    return MessageError(
        reason=f"A message or record is {problem}.",
        remedy="Run the same version on all VMs, or one that supports both formats.",
    )
