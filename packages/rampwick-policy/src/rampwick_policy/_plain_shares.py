"""Sharing of a plain service's few slots by many hosts.

Handles bursts at a service that runs fewer requests at once than there are hosts. The
requests run for less time than a summary takes to reach the other hosts, so the
reported numbers of running requests say little about free slots: when hosts rely on
them, they all send to the same upstream or all wait. While the service is busy, each
host therefore sends at its share of the rate that the slots can serve. The shares are
in proportion to the requests that hosts have, so that the waiting times of all hosts
are equal and the shares of hosts without requests are lent to the others. A host with a
single request has a share as well.
"""

import attrs

from rampwick_schema import ReprMixin

from ._learned_rates import LearnedRates
from ._peer_queues import PeerQueues
from ._placement import Choice
from ._queue import QueuedRequest, WaitingQueue
from ._runner_views import RunnerView, RunnerViews
from ._upstreams import UpstreamTable

#: Share of the slots that may be in use before hosts send at their shares. Below, a
#: request that finds its slot taken waits for a fraction of its run time.
BUSY_RATIO = 0.8

#: Time for which a share may be saved up: the interval of ticks, at which waiting
#: requests are reconsidered at the latest.
MAX_SAVED_SECONDS = 0.1

#: Bounds of the correction of the rate, by the requests at the service beyond its
#: slots, relative to the slots. A small queue there keeps its slots busy.
MAX_CORRECTION_RATIO = 1.15
MIN_CORRECTION_RATIO = 0.7
CORRECTION_SLOPE = 0.5


@attrs.define(repr=False)
class SendAllowance(ReprMixin):
    """Requests that a host may send to one service now, with fractions."""

    count: float = 1.0
    at_seconds: float = 0.0

    def refill(self, per_second: float, now_seconds: float) -> None:
        """Add what was saved up since the last call, within its bound."""
        elapsed_seconds = max(0.0, now_seconds - self.at_seconds)
        max_count = 1.0 + per_second * MAX_SAVED_SECONDS
        self.count = min(max_count, self.count + per_second * elapsed_seconds)
        self.at_seconds = now_seconds


class PlainShares:
    """Shares of this host in the busy plain services."""

    def __init__(
        self,
        is_enabled: bool,
        upstreams: UpstreamTable,
        queue: WaitingQueue,
        peer_queues: PeerQueues,
        rates: LearnedRates,
    ) -> None:
        self._is_enabled = is_enabled
        self._upstreams = upstreams
        self._queue = queue
        self._peer_queues = peer_queues
        self._rates = rates
        self._allowances: dict[str, SendAllowance] = {}
        self._next_index = 0

    def applies(
        self, item: QueuedRequest, views: RunnerViews, now_seconds: float
    ) -> bool:
        """Return whether a request is sent by the share of this host."""
        service = item.arrival.service
        if not self._is_enabled or item.arrival.chain is not None or not service:
            return False
        if not self._rates.work_seconds(service):
            return False
        slots_count = sum(view.slots_count for view in views)
        running_count = sum(view.running_count for view in views)
        queued_count = sum(self._peer_queues.of(service, now_seconds).requests_counts)
        return running_count + queued_count >= BUSY_RATIO * slots_count

    def may_send(self, service: str, views: RunnerViews, now_seconds: float) -> bool:
        """Return whether the share of a service that uses shares allows a request."""
        if service not in self._allowances:
            return False
        return self._allowance(service, views, now_seconds).count >= 1.0

    def take(self, item: QueuedRequest, views: RunnerViews, now_seconds: float) -> str:
        """Return the upstream to send a request to now; empty if it has to wait."""
        service = item.arrival.service
        allowance = self._allowance(service, views, now_seconds)
        if allowance.count < 1.0:
            return ""
        allowance.count -= 1.0
        return self._next_upstream(views)

    def _allowance(
        self, service: str, views: RunnerViews, now_seconds: float
    ) -> SendAllowance:
        rate = self._requests_per_second(service, views, now_seconds)
        allowance = self._allowances.setdefault(service, SendAllowance())
        allowance.refill(rate, now_seconds)
        return allowance

    def _requests_per_second(
        self, service: str, views: RunnerViews, now_seconds: float
    ) -> float:
        """Return the rate of this host: its part of the rate of all slots."""
        slots_count = sum(view.slots_count for view in views)
        work_seconds = self._rates.work_seconds(service)
        own_running_count = sum(self._own_running_count(view) for view in views)
        own_count = own_running_count + sum(
            count
            for (_, name), count in self._queue.service_counts().items()
            if name == service
        )
        peers_count = sum(view.running_count for view in views) - own_running_count
        peers_count += sum(self._peer_queues.of(service, now_seconds).requests_counts)
        share_ratio = own_count / max(1, own_count + peers_count)
        running_count = sum(view.running_count for view in views)
        # The reports of all hosts are newer than the run times of this host, which are
        # known only once its requests have waited at the service.
        wait_ratio = running_count / max(1, slots_count) - 1.0
        correction_ratio = MAX_CORRECTION_RATIO - CORRECTION_SLOPE * wait_ratio
        correction_ratio = max(
            MIN_CORRECTION_RATIO, min(MAX_CORRECTION_RATIO, correction_ratio)
        )
        return correction_ratio * share_ratio * slots_count / work_seconds

    def _next_upstream(self, views: RunnerViews) -> str:
        """Return the upstream with the fewest requests of this host, in turns.

        Hosts that choose by the same reports would all choose the same upstream.
        """
        self._next_index += 1
        offset = self._next_index % len(views)
        turns = list(views)
        turns = turns[offset:] + turns[:offset]
        return min(turns, key=self._own_load).name

    def _own_load(self, view: RunnerView) -> float:
        return self._own_running_count(view) / view.slots_count

    def _own_running_count(self, view: RunnerView) -> int:
        upstream = self._upstreams.get(view.name)
        return len(upstream.own_attempts) if upstream is not None else 0


def share_choice(name: str, views: RunnerViews) -> Choice:
    """Return the choice of an upstream by share, for logs."""
    view = views.get(name)
    assert view is not None
    return Choice(
        upstream=name,
        cached_tokens=0,
        missing_tokens=1,
        queue_seconds=view.queue_seconds,
        prefill_queue_seconds=view.prefill_queue_seconds,
        score_seconds=view.queue_seconds,
        has_slot=view.has_slot,
    )
