"""Deterministic token streams, with which tests detect any wrong, missing or repeated token."""

from __future__ import annotations

import hashlib


def token_at(item: str, prompt: str, index: int) -> str:
    """Return the token at a 0-based index of the answer to a prompt."""
    digest = hashlib.blake2b(f"{item}\0{prompt}\0{index}".encode(), digest_size=3)
    return f"{digest.hexdigest()} "


def expected_text(item: str, prompt: str, count: int) -> str:
    """Return the complete answer to a prompt, of ``count`` tokens."""
    return "".join(token_at(item, prompt, index) for index in range(count))
