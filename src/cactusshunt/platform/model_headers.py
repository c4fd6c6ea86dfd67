"""Parses the request headers that describe a generation by a model."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cactusshunt.platform import headers as names

if TYPE_CHECKING:
    from cactusshunt.platform.headers import Headers


@dataclass(frozen=True, kw_only=True)
class GenerationRequest:
    """Parameters of a generation: model, adapter, sizes in tokens and the prompt's parts.

    ``adapter`` may be empty; each of ``prompt_parts`` is an identifier and a number of tokens.
    """

    model: str
    adapter: str
    prompt_tokens: int
    output_tokens: int
    prompt_parts: tuple[tuple[str, int], ...]


def read_generation_request(headers: Headers) -> GenerationRequest | None:
    """Return the parameters of a generation, or ``None`` for a request that names no model.

    Malformed token counts are read as 0, because it is the engine that validates them.
    """
    item = names.find_header(headers, names.MODEL)
    if item is None:
        return None
    model, _, adapter = item.decode("latin-1").partition("/")
    counts = [_parse_count(part) for part in _split_list(headers, names.TOKEN_COUNT)] + [0, 0]
    prompt_parts = tuple(
        (name, _parse_count(count))
        for name, _, count in (
            part.partition(":") for part in _split_list(headers, names.PROMPT_PREFIX)
        )
    )
    return GenerationRequest(
        model=model,
        adapter=adapter,
        prompt_tokens=counts[0],
        output_tokens=counts[1],
        prompt_parts=prompt_parts,
    )


def read_deadline_ms(headers: Headers) -> int | None:
    """Return how many ms the caller waits, or ``None`` without a valid deadline header."""
    value = names.find_header(headers, names.DEADLINE)
    if value is None or not names.is_count(value.strip()):
        return None
    return int(value)


def _split_list(headers: Headers, name: bytes) -> list[str]:
    value = names.find_header(headers, name)
    return [part.strip() for part in value.decode("latin-1").split(",")] if value else []


def _parse_count(text: str) -> int:
    return int(text) if text.isascii() and names.is_count(text.encode()) else 0
