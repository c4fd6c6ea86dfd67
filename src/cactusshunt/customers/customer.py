"""A customer as one configuration declares it."""

from __future__ import annotations

import enum
import hashlib

from dataclasses import dataclass
from dataclasses import field


class QuotaUnit(enum.Enum):
    """What a quota counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"  # prompt tokens and the most output tokens of each request


@dataclass(frozen=True, kw_only=True)
class Quota:
    """What a customer may use over all VMs together: a rate a second, and a burst beyond it.

    ``plain_amount`` is what a request counts that does not say its size in ``unit``.
    """

    rate_per_s: float
    burst: float
    unit: QuotaUnit
    plain_amount: int


@dataclass(frozen=True, kw_only=True)
class Customer:
    """A customer: its priority, or ``None`` for those of the routes, and its quota, if it has one.

    ``priority`` is 0 for the most urgent requests. The keys themselves are not kept, only their
    digests, see ``compute_key_digest``.
    """

    name: str
    priority: int | None = None
    quota: Quota | None = None
    key_digests: tuple[str, ...] = field(default=(), repr=False)


def compute_key_digest(key: bytes) -> str:
    """Return what stands for a key from its arrival on: its SHA-256 in hexadecimal."""
    return hashlib.sha256(key).hexdigest()
