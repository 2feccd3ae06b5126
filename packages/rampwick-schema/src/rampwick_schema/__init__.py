"""Messages and settings of rampwick, and their conversion to and from plain data."""

from ._convert import structure as structure, unstructure as unstructure
from ._errors import (
    DataError as DataError,
    MessageError as MessageError,
    RampwickError as RampwickError,
    SettingsError as SettingsError,
)
from ._generated_peer import (
    AboardRequest as AboardRequest,
    Beat as Beat,
    BegunStreamsUpdate as BegunStreamsUpdate,
    CacheChange as CacheChange,
    CacheEventUpdate as CacheEventUpdate,
    CacheUpdate as CacheUpdate,
    ChangesReply as ChangesReply,
    ChangesRequest as ChangesRequest,
    ClearedRequest as ClearedRequest,
    Compressed as Compressed,
    ConfirmReply as ConfirmReply,
    ConfirmRequest as ConfirmRequest,
    CrashUpdate as CrashUpdate,
    EndedUpstream as EndedUpstream,
    FleetSummary as FleetSummary,
    HallSummary as HallSummary,
    Hello as Hello,
    HostListChanges as HostListChanges,
    HostListReply as HostListReply,
    HostListRequest as HostListRequest,
    LeavingUpdate as LeavingUpdate,
    LeavingUpstream as LeavingUpstream,
    LimitUsage as LimitUsage,
    ListedVersion as ListedVersion,
    LiveUpstream as LiveUpstream,
    MemberRecord as MemberRecord,
    Members as Members,
    NamedWeights as NamedWeights,
    PlacedPrefix as PlacedPrefix,
    PrefillDemand as PrefillDemand,
    Proof as Proof,
    QueuedWork as QueuedWork,
    RateLimitUpdate as RateLimitUpdate,
    RolloutUpdate as RolloutUpdate,
    RunnerLoad as RunnerLoad,
    RunnerWeights as RunnerWeights,
    StoppedRequest as StoppedRequest,
    StreamGroup as StreamGroup,
    Summary as Summary,
    TreeReply as TreeReply,
    TunnelData as TunnelData,
    TunnelEnd as TunnelEnd,
    TunnelHello as TunnelHello,
    TunnelReply as TunnelReply,
    UpstreamRate as UpstreamRate,
    UpstreamUsage as UpstreamUsage,
    WaitingCount as WaitingCount,
    WorkspaceUsage as WorkspaceUsage,
)
from ._generated_platform import (
    Claim as Claim,
    ClaimShard as ClaimShard,
    HostEntry as HostEntry,
    HostList as HostList,
    HostRecord as HostRecord,
    LeaseRecord as LeaseRecord,
    WeightsTarget as WeightsTarget,
    WeightsTargets as WeightsTargets,
)
from ._generated_routing import (
    CallerLimits as CallerLimits,
    KeptStore as KeptStore,
    Route as Route,
    Routing as Routing,
    Service as Service,
    WeightedService as WeightedService,
)
from ._generated_settings import (
    ClaimSettings as ClaimSettings,
    HostSettings as HostSettings,
    LifeSettings as LifeSettings,
    LimitSettings as LimitSettings,
    ListenSettings as ListenSettings,
    PeerSettings as PeerSettings,
    PlacementSettings as PlacementSettings,
    PlatformSettings as PlatformSettings,
    QueueSettings as QueueSettings,
    QuotaSettings as QuotaSettings,
    RetrySettings as RetrySettings,
    Settings as Settings,
    StewardSettings as StewardSettings,
)
from ._generated_tree import (
    Change as Change,
    Node as Node,
    NodeEdit as NodeEdit,
    Tree as Tree,
)
from ._generated_upstream import LoadReport as LoadReport, Order as Order
from ._repr_mixin import ReprMixin as ReprMixin
from ._settings import parse_settings as parse_settings, read_settings as read_settings
from ._store_versions import (
    MAX_ERA as MAX_ERA,
    MAX_REVISION as MAX_REVISION,
    era_of as era_of,
    join_version as join_version,
    revision_of as revision_of,
)
from ._validators import field_bounds as field_bounds
from ._wire import (
    LENGTH_BYTES as LENGTH_BYTES,
    MESSAGES_VERSION as MESSAGES_VERSION,
    PROTOCOL_VERSION as PROTOCOL_VERSION,
    UNANNOUNCED_MESSAGES_VERSION as UNANNOUNCED_MESSAGES_VERSION,
    compress_message as compress_message,
    decode_message as decode_message,
    encode_message as encode_message,
)
