"""Estimate of an engine's prompt cache, from the prompts that this VM sent to it."""

from __future__ import annotations

from collections import OrderedDict

MAX_PARTS = 512  # per engine; its cache has space for fewer parts of the usual size


class PromptCache:
    """Prompt parts recently sent to one engine; evicts the least recently used first."""

    def __init__(self) -> None:
        self._parts: OrderedDict[tuple[str, ...], int] = OrderedDict()

    def cached_tokens(self, item: str, parts: tuple[tuple[str, int], ...]) -> int:
        """Return how many tokens at the start of a prompt are probably cached."""
        found = 0
        key: tuple[str, ...] = (item,)
        for name, tokens in parts:
            key = (*key, name)
            if key not in self._parts:
                break
            found += tokens
        return found

    def add(self, item: str, parts: tuple[tuple[str, int], ...]) -> None:
        """Record that a prompt was sent to the engine."""
        key: tuple[str, ...] = (item,)
        for name, tokens in parts:
            key = (*key, name)
            self._parts[key] = tokens
            self._parts.move_to_end(key)
        while len(self._parts) > MAX_PARTS:
            self._parts.popitem(last=False)

    def clear(self) -> None:
        """Remove all parts, as after a restart of the engine or an unload."""
        self._parts.clear()
