"""Settings of one rampwickd process, as written in its TOML file.

Generated from schema/settings.toml by tools/generate_schema.py; do not edit.
"""

from __future__ import annotations

import attrs

from ._shown import Shown
from ._validators import one_of, within


@attrs.frozen(repr=False)
class HostSettings(Shown):
    """Who this process is."""

    #: Name of the host, unique in the fleet.
    name: str
    #: Hall that the host stands in.
    hall: str
    #: Region that the hall belongs to.
    region: str = attrs.field(default="local")
    #: Speed of the host's link; hosts with faster ones read the platform and relay for the others.
    link_megabits_per_second: float = attrs.field(
        default=1000.0, validator=within(0.001, 10000000.0)
    )


@attrs.frozen(repr=False)
class ListenSettings(Shown):
    """Where this process listens; port 0 takes a free port and prints it."""

    #: IP address for callers, peers and operators.
    address: str = attrs.field(default="127.0.0.1")
    #: Port of the callers' HTTP interface.
    entry_port: int = attrs.field(default=0, validator=within(0, 65535))
    #: Port for operators: metrics, status, drain.
    admin_port: int = attrs.field(default=0, validator=within(0, 65535))
    #: Callers' interface as ip:port; empty takes address and entry_port.
    entry: str = attrs.field(default="")
    #: Operators' interface as ip:port; empty takes address and admin_port.
    admin: str = attrs.field(default="")
    #: Streams between processes as ip:port; empty takes address and peer_port.
    peer: str = attrs.field(default="")
    #: A listener as ip:port that tells a balancer no more than whether the host is ready; empty for none.
    ready: str = attrs.field(default="")
    #: Port for the streams between rampwickd processes.
    peer_port: int = attrs.field(default=0, validator=within(0, 65535))


@attrs.frozen(repr=False)
class PlatformSettings(Shown):
    """The platform's object API."""

    #: Base URL; empty runs without a platform, on the fallback tree.
    url: str = attrs.field(default="")
    #: Time after which a key that was taken away must not be honoured on routes; requests with keys are refused a margin earlier if the configuration was not confirmed since. 0 for no bound.
    max_key_age_seconds: float = attrs.field(default=0.0, validator=within(0.0, 3600.0))
    #: Time within which a newer configuration is in force; an unknown route or key is looked up on the platform first if the configuration was not confirmed for a margin less. 0 for no bound.
    max_denial_age_seconds: float = attrs.field(
        default=0.0, validator=within(0.0, 3600.0)
    )
    #: Longest wait for one answer.
    call_timeout_seconds: float = attrs.field(default=2.0, validator=within(0.01, 60.0))
    #: Length of one waiting watch.
    watch_timeout_seconds: float = attrs.field(
        default=10.0, validator=within(0.1, 300.0)
    )
    #: Length of one waiting watch on a configuration that routes hang on; each answer confirms it.
    confirm_wait_seconds: float = attrs.field(
        default=2.0, validator=within(0.05, 300.0)
    )
    #: Time between two reads of the host list.
    host_list_interval_seconds: float = attrs.field(
        default=1.0, validator=within(0.05, 60.0)
    )
    #: Budget of calls for this process.
    calls_per_second: float = attrs.field(default=20.0, validator=within(0.1, 2000.0))


@attrs.frozen(repr=False)
class PeerSettings(Shown):
    """Streams between rampwickd processes."""

    #: Shared secret that peers prove to each other; empty turns peering off.
    secret: str = attrs.field(default="")
    #: Peers as ip:port, used next to the platform's host list.
    seeds: list[str] = attrs.field(factory=list)
    #: Where peers reach this host, as ip:port, if that is not where it listens; for hosts behind a forwarder.
    advertised_address: str = attrs.field(default="")
    #: Time between two summaries to each peer; also the heartbeat.
    gossip_interval_seconds: float = attrs.field(
        default=0.25, validator=within(0.02, 30.0)
    )
    #: Silence after which a peer counts as gone.
    dead_after_seconds: float = attrs.field(default=3.0, validator=within(0.1, 120.0))
    #: Largest message taken from a peer.
    max_message_bytes: int = attrs.field(
        default=1048576, validator=within(1024, 16777216)
    )


@attrs.frozen(repr=False)
class PlacementSettings(Shown):
    """How runners are chosen."""

    #: Weight of a recomputed token against the same time spent waiting; higher favours the hit rate, lower the first token.
    miss_price: float = attrs.field(default=8.0, validator=within(0.0, 100.0))
    #: Bytes of prompt text in one hashed block.
    block_bytes: int = attrs.field(default=256, validator=within(16, 16384))
    #: Bytes of prompt text counted as one token.
    bytes_per_token: float = attrs.field(default=4.0, validator=within(0.5, 16.0))
    #: Prefixes remembered over all runners.
    known_prefixes_count: int = attrs.field(
        default=200000, validator=within(100, 5000000)
    )
    #: Prefill speed assumed until a runner reports its own.
    prefill_tokens_per_second: float = attrs.field(
        default=8000.0, validator=within(1.0, 10000000.0)
    )
    #: Weight of a token imported from another cache, as part of the price of computing it.
    import_price: float = attrs.field(default=0.1, validator=within(0.0, 100.0))
    #: What sending a request to another hall is taken to cost, as waiting time.
    hall_distance_seconds: float = attrs.field(
        default=0.002, validator=within(0.0, 10.0)
    )
    #: What opening a connection to an upstream is taken to cost, as waiting time; one that rests costs nothing.
    connect_price_seconds: float = attrs.field(
        default=0.001, validator=within(0.0, 10.0)
    )
    #: Time after the naming of newer weights in which older ones count as good.
    outdated_grace_seconds: float = attrs.field(
        default=1.0, validator=within(0.0, 3600.0)
    )
    #: What a runner with older weights is then taken to cost, as waiting time.
    outdated_penalty_seconds: float = attrs.field(
        default=0.2, validator=within(0.0, 3600.0)
    )
    #: Time after which nothing may begin on older weights; a runner gets nothing a margin earlier. 0 for no bound.
    max_outdated_seconds: float = attrs.field(
        default=0.0, validator=within(0.0, 3600.0)
    )
    #: Prompts kept waiting for prefill at a runner, as prefill time; the rest waits here, in fair order.
    max_prefill_queue_seconds: float = attrs.field(
        default=0.1, validator=within(0.001, 60.0)
    )


@attrs.frozen(repr=False)
class QueueSettings(Shown):
    """Waiting requests."""

    #: Requests that may wait on this host.
    max_waiting_count: int = attrs.field(default=1000, validator=within(1, 100000))
    #: Time constant with which past use of the pool is forgotten.
    usage_decay_seconds: float = attrs.field(default=10.0, validator=within(0.1, 600.0))
    #: Deadline of a request that names none.
    default_deadline_seconds: float = attrs.field(
        default=60.0, validator=within(0.1, 3600.0)
    )
    #: Requests kept at a runner, as a multiple of the slots it reports.
    slots_factor: float = attrs.field(default=1.0, validator=within(0.1, 10.0))


@attrs.frozen(repr=False)
class QuotaSettings(Shown):
    """How the fleet keeps the tree's limits in tokens."""

    #: Sliding window in which what all hosts send is held against a limit.
    window_seconds: float = attrs.field(default=8.0, validator=within(0.1, 3600.0))
    #: Part of a limit by which it may be passed for a moment while hosts hear of each other.
    over_ratio: float = attrs.field(default=0.0, validator=within(0.0, 10.0))
    #: Tokens by which it may be passed beside that.
    slack_tokens: float = attrs.field(
        default=0.0, validator=within(0.0, 1000000000000.0)
    )


@attrs.frozen(repr=False)
class RetrySettings(Shown):
    """Repeated attempts and health of upstreams."""

    #: Retries allowed as a share of fresh requests.
    budget_ratio: float = attrs.field(default=0.1, validator=within(0.0, 1.0))
    #: Part of the budget that is really used, where others judge by the whole.
    margin_ratio: float = attrs.field(default=1.0, validator=within(0.0, 1.0))
    #: Retries that all hosts together may save up for one service, each an equal part; a negative one takes max_saved_count.
    fleet_saved_count: float = attrs.field(
        default=-1.0, validator=within(-1.0, 1000000.0)
    )
    #: Retries that may be saved up for one service while nothing fails.
    max_saved_count: float = attrs.field(default=64.0, validator=within(0.0, 100000.0))
    #: Retries earned by time alone while none is saved.
    floor_per_second: float = attrs.field(default=0.5, validator=within(0.0, 1000.0))
    #: Whether an attempt after a refusal is paid from the budget, as one after a failure is.
    charges_refusals: bool = attrs.field(default=False)
    #: Time between two probes of a healthy upstream; 0 probes only those that are down.
    probe_interval_seconds: float = attrs.field(
        default=1.0, validator=within(0.0, 60.0)
    )
    #: Part of a request's latency target for which it waits while no upstream can take it.
    hold_ratio: float = attrs.field(default=0.25, validator=within(0.0, 100.0))
    #: Attempts for one request, the first included.
    max_attempts_count: int = attrs.field(default=3, validator=within(1, 10))
    #: Share of its slots that a returning upstream is given at first.
    ramp_start_ratio: float = attrs.field(default=0.1, validator=within(0.001, 1.0))
    #: Time over which a returning upstream gets back all its slots.
    ramp_seconds: float = attrs.field(default=6.0, validator=within(0.01, 600.0))
    #: Silence of an upstream after which the attempt counts as failed.
    silence_timeout_seconds: float = attrs.field(
        default=10.0, validator=within(0.05, 600.0)
    )


@attrs.frozen(repr=False)
class LimitSettings(Shown):
    """Bounds on what a caller may send."""

    #: Largest request body.
    max_body_bytes: int = attrs.field(
        default=4194304, validator=within(1024, 1073741824)
    )
    #: Largest header section.
    max_header_bytes: int = attrs.field(default=65536, validator=within(1024, 1048576))
    #: Longest time in which a caller sends its body.
    body_timeout_seconds: float = attrs.field(
        default=10.0, validator=within(0.05, 600.0)
    )
    #: Largest event taken from an upstream's stream.
    max_event_bytes: int = attrs.field(
        default=1048576, validator=within(1024, 16777216)
    )
    #: Longest time in which a caller takes a chunk.
    write_timeout_seconds: float = attrs.field(
        default=30.0, validator=within(0.05, 600.0)
    )


@attrs.frozen(repr=False)
class LifeSettings(Shown):
    """Starting and stopping."""

    #: Time between not ready and closed to new requests.
    balancer_delay_seconds: float = attrs.field(
        default=2.0, validator=within(0.0, 300.0)
    )
    #: Time after which a stopping process is killed; it leaves a margin earlier, whatever is open. 0 for no bound.
    stop_within_seconds: float = attrs.field(
        default=0.0, validator=within(0.0, 86400.0)
    )
    #: Whether new requests are refused after the balancer's delay, or served on until the host leaves.
    refuses_while_leaving: bool = attrs.field(default=True)
    #: Longest wait for open requests at a stop.
    drain_timeout_seconds: float = attrs.field(
        default=300.0, validator=within(0.0, 86400.0)
    )
    #: File with a tree and upstreams for a start without platform and peers.
    fallback_tree: str = attrs.field(default="")


@attrs.frozen(repr=False)
class ClaimSettings(Shown):
    """Requests that run at most once."""

    #: Time for which an idempotency key is remembered.
    window_seconds: float = attrs.field(default=600.0, validator=within(1.0, 86400.0))
    #: Platform objects over which keys are spread; the same on every host.
    shards_count: int = attrs.field(default=16, validator=within(1, 4096))
    #: Time for which claims are gathered into one write.
    batch_seconds: float = attrs.field(default=0.005, validator=within(0.0, 1.0))


@attrs.frozen(repr=False)
class StewardSettings(Shown):
    """Orders to runners, given by one host of a region at a time."""

    #: Whether this host may hold the lease.
    is_candidate: bool = attrs.field(default=True)
    #: Length of the lease; renewed at a third of it.
    lease_seconds: float = attrs.field(default=10.0, validator=within(0.2, 600.0))
    #: Least time between the orders of two holders; the lease is at least that much longer than the window.
    orders_apart_seconds: float = attrs.field(default=0.0, validator=within(0.0, 600.0))
    #: Time after a renewal in which its holder may give orders; less than the lease, so that two holders' orders lie apart.
    order_window_seconds: float = attrs.field(
        default=5.0, validator=within(0.05, 600.0)
    )
    #: Runners that load weights at once in any case; more may slow each other down.
    max_loads_count: int = attrs.field(default=2, validator=within(1, 10000))
    #: Part of a model's runners that may load at once, where that is more.
    max_loads_ratio: float = attrs.field(default=0.0, validator=within(0.0, 1.0))
    #: What becomes of a runner's streams at a load: they end first, are cut, or go on under the new weights.
    manner: str = attrs.field(
        default="drain", validator=one_of(["drain", "cut", "keep"])
    )
    #: Time after which an ordered load counts as failed.
    load_timeout_seconds: float = attrs.field(
        default=120.0, validator=within(0.1, 3600.0)
    )


@attrs.frozen(repr=False)
class Settings(Shown):
    """All settings of one rampwickd process."""

    #: Who this process is.
    host: HostSettings
    #: Where it listens.
    listen: ListenSettings = attrs.field(factory=ListenSettings)
    #: The platform's object API.
    platform: PlatformSettings = attrs.field(factory=PlatformSettings)
    #: Streams between processes.
    peers: PeerSettings = attrs.field(factory=PeerSettings)
    #: How runners are chosen.
    placement: PlacementSettings = attrs.field(factory=PlacementSettings)
    #: Waiting requests.
    queue: QueueSettings = attrs.field(factory=QueueSettings)
    #: Repeated attempts.
    retry: RetrySettings = attrs.field(factory=RetrySettings)
    #: Limits in tokens.
    quota: QuotaSettings = attrs.field(factory=QuotaSettings)
    #: Bounds on callers.
    limits: LimitSettings = attrs.field(factory=LimitSettings)
    #: Starting and stopping.
    life: LifeSettings = attrs.field(factory=LifeSettings)
    #: Orders to runners.
    steward: StewardSettings = attrs.field(factory=StewardSettings)
    #: At-most-once requests.
    claims: ClaimSettings = attrs.field(factory=ClaimSettings)
