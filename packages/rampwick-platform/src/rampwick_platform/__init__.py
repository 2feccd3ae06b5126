"""Client of the platform's object API, and rampwick's records in its store."""

from ._api import (
    ABSENT as ABSENT,
    MAX_VALUE_BYTES as MAX_VALUE_BYTES,
    NAMELESS as NAMELESS,
    UNREADABLE as UNREADABLE,
    HistoryGoneError as HistoryGoneError,
    Listing as Listing,
    ObjectApi as ObjectApi,
    OutcomeUnknownError as OutcomeUnknownError,
    PlatformError as PlatformError,
    PlatformUnavailableError as PlatformUnavailableError,
    StoredObject as StoredObject,
    StoreRestoredError as StoreRestoredError,
    VersionConflictError as VersionConflictError,
)
from ._claim_store import ClaimStore as ClaimStore
from ._entity_tags import EntityTagDialect as EntityTagDialect
from ._http import HttpObjectApi as HttpObjectApi
from ._kind_watcher import (
    KindState as KindState,
    KindView as KindView,
    KindWatcher as KindWatcher,
)
from ._lease_store import LeaseStore as LeaseStore
from ._record_reading import (
    MAX_NESTING as MAX_NESTING,
    NestingError as NestingError,
    decode_answer as decode_answer,
    decode_json as decode_json,
    encode_json as encode_json,
    is_nested_deeper as is_nested_deeper,
    read_revision as read_revision,
    split_answer as split_answer,
)
from ._records import (
    decode_record as decode_record,
    encode_record as encode_record,
    put_idempotent as put_idempotent,
)
from ._socket_options import LIVENESS_OPTIONS as LIVENESS_OPTIONS
from ._steady_clock import (
    new_event_loop as new_event_loop,
    read_steady_clock as read_steady_clock,
)
from ._store_dialect import (
    StoreDialect as StoreDialect,
    StoreRequest as StoreRequest,
    read_era as read_era,
)
from ._stream_store import (
    ReadSegment as ReadSegment,
    ReadStreams as ReadStreams,
    StreamStore as StreamStore,
)
from ._timers import (
    align_delay as align_delay,
    move_on_after_aligned as move_on_after_aligned,
    sleep_aligned as sleep_aligned,
)
from ._tree_store import (
    SNAPSHOT_KEY as SNAPSHOT_KEY,
    StoredTree as StoredTree,
    TreeStore as TreeStore,
    change_key as change_key,
    decode_changes as decode_changes,
)
from ._weights_store import WEIGHTS_KEY as WEIGHTS_KEY, WeightsStore as WeightsStore
