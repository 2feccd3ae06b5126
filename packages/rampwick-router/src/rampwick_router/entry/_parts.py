"""What the handlers of callers' requests share."""

from collections.abc import Callable

import attrs

from rampwick_policy import (
    Access,
    AccessRules,
    AnswerPace,
    ConfigurationFollower,
    SaltBook,
    TreeView,
    decide_access,
)
from rampwick_schema import ReprMixin, Settings

from .._dialects import Dialects, RoutedCall
from .._life import Life
from .._metrics import Metrics
from .._scheduler_task import SchedulerTask
from ..control import ConfigurationTask
from ..upstream import ChannelPool, StallDetector, UpstreamClient
from ._call import hash_key
from ._claims import ClaimTask
from ._stream_tokens import StreamTokens

#: Time by which a configuration must be younger than the bound on it: for what the
#: request still has to travel, for clocks that run apart, and for watches that hear
#: nothing for a second while changes are made.
KEY_AGE_MARGIN_SECONDS = 1.5


#: The same for an unknown route or key: a newer configuration may know it.
DENIAL_AGE_MARGIN_SECONDS = 1.0


def _less(bound_seconds: float, margin_seconds: float) -> float | None:
    if not bound_seconds:
        return None
    return max(0.0, bound_seconds - margin_seconds)


@attrs.define(repr=False)
class RequestIds(ReprMixin):
    """Ids that no other host and no other life of this one gives out."""

    host: str
    incarnation: int
    _count: int = 0

    def next(self) -> str:
        """Return a new id."""
        self._count += 1
        return f"{self.host}-{self.incarnation:x}-{self._count:x}"


@attrs.frozen(repr=False)
class Parts(ReprMixin):
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
    configuration: ConfigurationTask
    channels: ChannelPool
    dialects: Dialects
    salts: SaltBook
    silences: StallDetector
    #: How long answers take here, for when this host leaves.
    pace: AnswerPace = attrs.field(factory=AnswerPace)

    def look_up(self, call: RoutedCall) -> Access:
        """Return what the configuration in force says of a request on a route."""
        platform = self.settings.platform
        return decide_access(
            self.view,
            host=call.host,
            path=call.path,
            key_hash=None if call.key is None else hash_key(call.key),
            age_seconds=self.configuration.age_seconds(self.read_clock()),
            rules=AccessRules(
                max_key_age_seconds=_less(
                    platform.max_key_age_seconds, KEY_AGE_MARGIN_SECONDS
                ),
                max_denial_age_seconds=_less(
                    platform.max_denial_age_seconds, DENIAL_AGE_MARGIN_SECONDS
                ),
            ),
        )

    def count_hosts(self) -> int:
        """Return the hosts of the fleet that this one takes to be alive."""
        return self.scheduler.hosts_count

    @property
    def view(self) -> TreeView:
        """The tree in force."""
        return self.follower.view
