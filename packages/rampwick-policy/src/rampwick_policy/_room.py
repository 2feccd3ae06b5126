"""Room at the upstreams: who may take a slot now, seen once for a whole pass.

Building the views of all upstreams costs more than most decisions, so one pass over
the queue shares them. A dispatch changes them; the next pass builds new ones.
"""

from ._admission import Admission, Rival, goes_before
from ._events import RANKED_CLASSES, RequestArrived
from ._membership import Membership
from ._placement import Choice, RunnerView, chosen_view
from ._shares import Standing
from ._upstream_rate_limiter import UpstreamRateLimiter
from ._upstreams import Upstream, UpstreamTable

#: Slots beyond the usual ones that urgent requests may use.
PORTAL_EXTRA_RATIO = 0.25

#: Share of a runner's slots by which an entitled request may exceed them.
ENTITLED_EXTRA_RATIO = 0.125


class Room:
    """Views of the upstreams at one moment."""

    def __init__(
        self,
        upstreams: UpstreamTable,
        peers: Membership,
        admission: Admission,
        turns: UpstreamRateLimiter,
        now_seconds: float,
    ) -> None:
        self._upstreams = upstreams
        self._turns = turns
        self._peers = peers
        self._admission = admission
        self._now_seconds = now_seconds
        self._part_ratio = peers.own_share_ratio(now_seconds)
        self._views: dict[tuple[str, str, bool], list[RunnerView]] = {}
        self._rivals: dict[str, list[Rival]] = {}

    def views(self, arrival: RequestArrived) -> list[RunnerView]:
        """Return the upstreams that could serve a request."""
        model = arrival.scope.model if arrival.scope else ""
        is_urgent = arrival.priority_class == RANKED_CLASSES[0]
        key = (arrival.service, model, is_urgent)
        if key not in self._views:
            self._views[key] = self._build(arrival.service, model, is_urgent)
        return self._views[key]

    def has_any(self, views: list[RunnerView]) -> bool:
        """Return whether any of the upstreams might take another request."""
        return any(_has_room(view) for view in views)

    def may_take(
        self,
        service: str,
        choice: Choice,
        views: list[RunnerView],
        standing: Standing,
    ) -> bool:
        """Return whether a request of this standing may go where it was placed."""
        rivals = self._list_rivals(service)
        view = chosen_view(choice, views)
        if not view.has_slot:
            return self._may_exceed(view, rivals, standing)
        # Leave free slots to requests elsewhere that should go first. If nobody
        # elsewhere waits for them, all are free to take: nothing stays idle.
        entitled = sum(
            rival.waiting_count
            for rival in rivals
            if goes_before(rival.standing, standing)
        )
        free = sum(max(0, item.slots_count - item.running_count) for item in views)
        return free > entitled

    def may_take_late(
        self,
        service: str,
        choice: Choice,
        views: list[RunnerView],
        standing: Standing,
        queue_ratio: float,
    ) -> bool:
        """Return whether one that is late already may go where it was placed.

        ``queue_ratio`` is the part of the usual queue of prompts that it may find;
        above one it waits for nobody else any more.
        """
        view = chosen_view(choice, views)
        if view.prefill_queue_seconds > queue_ratio * view.max_prefill_queue_seconds:
            return False
        if queue_ratio > 1.0:
            return _has_room(view)
        return self.may_take(service, choice, views, standing)

    def _build(self, service: str, model: str, is_urgent: bool) -> list[RunnerView]:
        extra_ratio = PORTAL_EXTRA_RATIO if is_urgent else 0.0
        return [
            self._upstreams.view(
                upstream,
                self._peers,
                self._part_ratio,
                extra_ratio,
                self._now_seconds,
            )
            for upstream in self._upstreams
            if serves(upstream, service, model)
            and self._upstreams.is_open(upstream, self._now_seconds)
            # An upstream in need names one number for all hosts: unread, or kept to by
            # each host alone, it gets several times what it takes.
            and self._turns.may_send(upstream, self._now_seconds)
        ]

    def _list_rivals(self, service: str) -> list[Rival]:
        if service not in self._rivals:
            self._rivals[service] = self._admission.rivals(service, self._now_seconds)
        return self._rivals[service]

    def _may_exceed(
        self, view: RunnerView, rivals: list[Rival], standing: Standing
    ) -> bool:
        # A full runner's slots are held by hosts whose work may be less entitled.
        # One request over the line makes them see it, without any slot left idle.
        upstream = self._upstreams.get(view.name)
        if upstream is None or not _has_room(view):
            return False
        if not upstream.own_attempts:
            return True
        is_first = not any(goes_before(item.standing, standing) for item in rivals)
        return is_first and any(goes_before(standing, item.standing) for item in rivals)


def _has_room(view: RunnerView) -> bool:
    extra_slots = max(1, int(view.slots_count * ENTITLED_EXTRA_RATIO))
    # Twice the usual prefill queue is the most that an entitled request may face.
    return (
        view.running_count < view.slots_count + extra_slots
        and view.prefill_queue_seconds < 2 * view.max_prefill_queue_seconds
    )


def serves(upstream: Upstream, service: str, model: str) -> bool:
    """Return whether an upstream is of a service, or has a model."""
    if service and upstream.entry.group != service:
        return False
    if model:
        return upstream.is_runner and upstream.model == model
    return bool(service)
