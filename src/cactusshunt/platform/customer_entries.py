"""Format of the customers in the operators' configuration.

Messages about malformed entries name their place only: a name or key may stand in the other's
field by mistake, and no key may reach a log.
"""

from __future__ import annotations

import math
import re

from typing import TYPE_CHECKING
from typing import Any

import msgspec

from cactusshunt.customers.customer import Customer
from cactusshunt.customers.customer import Quota
from cactusshunt.customers.customer import QuotaUnit
from cactusshunt.customers.customer import compute_key_digest

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence

MAX_PRIORITY = 9  # the least urgent; 0 is the most urgent
# Names and keys become header values. ``\s`` includes the spaces of Unicode; the ranges are its
# control characters.
_UNSAFE_CHARACTER = re.compile(r"[\s\x00-\x20\x7f-\x9f]")


class MalformedEntryError(ValueError):
    """A customer's entry is malformed; the text names the entry's place and the fault."""


class CustomerEntry(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """One customer; a rate of 0 means no quota, and any other ``unit`` than ``tokens`` requests.

    ``plain_tokens`` is what a request counts that does not say its size in tokens.
    """

    name: str
    api_keys: list[str] | None = None
    priority: int | None = None
    unit: Any = None
    plain_tokens: float | None = None
    rate_per_s: float | None = None
    burst: float | None = None


def read_customers(entries: Sequence[CustomerEntry] | None) -> tuple[Customer, ...] | None:
    """Return the customers of a configuration; ``None`` if it has no list of them.

    Raises ``MalformedEntryError``; one malformed entry makes the whole list malformed.
    """
    if entries is None:
        return None
    customers = tuple(_read_customer(entry, place) for place, entry in _number(entries))
    places_of_names: dict[str, str] = {}
    places_of_keys: dict[str, str] = {}
    for place, customer in _number(customers):
        other = places_of_names.setdefault(customer.name, place)
        if other != place:
            raise MalformedEntryError(f"{other} and {place} have the same name")
        for digest in customer.key_digests:
            other = places_of_keys.setdefault(digest, place)
            if other != place:
                raise MalformedEntryError(f"{other} and {place} have the same key")
    return customers


def _number(found: Sequence[Any]) -> Iterator[tuple[str, Any]]:
    for number, each in enumerate(found):
        yield f"`$.tenants[{number}]`", each


def _read_customer(entry: CustomerEntry, place: str) -> Customer:
    _check_text(entry.name, f"the name at {place}")
    keys = entry.api_keys or []
    for number, key in enumerate(keys):
        _check_text(key, f"key {number} at {place}")
    if entry.priority is not None and not 0 <= entry.priority <= MAX_PRIORITY:
        raise MalformedEntryError(f"the priority at {place} is not 0 to {MAX_PRIORITY}")
    return Customer(
        name=entry.name,
        priority=entry.priority,
        quota=_read_quota(entry, place),
        key_digests=tuple(dict.fromkeys(compute_key_digest(key.encode()) for key in keys)),
    )


def _check_text(text: str, what: str) -> None:
    if not text:
        raise MalformedEntryError(f"{what} is empty")
    if _UNSAFE_CHARACTER.search(text) is not None:
        raise MalformedEntryError(f"{what} has a space or a control character")


def _read_quota(entry: CustomerEntry, place: str) -> Quota | None:
    rate_per_s, burst = entry.rate_per_s or 0.0, entry.burst or 0.0
    plain_tokens = entry.plain_tokens or 0.0
    for name, value in (("rate", rate_per_s), ("burst", burst), ("plain size", plain_tokens)):
        if not (math.isfinite(value) and value >= 0.0):
            raise MalformedEntryError(f"the {name} at {place} is negative or not finite")
    if rate_per_s == 0.0:
        return None
    unit = QuotaUnit.TOKENS if entry.unit == "tokens" else QuotaUnit.REQUESTS
    plain_amount = int(plain_tokens) if unit is QuotaUnit.TOKENS else 1
    return Quota(rate_per_s=rate_per_s, burst=burst, unit=unit, plain_amount=plain_amount)
