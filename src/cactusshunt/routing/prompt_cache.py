"""What an engine probably keeps of prompts, from what it was sent."""

from __future__ import annotations

from collections import OrderedDict

MOST_PARTS = 512  # per engine; beyond what fits an engine's cache at usual part sizes


class PromptCache:
    """Recently sent prompt parts of one engine, the least recently used yield first."""

    def __init__(self) -> None:
        self._parts: OrderedDict[tuple[str, ...], int] = OrderedDict()

    def cached_tokens(self, item: str, parts: tuple[tuple[str, int], ...]) -> int:
        """Return how many tokens of a prompt need not be read again."""
        found = 0
        key: tuple[str, ...] = (item,)
        for name, tokens in parts:
            key = (*key, name)
            if key not in self._parts:
                break
            found += tokens
        return found

    def add(self, item: str, parts: tuple[tuple[str, int], ...]) -> None:
        """Note that an engine has read a prompt."""
        key: tuple[str, ...] = (item,)
        for name, tokens in parts:
            key = (*key, name)
            self._parts[key] = tokens
            self._parts.move_to_end(key)
        while len(self._parts) > MOST_PARTS:
            self._parts.popitem(last=False)

    def clear(self) -> None:
        """Forget all, as after a restart or an unload."""
        self._parts.clear()
