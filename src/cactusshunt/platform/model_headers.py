"""What a caller's headers say about a generation."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cactusshunt.platform import headers as names

if TYPE_CHECKING:
    from cactusshunt.platform.headers import Headers


@dataclass(frozen=True, kw_only=True)
class GenerationRequest:
    """Model, optional adapter, prompt and output size in tokens, and the prompt's parts."""

    model: str
    adapter: str
    prompt_tokens: int
    output_tokens: int
    prompt_parts: tuple[tuple[str, int], ...]


def read_generation_request(headers: Headers) -> GenerationRequest | None:
    """Return what a request asks of a model engine, or ``None`` for a plain request.

    Counts and parts that can't be read count as absent: the engine judges them, not this system.
    """
    named = names.find_header(headers, names.MODEL)
    if named is None:
        return None
    model, _, adapter = named.decode("latin-1").partition("/")
    counts = [_read_count(part) for part in _split(headers, names.TOKEN_COUNT)] + [0, 0]
    prompt_parts = tuple(
        (name, _read_count(count))
        for name, _, count in (part.partition(":") for part in _split(headers, names.PROMPT_PREFIX))
    )
    return GenerationRequest(
        model=model,
        adapter=adapter,
        prompt_tokens=counts[0],
        output_tokens=counts[1],
        prompt_parts=prompt_parts,
    )


def read_deadline_ms(headers: Headers) -> int | None:
    """Return how long the caller waits, or ``None`` if it does not say so in whole ms."""
    value = names.find_header(headers, names.DEADLINE)
    if value is None or not value.strip().isdigit():
        return None
    return int(value)


def _split(headers: Headers, name: bytes) -> list[str]:
    value = names.find_header(headers, name)
    return [part.strip() for part in value.decode("latin-1").split(",")] if value else []


def _read_count(text: str) -> int:
    return int(text) if text.isdigit() else 0
