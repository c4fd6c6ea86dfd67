"""Selects the route of a request by its host and the longest matching path prefix."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from cactusshunt.platform.documents import Configuration
    from cactusshunt.platform.documents import Route


class RouteTable:
    """Routes of one configuration; a lookup takes one step for each slash in the path."""

    def __init__(self, *, configuration: Configuration) -> None:
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            self._by_host.setdefault(route.hostname.lower(), {})[route.prefix] = route

    def find(self, host: bytes, target: bytes) -> Route | None:
        """Return the route of a request, or ``None`` if no prefix matches."""
        name = host.decode("latin-1").strip().lower()
        prefixes = self._by_host.get(name) or self._by_host.get(name.partition(":")[0])
        if prefixes is None:
            return None
        path = target.decode("latin-1").partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def choose_service(route: Route, generator: random.Random) -> str:
    """Return the service of one request, drawn by weight if the route splits its traffic."""
    if not route.traffic_split:
        return route.service
    weights = [max(0.0, part.weight) for part in route.traffic_split]
    if sum(weights) <= 0.0:
        return route.traffic_split[0].service
    return generator.choices(route.traffic_split, weights)[0].service
