"""Datagrams between VMs, MessagePack by msgspec."""

from __future__ import annotations

import msgspec


class EngineWork(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One VM's unfinished work at one upstream.

    ``pending`` counts uncached prompt tokens that wait for their first token, by priority;
    ``running`` counts requests; ``tokens_per_s`` is the prefill rate that it saw, 0 if none;
    ``long_streams`` counts requests that go on for longer than their objective.
    """

    upstream: str
    running: int
    pending: dict[int, int] = {}
    tokens_per_s: int = 0
    long_streams: int = 0


class ItemDemand(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What callers ask of one model or ``model/adapter``.

    ``tokens_per_ms`` is the present rate, ``waiting`` counts requests that can't be sent,
    ``asked`` those since the VM's process started.
    """

    service: str
    item: str
    tokens_per_ms: float
    waiting: int
    total_requests: int


class Status(msgspec.Struct, frozen=True, kw_only=True, tag="s", array_like=True):
    """What one VM tells the others of its work several times a second.

    ``store_silent_ms`` is the time since the platform's store last answered it.
    """

    vm: str
    status_number: int
    store_silent_ms: int
    work: list[EngineWork]


class DemandReport(msgspec.Struct, frozen=True, kw_only=True, tag="d", array_like=True):
    """What one VM tells the order holder of its callers' demand."""

    vm: str
    items: list[ItemDemand]


class EngineItems(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Models and adapters of one engine, as its order holder knows them.

    ``word`` counts what the holder has said in its time; ``coming`` maps items under way to the ms
    until they are expected.
    """

    upstream: str
    born: int
    update_number: int
    models: dict[str, list[str]]
    coming: dict[str, int]


class PlacementUpdate(msgspec.Struct, frozen=True, kw_only=True, tag="p", array_like=True):
    """What the holder of the right to order knows of engines; ``token`` orders holders.

    A word with ``hand_on`` is sent on to the reader's zone, without it.
    """

    vm: str
    token: int
    engines: list[EngineItems]
    forward_in_zone: bool = False


Message = Status | DemandReport | PlacementUpdate
_decoder = msgspec.msgpack.Decoder(Message)
_encoder = msgspec.msgpack.Encoder()


def encode_message(message: Message) -> bytes:
    """Return the bytes of one datagram."""
    return _encoder.encode(message)


def decode_message(data: bytes) -> Message | None:
    """Return the message, or ``None`` for bytes that are none."""
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError:
        return None
