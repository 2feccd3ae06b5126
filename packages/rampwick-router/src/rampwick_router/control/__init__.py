"""Configuration, host lists, weights targets and the rollout controller.

This package owns this host's view of the platform's data, and runs the rollout
controller while this host holds the lease. Watches and peers feed it; orders are sent
through :mod:`~rampwick_router.upstream`. It depends neither on the code that serves
callers nor on links to peers.
"""

from ._configuration import ConfigurationTask as ConfigurationTask
from ._configuration_sources import (
    ConfigurationDecoder as ConfigurationDecoder,
    TreeStoreSource as TreeStoreSource,
    WatchedTreeSource as WatchedTreeSource,
)
from ._host_lists import HostListTask as HostListTask
from ._host_sources import (
    PolledHostSource as PolledHostSource,
    UpstreamDecoder as UpstreamDecoder,
    WatchedHostSource as WatchedHostSource,
)
from ._reader_role import ReaderRole as ReaderRole
from ._rollout_controller import RolloutController as RolloutController
from ._stream_storage import StreamStorage as StreamStorage
from ._target_sources import (
    PolledTargetSource as PolledTargetSource,
    TargetDecoder as TargetDecoder,
    WatchedTargetSource as WatchedTargetSource,
)
