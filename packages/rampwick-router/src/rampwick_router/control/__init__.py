"""What keeps configuration and weights: sources, ages, the lease, orders.

It owns what this host believes the platform says, and the steward's duty while this
host holds the lease. Watches and peers feed it; orders go out through
:mod:`~rampwick_router.upstream`. It knows nothing of callers, nor of links to peers.
"""

from ._configuration import ConfigurationTask as ConfigurationTask
from ._configuration_sources import (
    ConfigurationReader as ConfigurationReader,
    TreeStoreSource as TreeStoreSource,
    WatchedTreeSource as WatchedTreeSource,
)
from ._host_lists import HostListTask as HostListTask
from ._host_sources import (
    PolledHostSource as PolledHostSource,
    UpstreamReader as UpstreamReader,
    WatchedHostSource as WatchedHostSource,
)
from ._reader_role import ReaderRole as ReaderRole
from ._rollout_controller import RolloutController as RolloutController
from ._target_sources import (
    PolledTargetSource as PolledTargetSource,
    TargetReader as TargetReader,
    WatchedTargetSource as WatchedTargetSource,
)
