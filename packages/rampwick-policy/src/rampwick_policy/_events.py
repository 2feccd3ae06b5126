"""Events that the scheduler processes and actions that it returns."""

import math
from collections.abc import Callable

import attrs

from rampwick_schema import (
    CrashUpdate,
    HostList,
    LeavingUpdate,
    LoadReport,
    NamedWeights,
    RateLimitUpdate,
    ReprMixin,
    Summary,
    WeightsTarget,
)

from ._identity import RequestIdentity
from ._placement import Choice
from ._prefix import PrefixChain, Scope
from ._prefix_cache_index import CacheChanges
from ._request import Outcome, RunState
from ._roles import LivePeers
from ._tree import TreeView, Workspace
from ._upstream_paths import UpstreamPath

#: Priority classes that callers can request, the most urgent first.
PRIORITY_CLASSES = ("portal", "interactive", "batch")

#: All priority classes, the most urgent first; routes may use more than callers can.
RANKED_CLASSES = (*PRIORITY_CLASSES, *(f"rank-{rank}" for rank in range(3, 10)))


def _always() -> bool:
    return True


@attrs.frozen(repr=False)
class RequestArrived(ReprMixin):
    """A caller's validated request arrived."""

    request_id: str
    workspace: Workspace
    priority_class: str
    deadline_seconds: float
    is_repeatable: bool
    #: Prompt of a model request; ``None`` for a plain service.
    chain: PrefixChain | None = None
    scope: Scope | None = None
    #: Service that is called; empty if any upstream with the model can serve it.
    service: str = ""
    #: Number of upstreams on which it may run; ``None`` uses the settings.
    max_attempts_count: int | None = None
    #: Whether another upstream may continue a stream that broke after its first chunk.
    is_resumable: bool = False
    #: Time within which the answer should start; ``None`` if there is no target.
    latency_target_seconds: float | None = None
    #: Largest answer that the caller allows.
    max_answer_tokens: int = 0
    #: Tokens of prompt and answer as declared by the caller; ``None`` if not declared.
    declared_tokens: int | None = None
    #: Whether it was published to peers and held until the fleet's demand was known.
    was_held: bool = False
    #: Identity shared by the caller's retries; ``None`` if it is not known.
    identity: RequestIdentity | None = None
    #: Longest time between two events of the stream for it to be in time; ``None`` if
    #: there is no target.
    pause_target_seconds: float | None = None
    #: Answer length that the caller expects; ``None`` if it stated none.
    expected_answer_tokens: int | None = None
    #: Whether its answer is a stream of events.
    is_stream: bool = False
    #: Key of the stream that it may begin, and of the one that its caller says it goes
    #: on with; empty for none.
    stream_key: bytes = b""
    resumed_key: bytes = b""
    #: Whether the caller has events of the stream already.
    is_resumption: bool = False
    #: Longest time since a stream began that its caller may still take up.
    max_stream_age_seconds: float = 0.0
    #: When this host read the request. Whatever the request goes on with began earlier.
    received_at_seconds: float = math.inf
    #: Returns whether the configuration in force allows that it is sent now.
    is_allowed: Callable[[], bool] = _always


@attrs.frozen(repr=False)
class AttemptAccepted(ReprMixin):
    """The upstream started to answer, from the incarnation that it reports."""

    request_id: str
    attempt_id: str


@attrs.frozen(repr=False)
class AttemptDelivered(ReprMixin):
    """The first chunk of the answer is about to be sent to the caller."""

    request_id: str
    attempt_id: str
    #: Whether another attempt can go on after what the caller has received: a stream of
    #: events with ids, and not the body of an error, say.
    may_continue: bool = True


@attrs.frozen(repr=False)
class AttemptFailed(ReprMixin):
    """An attempt ended without a complete answer."""

    request_id: str
    attempt_id: str
    outcome: Outcome
    message: str
    #: Whether the caller has received chunks of the answer.
    has_delivered: bool = False
    #: Retry delay requested by the upstream; ``None`` if it requested none.
    retry_after_seconds: float | None = None
    #: Whether the upstream closed or reset the connection, as in a crash.
    was_closed: bool = False
    #: Whether the upstream sent more than an answer may have, so that it is reachable.
    is_over_bound: bool = False


@attrs.frozen(repr=False)
class AttemptStalled(ReprMixin):
    """An upstream has not started to answer an attempt within the expected time."""

    request_id: str
    attempt_id: str


@attrs.frozen(repr=False)
class AttemptDone(ReprMixin):
    """An attempt returned its complete answer."""

    request_id: str
    attempt_id: str
    cached_tokens: int = 0
    prompt_tokens: int = 0
    answer_tokens: int = 0
    #: Time for which its idle connection stays open; 0 if it was closed.
    connection_idle_seconds: float = 0.0
    #: HTTP status of the answer.
    status: int = 200
    #: Whether the answer stated its end; otherwise the end of the connection was its
    #: end, and may have been a crash.
    has_certain_end: bool = True
    #: Earliest time at which the last bytes of the answer may have arrived, if known.
    last_bytes_at_seconds: float | None = None


@attrs.frozen(repr=False)
class RequestCancelled(ReprMixin):
    """The caller disconnected."""

    request_id: str
    #: Whether bytes of an attempt under way may have reached its upstream.
    may_have_arrived: bool = True


@attrs.frozen(repr=False)
class LoadReported(ReprMixin):
    """An upstream answered a probe; the report is ``None`` for plain services."""

    upstream: str
    report: LoadReport | None
    #: The path on which it answered.
    path: UpstreamPath = UpstreamPath.DIRECT
    #: The address that was probed; empty stands for the listed one.
    address: str = ""


@attrs.frozen(repr=False)
class ProbeFailed(ReprMixin):
    """An upstream did not answer a probe."""

    upstream: str
    message: str
    #: Whether a new connection to it was opened, so that its machine and link work.
    is_connected: bool = False
    #: The address that was probed; empty stands for the listed one.
    address: str = ""


@attrs.frozen(repr=False)
class HostListRead(ReprMixin):
    """A version of the platform's host list was read."""

    host_list: HostList


@attrs.frozen(repr=False)
class PeerSummaryReceived(ReprMixin):
    """A peer sent a summary."""

    name: str
    hall: str
    incarnation: int
    summary: Summary
    #: Age of the summary, if it was aggregated by another host.
    age_seconds: float = 0.0


@attrs.frozen(repr=False)
class PeerRemoved(ReprMixin):
    """A peer's summary no longer applies: another host covers it, or it has left."""

    name: str


@attrs.frozen(repr=False)
class WeightsReported(ReprMixin):
    """The weights version of an upstream, from its response or from a peer.

    Only a report by the upstream itself may lower the known version.
    """

    upstream: str
    incarnation: str
    weights_version: int
    is_own_report: bool = True


@attrs.frozen(repr=False)
class WeightsLoadOrdered(ReprMixin):
    """A runner was ordered to load weights; it serves no requests until it has."""

    upstream: str
    incarnation: str
    weights_version: int
    #: Time after which loading counts as finished, even without a report.
    until_seconds: float


@attrs.frozen(repr=False)
class CacheReported(ReprMixin):
    """Changes reported by an engine's or a store's cache, read here or by a peer."""

    upstream: str
    changes: tuple[CacheChanges, ...]
    #: Whether the changes replace all known entries of the cache.
    is_reset: bool = False


@attrs.frozen(repr=False)
class TargetsReceived(ReprMixin):
    """The target weights of the runners."""

    targets: tuple[WeightsTarget, ...]
    #: Source of the targets, for logs.
    source: str = ""
    #: Monotonic time at which they were certainly current; ``None`` from a peer.
    read_at_seconds: float | None = None
    #: Times at which versions became targets, as reported by a peer.
    named: tuple[NamedWeights, ...] = ()
    #: Whether the previous read failed.
    is_after_failure: bool = False


@attrs.frozen(repr=False)
class RateLimitReported(ReprMixin):
    """A response reported the rate limit of its upstream, or the end of the limit."""

    upstream: str
    #: Incarnation that answered; empty if incarnations are not distinguished.
    incarnation: str
    #: Requests per second from all hosts together; ``None`` without a limit.
    requests_per_second: float | None
    #: When the request of this response was sent.
    sent_at_seconds: float


@attrs.frozen(repr=False)
class BrittlenessReported(ReprMixin):
    """A response stated that its upstream is brittle, or no longer states it."""

    upstream: str
    #: Rejections per second that it withstands; ``None`` without a statement.
    rejections_per_second: float | None
    #: When the request of this response was sent.
    sent_at_seconds: float


@attrs.frozen(repr=False)
class RateLimitUpdateReceived(ReprMixin):
    """A peer sent the rate limits that upstreams reported."""

    update: RateLimitUpdate


@attrs.frozen(repr=False)
class UpstreamSignalled(ReprMixin):
    """An upstream announced its shutdown, or requested a pause from this host."""

    upstream: str
    #: Incarnation that answered; empty if incarnations are not distinguished.
    incarnation: str
    is_leaving: bool = False
    pause_seconds: float | None = None
    #: Response that carried the signal, for logs.
    source: str = "reported in its response"


@attrs.frozen(repr=False)
class LeavingUpdateReceived(ReprMixin):
    """A peer reported upstreams that announced their shutdown."""

    update: LeavingUpdate


@attrs.frozen(repr=False)
class PeersChanged(ReprMixin):
    """The set of live peers changed, or this host began to shut down."""

    live_peers: LivePeers
    is_leaving: bool


@attrs.frozen(repr=False)
class CrashUpdateReceived(ReprMixin):
    """A peer reported crashes, and the requests that the upstreams were running."""

    update: CrashUpdate


@attrs.frozen(repr=False)
class TreeChanged(ReprMixin):
    """Another revision of the tree took effect on this host."""

    view: TreeView


@attrs.frozen(repr=False)
class Tick(ReprMixin):
    """Time has passed."""


Event = (
    RequestArrived
    | AttemptAccepted
    | AttemptDelivered
    | AttemptFailed
    | AttemptStalled
    | AttemptDone
    | RequestCancelled
    | LoadReported
    | ProbeFailed
    | HostListRead
    | PeerSummaryReceived
    | PeerRemoved
    | WeightsReported
    | WeightsLoadOrdered
    | CacheReported
    | TargetsReceived
    | RateLimitReported
    | BrittlenessReported
    | RateLimitUpdateReceived
    | UpstreamSignalled
    | LeavingUpdateReceived
    | PeersChanged
    | CrashUpdateReceived
    | TreeChanged
    | Tick
)


@attrs.frozen(repr=False)
class Dispatch(ReprMixin):
    """Send the request to an upstream as this attempt."""

    request_id: str
    attempt_id: str
    upstream: str
    address: str
    #: Incarnation that the choice is based on; empty for plain services.
    incarnation: str = ""
    weights_version: int = 0
    choice: Choice | None = None
    #: Address of a cache from which the upstream imports missing prefixes.
    import_address: str = ""
    #: Address of a store to which the upstream saves the shared prefix of the prompt.
    save_address: str = ""
    #: Wait at the host by the last estimate; ``None`` without one.
    expected_wait_seconds: float | None = None
    #: Version of the upstream's software; empty if it is not known.
    software_version: str = ""
    #: How the version of a stream that its caller takes up was found, for logs.
    version_evidence: str = ""


@attrs.frozen(repr=False)
class Refuse(ReprMixin):
    """Answer the caller with an error immediately; this is its final answer."""

    request_id: str
    reason: str
    run_state: RunState
    retry_after_seconds: float | None = None
    #: Upstream, limit path or ``host`` that the reason refers to, if any.
    peer: str = ""
    #: State that the refusal is based on, for logs.
    evidence: str = ""


@attrs.frozen(repr=False)
class CancelAttempt(ReprMixin):
    """Cancel an attempt at its upstream, because its answer is no longer needed."""

    request_id: str
    attempt_id: str
    upstream: str
    address: str


Action = Dispatch | Refuse | CancelAttempt
