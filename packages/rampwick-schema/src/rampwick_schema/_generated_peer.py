"""Messages between rampwickd processes: a length prefix, then a msgpack array of code and fields.

Generated from schema/peer.toml by tools/generate_schema.py; do not edit.
"""

from __future__ import annotations

from typing import ClassVar

import attrs

from ._generated_platform import HostEntry, HostList, WeightsTarget
from ._generated_tree import Change, Tree
from ._repr_mixin import ReprMixin
from ._validators import within


@attrs.frozen(repr=False)
class Hello(ReprMixin):
    """First message in each direction; the receiver proves the nonce in its Proof."""

    CODE: ClassVar[int] = 1

    #: Version of this protocol.
    protocol_version: int = attrs.field(validator=within(1, None))
    #: Name of the sender.
    host: str
    #: Hall of the sender.
    hall: str
    #: Start time of the sender's process in nanoseconds.
    incarnation: int = attrs.field(validator=within(0, None))
    #: 16 random bytes.
    nonce: bytes
    #: IP and port at which the sender accepts peer connections.
    peer_address: str = attrs.field(default="")
    #: Link speed of the sender.
    link_megabits_per_second: float = attrs.field(
        default=1000.0, validator=within(0.0, None)
    )
    #: Highest code of the messages that the sender decodes; 0 if it does not say.
    messages_version: int = attrs.field(default=0, validator=within(0, None))


@attrs.frozen(repr=False)
class Proof(ReprMixin):
    """HMAC-SHA256 of the receiver's nonce and the sender's name, keyed with the shared secret."""

    CODE: ClassVar[int] = 2

    #: 32 bytes.
    digest: bytes


@attrs.frozen(repr=False)
class WorkspaceUsage(ReprMixin):
    """Usage of one workspace at one host."""

    #: Path of the workspace.
    workspace: str
    #: Priced tokens served, with exponential decay.
    used_tokens: int = attrs.field(validator=within(0, None))


@attrs.frozen(repr=False)
class UpstreamUsage(ReprMixin):
    """Usage of one upstream by one host."""

    #: Name of the upstream.
    upstream: str
    #: Incarnation of the engine that the usage refers to.
    incarnation: str
    #: Open attempts at the upstream.
    running_count: int = attrs.field(validator=within(0, None))
    #: Prompt tokens of requests that have not returned their first token.
    waiting_tokens: int = attrs.field(validator=within(0, None))


@attrs.frozen(repr=False)
class PlacedPrefix(ReprMixin):
    """A prefix that, according to the sender, a runner has cached."""

    #: Name of the runner.
    upstream: str
    #: Incarnation of the engine whose cache has the prefix.
    incarnation: str
    #: Hashes of 8 bytes, longest prefix first.
    prefixes: list[bytes]
    #: Tokens that each prefix adds to its parent prefix.
    extents_tokens: list[int]


@attrs.frozen(repr=False)
class RunnerLoad(ReprMixin):
    """A load of weights that the sender has ordered and that is in progress."""

    #: Name of the runner.
    upstream: str
    #: Incarnation of the runner that received the order.
    incarnation: str
    #: Version of the weights to load.
    weights_version: int = attrs.field(validator=within(0, None))
    #: Time until the load counts as finished or failed.
    remaining_seconds: float = attrs.field(validator=within(0.0, None))


@attrs.frozen(repr=False)
class RunnerWeights(ReprMixin):
    """Weights that the sender observed at a runner."""

    #: Name of the runner.
    upstream: str
    #: Incarnation of the runner.
    incarnation: str
    #: Version of the weights.
    weights_version: int = attrs.field(validator=within(0, None))


@attrs.frozen(repr=False)
class WaitingCount(ReprMixin):
    """Queued requests of one workspace for one service."""

    #: Path of the workspace.
    workspace: str
    #: Service of the requests; empty for models without a service.
    service: str
    #: Queued requests.
    requests_count: int = attrs.field(validator=within(0, None))


@attrs.frozen(repr=False)
class LimitUsage(ReprMixin):
    """Usage of one token limit by one or more hosts."""

    #: Path of the tree node that has the limit.
    path: str
    #: Tokens sent within the limit's window, as declared by callers.
    sent_tokens: int = attrs.field(validator=within(0, None))
    #: Part of them that leaves the window within the next second.
    leaving_tokens: int = attrs.field(default=0, validator=within(0, None))
    #: Demand in tokens per second.
    asked_tokens: int = attrs.field(default=0, validator=within(0, None))
    #: Tokens charged since the sender began to count; -1 if it doesn't count them.
    total_tokens: int = attrs.field(default=-1, validator=within(-1, None))
    #: Part of them that is admitted and not sent yet.
    pending_tokens: int = attrs.field(default=0, validator=within(0, None))
    #: Level of the limit's bucket as the sender knows it; -1 if it doesn't.
    level_tokens: int = attrs.field(default=-1, validator=within(-1, None))
    #: Tokens of requests that are held after a start, until the demand at other hosts is known.
    held_tokens: int = attrs.field(default=0, validator=within(0, None))


@attrs.frozen(repr=False)
class PrefillDemand(ReprMixin):
    """Prompt tokens that arrive for one service, split by the length of their prompts."""

    #: Name of the service.
    service: str
    #: Uncached tokens of long prompts.
    long_tokens_per_second: float = attrs.field(default=0.0)
    #: Uncached tokens of short prompts.
    short_tokens_per_second: float = attrs.field(default=0.0)


@attrs.frozen(repr=False)
class QueuedWork(ReprMixin):
    """Queued requests of one priority rank for one service."""

    #: Name of the service.
    service: str
    #: Priority rank; 0 is the highest.
    priority_rank: int = attrs.field(validator=within(0, 9))
    #: Queued requests.
    requests_count: int = attrs.field(validator=within(0, None))
    #: Uncached prompt tokens of the requests.
    prompt_tokens: int = attrs.field(default=0, validator=within(0, None))


@attrs.frozen(repr=False)
class Summary(ReprMixin):
    """Periodic state of a host, sent to each peer; also the heartbeat."""

    CODE: ClassVar[int] = 3

    #: Sequence number within the incarnation.
    sequence: int = attrs.field(validator=within(0, None))
    #: Revision of the tree that is active at the sender.
    revision: int = attrs.field(validator=within(0, None))
    #: Version of the sender's host list; -1 for none.
    host_list_version: int = attrs.field(validator=within(-1, None))
    #: Whether the sender is draining and accepts no new requests.
    is_leaving: bool
    #: Usage of workspaces.
    workspaces: list[WorkspaceUsage]
    #: Usage of upstreams.
    upstreams: list[UpstreamUsage]
    #: Placements since the last summary.
    placed: list[PlacedPrefix]
    #: Upstreams that the sender has recently detected as down.
    down: list[str] = attrs.field(factory=list)
    #: Hosts that the summary covers.
    hosts_count: int = attrs.field(default=1, validator=within(1, None))
    #: Queued requests at the sender.
    waiting: list[WaitingCount] = attrs.field(factory=list)
    #: Usage of limits.
    limits: list[LimitUsage] = attrs.field(factory=list)
    #: Time for which the sender, or the peers whose counts it received, has been counting usage of limits.
    limits_known_seconds: float = attrs.field(
        default=0.0, validator=within(0.0, 1000000000.0)
    )
    #: Whether the demand under a limit has just increased; such a summary is forwarded immediately.
    has_surged: bool = attrs.field(default=False)
    #: Era of the store in which the sender's revision was written.
    store_era: int | None = attrs.field(default=None, validator=within(0, None))
    #: Prompt tokens that arrive at the sender, by service.
    prefill_demand: list[PrefillDemand] = attrs.field(factory=list)
    #: Queued requests at the sender, by service and priority rank.
    queued: list[QueuedWork] = attrs.field(factory=list)
    #: Time since the counters of limits were zero; negative if the sender counts none.
    limits_counted_seconds: float = attrs.field(
        default=-1.0, validator=within(-1.0, 1000000000.0)
    )


@attrs.frozen(repr=False)
class HallSummary(ReprMixin):
    """Aggregated state of all hosts of a hall, sent by its relay to other halls and forwarded there."""

    CODE: ClassVar[int] = 10

    #: Hall of the summarized hosts.
    hall: str
    #: Host that aggregated the summary.
    relay: str
    #: Incarnation of the relay.
    incarnation: int = attrs.field(validator=within(0, None))
    #: Sums of the summaries of its hosts.
    summary: Summary


@attrs.frozen(repr=False)
class Beat(ReprMixin):
    """Last state of a host that the relay of its hall has received."""

    #: Name of the host.
    host: str
    #: Incarnation of the host.
    incarnation: int = attrs.field(validator=within(0, None))
    #: Sequence number of its last summary that the sums include.
    sequence: int = attrs.field(validator=within(0, None))
    #: Whether the host is draining and accepts no new requests.
    is_leaving: bool


@attrs.frozen(repr=False)
class NamedWeights(ReprMixin):
    """A weights version and the time since it became a target, as of sending."""

    #: Model.
    model: str
    #: Version of the weights.
    weights_version: int = attrs.field(validator=within(0, None))
    #: Time since the version became a target.
    age_seconds: float = attrs.field(validator=within(0.0, 1000000000.0))


@attrs.frozen(repr=False)
class FleetSummary(ReprMixin):
    """Aggregated state of all hosts of the fleet, sent by a hall's relay to each host of its hall. Ages are as of sending; a receiver counts them from when it sent the summary whose number is in its beat."""

    CODE: ClassVar[int] = 16

    #: Incarnation of the relay.
    incarnation: int = attrs.field(validator=within(0, None))
    #: Sums of the summaries of all hosts, including the receiver; revision and host list are those of the relay.
    summary: Summary
    #: Hosts of the hall that are alive at the relay.
    heard: list[Beat]
    #: Halls that are alive at the relay.
    halls: list[str]
    #: Time since the relay's revision was last confirmed as the newest.
    revision_age_seconds: float = attrs.field(validator=within(0.0, None))
    #: Time since the relay's host list was last confirmed as the newest.
    host_list_age_seconds: float = attrs.field(validator=within(0.0, None))
    #: Target weights as known to the relay.
    targets: list[WeightsTarget]
    #: Times at which versions became targets, as observed or received by the sender.
    named: list[NamedWeights] = attrs.field(factory=list)


@attrs.frozen(repr=False)
class MemberRecord(ReprMixin):
    """One host of the fleet."""

    #: Name of the host.
    host: str
    #: Hall of the host.
    hall: str
    #: IP and port of its peer interface.
    peer_address: str
    #: Start time of the host's process in nanoseconds.
    incarnation: int = attrs.field(validator=within(0, None))
    #: Link speed of the host.
    link_megabits_per_second: float = attrs.field(validator=within(0.0, None))


@attrs.frozen(repr=False)
class Members(ReprMixin):
    """Membership list of the sender."""

    CODE: ClassVar[int] = 11

    #: The hosts.
    members: list[MemberRecord]


@attrs.frozen(repr=False)
class ConfirmRequest(ReprMixin):
    """Requests the age of the platform data at a reader host."""

    CODE: ClassVar[int] = 12

    #: Sequence number that the reply repeats.
    sequence: int = attrs.field(validator=within(0, None))


@attrs.frozen(repr=False)
class ConfirmReply(ReprMixin):
    """Versions and ages as of sending; the requester counts the ages from when it sent the request."""

    CODE: ClassVar[int] = 13

    #: Sequence number of the request.
    sequence: int = attrs.field(validator=within(0, None))
    #: Revision of the active configuration.
    revision: int = attrs.field(validator=within(0, None))
    #: Time since it was last confirmed as the newest.
    revision_age_seconds: float = attrs.field(validator=within(0.0, None))
    #: Version of the host list.
    host_list_version: int = attrs.field(validator=within(-1, None))
    #: Time since it was last confirmed as the newest.
    host_list_age_seconds: float = attrs.field(validator=within(0.0, None))
    #: Target weights as known to the sender.
    targets: list[WeightsTarget] = attrs.field(factory=list)
    #: Times at which versions became targets, as observed or received by the sender.
    named: list[NamedWeights] = attrs.field(factory=list)
    #: Era of the store in which the revision was written.
    store_era: int | None = attrs.field(default=None, validator=within(0, None))


@attrs.frozen(repr=False)
class HostListChanges(ReprMixin):
    """The difference between two versions of the host list."""

    CODE: ClassVar[int] = 14

    #: Version to which the changes apply.
    base_version: int = attrs.field(validator=within(-1, None))
    #: Version after the changes.
    version: int = attrs.field(validator=within(0, None))
    #: Added or modified entries.
    changed: list[HostEntry]
    #: Names of removed entries.
    removed: list[str]


@attrs.frozen(repr=False)
class CacheChange(ReprMixin):
    """Current contents of some entries in one generation of a cache."""

    #: Cache generation: the incarnation of the engine, or of a store for one weights version.
    incarnation: str
    #: Keys of 8 bytes.
    prefixes: list[bytes]
    #: Cached tokens of each entry; 0 for an evicted entry.
    kept_tokens: list[int]


@attrs.frozen(repr=False)
class CacheUpdate(ReprMixin):
    """Changes of the cache of one runner or store."""

    #: Name of the runner or store.
    upstream: str
    #: Whether all earlier contents are to be discarded.
    is_reset: bool
    #: Changes by cache generation.
    changes: list[CacheChange]


@attrs.frozen(repr=False)
class CacheEventUpdate(ReprMixin):
    """Cache events that hosts have read for their peers, sent in batches."""

    CODE: ClassVar[int] = 9

    #: Changes by cache.
    updates: list[CacheUpdate]


@attrs.frozen(repr=False)
class RolloutUpdate(ReprMixin):
    """Update from the rollout controller to all hosts, sent at changes and retransmitted periodically."""

    CODE: ClassVar[int] = 15

    #: Host that holds the rollout lease.
    holder: str
    #: Version of the lease.
    lease_version: int = attrs.field(validator=within(0, None))
    #: Target weights.
    targets: list[WeightsTarget]
    #: Loads in progress.
    loads: list[RunnerLoad]
    #: Weights observed at runners after loads.
    weights: list[RunnerWeights]
    #: Times at which versions became targets, as observed or received by the sender.
    named: list[NamedWeights] = attrs.field(factory=list)


@attrs.frozen(repr=False)
class ChangesRequest(ReprMixin):
    """Requests the changes after a revision."""

    CODE: ClassVar[int] = 4

    #: Last revision that the sender has.
    after_revision: int = attrs.field(validator=within(0, None))
    #: Era of the store in which that revision was written.
    store_era: int | None = attrs.field(default=None, validator=within(0, None))


@attrs.frozen(repr=False)
class ChangesReply(ReprMixin):
    """Changes in order, limited to the maximum message size."""

    CODE: ClassVar[int] = 5

    #: Changes in the order of their revisions.
    changes: list[Change]
    #: Era of the store in which they were written.
    store_era: int | None = attrs.field(default=None, validator=within(0, None))


@attrs.frozen(repr=False)
class TreeReply(ReprMixin):
    """The complete tree, for a peer that is too far behind for changes."""

    CODE: ClassVar[int] = 6

    #: Active tree of the sender.
    tree: Tree


@attrs.frozen(repr=False)
class HostListRequest(ReprMixin):
    """Requests the receiver's host list."""

    CODE: ClassVar[int] = 7

    #: Version that the requester has.
    after_version: int = attrs.field(validator=within(-1, None))


@attrs.frozen(repr=False)
class HostListReply(ReprMixin):
    """Newest host list of the sender."""

    CODE: ClassVar[int] = 8

    #: The list.
    host_list: HostList


@attrs.frozen(repr=False)
class AboardRequest(ReprMixin):
    """A request that was in flight at an upstream when it crashed."""

    #: Hash of caller, path and body, 16 bytes.
    fingerprint: bytes
    #: Path of the requesting workspace.
    workspace: str
    #: Keys of the parts of its prompt but the last, in their order, 8 bytes each.
    parts: list[bytes] = attrs.field(factory=list)
    #: Whether each of its parts had been answered recently; empty if none had.
    are_sound: list[bool] = attrs.field(factory=list)


@attrs.frozen(repr=False)
class EndedUpstream(ReprMixin):
    """An upstream that closed its connections during requests of the sender and counts as crashed."""

    #: Name of the upstream.
    upstream: str
    #: Incarnation that crashed.
    incarnation: str
    #: Time since the event.
    age_seconds: float = attrs.field(validator=within(0.0, 1000000000.0))
    #: Requests of the sender that were in flight there.
    aboard: list[AboardRequest]


@attrs.frozen(repr=False)
class LiveUpstream(ReprMixin):
    """An upstream that responded after it was considered crashed."""

    #: Name of the upstream.
    upstream: str
    #: Incarnation that is still running.
    incarnation: str
    #: Time since its response.
    age_seconds: float = attrs.field(validator=within(0.0, 1000000000.0))


@attrs.frozen(repr=False)
class ClearedRequest(ReprMixin):
    """A request, or a part of prompts, that an upstream completed or that an operator released from quarantine."""

    #: Hash of caller, path and body, 16 bytes, or key of the part, 8 bytes.
    fingerprint: bytes
    #: Time since the event.
    age_seconds: float = attrs.field(validator=within(0.0, 1000000000.0))


@attrs.frozen(repr=False)
class StoppedRequest(ReprMixin):
    """A quarantined request, or part of prompts: upstreams that ran it crashed, and it is not sent to upstreams again."""

    #: Hash of caller, path and body, 16 bytes, or key of the part, 8 bytes.
    fingerprint: bytes
    #: Path of the requesting workspace.
    workspace: str
    #: Time since the request was quarantined.
    age_seconds: float = attrs.field(validator=within(0.0, 1000000000.0))
    #: Upstreams that crashed while running the request.
    ends_count: int = attrs.field(validator=within(0, None))
    #: Whether it is a part of prompts.
    is_part: bool = attrs.field(default=False)
    #: Requests sent as probes since it was quarantined.
    probes_count: int = attrs.field(default=0, validator=within(0, None))


@attrs.frozen(repr=False)
class CrashUpdate(ReprMixin):
    """Update between hosts about upstreams that crash during requests."""

    CODE: ClassVar[int] = 17

    #: Crashed upstreams.
    ended: list[EndedUpstream] = attrs.field(factory=list)
    #: Upstreams that are still running after all.
    live: list[LiveUpstream] = attrs.field(factory=list)
    #: Requests and parts without crash attribution from now on.
    cleared: list[ClearedRequest] = attrs.field(factory=list)
    #: Quarantined requests and parts.
    stopped: list[StoppedRequest] = attrs.field(factory=list)
    #: Keys of parts that were running at crashes and that the sender had answered recently, 8 bytes each.
    sound: list[bytes] = attrs.field(factory=list)


@attrs.frozen(repr=False)
class UpstreamRate(ReprMixin):
    """Request rate limit in a response of an upstream."""

    #: Name of the upstream.
    upstream: str
    #: Incarnation that responded; empty where incarnations are not distinguished.
    incarnation: str
    #: Whether the response has a rate limit.
    is_limited: bool
    #: Limit for all hosts together; 0 if the response has none.
    requests_per_second: float = attrs.field(validator=within(0.0, None))
    #: Time since the request of that response was sent.
    asked_age_seconds: float = attrs.field(validator=within(0.0, 1000000000.0))
    #: Time since the response was received.
    heard_age_seconds: float = attrs.field(validator=within(0.0, 1000000000.0))


@attrs.frozen(repr=False)
class RateLimitUpdate(ReprMixin):
    """Update between hosts about rate limits that upstreams report."""

    CODE: ClassVar[int] = 18

    #: Latest reports of some upstreams.
    rates: list[UpstreamRate] = attrs.field(factory=list)


@attrs.frozen(repr=False)
class LeavingUpstream(ReprMixin):
    """One incarnation of an upstream that is shutting down."""

    #: Name of the upstream.
    upstream: str
    #: Incarnation of the upstream; empty where incarnations are not distinguished.
    incarnation: str


@attrs.frozen(repr=False)
class LeavingUpdate(ReprMixin):
    """Upstreams that announced their shutdown in a response."""

    CODE: ClassVar[int] = 19

    #: Incarnations that are shutting down.
    leaving: list[LeavingUpstream] = attrs.field(factory=list)


@attrs.frozen(repr=False)
class TunnelHello(ReprMixin):
    """First message of a connection on which the sender asks the receiver to connect it to an upstream; otherwise like Hello."""

    CODE: ClassVar[int] = 20

    #: Version of this protocol.
    protocol_version: int = attrs.field(validator=within(1, None))
    #: Name of the sender.
    host: str
    #: Hall of the sender.
    hall: str
    #: Start time of the sender's process in nanoseconds.
    incarnation: int = attrs.field(validator=within(0, None))
    #: 16 random bytes.
    nonce: bytes
    #: IP and port at which the sender accepts peer connections.
    peer_address: str = attrs.field(default="")
    #: Link speed of the sender.
    link_megabits_per_second: float = attrs.field(
        default=1000.0, validator=within(0.0, None)
    )
    #: Name of the upstream.
    upstream: str = attrs.field(default="")
    #: IP and port of the upstream.
    upstream_address: str = attrs.field(default="")
    #: Highest code of the messages that the sender decodes; 0 if it does not say.
    messages_version: int = attrs.field(default=0, validator=within(0, None))


@attrs.frozen(repr=False)
class TunnelReply(ReprMixin):
    """Response to a tunnel request; after it, both sides send the bytes of the connection."""

    CODE: ClassVar[int] = 21

    #: Why the tunnel is not open: unreachable, tunnelled, unknown, busy or leaving; empty if it is open.
    refusal: str = attrs.field(default="")


@attrs.frozen(repr=False)
class TunnelData(ReprMixin):
    """Bytes of the connection, in order."""

    CODE: ClassVar[int] = 22

    #: At most 65536 bytes.
    data: bytes


@attrs.frozen(repr=False)
class TunnelEnd(ReprMixin):
    """End of the connection to the upstream. A tunnel that ends without it was broken between the hosts."""

    CODE: ClassVar[int] = 23

    #: Error of the connection to the upstream; empty if the upstream closed it.
    error: str = attrs.field(default="")


@attrs.frozen(repr=False)
class StreamGroup(ReprMixin):
    """Requests that may have begun a stream at one software version."""

    #: Service of the streams.
    service: str
    #: Software version of the upstreams; empty if it is not known.
    software_version: str
    #: Time for which their callers may take them up, as of sending.
    lifetime_seconds: float = attrs.field(validator=within(0.0, 1000000000.0))
    #: For each the hash of workspace and request id, 8 bytes, two that tell requests with one id apart, and the number of the attempt, one byte.
    records: bytes


@attrs.frozen(repr=False)
class ListedVersion(ReprMixin):
    """A software version that upstreams of a service have or had."""

    #: Name of the service.
    service: str
    #: Version of the software.
    software_version: str
    #: Time since an upstream of this version was last listed.
    age_seconds: float = attrs.field(validator=within(0.0, 1000000000.0))


@attrs.frozen(repr=False)
class BegunStreamsUpdate(ReprMixin):
    """Update between hosts about the software versions at which streams began."""

    CODE: ClassVar[int] = 24

    #: Streams that the sender has begun, or passes on.
    groups: list[StreamGroup] = attrs.field(factory=list)
    #: Versions that the sender knows; sent when a link opens.
    listed: list[ListedVersion] = attrs.field(factory=list)
    #: Time for which the sender knows all versions that were listed; 0 if it does not say.
    known_seconds: float = attrs.field(default=0.0, validator=within(0.0, 1000000000.0))


@attrs.frozen(repr=False)
class Compressed(ReprMixin):
    """Another message in compressed form, for links that are slow compared with its size."""

    CODE: ClassVar[int] = 25

    #: The other message without its length, compressed in the zlib format.
    data: bytes


#: Classes by the code that starts their message.
MESSAGES: dict[int, type] = {
    Hello.CODE: Hello,
    Proof.CODE: Proof,
    Summary.CODE: Summary,
    HallSummary.CODE: HallSummary,
    FleetSummary.CODE: FleetSummary,
    Members.CODE: Members,
    ConfirmRequest.CODE: ConfirmRequest,
    ConfirmReply.CODE: ConfirmReply,
    HostListChanges.CODE: HostListChanges,
    CacheEventUpdate.CODE: CacheEventUpdate,
    RolloutUpdate.CODE: RolloutUpdate,
    ChangesRequest.CODE: ChangesRequest,
    ChangesReply.CODE: ChangesReply,
    TreeReply.CODE: TreeReply,
    HostListRequest.CODE: HostListRequest,
    HostListReply.CODE: HostListReply,
    CrashUpdate.CODE: CrashUpdate,
    RateLimitUpdate.CODE: RateLimitUpdate,
    LeavingUpdate.CODE: LeavingUpdate,
    TunnelHello.CODE: TunnelHello,
    TunnelReply.CODE: TunnelReply,
    TunnelData.CODE: TunnelData,
    TunnelEnd.CODE: TunnelEnd,
    BegunStreamsUpdate.CODE: BegunStreamsUpdate,
    Compressed.CODE: Compressed,
}
