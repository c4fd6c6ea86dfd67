"""Decides at intake whose request it is, and which headers of its caller are forwarded."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from cactusshunt.customers.customer import compute_key_digest
from cactusshunt.customers.customer_register import CustomerRegister
from cactusshunt.platform import headers as names

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cactusshunt.customers.customer import Customer
    from cactusshunt.platform.documents import Route
    from cactusshunt.platform.headers import Headers

PRIORITIES = 10  # number of priorities that engines distinguish, see ``LOWEST_PRIORITY``
DROPPED_HEADERS = names.HOP_BY_HOP_HEADERS | names.SYSTEM_HEADERS


@dataclass(frozen=True, kw_only=True)
class Access:
    """An accepted request's route, with its customer's priority, its customer and its key."""

    route: Route
    customer: Customer | None = None
    key_digest: str = ""


class CustomerAccess:
    """The customers of one configuration; ``None`` means that requests need no key."""

    def __init__(
        self, *, customers: Sequence[Customer] | None, routes: Sequence[Route] = ()
    ) -> None:
        self._register = None if customers is None else CustomerRegister(customers=customers)
        self._priorities = rank_priorities(customers or (), routes)
        credentials = frozenset() if customers is None else names.CREDENTIAL_HEADERS
        self._dropped = DROPPED_HEADERS | credentials
        # routes with other priorities than their own, by the route object; customers share them
        self._routes: dict[tuple[int, int], Route] = {}

    def resolve(self, route: Route, headers: Headers, *, is_detour: bool) -> Access | None:
        """Return whose request it is, ``None`` if it needs a key and has no known one.

        The digest is kept on public routes too: a VM that it is passed on to may have a newer
        configuration, in which the route needs the key.
        """
        if self._register is None:
            return Access(route=route)
        digest = _find_digest(headers, is_detour=is_detour)
        if route.public:
            return Access(route=self._find_route(route, None), key_digest=digest)
        customer = self._register.find_by_digest(digest)
        if customer is None:
            return None
        own_route = self._find_route(route, customer)
        return Access(route=own_route, customer=customer, key_digest=digest)

    def select_headers(self, headers: Headers, customer: Customer | None) -> Headers:
        """Return the caller's headers to forward, and the name of the customer if there is one."""
        selected = names.select_forwarded_headers(headers, self._dropped)
        if customer is not None:
            selected.append((names.CUSTOMER_NAME, customer.name.encode()))
        return selected

    def _find_route(self, route: Route, customer: Customer | None) -> Route:
        pair = _find_pair(customer, route)
        priority = self._priorities.get(pair, pair[0])
        if priority == route.priority:
            return route
        key = (id(route), priority)
        found = self._routes.get(key)
        if found is None:
            found = msgspec.structs.replace(route, priority=priority)
            self._routes[key] = found
        return found


def _find_pair(customer: Customer | None, route: Route) -> tuple[int, int]:
    if customer is None or customer.priority is None:
        return route.priority, route.priority
    return customer.priority, route.priority


def rank_priorities(
    customers: Sequence[Customer], routes: Sequence[Route]
) -> dict[tuple[int, int], int]:
    """Return the priority of each customer's requests on each route, by both their priorities.

    A customer's priority comes before that of the route, which orders the customer's own requests.
    Without priorities of customers the routes keep theirs.
    """
    if all(customer.priority is None for customer in customers):
        return {}
    pairs = {_find_pair(customer, route) for customer in (None, *customers) for route in routes}
    step = max(1.0, len(pairs) / PRIORITIES)
    return {pair: int(rank / step) for rank, pair in enumerate(sorted(pairs))}


def _find_digest(headers: Headers, *, is_detour: bool) -> str:
    """Return the digest of a request's key, empty without one.

    A VM whose configuration has no customers passes the key itself on.
    """
    named = names.read_key_digest(headers) if is_detour else None
    if named is not None:
        return named
    key = names.read_key(headers)
    return "" if key is None else compute_key_digest(key)
