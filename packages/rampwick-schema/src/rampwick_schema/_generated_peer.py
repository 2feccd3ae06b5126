"""Messages between rampwickd processes: a length, then a msgpack array of a code and the fields.

Generated from schema/peer.toml by tools/generate_schema.py; do not edit.
"""

from __future__ import annotations

from typing import ClassVar

import attrs

from ._generated_platform import HostEntry, HostList, WeightsTarget
from ._generated_tree import Change, Tree
from ._shown import Shown
from ._validators import within


@attrs.frozen(repr=False)
class Hello(Shown):
    """First message of each side; the nonce is to be proved."""

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
    #: IP and port at which the sender takes streams of peers.
    peer_address: str = attrs.field(default="")
    #: Speed of the sender's link.
    link_megabits_per_second: float = attrs.field(
        default=1000.0, validator=within(0.0, None)
    )


@attrs.frozen(repr=False)
class Proof(Shown):
    """HMAC-SHA256 of the other side's nonce and one's own name under the shared secret."""

    CODE: ClassVar[int] = 2

    #: 32 bytes.
    digest: bytes


@attrs.frozen(repr=False)
class WorkspaceUsage(Shown):
    """One host's dealings with one workspace."""

    #: Path of the workspace.
    workspace: str
    #: Decayed priced tokens served.
    used_tokens: int = attrs.field(validator=within(0, None))


@attrs.frozen(repr=False)
class UpstreamUsage(Shown):
    """One host's dealings with one upstream."""

    #: Name of the upstream.
    upstream: str
    #: Life of the engine that this is about.
    incarnation: str
    #: Attempts open at the upstream.
    running_count: int = attrs.field(validator=within(0, None))
    #: Prompt tokens sent whose first token has not come.
    waiting_tokens: int = attrs.field(validator=within(0, None))


@attrs.frozen(repr=False)
class PlacedPrefix(Shown):
    """A prefix that a runner holds, by the sender's knowledge."""

    #: Name of the runner.
    upstream: str
    #: Life of the engine that holds it.
    incarnation: str
    #: Hashes of 8 bytes, deepest first.
    prefixes: list[bytes]
    #: Tokens that each prefix adds to the one before it.
    extents_tokens: list[int]


@attrs.frozen(repr=False)
class RunnerLoad(Shown):
    """A load of weights that the sender has ordered and that is not over."""

    #: Name of the runner.
    upstream: str
    #: Life of the runner that was told.
    incarnation: str
    #: Weights that it loads.
    weights_version: int = attrs.field(validator=within(0, None))
    #: Time after which it is over at the latest.
    remaining_seconds: float = attrs.field(validator=within(0.0, None))


@attrs.frozen(repr=False)
class RunnerWeights(Shown):
    """Weights that the sender has seen a runner have."""

    #: Name of the runner.
    upstream: str
    #: Life of the runner.
    incarnation: str
    #: Its weights.
    weights_version: int = attrs.field(validator=within(0, None))


@attrs.frozen(repr=False)
class WaitingCount(Shown):
    """Requests of one workspace that wait for one service."""

    #: Path of the workspace.
    workspace: str
    #: Service that they wait for; empty for models without one.
    service: str
    #: How many wait.
    requests_count: int = attrs.field(validator=within(0, None))


@attrs.frozen(repr=False)
class LimitUsage(Shown):
    """What some hosts dealt with under one limit in tokens."""

    #: Node of the tree that the limit stands at.
    path: str
    #: Tokens sent within the limit's window, as callers name them.
    sent_tokens: int = attrs.field(validator=within(0, None))
    #: Tokens of these that leave the window within the next second.
    leaving_tokens: int = attrs.field(default=0, validator=within(0, None))
    #: Tokens asked for, a second.
    asked_tokens: int = attrs.field(default=0, validator=within(0, None))


@attrs.frozen(repr=False)
class Summary(Shown):
    """What a host tells each peer at each interval; also its heartbeat."""

    CODE: ClassVar[int] = 3

    #: Counts up within an incarnation.
    sequence: int = attrs.field(validator=within(0, None))
    #: Revision of the tree in force at the sender.
    revision: int = attrs.field(validator=within(0, None))
    #: Version of the sender's host list; -1 for none.
    host_list_version: int = attrs.field(validator=within(-1, None))
    #: Whether the sender takes no new requests.
    is_leaving: bool
    #: Workspaces in use.
    workspaces: list[WorkspaceUsage]
    #: Upstreams in use.
    upstreams: list[UpstreamUsage]
    #: Placements since the last summary.
    placed: list[PlacedPrefix]
    #: Upstreams that the sender has just found to be down.
    down: list[str] = attrs.field(factory=list)
    #: Hosts that the summary speaks for.
    hosts_count: int = attrs.field(default=1, validator=within(1, None))
    #: Requests that wait at the sender.
    waiting: list[WaitingCount] = attrs.field(factory=list)
    #: Limits in use.
    limits: list[LimitUsage] = attrs.field(factory=list)
    #: Time for which the sender, or whom it heard, has been counting towards limits.
    limits_known_seconds: float = attrs.field(
        default=0.0, validator=within(0.0, 1000000000.0)
    )
    #: Whether what is asked under a limit has just grown, so that this is passed on at once.
    has_surged: bool = attrs.field(default=False)
    #: Era of the store in which the sender's revision was written.
    store_era: int | None = attrs.field(default=None, validator=within(0, None))


@attrs.frozen(repr=False)
class HallSummary(Shown):
    """What all hosts of a hall say, told by its relay to other halls and passed on there."""

    CODE: ClassVar[int] = 10

    #: Hall that it is about.
    hall: str
    #: Host that put it together.
    relay: str
    #: Incarnation of that host.
    incarnation: int = attrs.field(validator=within(0, None))
    #: The sums of its hosts' summaries.
    summary: Summary


@attrs.frozen(repr=False)
class Beat(Shown):
    """A host as its hall's relay has heard it last."""

    #: Name of the host.
    host: str
    #: Its incarnation.
    incarnation: int = attrs.field(validator=within(0, None))
    #: Number of its last summary that is part of the sum.
    sequence: int = attrs.field(validator=within(0, None))
    #: Whether it takes no new requests.
    is_leaving: bool


@attrs.frozen(repr=False)
class NamedWeights(Shown):
    """Weights that were named, and how long ago at the time of telling."""

    #: Model.
    model: str
    #: Version of its weights.
    weights_version: int = attrs.field(validator=within(0, None))
    #: Time since its naming.
    age_seconds: float = attrs.field(validator=within(0.0, 1000000000.0))


@attrs.frozen(repr=False)
class FleetSummary(Shown):
    """What all hosts of the fleet say, told by a hall's relay to each host of its hall. Ages are those at the time of telling; a host counts them from when it sent the summary that its beat names."""

    CODE: ClassVar[int] = 16

    #: Incarnation of the relay.
    incarnation: int = attrs.field(validator=within(0, None))
    #: The sums of all hosts' summaries, the receiver's included; revision and host list are the relay's own.
    summary: Summary
    #: Hosts of the hall that the relay hears.
    heard: list[Beat]
    #: Halls that the relay hears.
    halls: list[str]
    #: Time since the relay's revision was surely the newest.
    revision_age_seconds: float = attrs.field(validator=within(0.0, None))
    #: Time since its host list was surely the newest.
    host_list_age_seconds: float = attrs.field(validator=within(0.0, None))
    #: Weights that are wanted, as far as the relay knows.
    targets: list[WeightsTarget]
    #: When versions were named, as far as the teller saw it or was told.
    named: list[NamedWeights] = attrs.field(factory=list)


@attrs.frozen(repr=False)
class MemberRecord(Shown):
    """One host of the fleet."""

    #: Name of the host.
    host: str
    #: Hall that it stands in.
    hall: str
    #: IP and port of its streams between hosts.
    peer_address: str
    #: Start time of its process in nanoseconds.
    incarnation: int = attrs.field(validator=within(0, None))
    #: Speed of its link.
    link_megabits_per_second: float = attrs.field(validator=within(0.0, None))


@attrs.frozen(repr=False)
class Members(Shown):
    """Hosts that the sender knows."""

    CODE: ClassVar[int] = 11

    #: The hosts.
    members: list[MemberRecord]


@attrs.frozen(repr=False)
class ConfirmRequest(Shown):
    """Asks a host that reads the platform how old what it has read is."""

    CODE: ClassVar[int] = 12

    #: Number that the reply repeats.
    sequence: int = attrs.field(validator=within(0, None))


@attrs.frozen(repr=False)
class ConfirmReply(Shown):
    """Ages at the time of the reply, so that the asker can count them from its question."""

    CODE: ClassVar[int] = 13

    #: Number of the question.
    sequence: int = attrs.field(validator=within(0, None))
    #: Revision of the configuration in force.
    revision: int = attrs.field(validator=within(0, None))
    #: Time since it was surely the newest.
    revision_age_seconds: float = attrs.field(validator=within(0.0, None))
    #: Version of the host list.
    host_list_version: int = attrs.field(validator=within(-1, None))
    #: Time since it was surely the newest.
    host_list_age_seconds: float = attrs.field(validator=within(0.0, None))
    #: Weights that are wanted, as far as the sender knows.
    targets: list[WeightsTarget] = attrs.field(factory=list)
    #: When versions were named, as far as the teller saw it or was told.
    named: list[NamedWeights] = attrs.field(factory=list)
    #: Era of the store in which the revision was written.
    store_era: int | None = attrs.field(default=None, validator=within(0, None))


@attrs.frozen(repr=False)
class HostListChanges(Shown):
    """The difference between two versions of the host list."""

    CODE: ClassVar[int] = 14

    #: Version to which it is to be applied.
    base_version: int = attrs.field(validator=within(-1, None))
    #: Version that it makes.
    version: int = attrs.field(validator=within(0, None))
    #: Entries that are new or other.
    changed: list[HostEntry]
    #: Names that are gone.
    removed: list[str]


@attrs.frozen(repr=False)
class CacheChange(Shown):
    """What one life of a cache keeps now of some entries."""

    #: Life of the engine, or of a store for one version of the weights.
    incarnation: str
    #: Keys of 8 bytes.
    prefixes: list[bytes]
    #: Tokens kept of each; 0 means that it is gone.
    kept_tokens: list[int]


@attrs.frozen(repr=False)
class CacheUpdate(Shown):
    """What changed of one runner's or store's cache."""

    #: Name of the runner or store.
    upstream: str
    #: Whether what was known before is to be forgotten.
    is_reset: bool
    #: Changes by life.
    changes: list[CacheChange]


@attrs.frozen(repr=False)
class CacheEventUpdate(Shown):
    """Cache events that hosts have read for their peers, gathered for a while."""

    CODE: ClassVar[int] = 9

    #: Changes by cache.
    updates: list[CacheUpdate]


@attrs.frozen(repr=False)
class RolloutUpdate(Shown):
    """What the holder of the steward's lease tells all hosts, at changes and again and again."""

    CODE: ClassVar[int] = 15

    #: Host that holds the lease.
    holder: str
    #: Version of the lease.
    lease_version: int = attrs.field(validator=within(0, None))
    #: Weights that are wanted.
    targets: list[WeightsTarget]
    #: Loads under way.
    loads: list[RunnerLoad]
    #: Weights that runners were seen to have after loads.
    weights: list[RunnerWeights]
    #: When versions were named, as far as the teller saw it or was told.
    named: list[NamedWeights] = attrs.field(factory=list)


@attrs.frozen(repr=False)
class ChangesRequest(Shown):
    """Asks for the changes after a revision."""

    CODE: ClassVar[int] = 4

    #: Last revision that the sender has.
    after_revision: int = attrs.field(validator=within(0, None))
    #: Era of the store in which that revision was written.
    store_era: int | None = attrs.field(default=None, validator=within(0, None))


@attrs.frozen(repr=False)
class ChangesReply(Shown):
    """Changes in order, as many as fit."""

    CODE: ClassVar[int] = 5

    #: Changes in the order of their revisions.
    changes: list[Change]
    #: Era of the store in which they were written.
    store_era: int | None = attrs.field(default=None, validator=within(0, None))


@attrs.frozen(repr=False)
class TreeReply(Shown):
    """The whole tree, for a peer too far behind for changes."""

    CODE: ClassVar[int] = 6

    #: Tree in force at the sender.
    tree: Tree


@attrs.frozen(repr=False)
class HostListRequest(Shown):
    """Asks for the sender's host list."""

    CODE: ClassVar[int] = 7

    #: Version that the asker has.
    after_version: int = attrs.field(validator=within(-1, None))


@attrs.frozen(repr=False)
class HostListReply(Shown):
    """The newest host list that the sender knows."""

    CODE: ClassVar[int] = 8

    #: The list.
    host_list: HostList


@attrs.frozen(repr=False)
class AboardRequest(Shown):
    """A request that an upstream had when it ended."""

    #: Hash of caller, path and body, 16 bytes.
    fingerprint: bytes
    #: Path of the workspace that asked.
    workspace: str


@attrs.frozen(repr=False)
class EndedUpstream(Shown):
    """An upstream that closed its connections in the middle of the sender's requests."""

    #: Name of the upstream.
    upstream: str
    #: Life that ended.
    incarnation: str
    #: Time since then.
    age_seconds: float = attrs.field(validator=within(0.0, 1000000000.0))
    #: What the sender had sent there.
    aboard: list[AboardRequest]


@attrs.frozen(repr=False)
class LiveUpstream(Shown):
    """An upstream that answered after it was taken to have ended."""

    #: Name of the upstream.
    upstream: str
    #: Life that goes on.
    incarnation: str
    #: Time since its answer.
    age_seconds: float = attrs.field(validator=within(0.0, 1000000000.0))


@attrs.frozen(repr=False)
class ClearedRequest(Shown):
    """A request that an upstream answered whole, or that an operator let go."""

    #: Hash of caller, path and body, 16 bytes.
    fingerprint: bytes
    #: Time since then.
    age_seconds: float = attrs.field(validator=within(0.0, 1000000000.0))


@attrs.frozen(repr=False)
class StoppedRequest(Shown):
    """A request that is sent to no upstream any more, since those that ran it ended."""

    #: Hash of caller, path and body, 16 bytes.
    fingerprint: bytes
    #: Path of the workspace that asked.
    workspace: str
    #: Time since it was stopped.
    age_seconds: float = attrs.field(validator=within(0.0, 1000000000.0))
    #: Upstreams that ended under it.
    ends_count: int = attrs.field(validator=within(0, None))


@attrs.frozen(repr=False)
class CrashUpdate(Shown):
    """What hosts tell each other of upstreams that end under requests."""

    CODE: ClassVar[int] = 17

    #: Upstreams that ended.
    ended: list[EndedUpstream] = attrs.field(factory=list)
    #: Upstreams that did not end after all.
    live: list[LiveUpstream] = attrs.field(factory=list)
    #: Requests that nothing is held against any more.
    cleared: list[ClearedRequest] = attrs.field(factory=list)
    #: Requests that are kept from all upstreams.
    stopped: list[StoppedRequest] = attrs.field(factory=list)


@attrs.frozen(repr=False)
class UpstreamRate(Shown):
    """What one answer of an upstream said of the requests that it takes."""

    #: Name of the upstream.
    upstream: str
    #: Life that answered; empty where lives are not told apart.
    incarnation: str
    #: Whether it named a rate.
    is_limited: bool
    #: The rate from all hosts together; 0 if it named none.
    requests_per_second: float = attrs.field(validator=within(0.0, None))
    #: Time since the request was sent that it answered.
    asked_age_seconds: float = attrs.field(validator=within(0.0, 1000000000.0))
    #: Time since its answer came.
    heard_age_seconds: float = attrs.field(validator=within(0.0, 1000000000.0))


@attrs.frozen(repr=False)
class RateLimitUpdate(Shown):
    """What hosts tell each other of the rates that upstreams name."""

    CODE: ClassVar[int] = 18

    #: The newest word of some upstreams.
    rates: list[UpstreamRate] = attrs.field(factory=list)


@attrs.frozen(repr=False)
class LeavingUpstream(Shown):
    """One incarnation of an upstream that is shutting down."""

    #: Name of the upstream.
    upstream: str
    #: Its incarnation; empty where incarnations are not told apart.
    incarnation: str


@attrs.frozen(repr=False)
class LeavingUpdate(Shown):
    """Upstreams that announced their shutdown in an answer."""

    CODE: ClassVar[int] = 19

    #: Their incarnations.
    leaving: list[LeavingUpstream] = attrs.field(factory=list)


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
}
