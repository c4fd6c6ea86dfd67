"""Deterministic token streams, so that any wrong, missing or repeated token is seen."""

from __future__ import annotations

import hashlib


def token_at(item: str, prompt: str, index: int) -> str:
    """Return the token at an index, from 0, of the answer to a prompt."""
    digest = hashlib.blake2b(f"{item}\0{prompt}\0{index}".encode(), digest_size=3)
    return f"{digest.hexdigest()} "


def expected_text(item: str, prompt: str, count: int) -> str:
    """Return the whole answer to a prompt."""
    return "".join(token_at(item, prompt, index) for index in range(count))
