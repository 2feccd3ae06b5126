"""All cached views of the upstreams of one host."""

from ._cached_views import CachedViews, ViewKey
from ._membership import Membership
from ._send_limits import SendLimits
from ._upstreams import UpstreamTable

#: Maximum number of sets of views. Requests name services and models, so that the
#: number of sets would otherwise be unbounded.
MAX_SETS_COUNT = 32


class ViewCache:
    """The sets of views of one host."""

    def __init__(
        self,
        upstreams: UpstreamTable,
        peers: Membership,
        send_limits: SendLimits,
    ) -> None:
        self._upstreams = upstreams
        self._peers = peers
        self._send_limits = send_limits
        self._sets: dict[ViewKey, CachedViews] = {}

    def views(
        self, key: ViewKey, share_ratio: float, now_seconds: float
    ) -> CachedViews:
        """Return the views of the upstreams that accept requests now.

        ``share_ratio`` is this host's share of the pool. The returned object changes
        with the next call.
        """
        views = self._sets.get(key)
        if views is None:
            if len(self._sets) >= MAX_SETS_COUNT:
                self._sets.clear()
            views = self._sets[key] = CachedViews(
                key, self._upstreams, self._peers, self._send_limits
            )
        views.refresh(share_ratio, now_seconds)
        return views
