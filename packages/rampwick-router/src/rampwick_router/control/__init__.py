"""What keeps configuration and weights: sources, ages, the lease, orders.

It owns what this host believes the platform says, and the steward's duty while this
host holds the lease. Watches and peers feed it; orders go out through
:mod:`~rampwick_router.upstream`. It knows nothing of callers, nor of links to peers.
"""

from ._configuration import ConfigurationTask as ConfigurationTask
from ._configuration_sources import (
    ReadsConfiguration as ReadsConfiguration,
    TreeStoreSource as TreeStoreSource,
    WatchedTreeSource as WatchedTreeSource,
)
from ._host_lists import HostListTask as HostListTask
from ._host_sources import (
    PolledHosts as PolledHosts,
    ReadsUpstreams as ReadsUpstreams,
    WatchedHosts as WatchedHosts,
)
from ._reader_role import ReadingRole as ReadingRole
from ._rollout_controller import StewardTask as StewardTask
from ._target_sources import (
    PolledTargets as PolledTargets,
    ReadsTargets as ReadsTargets,
    WatchedTargets as WatchedTargets,
)
