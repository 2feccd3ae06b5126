"""When requests get their turn where all upstreams that could serve them are limited.

Without it they would wait for room that can't come in time, each until its deadline.
"""

import math

import attrs

from rampwick_schema import Shown

from ._events import RequestArrived
from ._queue import QueuedRequest, WaitingQueue
from ._request_turns import RequestTurns
from ._room import serves
from ._timeliness import begins_by_seconds
from ._upstreams import UpstreamTable

#: Bounds of what callers are told to wait: long enough for another turn, short enough
#: to try a host that has more of them.
MIN_RETRY_AFTER_SECONDS = 0.5
MAX_RETRY_AFTER_SECONDS = 10.0


@attrs.frozen(repr=False)
class RateOutlook(Shown):
    """What this host may send to upstreams that are all limited."""

    first_at_seconds: float
    requests_per_second: float

    def turn_at_seconds(self, before_count: int) -> float:
        """Return when a request goes that has so many before it; infinite if never."""
        if not before_count or not self.requests_per_second:
            return self.first_at_seconds
        return self.first_at_seconds + before_count / self.requests_per_second


class RateOutlooks:
    """Looks ahead for requests; it shares the scheduler's parts."""

    def __init__(
        self, upstreams: UpstreamTable, turns: RequestTurns, queue: WaitingQueue
    ) -> None:
        self._upstreams = upstreams
        self._turns = turns
        self._queue = queue

    def find(self, arrival: RequestArrived, now_seconds: float) -> RateOutlook | None:
        """Return the outlook of a request; none if any upstream takes what comes.

        One that does counts, too, if it was open a moment ago and may be again.
        """
        if not len(self._turns.rates):
            return None
        model = arrival.scope.model if arrival.scope else ""
        first_at_seconds, requests_per_second = math.inf, 0.0
        is_any_open = False
        for upstream in self._upstreams:
            if not serves(upstream, arrival.service, model):
                continue
            next_at_seconds = self._turns.next_at_seconds(upstream, now_seconds)
            if not self._upstreams.is_open(upstream, now_seconds):
                is_soon = self._upstreams.may_open_soon(upstream, now_seconds)
                if next_at_seconds is None and is_soon:
                    return None
                continue
            if next_at_seconds is None:
                return None
            is_any_open = True
            first_at_seconds = min(first_at_seconds, next_at_seconds)
            requests_per_second += self._turns.own_rate(upstream, now_seconds)
        if not is_any_open:
            return None
        return RateOutlook(max(first_at_seconds, now_seconds), requests_per_second)

    def wait_seconds(
        self, item: QueuedRequest, before_count: int, now_seconds: float
    ) -> float | None:
        """Return when a request that can't be in time is to come back.

        None if its turn comes in time, or if it hangs on no rate.
        """
        outlook = self.find(item.arrival, now_seconds)
        if outlook is None:
            return None
        turn_at_seconds = outlook.turn_at_seconds(before_count)
        if turn_at_seconds <= begins_by_seconds(item):
            return None
        wait_seconds = turn_at_seconds - now_seconds
        return min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, wait_seconds))

    def wait_on_arrival_seconds(
        self, item: QueuedRequest, now_seconds: float
    ) -> float | None:
        """Return the same for one that arrives behind all that wait for its service."""
        if not len(self._turns.rates):
            return None
        before_count = self._waiting_count(item.arrival.service)
        return self.wait_seconds(item, before_count, now_seconds)

    def _waiting_count(self, service: str) -> int:
        counts = self._queue.service_counts()
        return sum(count for (_, name), count in counts.items() if name == service)
