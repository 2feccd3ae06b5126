"""Services of which this host reaches no upstream, for the log and for operators."""

from ._health import HealthState
from ._state_changes import StateChangeTracker
from ._upstream import Upstream
from ._upstreams import UpstreamTable

#: Name of the runners that belong to no service.
MODELS = "models"


class ServiceReachability:
    """Notes when the last upstream of a service becomes unusable, and the first usable.

    The number of live peers tells a failure of the upstreams from a partition of this
    host: peers that are alive can be asked for their view.
    """

    def __init__(
        self, upstreams: UpstreamTable, state_changes: StateChangeTracker
    ) -> None:
        self._upstreams = upstreams
        self._state_changes = state_changes
        self._unreachable: set[str] = set()

    @property
    def unreachable(self) -> list[str]:
        """Names of the services without a reachable upstream."""
        return sorted(self._unreachable)

    def update(self, changed: Upstream, peers_count: int) -> None:
        """Note the state of a service after one of its upstreams has changed."""
        service = _service(changed)
        if not _is_unusable(changed):
            if service in self._unreachable:
                self._unreachable.discard(service)
                reason = f"{changed.name} is reachable"
                self._state_changes.note("service", service, "reachable", reason)
            return
        members = [item for item in self._upstreams if _service(item) == service]
        if service not in self._unreachable and all(map(_is_unusable, members)):
            self._unreachable.add(service)
            reason = f"{len(members)} upstreams unusable, {peers_count} peers alive"
            self._state_changes.note("service", service, "unreachable", reason)


def _service(upstream: Upstream) -> str:
    return upstream.entry.group or MODELS


def _is_unusable(upstream: Upstream) -> bool:
    return upstream.is_suspected or upstream.health.state is HealthState.DOWN
