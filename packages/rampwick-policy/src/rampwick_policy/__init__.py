"""Decisions of rampwick: pure state machines that know no I/O and no clock."""

from ._claims import (
    ClaimDecision as ClaimDecision,
    decide_claims as decide_claims,
    key_hash as key_hash,
    shard_of as shard_of,
    withdraw_claims as withdraw_claims,
)
from ._configuration import ConfigurationFollower as ConfigurationFollower
from ._errors import (
    ConflictError as ConflictError,
    LifecycleError as LifecycleError,
    TreeError as TreeError,
)
from ._events import (
    PRIORITY_CLASSES as PRIORITY_CLASSES,
    Action as Action,
    AttemptAccepted as AttemptAccepted,
    AttemptDelivered as AttemptDelivered,
    AttemptDone as AttemptDone,
    AttemptFailed as AttemptFailed,
    CancelAttempt as CancelAttempt,
    Dispatch as Dispatch,
    Event as Event,
    HostListRead as HostListRead,
    LoadReported as LoadReported,
    PeerHeard as PeerHeard,
    ProbeFailed as ProbeFailed,
    Refuse as Refuse,
    RequestArrived as RequestArrived,
    RequestCancelled as RequestCancelled,
    Tick as Tick,
    TreeInForce as TreeInForce,
)
from ._health import Health as Health, HealthState as HealthState
from ._knowledge import CacheKnowledge as CacheKnowledge, Life as Life
from ._lease import LeaseWatcher as LeaseWatcher
from ._membership import Membership as Membership
from ._orders import (
    PlannedOrder as PlannedOrder,
    RunnerState as RunnerState,
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
    Scope as Scope,
    build_chain as build_chain,
    cache_salt as cache_salt,
)
from ._request import (
    Outcome as Outcome,
    RequestLifecycle as RequestLifecycle,
    RunState as RunState,
)
from ._retry import RetryBudget as RetryBudget
from ._scheduler import Scheduler as Scheduler
from ._shares import DecayedUse as DecayedUse, ShareLedger as ShareLedger
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
from ._watchers import is_watcher as is_watcher
