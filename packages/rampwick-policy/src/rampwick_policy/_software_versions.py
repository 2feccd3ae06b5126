"""Software versions that streams have to stay with.

Upstreams of several software versions may serve in one service, and what one version
writes does not fit what another one goes on with. Upstreams do not check that, so a
stream is only sent to upstreams of the version that produced its first event.
"""

from ._queue import QueuedRequest
from ._runner_views import ListedViews, RunnerView, RunnerViews
from ._upstream import Upstream
from ._upstreams import UpstreamTable

#: Version of an upstream whose entry does not state one. It equals no version, not even
#: itself: two upstreams of unknown versions may differ.
UNKNOWN_VERSION = ""


class SoftwareVersions:
    """Restricts streams that have begun to upstreams of their version."""

    def __init__(self, upstreams: UpstreamTable, *, is_enabled: bool) -> None:
        self._upstreams = upstreams
        #: Whether the entries of upstreams state versions.
        self.is_enabled = is_enabled

    def note_first_event(self, item: QueuedRequest) -> None:
        """Record that the current attempt of a request sends its first event."""
        if not self.is_enabled or not item.arrival.is_resumable:
            return
        if item.software_version is None:
            item.software_version = item.attempt_software_version

    def allowed_views(self, item: QueuedRequest, views: RunnerViews) -> RunnerViews:
        """Return the upstreams at which a request may run."""
        if item.software_version is None:
            return views
        names = [name for name in views.names if self._is_same(item, name)]
        same = sorted(names, key=views.position)
        return ListedViews(_view(views, name) for name in same)

    def _is_same(self, item: QueuedRequest, name: str) -> bool:
        upstream = self._upstreams.get(name)
        assert item.software_version is not None
        return upstream is not None and is_same_version(upstream, item.software_version)


def is_same_version(upstream: Upstream, version: str) -> bool:
    """Return whether an upstream certainly has a software version."""
    return version != UNKNOWN_VERSION and upstream.entry.software_version == version


def _view(views: RunnerViews, name: str) -> RunnerView:
    view = views.get(name)
    assert view is not None
    return view
