"""What the scheduler is told and what it answers: its typed events and actions."""

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
from ._knowledge import CacheChanges
from ._placement import Choice
from ._prefix import PrefixChain, Scope
from ._request import Outcome, RunState
from ._roles import Neighbours
from ._tree import TreeView, Workspace

#: Classes of requests, the most urgent first.
PRIORITY_CLASSES = ("portal", "interactive", "batch")

#: Names of all ranks of urgency; routes may use more of them than callers can name.
RANKED_CLASSES = (*PRIORITY_CLASSES, *(f"rank-{rank}" for rank in range(3, 10)))


@attrs.frozen(repr=False)
class RequestArrived(ReprMixin):
    """A caller's checked request enters the queue."""

    request_id: str
    workspace: Workspace
    priority_class: str
    deadline_seconds: float
    is_repeatable: bool
    #: Prompt of a model request; none for a plain service.
    chain: PrefixChain | None = None
    scope: Scope | None = None
    #: Service that is called; empty where the model alone says who can serve it.
    service: str = ""
    #: Upstreams on which it may run; none leaves it to the settings.
    max_attempts_count: int | None = None
    #: Whether a stream that broke after its first piece may go on elsewhere.
    is_resumable: bool = False
    #: Time within which an answer is worth most; none if it is not known.
    latency_target_seconds: float | None = None
    #: Largest answer that the caller allows.
    max_answer_tokens: int = 0
    #: Tokens of prompt and answer as the caller names them; none if it names none.
    named_tokens: int | None = None
    #: Whether it has waited for what the whole fleet is asked, and was told to peers.
    was_held: bool = False
    #: What its caller's other tries have in common with it; none if it is not known.
    identity: RequestIdentity | None = None


@attrs.frozen(repr=False)
class AttemptAccepted(ReprMixin):
    """The upstream began to answer, from the life it names."""

    request_id: str
    attempt_id: str


@attrs.frozen(repr=False)
class AttemptDelivered(ReprMixin):
    """The first piece of the answer is about to go to the caller."""

    request_id: str
    attempt_id: str


@attrs.frozen(repr=False)
class AttemptFailed(ReprMixin):
    """An attempt ended without its whole answer."""

    request_id: str
    attempt_id: str
    outcome: Outcome
    message: str
    #: Whether the caller has pieces of the answer already.
    has_delivered: bool = False
    #: When the upstream says to come back; nothing if it did not say.
    retry_after_seconds: float | None = None
    #: Whether the upstream closed or reset the connection, as one does that ends.
    was_closed: bool = False


@attrs.frozen(repr=False)
class AttemptSilent(ReprMixin):
    """An upstream has not begun to answer an attempt for a while."""

    request_id: str
    attempt_id: str


@attrs.frozen(repr=False)
class AttemptDone(ReprMixin):
    """An attempt brought its whole answer."""

    request_id: str
    attempt_id: str
    cached_tokens: int = 0
    prompt_tokens: int = 0
    answer_tokens: int = 0
    #: For how long its connection is kept; nothing if it was closed.
    connection_rest_seconds: float = 0.0


@attrs.frozen(repr=False)
class RequestCancelled(ReprMixin):
    """The caller went away."""

    request_id: str


@attrs.frozen(repr=False)
class LoadReported(ReprMixin):
    """An upstream answered a probe; plain services send no report."""

    upstream: str
    report: LoadReport | None


@attrs.frozen(repr=False)
class ProbeFailed(ReprMixin):
    """An upstream did not answer a probe."""

    upstream: str
    message: str


@attrs.frozen(repr=False)
class HostListRead(ReprMixin):
    """The platform's list was read."""

    host_list: HostList


@attrs.frozen(repr=False)
class PeerSummaryReceived(ReprMixin):
    """A peer sent a summary."""

    name: str
    hall: str
    incarnation: int
    summary: Summary
    #: How old it is already, where others have put it together.
    age_seconds: float = 0.0


@attrs.frozen(repr=False)
class PeerGone(ReprMixin):
    """What a peer said counts no more: another tells it, or it has left."""

    name: str


@attrs.frozen(repr=False)
class WeightsSeen(ReprMixin):
    """An upstream showed which weights it has: by an answer, or through a peer.

    Only the upstream's own word may lower what is known.
    """

    upstream: str
    incarnation: str
    weights_version: int
    is_own_report: bool = True


@attrs.frozen(repr=False)
class LoadOrdered(ReprMixin):
    """A runner was told to load weights; until then it serves nothing."""

    upstream: str
    incarnation: str
    weights_version: int
    #: When the load is over at the latest, even if nothing is heard of it.
    until_seconds: float


@attrs.frozen(repr=False)
class CacheSeen(ReprMixin):
    """An engine's or a store's own word on its cache, read here or by a peer."""

    upstream: str
    changes: tuple[CacheChanges, ...]
    #: Whether everything that was known before is to be forgotten.
    is_reset: bool = False


@attrs.frozen(repr=False)
class TargetsRead(ReprMixin):
    """The weights that the runners shall have."""

    targets: tuple[WeightsTarget, ...]
    #: Who says so, as logs tell it.
    source: str = ""
    #: Steady time at which they were surely the newest; none if a peer told them.
    read_at_seconds: float | None = None
    #: When versions were named, as a peer tells it.
    named: tuple[NamedWeights, ...] = ()
    #: Whether they could not be read right before.
    is_after_failure: bool = False


@attrs.frozen(repr=False)
class RateNamed(ReprMixin):
    """An answer named the requests that its upstream takes, or named none any more."""

    upstream: str
    #: Life that answered; empty where lives are not told apart.
    incarnation: str
    #: Requests a second from all hosts together; none if it names no rate.
    requests_per_second: float | None
    #: When the request was sent that it answers.
    asked_at_seconds: float


@attrs.frozen(repr=False)
class RateLimitUpdateReceived(ReprMixin):
    """A peer tells which rates upstreams name."""

    update: RateLimitUpdate


@attrs.frozen(repr=False)
class UpstreamSignalled(ReprMixin):
    """An upstream announced its shutdown, or asked this host for a pause."""

    upstream: str
    #: Incarnation that answered; empty where incarnations are not told apart.
    incarnation: str
    is_leaving: bool = False
    pause_seconds: float | None = None
    #: Which answer says so, for logs.
    source: str = "its answer says so"


@attrs.frozen(repr=False)
class LeavingUpdateReceived(ReprMixin):
    """A peer knows of upstreams that announced their shutdown."""

    update: LeavingUpdate


@attrs.frozen(repr=False)
class NeighboursSeen(ReprMixin):
    """The host hears other hosts than before, or begins to leave."""

    neighbours: Neighbours
    is_leaving: bool


@attrs.frozen(repr=False)
class CrashUpdateReceived(ReprMixin):
    """A peer tells of upstreams that end under requests."""

    update: CrashUpdate


@attrs.frozen(repr=False)
class TreeInForce(ReprMixin):
    """Another revision of the tree is in force here."""

    view: TreeView


@attrs.frozen(repr=False)
class Tick(ReprMixin):
    """Time has passed."""


Event = (
    RequestArrived
    | AttemptAccepted
    | AttemptDelivered
    | AttemptFailed
    | AttemptSilent
    | AttemptDone
    | RequestCancelled
    | LoadReported
    | ProbeFailed
    | HostListRead
    | PeerSummaryReceived
    | PeerGone
    | WeightsSeen
    | LoadOrdered
    | CacheSeen
    | TargetsRead
    | RateNamed
    | RateLimitUpdateReceived
    | UpstreamSignalled
    | LeavingUpdateReceived
    | NeighboursSeen
    | CrashUpdateReceived
    | TreeInForce
    | Tick
)


@attrs.frozen(repr=False)
class Dispatch(ReprMixin):
    """Send the request to an upstream as this attempt."""

    request_id: str
    attempt_id: str
    upstream: str
    address: str
    #: Life that the choice relied on; empty for plain services.
    incarnation: str = ""
    weights_version: int = 0
    choice: Choice | None = None
    #: Address of a cache from which the upstream shall take what it misses.
    import_address: str = ""
    #: Address of a store to which it shall save what the prompt shares.
    save_address: str = ""


@attrs.frozen(repr=False)
class Refuse(ReprMixin):
    """Give the caller its final answer: an error, at once."""

    request_id: str
    reason: str
    run_state: RunState
    retry_after_seconds: float | None = None
    peer: str = ""
    #: What it rests on, for logs.
    evidence: str = ""


@attrs.frozen(repr=False)
class CancelAttempt(ReprMixin):
    """Stop an attempt at its upstream; nobody waits for it any more."""

    request_id: str
    attempt_id: str
    upstream: str
    address: str


Action = Dispatch | Refuse | CancelAttempt
