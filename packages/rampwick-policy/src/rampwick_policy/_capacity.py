"""Capacity of the upstreams: which requests may use a slot now.

Building the views of all upstreams costs more than most decisions, so one pass over
the queue shares them. A dispatch makes them outdated; the next pass builds new ones.
"""

from ._admission import Admission, PeerDemand, precedes
from ._events import RANKED_CLASSES, RequestArrived
from ._membership import Membership
from ._placement import Choice, RunnerView, chosen_view
from ._shares import FairnessKey
from ._upstream_rate_limiter import UpstreamRateLimiter
from ._upstreams import Upstream, UpstreamTable

#: Additional slots for urgent requests, as a share of an upstream's slots.
URGENT_EXTRA_RATIO = 0.25

#: Share of a runner's slots by which a request that precedes others may exceed them.
PRECEDENCE_EXTRA_RATIO = 0.125


class CapacitySnapshot:
    """Load of the upstreams and demand of the peers at one moment."""

    def __init__(
        self,
        upstreams: UpstreamTable,
        peers: Membership,
        admission: Admission,
        rate_limiter: UpstreamRateLimiter,
        now_seconds: float,
    ) -> None:
        self._upstreams = upstreams
        self._rate_limiter = rate_limiter
        self._peers = peers
        self._admission = admission
        self._now_seconds = now_seconds
        self._share_ratio = peers.own_share_ratio(now_seconds)
        self._views: dict[tuple[str, str, bool], list[RunnerView]] = {}
        self._peer_demands: dict[str, list[PeerDemand]] = {}

    def views(self, arrival: RequestArrived) -> list[RunnerView]:
        """Return views of the upstreams that can serve a request."""
        model = arrival.scope.model if arrival.scope else ""
        is_urgent = arrival.priority_class == RANKED_CLASSES[0]
        key = (arrival.service, model, is_urgent)
        if key not in self._views:
            self._views[key] = self._build(arrival.service, model, is_urgent)
        return self._views[key]

    def any_has_headroom(self, views: list[RunnerView]) -> bool:
        """Return whether any of the upstreams may accept another request."""
        return any(_has_headroom(view) for view in views)

    def may_dispatch(
        self,
        service: str,
        choice: Choice,
        views: list[RunnerView],
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
        free = sum(max(0, item.slots_count - item.running_count) for item in views)
        return free > preceding_count

    def may_dispatch_late(
        self,
        service: str,
        choice: Choice,
        views: list[RunnerView],
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
            return _has_headroom(view)
        return self.may_dispatch(service, choice, views, fairness_key)

    def _build(self, service: str, model: str, is_urgent: bool) -> list[RunnerView]:
        extra_ratio = URGENT_EXTRA_RATIO if is_urgent else 0.0
        return [
            self._upstreams.view(
                upstream,
                self._peers,
                self._share_ratio,
                extra_ratio,
                self._now_seconds,
            )
            for upstream in self._upstreams
            if serves(upstream, service, model)
            and self._upstreams.is_eligible(upstream, self._now_seconds)
            # An overloaded upstream reports one rate for all hosts together. If hosts
            # ignored it, or each used it in full, the upstream would receive several
            # times the rate that it accepts.
            and self._rate_limiter.may_send(upstream, self._now_seconds)
        ]

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
        if upstream is None or not _has_headroom(view):
            return False
        if not upstream.own_attempts:
            return True
        is_first = not any(
            precedes(item.fairness_key, fairness_key) for item in peer_demands
        )
        return is_first and any(
            precedes(fairness_key, item.fairness_key) for item in peer_demands
        )


def _has_headroom(view: RunnerView) -> bool:
    extra_slots = max(1, int(view.slots_count * PRECEDENCE_EXTRA_RATIO))
    # A request that precedes others accepts up to twice the usual prefill queue.
    return (
        view.running_count < view.slots_count + extra_slots
        and view.prefill_queue_seconds < 2 * view.max_prefill_queue_seconds
    )


def serves(upstream: Upstream, service: str, model: str) -> bool:
    """Return whether an upstream belongs to a service, or serves a model."""
    if service and upstream.entry.group != service:
        return False
    if model:
        return upstream.is_runner and upstream.model == model
    return bool(service)
