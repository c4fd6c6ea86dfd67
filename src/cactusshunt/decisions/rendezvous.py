"""Rendezvous (highest-random-weight) hashing: all nodes compute the same owners on their own.

Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998.
"""

from __future__ import annotations

import hashlib

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


def hash_score(node: str, key: str) -> int:
    """Return the 64-bit score of a node for a key."""
    digest = hashlib.blake2b(f"{node}\0{key}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def rank_nodes(nodes: Iterable[str], key: str) -> list[str]:
    """Return the nodes from the most to the least preferred for a key."""
    return sorted(nodes, key=lambda node: hash_score(node, key), reverse=True)


def choose_owners(nodes: Iterable[str], key: str, count: int) -> list[str]:
    """Return the first ``count`` nodes for a key."""
    return rank_nodes(nodes, key)[:count]
