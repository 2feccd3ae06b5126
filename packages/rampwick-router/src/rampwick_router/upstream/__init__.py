"""Communication with upstreams: connections, requests, control calls, cache events.

This package owns the sockets to runners, services and KV stores. Exchanges, the rollout
controller and periodic tasks call it, and it posts results to the scheduler as events.
It imports only the modules that all parts of the router share.
"""

from ._cache_reader import CacheReaderTask as CacheReaderTask
from ._client import (
    UpstreamClient as UpstreamClient,
    UpstreamResponse as UpstreamResponse,
    UpstreamStream as UpstreamStream,
)
from ._connection_pool import (
    ConnectionPool as ConnectionPool,
    SendCheck as SendCheck,
    UpstreamConnection as UpstreamConnection,
    connect_directly as connect_directly,
)
from ._control import (
    CONTROL_TIMEOUT_SECONDS as CONTROL_TIMEOUT_SECONDS,
    DialectControl as DialectControl,
    UpstreamControl as UpstreamControl,
)
from ._sockets import (
    TunnelDialer as TunnelDialer,
    UpstreamSocket as UpstreamSocket,
)
from ._sse import (
    DONE as DONE,
    SequenceFilter as SequenceFilter,
    StreamEvent as StreamEvent,
    format_event as format_event,
)
from ._stalls import (
    IDLE_TIME_BOUND as IDLE_TIME_BOUND,
    ReadMonitor as ReadMonitor,
    StallDetector as StallDetector,
)
from ._tasks import (
    CancelTask as CancelTask,
    ProbeTask as ProbeTask,
)
