"""Policies of rampwick: pure state machines without I/O or clock access."""

from ._access import (
    Access as Access,
    AccessRules as AccessRules,
    Verdict as Verdict,
    decide_access as decide_access,
)
from ._answer_times import (
    AnswerTimes as AnswerTimes,
)
from ._answer_timings import (
    AnswerTimer as AnswerTimer,
    AnswerTimings as AnswerTimings,
    LateCause as LateCause,
    find_late_cause as find_late_cause,
)
from ._attribution_rules import (
    AttributionRule as AttributionRule,
    MostCrashes as MostCrashes,
)
from ._begun_streams import (
    BegunStream as BegunStream,
    BegunStreams as BegunStreams,
    Outbox as Outbox,
    split_update as split_update,
    stream_key as stream_key,
)
from ._buffer_budget import (
    BufferBudget as BufferBudget,
    BufferCut as BufferCut,
    BufferedAnswer as BufferedAnswer,
    BufferLimit as BufferLimit,
)
from ._bulk_pacing import (
    AnswerWork as AnswerWork,
    BulkPacing as BulkPacing,
)
from ._burst_detector import BurstDetector as BurstDetector
from ._cache_events import (
    CacheEventBuffer as CacheEventBuffer,
    SaltContext as SaltContext,
    SaltTable as SaltTable,
    is_cache_reader as is_cache_reader,
)
from ._caller_budget import (
    CallerBudget as CallerBudget,
    HolderState as HolderState,
    MemoryHolder as MemoryHolder,
    Reservation as Reservation,
)
from ._caller_frames import (
    FRAMES_PER_RESET as FRAMES_PER_RESET,
    FrameAllowance as FrameAllowance,
    PieceMeter as PieceMeter,
)
from ._claims import (
    ClaimDecision as ClaimDecision,
    decide_claims as decide_claims,
    key_hash as key_hash,
    shard_of as shard_of,
    withdraw_claims as withdraw_claims,
)
from ._completeness import (
    BLANK_LINE as BLANK_LINE,
    AnswerContent as AnswerContent,
    BodyEnd as BodyEnd,
    ReceivedAnswer as ReceivedAnswer,
    find_defect as find_defect,
    has_field as has_field,
)
from ._configuration import (
    ConfigurationFollower as ConfigurationFollower,
    TreeVersion as TreeVersion,
)
from ._connection_admission import (
    HostLoads as HostLoads,
    is_busier_than_peers as is_busier_than_peers,
    is_overdue as is_overdue,
)
from ._connection_doubts import ConnectionDoubts as ConnectionDoubts
from ._crash_attribution import CrashTracker as CrashTracker
from ._drain_admission import (
    DrainAdmission as DrainAdmission,
    DrainDecision as DrainDecision,
    DrainRequest as DrainRequest,
    SlowAnswerTracker as SlowAnswerTracker,
    can_finish_before as can_finish_before,
    finds_ready_host as finds_ready_host,
    retry_elsewhere_seconds as retry_elsewhere_seconds,
)
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
    AttemptStalled as AttemptStalled,
    BrittlenessReported as BrittlenessReported,
    CacheReported as CacheReported,
    CancelAttempt as CancelAttempt,
    CrashUpdateReceived as CrashUpdateReceived,
    Dispatch as Dispatch,
    Event as Event,
    HostListRead as HostListRead,
    LeavingUpdateReceived as LeavingUpdateReceived,
    LoadReported as LoadReported,
    PeerRemoved as PeerRemoved,
    PeersChanged as PeersChanged,
    PeerSummaryReceived as PeerSummaryReceived,
    ProbeFailed as ProbeFailed,
    RateLimitReported as RateLimitReported,
    RateLimitUpdateReceived as RateLimitUpdateReceived,
    Refuse as Refuse,
    RequestArrived as RequestArrived,
    RequestCancelled as RequestCancelled,
    TargetsReceived as TargetsReceived,
    Tick as Tick,
    TreeChanged as TreeChanged,
    UpstreamSignalled as UpstreamSignalled,
    WeightsLoadOrdered as WeightsLoadOrdered,
    WeightsReported as WeightsReported,
)
from ._exit_guard import (
    EXIT_CHECK_SECONDS as EXIT_CHECK_SECONDS,
    ExitGuard as ExitGuard,
)
from ._expired_entries import (
    ExpiredEntryGuard as ExpiredEntryGuard,
    can_expire_in as can_expire_in,
    drop_removed as drop_removed,
    is_newer_than_entry as is_newer_than_entry,
)
from ._health import Health as Health, HealthState as HealthState
from ._host_lists import diff_hosts as diff_hosts, patch_hosts as patch_hosts
from ._identity import (
    MAX_PART_KEYS as MAX_PART_KEYS,
    RequestIdentity as RequestIdentity,
)
from ._idle_bounds import IdleBounds as IdleBounds
from ._kv_store_contents import store_generation as store_generation
from ._lease import LeaseWatcher as LeaseWatcher
from ._limit_tracker import LimitState as LimitState
from ._link_monitor import LinkMonitor as LinkMonitor, LinkState as LinkState
from ._membership import Membership as Membership, PeerView as PeerView
from ._open_answers import (
    AnswerKind as AnswerKind,
    OpenAnswer as OpenAnswer,
)
from ._orders import (
    PlannedOrder as PlannedOrder,
    RunnerState as RunnerState,
    count_outdated as count_outdated,
    plan_orders as plan_orders,
)
from ._paced_queue import (
    MessageKind as MessageKind,
    PacedQueue as PacedQueue,
    QueuedMessage as QueuedMessage,
)
from ._pause_costs import (
    PauseStrategy as PauseStrategy,
    PredictedPauses as PredictedPauses,
    SoftPartitioning as SoftPartitioning,
)
from ._placement import (
    CacheAwarePlacement as CacheAwarePlacement,
    Choice as Choice,
    LeastLoaded as LeastLoaded,
    Placement as Placement,
    RendezvousPlacement as RendezvousPlacement,
    RoundRobin as RoundRobin,
    RunnerView as RunnerView,
)
from ._prefill_isolation import PrefillIsolation as PrefillIsolation
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
from ._prefix_cache_index import (
    CacheChanges as CacheChanges,
    CacheGeneration as CacheGeneration,
    PrefixCacheIndex as PrefixCacheIndex,
    generation_label as generation_label,
)
from ._relay_listener import RelayListener as RelayListener
from ._request import (
    Outcome as Outcome,
    RequestLifecycle as RequestLifecycle,
    RunState as RunState,
)
from ._request_quarantine import RequestQuarantine as RequestQuarantine
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
from ._send_budget import SendBudget as SendBudget
from ._shares import DecayedUsage as DecayedUsage, UsageLedger as UsageLedger
from ._shutdown_announcements import ShutdownAnnouncements as ShutdownAnnouncements
from ._software_versions import SoftwareVersions as SoftwareVersions
from ._state_changes import StateChange as StateChange
from ._store_outages import OutageClock as OutageClock
from ._stream_progress import (
    is_idle_stream as is_idle_stream,
    is_mostly_framing as is_mostly_framing,
    max_idle_seconds as max_idle_seconds,
)
from ._stream_segments import (
    MAX_SEGMENTS_COUNT as MAX_SEGMENTS_COUNT,
    SegmentWrite as SegmentWrite,
    StreamSegments as StreamSegments,
)
from ._summary_aggregator import (
    MAX_PLACED as MAX_PLACED,
    SummaryAggregator as SummaryAggregator,
    subtract_summary as subtract_summary,
    sum_limits as sum_limits,
    without_limits as without_limits,
)
from ._suspects import (
    IncarnationKey as IncarnationKey,
    QuarantineState as QuarantineState,
    Suspect as Suspect,
)
from ._targets import TargetWeights as TargetWeights
from ._tree import (
    MAX_NODES as MAX_NODES,
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
    validate_written_tree as validate_written_tree,
)
from ._tunnel_peers import (
    BUSY as BUSY,
    LEAVING as LEAVING,
    TUNNELLED as TUNNELLED,
    UNKNOWN as UNKNOWN,
    UNREACHABLE as UNREACHABLE,
    TunnelPeers as TunnelPeers,
)
from ._upstream_paths import UpstreamPath as UpstreamPath
from ._upstream_rate_limiter import UpstreamRateState as UpstreamRateState
from ._upstreams import IneligibleReason as IneligibleReason
from ._watchers import is_watcher as is_watcher
