"""What the handlers of callers' requests share."""

from collections.abc import Callable

import attrs

from rampwick_policy import ConfigurationFollower, TreeView
from rampwick_schema import Settings

from ._claims import ClaimTask
from ._life import Life
from ._metrics import Metrics
from ._scheduler_task import SchedulerTask
from ._stream_tokens import StreamTokens
from ._upstream_client import UpstreamClient


@attrs.define
class RequestIds:
    """Ids that no other host and no other life of this one gives out."""

    host: str
    incarnation: int
    _count: int = 0

    def next(self) -> str:
        """Return a new id."""
        self._count += 1
        return f"{self.host}-{self.incarnation:x}-{self._count:x}"


@attrs.frozen
class Parts:
    """The daemon's parts that a request passes through."""

    settings: Settings
    scheduler: SchedulerTask
    follower: ConfigurationFollower
    upstreams: UpstreamClient
    claims: ClaimTask
    metrics: Metrics
    tokens: StreamTokens
    ids: RequestIds
    life: Life
    read_clock: Callable[[], float]

    @property
    def view(self) -> TreeView:
        """The tree in force."""
        return self.follower.view
