"""When a request can be sent, where no upstream that could serve it takes it now.

Without a forecast it would wait for room that can't come in time, until its deadline.
"""

import math
from collections.abc import Sequence

import attrs

from rampwick_schema import ReprMixin

from ._events import RequestArrived
from ._queue import QueuedRequest, WaitingQueue
from ._reasons import AT_RATE, NO_UPSTREAM, PAUSED
from ._request_turns import RequestTurns
from ._room import serves
from ._timeliness import begins_by_seconds
from ._upstreams import Obstacle, Upstream, UpstreamTable

#: Bounds of what callers are told to wait: long enough for another turn, short enough
#: to try a host that has more of them.
MIN_RETRY_AFTER_SECONDS = 0.5
MAX_RETRY_AFTER_SECONDS = 10.0


@attrs.frozen(repr=False)
class Forecast(ReprMixin):
    """What this host may send to upstreams none of which is open and unlimited."""

    #: When the first request may go; infinite if none may.
    first_at_seconds: float
    #: Requests that may go afterwards; 0 if that is not known.
    requests_per_second: float
    #: Why there is no open upstream.
    reason: str

    def send_at_seconds(self, before_count: int) -> float:
        """Return when a request goes that has so many before it; infinite if never."""
        if not before_count or not self.requests_per_second:
            return self.first_at_seconds
        return self.first_at_seconds + before_count / self.requests_per_second


#: Forecast for an upstream that takes what comes, or may do so in a moment.
ANY_MOMENT = Forecast(0.0, math.inf, "")

#: Reasons by how much they say about when a request can be sent.
REASONS = (AT_RATE, PAUSED, NO_UPSTREAM)


@attrs.frozen(repr=False)
class Postponement(ReprMixin):
    """A request can't be sent in time; its caller is to come back."""

    reason: str
    #: Time until then; none if nothing is known of it.
    retry_after_seconds: float | None


class Forecasts:
    """Looks ahead for requests; it shares the scheduler's parts."""

    def __init__(
        self, upstreams: UpstreamTable, turns: RequestTurns, queue: WaitingQueue
    ) -> None:
        self._upstreams = upstreams
        self._turns = turns
        self._queue = queue

    @property
    def is_needed(self) -> bool:
        """Whether any upstream has said anything that a forecast could rest on."""
        upstreams = self._upstreams
        return bool(
            len(self._turns.rates) or len(upstreams.departures) or len(upstreams.pauses)
        )

    def find(self, arrival: RequestArrived, now_seconds: float) -> Forecast | None:
        """Return the forecast for a request; none if any upstream takes what comes.

        One that does counts, too, if it was open a moment ago and may be again.
        """
        if not self.is_needed:
            return None
        model = arrival.scope.model if arrival.scope else ""
        known = []
        for upstream in self._upstreams:
            if not serves(upstream, arrival.service, model):
                continue
            forecast = self._forecast(upstream, now_seconds)
            if forecast is ANY_MOMENT:
                return None
            if forecast is not None:
                known.append(forecast)
        return _combine(known, now_seconds) if known else None

    def _forecast(self, upstream: Upstream, now_seconds: float) -> Forecast | None:
        """Return the forecast for one upstream; none if it is out for longer."""
        obstacle = self._upstreams.obstacle(upstream, now_seconds)
        if obstacle is Obstacle.LEAVING:
            return Forecast(math.inf, 0.0, NO_UPSTREAM)
        turn_at_seconds = self._turns.next_at_seconds(upstream, now_seconds)
        is_limited = turn_at_seconds is not None
        rate = self._turns.own_rate(upstream, now_seconds) if is_limited else math.inf
        if obstacle is Obstacle.PAUSED:
            resumes_at_seconds = upstream.paused_until_seconds
            if turn_at_seconds is not None:
                resumes_at_seconds = max(resumes_at_seconds, turn_at_seconds)
            return Forecast(resumes_at_seconds, rate, PAUSED)
        if obstacle is None and turn_at_seconds is not None:
            return Forecast(turn_at_seconds, rate, AT_RATE)
        if obstacle is None:
            return ANY_MOMENT
        is_soon = self._upstreams.may_open_soon(upstream, now_seconds)
        return ANY_MOMENT if is_soon and not is_limited else None

    def postpone(
        self, item: QueuedRequest, before_count: int, now_seconds: float
    ) -> Postponement | None:
        """Return when a request that can't be in time is to come back.

        None if it can, or if it hangs on no forecast.
        """
        forecast = self.find(item.arrival, now_seconds)
        if forecast is None:
            return None
        return _postpone(item, forecast, before_count, now_seconds)

    def postpone_on_arrival(
        self, item: QueuedRequest, now_seconds: float
    ) -> Postponement | None:
        """Return the same for one that arrives behind all that wait for its service."""
        forecast = self.find(item.arrival, now_seconds)
        if forecast is None:
            return None
        before_count = self._waiting_count(item.arrival.service)
        return _postpone(item, forecast, before_count, now_seconds)

    def _waiting_count(self, service: str) -> int:
        counts = self._queue.service_counts()
        return sum(count for (_, name), count in counts.items() if name == service)


def _combine(known: Sequence[Forecast], now_seconds: float) -> Forecast:
    first_at_seconds = min(item.first_at_seconds for item in known)
    reasons = {item.reason for item in known}
    return Forecast(
        max(now_seconds, first_at_seconds),
        sum(item.requests_per_second for item in known),
        next(reason for reason in REASONS if reason in reasons),
    )


def _postpone(
    item: QueuedRequest, forecast: Forecast, before_count: int, now_seconds: float
) -> Postponement | None:
    send_at_seconds = forecast.send_at_seconds(before_count)
    if send_at_seconds <= begins_by_seconds(item):
        return None
    if forecast.reason == NO_UPSTREAM:
        return Postponement(NO_UPSTREAM, None)
    wait_seconds = send_at_seconds - now_seconds
    retry_after_seconds = min(
        MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, wait_seconds)
    )
    return Postponement(forecast.reason, retry_after_seconds)
