"""Components shared by all handlers of callers' requests."""

from collections.abc import Callable

import attrs

from rampwick_policy import (
    Access,
    AccessRules,
    ConfigurationFollower,
    DrainAdmission,
    SaltTable,
    SlowAnswerTracker,
    TreeView,
    decide_access,
)
from rampwick_schema import ReprMixin, Settings

from .._caller_memory import CallerMemory
from .._dialects import Dialects, RoutedCall
from .._lifecycle import Lifecycle
from .._metrics import Metrics
from .._scheduler_task import SchedulerTask
from ..control import ConfigurationTask, HostListTask
from ..upstream import ConnectionPool, StallDetector, UpstreamClient
from ._call import hash_key
from ._claims import ClaimTask
from ._stream_tokens import StreamTokens

#: Margin by which the configuration must be younger than the maximum age for accepted
#: keys. It covers the request's remaining network time, clock drift, and watches that
#: deliver a change up to a second late.
KEY_AGE_MARGIN_SECONDS = 1.5

#: The same margin for the rejection of an unknown route or key, which a newer
#: configuration may contain.
DENIAL_AGE_MARGIN_SECONDS = 1.0


def _subtract_margin(bound_seconds: float, margin_seconds: float) -> float | None:
    if not bound_seconds:
        return None
    return max(0.0, bound_seconds - margin_seconds)


@attrs.define(repr=False)
class RequestIdGenerator(ReprMixin):
    """Generates ids that are unique across hosts and across restarts of a host."""

    host: str
    incarnation: int
    _count: int = 0

    def next(self) -> str:
        """Return a new id."""
        self._count += 1
        return f"{self.host}-{self.incarnation:x}-{self._count:x}"


@attrs.frozen(repr=False)
class EntryContext(ReprMixin):
    """The components of the daemon that request handlers use."""

    settings: Settings
    scheduler: SchedulerTask
    follower: ConfigurationFollower
    upstreams: UpstreamClient
    claims: ClaimTask
    metrics: Metrics
    stream_tokens: StreamTokens
    ids: RequestIdGenerator
    lifecycle: Lifecycle
    read_clock: Callable[[], float]
    configuration: ConfigurationTask
    hosts: HostListTask
    connection_pool: ConnectionPool
    dialects: Dialects
    salts: SaltTable
    stall_detector: StallDetector
    caller_memory: CallerMemory
    #: Decides during a shutdown, by recent response times, which requests still fit.
    drain_admission: DrainAdmission = attrs.field(factory=DrainAdmission)

    def check_access(self, call: RoutedCall) -> Access:
        """Return the access decision of the configuration in force for a request."""
        platform = self.settings.platform
        return decide_access(
            self.view,
            host=call.host,
            path=call.path,
            key_hash=None if call.key is None else hash_key(call.key),
            age_seconds=self.configuration.age_seconds(self.read_clock()),
            rules=AccessRules(
                max_key_age_seconds=_subtract_margin(
                    platform.max_key_age_seconds, KEY_AGE_MARGIN_SECONDS
                ),
                max_denial_age_seconds=_subtract_margin(
                    platform.max_denial_age_seconds, DENIAL_AGE_MARGIN_SECONDS
                ),
            ),
        )

    @property
    def slow_answers(self) -> SlowAnswerTracker:
        """How long the slowest recent answers took."""
        return self.drain_admission.slow_answers

    def count_hosts(self) -> int:
        """Return the number of hosts considered alive, including this one."""
        return self.scheduler.hosts_count

    @property
    def view(self) -> TreeView:
        """The configuration tree in force."""
        return self.follower.view
