"""Finds the customer of a key, without the keys themselves."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusshunt.customers.customer import compute_key_digest

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cactusshunt.customers.customer import Customer


class CustomerRegister:
    """The customers of one configuration by the digests of their keys."""

    def __init__(self, *, customers: Iterable[Customer]) -> None:
        self._by_digest = {
            digest: customer for customer in customers for digest in customer.key_digests
        }

    def resolve(self, key: bytes) -> Customer | None:
        """Return the customer that a key belongs to, ``None`` if it is unknown."""
        return self.find_by_digest(compute_key_digest(key))

    def find_by_digest(self, digest: str) -> Customer | None:
        """Return the customer that a key with a digest belongs to, ``None`` if it is unknown."""
        return self._by_digest.get(digest)
