"""Decisions of rampwick: pure state machines that know no I/O and no clock."""

from ._access import (
    Access as Access,
    AccessRules as AccessRules,
    Verdict as Verdict,
    decide_access as decide_access,
)
from ._blame import (
    BlameBook as BlameBook,
    BlameRule as BlameRule,
    LifeName as LifeName,
    MostEnds as MostEnds,
    Suspect as Suspect,
    Suspicion as Suspicion,
)
from ._burst_detector import BurstDetector as BurstDetector
from ._cache_events import (
    CacheBox as CacheBox,
    SaltBook as SaltBook,
    SaltMeaning as SaltMeaning,
    is_cache_reader as is_cache_reader,
)
from ._claims import (
    ClaimDecision as ClaimDecision,
    decide_claims as decide_claims,
    key_hash as key_hash,
    shard_of as shard_of,
    withdraw_claims as withdraw_claims,
)
from ._configuration import (
    ConfigurationFollower as ConfigurationFollower,
    TreeVersion as TreeVersion,
)
from ._departures import Departures as Departures
from ._errors import (
    ConflictError as ConflictError,
    LifecycleError as LifecycleError,
    TreeError as TreeError,
)
from ._events import (
    PRIORITY_CLASSES as PRIORITY_CLASSES,
    RANKED_CLASSES as RANKED_CLASSES,
    Action as Action,
    AttemptAccepted as AttemptAccepted,
    AttemptDelivered as AttemptDelivered,
    AttemptDone as AttemptDone,
    AttemptFailed as AttemptFailed,
    AttemptSilent as AttemptSilent,
    CacheSeen as CacheSeen,
    CancelAttempt as CancelAttempt,
    CrashUpdateReceived as CrashUpdateReceived,
    Dispatch as Dispatch,
    Event as Event,
    HostListRead as HostListRead,
    LeavingUpdateReceived as LeavingUpdateReceived,
    LoadOrdered as LoadOrdered,
    LoadReported as LoadReported,
    NeighboursSeen as NeighboursSeen,
    PeerGone as PeerGone,
    PeerSummaryReceived as PeerSummaryReceived,
    ProbeFailed as ProbeFailed,
    RateLimitUpdateReceived as RateLimitUpdateReceived,
    RateNamed as RateNamed,
    Refuse as Refuse,
    RequestArrived as RequestArrived,
    RequestCancelled as RequestCancelled,
    TargetsRead as TargetsRead,
    Tick as Tick,
    TreeInForce as TreeInForce,
    UpstreamSignalled as UpstreamSignalled,
    WeightsSeen as WeightsSeen,
)
from ._health import Health as Health, HealthState as HealthState
from ._host_lists import diff_hosts as diff_hosts, patch_hosts as patch_hosts
from ._identity import RequestIdentity as RequestIdentity
from ._kept import kept_life as kept_life
from ._knowledge import (
    CacheChanges as CacheChanges,
    CacheKnowledge as CacheKnowledge,
    Life as Life,
    life_label as life_label,
)
from ._lapses import LapseGuard as LapseGuard
from ._lease import LeaseWatcher as LeaseWatcher
from ._leaving import AnswerPace as AnswerPace, fits_before as fits_before
from ._limit_tracker import LimitState as LimitState
from ._membership import Membership as Membership, PeerView as PeerView
from ._orders import (
    PlannedOrder as PlannedOrder,
    RunnerState as RunnerState,
    count_outdated as count_outdated,
    plan_orders as plan_orders,
)
from ._placement import (
    Choice as Choice,
    ComputedHome as ComputedHome,
    LeastLoaded as LeastLoaded,
    Placement as Placement,
    PricedKnowledge as PricedKnowledge,
    RoundRobin as RoundRobin,
    RunnerView as RunnerView,
)
from ._prefix import (
    Checkpoint as Checkpoint,
    PrefixChain as PrefixChain,
    PromptPart as PromptPart,
    Scope as Scope,
    build_chain as build_chain,
    cache_salt as cache_salt,
    chain_from_parts as chain_from_parts,
    part_key as part_key,
)
from ._relay_listener import RelayListener as RelayListener
from ._request import (
    Outcome as Outcome,
    RequestLifecycle as RequestLifecycle,
    RunState as RunState,
)
from ._request_rates import RequestRates as RequestRates
from ._restored_trees import ReadTree as ReadTree, RestoredTrees as RestoredTrees
from ._retry import RetryBudget as RetryBudget, RetryBudgets as RetryBudgets
from ._roles import (
    LivePeers as LivePeers,
    Member as Member,
    MemberTable as MemberTable,
)
from ._rollout import (
    FetchReport as FetchReport,
    OrderResult as OrderResult,
    Rollout as Rollout,
)
from ._routes import RouteIndex as RouteIndex, choose_service as choose_service
from ._scheduler import Scheduler as Scheduler
from ._shares import DecayedUse as DecayedUse, ShareLedger as ShareLedger
from ._state_changes import StateChange as StateChange
from ._summary_aggregator import (
    SummaryAggregator as SummaryAggregator,
    subtract_summary as subtract_summary,
    sum_limits as sum_limits,
    without_limits as without_limits,
)
from ._suspects import Suspects as Suspects
from ._targets import TargetWeights as TargetWeights
from ._tree import (
    ROOT as ROOT,
    TreeView as TreeView,
    Workspace as Workspace,
    apply_change as apply_change,
    deleted as deleted,
    empty_tree as empty_tree,
    lineage as lineage,
    moved as moved,
    touched_paths as touched_paths,
    validate_tree as validate_tree,
)
from ._upstream_rate_limiter import UpstreamRateState as UpstreamRateState
from ._upstreams import Obstacle as Obstacle
from ._watchers import is_watcher as is_watcher
