"""Capacity of the upstreams: which requests may use a slot now.

The views of the upstreams are cached; each decision uses those of its own time.
"""

from ._admission import Admission, PeerDemand, precedes
from ._cached_views import ViewKey
from ._events import RANKED_CLASSES, RequestArrived
from ._membership import Membership
from ._placement import Choice, chosen_view
from ._queue import RequestKind, request_kind
from ._runner_views import RunnerView, RunnerViews
from ._shares import FairnessKey
from ._upstream import serves as serves
from ._upstreams import UpstreamTable
from ._view_cache import ViewCache

#: Additional slots for urgent requests, as a share of an upstream's slots.
URGENT_EXTRA_RATIO = 0.25


class CapacitySnapshot:
    """Load of the upstreams and demand of the peers at one moment."""

    def __init__(
        self,
        view_cache: ViewCache,
        upstreams: UpstreamTable,
        peers: Membership,
        admission: Admission,
        now_seconds: float,
    ) -> None:
        self._view_cache = view_cache
        self._upstreams = upstreams
        self._admission = admission
        self._now_seconds = now_seconds
        self._share_ratio = peers.own_share_ratio(now_seconds)
        self._views: dict[RequestKind, RunnerViews] = {}
        #: Choices at this time by request. A request in time is tried again among the
        #: late ones.
        self.choices: dict[str, Choice] = {}
        self._peer_demands: dict[str, list[PeerDemand]] = {}

    def views(self, arrival: RequestArrived) -> RunnerViews:
        """Return views of the upstreams that can serve a request."""
        return self.views_of(request_kind(arrival))

    def views_of(self, kind: RequestKind) -> RunnerViews:
        """Return views of the upstreams that can serve requests of a kind."""
        views = self._views.get(kind)
        if views is None:
            service, model, priority_class = kind
            is_urgent = priority_class == RANKED_CLASSES[0]
            extra_slots_ratio = URGENT_EXTRA_RATIO if is_urgent else 0.0
            views = self._views[kind] = self._view_cache.views(
                ViewKey(service, model, extra_slots_ratio),
                self._share_ratio,
                self._now_seconds,
            )
        return views

    def may_dispatch(
        self,
        service: str,
        choice: Choice,
        views: RunnerViews,
        fairness_key: FairnessKey,
    ) -> bool:
        """Return whether a request with this fairness key may go to its choice."""
        peer_demands = self._demands_for(service)
        view = chosen_view(choice, views)
        if not view.has_slot:
            return self._may_exceed(view, peer_demands, fairness_key)
        # Reserve free slots for requests at peers that precede this one. Without
        # such requests every free slot may be used, so that none stays idle.
        preceding_count = sum(
            demand.waiting_count
            for demand in peer_demands
            if precedes(demand.fairness_key, fairness_key)
        )
        return views.free_slots_count > preceding_count

    def may_dispatch_late(
        self,
        service: str,
        choice: Choice,
        views: RunnerViews,
        fairness_key: FairnessKey,
        queue_ratio: float,
    ) -> bool:
        """Return whether a late request may go to its choice.

        ``queue_ratio`` limits the prefill queue ahead of it, relative to the usual
        limit. Above one the demand of peers is ignored.
        """
        view = chosen_view(choice, views)
        if view.prefill_queue_seconds > queue_ratio * view.max_prefill_queue_seconds:
            return False
        if queue_ratio > 1.0:
            return view.has_headroom
        return self.may_dispatch(service, choice, views, fairness_key)

    def _demands_for(self, service: str) -> list[PeerDemand]:
        if service not in self._peer_demands:
            self._peer_demands[service] = self._admission.peer_demands(
                service, self._now_seconds
            )
        return self._peer_demands[service]

    def _may_exceed(
        self,
        view: RunnerView,
        peer_demands: list[PeerDemand],
        fairness_key: FairnessKey,
    ) -> bool:
        # The slots of a full runner may be occupied by hosts whose requests come later
        # in the fair order. One request above the limit makes the contention visible to
        # them without leaving a slot idle.
        upstream = self._upstreams.get(view.name)
        if upstream is None or not view.has_headroom:
            return False
        if not upstream.own_attempts:
            return True
        is_first = not any(
            precedes(item.fairness_key, fairness_key) for item in peer_demands
        )
        return is_first and any(
            precedes(fairness_key, item.fairness_key) for item in peer_demands
        )
