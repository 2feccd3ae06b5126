"""Settings of a rampwickd process in its TOML file.

Generated from schema/settings.toml by tools/generate_schema.py; do not edit.
"""

from __future__ import annotations

import attrs

from ._repr_mixin import ReprMixin
from ._validators import one_of, within


@attrs.frozen(repr=False)
class HostSettings(ReprMixin):
    """Identity of this process."""

    #: Name of the host, unique in the fleet.
    name: str
    #: Hall of the host.
    hall: str
    #: Region of the hall.
    region: str = attrs.field(default="local")
    #: Link speed of the host; hosts with faster links are preferred as readers of the platform and as relays, and messages to peers that may wait use 0.4 of it at most.
    link_megabits_per_second: float = attrs.field(
        default=1000.0, validator=within(0.001, 10000000.0)
    )


@attrs.frozen(repr=False)
class ListenSettings(ReprMixin):
    """Listening addresses; port 0 selects a free port and prints it."""

    #: IP address for callers, peers and operators.
    address: str = attrs.field(default="127.0.0.1")
    #: Port of the HTTP interface for callers.
    entry_port: int = attrs.field(default=0, validator=within(0, 65535))
    #: Port of the operators' interface: metrics, status, drain.
    admin_port: int = attrs.field(default=0, validator=within(0, 65535))
    #: Interface for callers as ip:port; if empty, address and entry_port are used.
    entry: str = attrs.field(default="")
    #: Interface for operators as ip:port; if empty, address and admin_port are used.
    admin: str = attrs.field(default="")
    #: Interface for peers as ip:port; if empty, address and peer_port are used.
    peer: str = attrs.field(default="")
    #: Listener as ip:port that serves only the readiness check for load balancers; empty for none.
    ready: str = attrs.field(default="")
    #: Port of the interface for peers.
    peer_port: int = attrs.field(default=0, validator=within(0, 65535))


@attrs.frozen(repr=False)
class PlatformSettings(ReprMixin):
    """The platform's object API."""

    #: Base URL; if empty, the host runs without a platform, on the fallback tree.
    url: str = attrs.field(default="")
    #: Time after which a revoked key must be rejected on routes; requests with keys are rejected slightly earlier if the configuration has not been confirmed since. 0 for no bound.
    max_key_age_seconds: float = attrs.field(default=0.0, validator=within(0.0, 3600.0))
    #: Time within which a newer configuration must be active; before a request with an unknown route or key is rejected, the platform is read if the configuration has not been confirmed for slightly less than this time. 0 for no bound.
    max_denial_age_seconds: float = attrs.field(
        default=0.0, validator=within(0.0, 3600.0)
    )
    #: Timeout of a call.
    call_timeout_seconds: float = attrs.field(default=2.0, validator=within(0.01, 60.0))
    #: Duration of one watch call.
    watch_timeout_seconds: float = attrs.field(
        default=10.0, validator=within(0.1, 300.0)
    )
    #: Duration of one watch call on the configuration if it has routes; each response confirms it.
    confirm_wait_seconds: float = attrs.field(
        default=2.0, validator=within(0.05, 300.0)
    )
    #: Polling interval of the host list.
    host_list_interval_seconds: float = attrs.field(
        default=1.0, validator=within(0.05, 60.0)
    )
    #: Interval at which upstreams renew their entries. After an outage in which several renewals may have been missed, entries that are missing may have expired and are retained until their upstreams can have registered again.
    entry_renewal_seconds: float = attrs.field(
        default=1.2, validator=within(0.05, 3600.0)
    )
    #: Rate limit of this process for platform calls.
    calls_per_second: float = attrs.field(default=20.0, validator=within(0.1, 2000.0))


@attrs.frozen(repr=False)
class PeerSettings(ReprMixin):
    """Connections between rampwickd processes."""

    #: Shared secret for the authentication of peers; if empty, peering is disabled.
    secret: str = attrs.field(default="")
    #: Peers as ip:port, in addition to the platform's host list.
    seeds: list[str] = attrs.field(factory=list)
    #: Address for peers as ip:port, if it differs from the listening address, e.g. behind a forwarder.
    advertised_address: str = attrs.field(default="")
    #: Interval of the summaries to each peer, which are also heartbeats.
    gossip_interval_seconds: float = attrs.field(
        default=0.25, validator=within(0.02, 30.0)
    )
    #: Time without a message after which a peer counts as dead.
    dead_after_seconds: float = attrs.field(default=3.0, validator=within(0.1, 120.0))
    #: Maximum size of a message from a peer.
    max_message_bytes: int = attrs.field(
        default=1048576, validator=within(1024, 16777216)
    )
    #: Maximum number of connections that this host makes to upstreams for peers that have lost their own links; 0 turns tunnels off in both directions.
    max_tunnels_count: int = attrs.field(default=256, validator=within(0, 10000))


@attrs.frozen(repr=False)
class PlacementSettings(ReprMixin):
    """Placement of requests on runners."""

    #: Weight of the time to recompute a token relative to waiting time; higher values favour the cache hit rate, lower values the time to first token.
    miss_price: float = attrs.field(default=8.0, validator=within(0.0, 100.0))
    #: Size of one hashed block of prompt text.
    block_bytes: int = attrs.field(default=256, validator=within(16, 16384))
    #: Bytes of prompt text that count as one token.
    bytes_per_token: float = attrs.field(default=4.0, validator=within(0.5, 16.0))
    #: Maximum number of indexed prefixes of all runners.
    known_prefixes_count: int = attrs.field(
        default=200000, validator=within(100, 5000000)
    )
    #: Prefill speed that is assumed until a runner reports its speed.
    prefill_tokens_per_second: float = attrs.field(
        default=8000.0, validator=within(1.0, 10000000.0)
    )
    #: Cost of a token imported from another cache, relative to computing it.
    import_price: float = attrs.field(default=0.1, validator=within(0.0, 100.0))
    #: Cost of sending a request to another hall, as waiting time.
    hall_distance_seconds: float = attrs.field(
        default=0.002, validator=within(0.0, 10.0)
    )
    #: Cost of opening a connection to an upstream, as waiting time; an idle connection costs nothing.
    connect_price_seconds: float = attrs.field(
        default=0.001, validator=within(0.0, 10.0)
    )
    #: Time after a change of the target weights during which the previous ones incur no penalty.
    outdated_grace_seconds: float = attrs.field(
        default=1.0, validator=within(0.0, 3600.0)
    )
    #: Cost of a runner with older weights after that time, as waiting time.
    outdated_penalty_seconds: float = attrs.field(
        default=0.2, validator=within(0.0, 3600.0)
    )
    #: Time after which no request may start on older weights; runners get no requests slightly earlier. 0 for no bound.
    max_outdated_seconds: float = attrs.field(
        default=0.0, validator=within(0.0, 3600.0)
    )
    #: Maximum prefill queue at a runner, as prefill time; further requests are queued at the host in fair order.
    max_prefill_queue_seconds: float = attrs.field(
        default=0.1, validator=within(0.001, 60.0)
    )
    #: Whether long prompts are kept away from a part of the runners, so that their prefill does not pause the streams of short prompts.
    isolates_prefill: bool = attrs.field(default=False)


@attrs.frozen(repr=False)
class QueueSettings(ReprMixin):
    """Request queue."""

    #: Maximum number of queued requests on this host.
    max_waiting_count: int = attrs.field(default=1000, validator=within(1, 100000))
    #: Time constant of the exponential decay of past usage.
    usage_decay_seconds: float = attrs.field(default=10.0, validator=within(0.1, 600.0))
    #: Deadline of requests without one.
    default_deadline_seconds: float = attrs.field(
        default=60.0, validator=within(0.1, 3600.0)
    )
    #: Maximum number of requests at a runner, as a multiple of its reported slots.
    slots_factor: float = attrs.field(default=1.0, validator=within(0.1, 10.0))
    #: Whether arriving requests that cannot start before their deadline, by an estimate from the work of all hosts, are refused at once.
    estimates_start: bool = attrs.field(default=False)


@attrs.frozen(repr=False)
class QuotaSettings(ReprMixin):
    """Enforcement of the tree's token limits in the fleet."""

    #: Sliding window over which the tokens sent by all hosts are compared with a limit.
    window_seconds: float = attrs.field(default=8.0, validator=within(0.1, 3600.0))
    #: Fraction of a limit by which it may be exceeded temporarily while updates between hosts are in flight.
    over_ratio: float = attrs.field(default=0.0, validator=within(0.0, 10.0))
    #: Additional tokens by which a limit may be exceeded.
    slack_tokens: float = attrs.field(
        default=0.0, validator=within(0.0, 1000000000000.0)
    )


@attrs.frozen(repr=False)
class RetrySettings(ReprMixin):
    """Retries and health checks of upstreams."""

    #: Retry budget as a fraction of first attempts.
    budget_ratio: float = attrs.field(default=0.1, validator=within(0.0, 1.0))
    #: Fraction of the budget that is used, as a safety margin where an external check applies the whole budget.
    margin_ratio: float = attrs.field(default=1.0, validator=within(0.0, 1.0))
    #: Retry burst of all hosts together for one service, divided equally; if negative, max_saved_count applies.
    fleet_saved_count: float = attrs.field(
        default=-1.0, validator=within(-1.0, 1000000.0)
    )
    #: Retry burst for one service: retries accumulated while no attempt fails.
    max_saved_count: float = attrs.field(default=64.0, validator=within(0.0, 100000.0))
    #: Minimum refill rate of the retry budget while it is empty.
    floor_per_second: float = attrs.field(default=0.5, validator=within(0.0, 1000.0))
    #: Whether an attempt after a refusal is charged to the budget like one after a failure.
    charges_refusals: bool = attrs.field(default=False)
    #: Probe interval for healthy upstreams; if 0, only upstreams that are down are probed.
    probe_interval_seconds: float = attrs.field(
        default=1.0, validator=within(0.0, 60.0)
    )
    #: Fraction of a request's latency target for which it is queued while no upstream is available.
    hold_ratio: float = attrs.field(default=0.25, validator=within(0.0, 100.0))
    #: Maximum number of attempts for one request, including the first.
    max_attempts_count: int = attrs.field(default=3, validator=within(1, 10))
    #: Initial fraction of its slots for an upstream that has recovered.
    ramp_start_ratio: float = attrs.field(default=0.1, validator=within(0.001, 1.0))
    #: Time until an upstream that has recovered gets all its slots.
    ramp_seconds: float = attrs.field(default=6.0, validator=within(0.01, 600.0))
    #: Time without data from an upstream after which the attempt fails.
    silence_timeout_seconds: float = attrs.field(
        default=10.0, validator=within(0.05, 600.0)
    )


@attrs.frozen(repr=False)
class LimitSettings(ReprMixin):
    """Limits on callers' requests."""

    #: Maximum size of a request body.
    max_body_bytes: int = attrs.field(
        default=4194304, validator=within(1024, 1073741824)
    )
    #: Maximum size of the header section.
    max_header_bytes: int = attrs.field(default=65536, validator=within(1024, 1048576))
    #: Timeout for receiving the request body.
    body_timeout_seconds: float = attrs.field(
        default=10.0, validator=within(0.05, 600.0)
    )
    #: Maximum size of an event in an upstream's stream.
    max_event_bytes: int = attrs.field(
        default=1048576, validator=within(1024, 16777216)
    )
    #: Maximum size of the body of an upstream's answer.
    max_answer_bytes: int = attrs.field(
        default=268435456, validator=within(1024, 1099511627776)
    )
    #: Maximum number of bytes of answers that the process buffers at once; the largest answer is ended first.
    max_buffered_bytes: int = attrs.field(
        default=25165824, validator=within(1048576, 1099511627776)
    )
    #: Maximum number of bytes that are buffered for one answer.
    max_buffered_answer_bytes: int = attrs.field(
        default=8388608, validator=within(65536, 1099511627776)
    )
    #: Timeout for writing a chunk to a caller.
    write_timeout_seconds: float = attrs.field(
        default=30.0, validator=within(0.05, 600.0)
    )
    #: Memory that the process may use; bounds for callers are derived from it.
    process_memory_bytes: int = attrs.field(
        default=150000000, validator=within(16000000, 1099511627776)
    )
    #: Number of file descriptors that the process may use; 0 for the limit that the system sets.
    max_files_count: int = attrs.field(default=0, validator=within(0, 16777216))
    #: Maximum memory for connections and requests of callers together, from the first byte received until the response has ended; beyond it idle connections and slow requests are ended, then requests are refused. 0 for a quarter of the process's memory.
    max_caller_bytes: int = attrs.field(default=0, validator=within(0, 1099511627776))
    #: Maximum number of callers' connections; beyond it the one that has been idle for longest is closed. 0 for one for each 150 kB of the process's memory, at most three quarters of its descriptors.
    max_caller_connections_count: int = attrs.field(
        default=0, validator=within(0, 16777216)
    )


@attrs.frozen(repr=False)
class LifeSettings(ReprMixin):
    """Startup and shutdown."""

    #: Time between reporting not ready and refusing new requests, so that load balancers can react.
    balancer_delay_seconds: float = attrs.field(
        default=2.0, validator=within(0.0, 300.0)
    )
    #: Time after which a stopping process is killed; it exits slightly earlier even if requests are open. 0 for no bound.
    stop_within_seconds: float = attrs.field(
        default=0.0, validator=within(0.0, 86400.0)
    )
    #: Whether new requests are refused after balancer_delay_seconds; otherwise they are served until the process exits.
    refuses_while_leaving: bool = attrs.field(default=True)
    #: Maximum wait for open requests at shutdown.
    drain_timeout_seconds: float = attrs.field(
        default=300.0, validator=within(0.0, 86400.0)
    )
    #: File with a tree and upstreams for a start without a platform and without peers.
    fallback_tree: str = attrs.field(default="")


@attrs.frozen(repr=False)
class ClaimSettings(ReprMixin):
    """Requests with at-most-once execution."""

    #: Time for which an idempotency key is retained.
    window_seconds: float = attrs.field(default=600.0, validator=within(1.0, 86400.0))
    #: Number of platform objects over which keys are sharded; must be the same on every host.
    shards_count: int = attrs.field(default=16, validator=within(1, 4096))
    #: Time during which claims are batched into one write.
    batch_seconds: float = attrs.field(default=0.005, validator=within(0.0, 1.0))


@attrs.frozen(repr=False)
class StewardSettings(ReprMixin):
    """Rollout controller: orders to runners, sent by one host of a region at a time."""

    #: Whether this host may hold the lease.
    is_candidate: bool = attrs.field(default=True)
    #: Duration of the lease; it is renewed after a third of it.
    lease_seconds: float = attrs.field(default=10.0, validator=within(0.2, 600.0))
    #: Minimum time between the orders of two holders; the lease is at least that much longer than the window.
    orders_apart_seconds: float = attrs.field(default=0.0, validator=within(0.0, 600.0))
    #: Time after a renewal during which the holder may send orders; shorter than the lease, so that the orders of two holders do not overlap.
    order_window_seconds: float = attrs.field(
        default=5.0, validator=within(0.05, 600.0)
    )
    #: Maximum number of runners that load weights concurrently, unless max_loads_ratio allows more; concurrent loads may slow each other down.
    max_loads_count: int = attrs.field(default=2, validator=within(1, 10000))
    #: Fraction of a model's runners that may load concurrently, if that is more than max_loads_count.
    max_loads_ratio: float = attrs.field(default=0.0, validator=within(0.0, 1.0))
    #: Handling of a runner's streams at a load: drain waits for them to end, cut ends them, keep continues them under the new weights.
    manner: str = attrs.field(
        default="drain", validator=one_of(["drain", "cut", "keep"])
    )
    #: Timeout of an ordered load.
    load_timeout_seconds: float = attrs.field(
        default=120.0, validator=within(0.1, 3600.0)
    )


@attrs.frozen(repr=False)
class Settings(ReprMixin):
    """All settings of one rampwickd process."""

    #: Identity of this process.
    host: HostSettings
    #: Listening addresses.
    listen: ListenSettings = attrs.field(factory=ListenSettings)
    #: The platform's object API.
    platform: PlatformSettings = attrs.field(factory=PlatformSettings)
    #: Connections between processes.
    peers: PeerSettings = attrs.field(factory=PeerSettings)
    #: Placement of requests on runners.
    placement: PlacementSettings = attrs.field(factory=PlacementSettings)
    #: Request queue.
    queue: QueueSettings = attrs.field(factory=QueueSettings)
    #: Retries and health checks.
    retry: RetrySettings = attrs.field(factory=RetrySettings)
    #: Token limits.
    quota: QuotaSettings = attrs.field(factory=QuotaSettings)
    #: Limits on callers.
    limits: LimitSettings = attrs.field(factory=LimitSettings)
    #: Startup and shutdown.
    life: LifeSettings = attrs.field(factory=LifeSettings)
    #: Rollout controller.
    steward: StewardSettings = attrs.field(factory=StewardSettings)
    #: Requests with at-most-once execution.
    claims: ClaimSettings = attrs.field(factory=ClaimSettings)
