"""What upstreams meet: connections, attempts, control calls, probes, cache events.

It owns the sockets towards runners, services and stores of kept cache. Exchanges, the
steward and timers feed it; what it learns goes to the scheduler as events. It imports
no other part of the router but the ones that all share.
"""

from ._cache_reader import CacheReaderTask as CacheReaderTask
from ._channels import (
    Channel as Channel,
    ChannelPool as ChannelPool,
)
from ._client import (
    UpstreamClient as UpstreamClient,
    UpstreamResponse as UpstreamResponse,
    UpstreamStream as UpstreamStream,
)
from ._control import (
    CONTROL_TIMEOUT_SECONDS as CONTROL_TIMEOUT_SECONDS,
    DialectControl as DialectControl,
    UpstreamControl as UpstreamControl,
)
from ._sse import (
    DONE as DONE,
    SequenceFilter as SequenceFilter,
    StreamEvent as StreamEvent,
    format_event as format_event,
)
from ._stalls import (
    ReadMonitor as ReadMonitor,
    StallDetector as StallDetector,
)
from ._tasks import (
    CancelTask as CancelTask,
    ProbeTask as ProbeTask,
)
