"""Routes from request hosts and paths to services, and the services.

Generated from schema/routing.toml by tools/generate_schema.py; do not edit.
"""

from __future__ import annotations

import attrs

from ._repr_mixin import ReprMixin
from ._validators import within


@attrs.frozen(repr=False)
class WeightedService(ReprMixin):
    """A service and its share of the traffic of a route."""

    #: Name of the service.
    service: str
    #: Share of the traffic, relative to the other services of the route.
    weight: float = attrs.field(default=1.0, validator=within(0.0, 1000000.0))


@attrs.frozen(repr=False)
class Route(ReprMixin):
    """Targets and parameters of requests to a host and path prefix."""

    #: Name of the route, unique in the routing table.
    name: str
    #: Host of the request, without a port.
    host: str
    #: Prefix of the path; starts and ends with a slash.
    path_prefix: str
    #: Services that share the traffic; none if the route can't be served.
    targets: list[WeightedService]
    #: Whether a request may be retried after an attempt that may have started running.
    is_repeatable: bool = attrs.field(default=False)
    #: Whether the response is an event stream.
    is_stream: bool = attrs.field(default=False)
    #: Whether an interrupted stream may be resumed at another upstream.
    is_resumable: bool = attrs.field(default=False)
    #: Whether requests need no key.
    is_public: bool = attrs.field(default=False)
    #: Maximum time for a request.
    timeout_seconds: float = attrs.field(
        default=60.0, validator=within(0.001, 1000000000.0)
    )
    #: Target latency of the response, or of its first event.
    latency_target_seconds: float = attrs.field(
        default=1.0, validator=within(0.001, 1000000000.0)
    )
    #: Target for the maximum gap between two events; 0 for no target.
    gap_target_seconds: float = attrs.field(
        default=0.0, validator=within(0.0, 1000000000.0)
    )
    #: Maximum number of upstreams on which a request may run.
    max_attempts_count: int = attrs.field(default=1, validator=within(1, 1000000000))
    #: Priority of the requests; 0 is the highest.
    priority_rank: int = attrs.field(default=1, validator=within(0, 9))


@attrs.frozen(repr=False)
class Service(ReprMixin):
    """A group of upstreams that serve the same requests."""

    #: Name of the service.
    name: str
    #: Path of the upstreams' health check.
    health_path: str = attrs.field(default="/health")
    #: Connections that one upstream accepts from all hosts together.
    max_connections_count: int = attrs.field(
        default=1024, validator=within(1, 1000000000)
    )
    #: Whether its upstreams are model engines.
    is_engine: bool = attrs.field(default=False)
    #: Model that the engines serve.
    model: str = attrs.field(default="")
    #: Concurrent requests of one upstream; 0 if unknown.
    slots_count: int = attrs.field(default=0, validator=within(0, 1000000000))
    #: Capacity of one engine's prefix cache in tokens.
    cache_tokens: int = attrs.field(default=0, validator=within(0, None))
    #: Cache size of one token in bytes.
    token_bytes: int = attrs.field(default=0, validator=within(0, None))
    #: Link speed of one engine for cache imports.
    link_bits_per_second: float = attrs.field(default=0.0, validator=within(0.0, None))
    #: Concurrent long polls for cache events that one engine accepts.
    max_event_readers_count: int = attrs.field(default=0, validator=within(0, None))
    #: Answer tokens in one event of a stream; 0 if unknown.
    event_tokens: int = attrs.field(default=0, validator=within(0, None))


@attrs.frozen(repr=False)
class KeptStore(ReprMixin):
    """A KV store to which engines save cache entries and from which they import them."""

    #: Name of the store.
    name: str
    #: IP and port of the store.
    address: str
    #: Hall of the store.
    hall: str
    #: Capacity of the store in tokens.
    cache_tokens: int = attrs.field(default=0, validator=within(0, None))
    #: Link speed of the store.
    link_bits_per_second: float = attrs.field(default=0.0, validator=within(0.0, None))


@attrs.frozen(repr=False)
class CallerLimits(ReprMixin):
    """Limits on the size, duration and idle time of callers' requests and connections."""

    #: Maximum size of the header section.
    max_header_bytes: int = attrs.field(default=65536, validator=within(256, 1048576))
    #: Maximum size of a request body.
    max_body_bytes: int = attrs.field(default=4194304, validator=within(0, 1073741824))
    #: Maximum time for receiving a request.
    body_timeout_seconds: float = attrs.field(
        default=10.0, validator=within(0.01, 1000000000.0)
    )
    #: Maximum idle time of a persistent connection.
    idle_timeout_seconds: float = attrs.field(
        default=75.0, validator=within(0.01, 1000000000.0)
    )


@attrs.frozen(repr=False)
class Routing(ReprMixin):
    """All routes and their services."""

    #: Routes; the longest matching prefix of a host applies.
    routes: list[Route] = attrs.field(factory=list)
    #: All services.
    services: list[Service] = attrs.field(factory=list)
    #: KV stores.
    kept_stores: list[KeptStore] = attrs.field(factory=list)
    #: Limits on callers.
    caller_limits: CallerLimits = attrs.field(factory=CallerLimits)
