"""Selection of the route of a request, and of the service that receives it.

A ``RouteIndex`` is built once for each revision of the configuration, so that lookups
are dictionary accesses.
"""

import hashlib
from collections.abc import Iterator

from rampwick_schema import Route, Routing, Service

#: Bytes of the hash that distributes requests over a route's services.
_HASH_BYTES = 8


class RouteIndex:
    """Routes and services of one revision, indexed by host and by name."""

    def __init__(self, routing: Routing) -> None:
        self.routing = routing
        self._services = {service.name: service for service in routing.services}
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routing.routes:
            self._by_host.setdefault(route.host, {})[route.path_prefix] = route

    def __len__(self) -> int:
        return len(self.routing.routes)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of ``host`` with the longest matching prefix of ``path``."""
        routes = self._by_host.get(host)
        if not routes:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def service(self, name: str) -> Service | None:
        """Return the service with this name, or ``None``."""
        return self._services.get(name)


def choose_service(route: Route, request_id: str) -> str:
    """Return the service that receives a request, by the weights of a route with any.

    The choice depends only on the request ID, so all hosts make the same choice.
    """
    total = sum(target.weight for target in route.targets)
    digest = hashlib.blake2b(request_id.encode(), digest_size=_HASH_BYTES).digest()
    draw = int.from_bytes(digest, "big") / 256.0**_HASH_BYTES * total
    for target in route.targets:
        draw -= target.weight
        if draw < 0.0:
            return target.service
    return route.targets[-1].service


def routing_problems(routing: Routing) -> Iterator[str]:
    """Yield a short text for each problem that makes a routing table invalid."""
    names = {service.name for service in routing.services}
    owners: dict[tuple[str, str], str] = {}
    for route in routing.routes:
        prefix = route.path_prefix
        if not (prefix.startswith("/") and prefix.endswith("/")):
            yield (
                f"route {route.name}: path_prefix {prefix!r} must start and end with /"
            )
        owner = owners.setdefault((route.host, prefix), route.name)
        if owner != route.name:
            yield f"route {route.name}: same host and path_prefix as {owner}"
        weights = [target.weight for target in route.targets]
        # A route without services is known and can't be served.
        if weights and not sum(weights) > 0.0:
            yield f"route {route.name}: total weight of its services is not positive"
        for target in route.targets:
            if target.service not in names:
                yield f"route {route.name}: unknown service {target.service!r}"
