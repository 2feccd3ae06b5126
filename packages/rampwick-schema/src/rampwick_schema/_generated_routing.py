"""Routes from callers' hosts and paths to services, and the services themselves.

Generated from schema/routing.toml by tools/generate_schema.py; do not edit.
"""

from __future__ import annotations

import attrs

from ._shown import Shown
from ._validators import within


@attrs.frozen(repr=False)
class WeightedService(Shown):
    """A service and its part of a route's traffic."""

    #: Name of the service.
    service: str
    #: Part of the traffic, relative to the other services of the route.
    weight: float = attrs.field(default=1.0, validator=within(0.0, 1000000.0))


@attrs.frozen(repr=False)
class Route(Shown):
    """Where requests to a host and path prefix go, and on what terms."""

    #: Name of the route, unique in the table.
    name: str
    #: Host that callers name, without a port.
    host: str
    #: Beginning of the path; starts and ends with a slash.
    path_prefix: str
    #: Services that share the traffic.
    targets: list[WeightedService]
    #: Whether a request may run again after a run that may have begun.
    is_repeatable: bool = attrs.field(default=False)
    #: Whether the answer is a stream of events.
    is_stream: bool = attrs.field(default=False)
    #: Whether a broken stream may go on at another upstream.
    is_resumable: bool = attrs.field(default=False)
    #: Whether requests need no key.
    is_public: bool = attrs.field(default=False)
    #: Longest time that a request is held.
    timeout_seconds: float = attrs.field(default=60.0, validator=within(0.001, 3600.0))
    #: Time within which the answer, or its first event, is worth most.
    latency_target_seconds: float = attrs.field(
        default=1.0, validator=within(0.001, 3600.0)
    )
    #: Longest pause between two events that is still in time; 0 if none is set.
    gap_target_seconds: float = attrs.field(default=0.0, validator=within(0.0, 3600.0))
    #: Upstreams on which one request may run.
    max_attempts_count: int = attrs.field(default=1, validator=within(1, 10))
    #: Rank of the requests; 0 goes first.
    priority_rank: int = attrs.field(default=1, validator=within(0, 9))


@attrs.frozen(repr=False)
class Service(Shown):
    """A group of upstreams that serve the same requests."""

    #: Name of the service.
    name: str
    #: Path at which an upstream tells its health.
    health_path: str = attrs.field(default="/health")
    #: Connections that one upstream takes from all hosts together.
    max_connections_count: int = attrs.field(default=1024, validator=within(1, 1000000))
    #: Whether its upstreams are model engines.
    is_engine: bool = attrs.field(default=False)
    #: Model that the engines serve.
    model: str = attrs.field(default="")
    #: Requests that one upstream works on at once; 0 if unknown.
    slots_count: int = attrs.field(default=0, validator=within(0, 100000))
    #: Tokens that one engine's prefix cache holds.
    cache_tokens: int = attrs.field(default=0, validator=within(0, None))
    #: Bytes of cache that one token takes.
    token_bytes: int = attrs.field(default=0, validator=within(0, None))
    #: Speed of one engine's link for cache imports.
    link_bits_per_second: float = attrs.field(default=0.0, validator=within(0.0, None))
    #: Waiting reads of cache events that one engine takes.
    max_event_readers_count: int = attrs.field(default=0, validator=within(0, None))


@attrs.frozen(repr=False)
class KeptStore(Shown):
    """A store of kept KV cache that engines save to and import from."""

    #: Name of the store.
    name: str
    #: IP and port.
    address: str
    #: Hall that it stands in.
    hall: str
    #: Tokens that it holds.
    cache_tokens: int = attrs.field(default=0, validator=within(0, None))
    #: Speed of its link.
    link_bits_per_second: float = attrs.field(default=0.0, validator=within(0.0, None))


@attrs.frozen(repr=False)
class CallerLimits(Shown):
    """Bounds on what a caller may send and how long it may rest."""

    #: Largest header section.
    max_header_bytes: int = attrs.field(default=65536, validator=within(256, 1048576))
    #: Largest request body.
    max_body_bytes: int = attrs.field(default=4194304, validator=within(0, 1073741824))
    #: Longest time in which a caller sends a request.
    body_timeout_seconds: float = attrs.field(
        default=10.0, validator=within(0.01, 3600.0)
    )
    #: Longest rest of a kept connection.
    idle_timeout_seconds: float = attrs.field(
        default=75.0, validator=within(0.01, 3600.0)
    )


@attrs.frozen(repr=False)
class Routing(Shown):
    """All routes with the services that they lead to."""

    #: Routes; the longest prefix of a host wins.
    routes: list[Route] = attrs.field(factory=list)
    #: Services.
    services: list[Service] = attrs.field(factory=list)
    #: Stores of kept KV cache.
    kept_stores: list[KeptStore] = attrs.field(factory=list)
    #: Bounds on callers.
    caller_limits: CallerLimits = attrs.field(factory=CallerLimits)
