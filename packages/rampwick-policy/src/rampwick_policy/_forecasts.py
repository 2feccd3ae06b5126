"""Forecasts of when a request can be sent, if no upstream accepts it now.

Without a forecast, requests would wait until their deadlines for capacity that can't
become available in time.
"""

import math
from collections.abc import Sequence

import attrs

from rampwick_schema import ReprMixin

from ._capacity import serves
from ._events import RequestArrived
from ._queue import QueuedRequest, WaitingQueue
from ._reasons import AT_RATE, NO_UPSTREAM, PAUSED
from ._timeliness import latest_send_seconds
from ._upstream_rate_limiter import UpstreamRateLimiter
from ._upstreams import IneligibleReason, Upstream, UpstreamTable

#: Bounds of the ``Retry-After`` value: long enough for the rate limiter to allow one
#: more request, short enough that callers try a host with a larger share of the rate.
MIN_RETRY_AFTER_SECONDS = 0.5
MAX_RETRY_AFTER_SECONDS = 10.0


@attrs.frozen(repr=False)
class Forecast(ReprMixin):
    """When this host may send requests, if every upstream is limited or unavailable."""

    #: When the first request may be sent; infinite if none may.
    first_at_seconds: float
    #: Rate at which further requests may be sent; 0 if it is not known.
    requests_per_second: float
    #: Why no upstream accepts requests now.
    reason: str

    def send_at_seconds(self, ahead_count: int) -> float:
        """Return when a request is sent that has ``ahead_count`` others ahead of it.

        Infinite if it is never sent.
        """
        if not ahead_count or not self.requests_per_second:
            return self.first_at_seconds
        return self.first_at_seconds + ahead_count / self.requests_per_second


#: Forecast for an upstream that accepts all requests, or may do so shortly.
IMMEDIATE = Forecast(0.0, math.inf, "")

#: Reasons, the most specific about the time of sending first.
REASONS = (AT_RATE, PAUSED, NO_UPSTREAM)


@attrs.frozen(repr=False)
class Postponement(ReprMixin):
    """A request can't be sent in time, so that its caller has to retry later."""

    reason: str
    #: Time until the retry; ``None`` if it is not known.
    retry_after_seconds: float | None


class Forecasts:
    """Forecasts when requests can be sent; shares the scheduler's components."""

    def __init__(
        self,
        upstreams: UpstreamTable,
        rate_limiter: UpstreamRateLimiter,
        queue: WaitingQueue,
    ) -> None:
        self._upstreams = upstreams
        self._rate_limiter = rate_limiter
        self._queue = queue

    @property
    def is_needed(self) -> bool:
        """Whether any upstream has a rate limit, a pause or a pending shutdown."""
        upstreams = self._upstreams
        return bool(
            len(self._rate_limiter.rates)
            or len(upstreams.shutdown_announcements)
            or len(upstreams.pauses)
        )

    def find(self, arrival: RequestArrived, now_seconds: float) -> Forecast | None:
        """Return the forecast for a request; ``None`` if an upstream accepts it now.

        An upstream that was available recently and may be so again counts as well.
        """
        if not self.is_needed:
            return None
        model = arrival.scope.model if arrival.scope else ""
        forecasts = []
        for upstream in self._upstreams:
            if not serves(upstream, arrival.service, model):
                continue
            forecast = self._forecast(upstream, now_seconds)
            if forecast is IMMEDIATE:
                return None
            if forecast is not None:
                forecasts.append(forecast)
        return _combine(forecasts, now_seconds) if forecasts else None

    def _forecast(self, upstream: Upstream, now_seconds: float) -> Forecast | None:
        """Return the forecast for one upstream; ``None`` if it is down for longer."""
        ineligible_reason = self._upstreams.ineligible_reason(upstream, now_seconds)
        if ineligible_reason is IneligibleReason.LEAVING:
            return Forecast(math.inf, 0.0, NO_UPSTREAM)
        allowed_at_seconds = self._rate_limiter.next_at_seconds(upstream, now_seconds)
        is_limited = allowed_at_seconds is not None
        rate = (
            self._rate_limiter.own_rate(upstream, now_seconds)
            if is_limited
            else math.inf
        )
        if ineligible_reason is IneligibleReason.PAUSED:
            resumes_at_seconds = upstream.paused_until_seconds
            if allowed_at_seconds is not None:
                resumes_at_seconds = max(resumes_at_seconds, allowed_at_seconds)
            return Forecast(resumes_at_seconds, rate, PAUSED)
        if ineligible_reason is None and allowed_at_seconds is not None:
            return Forecast(allowed_at_seconds, rate, AT_RATE)
        if ineligible_reason is None:
            return IMMEDIATE
        is_soon = self._upstreams.may_recover_soon(upstream, now_seconds)
        return IMMEDIATE if is_soon and not is_limited else None

    def find_postponement(
        self, item: QueuedRequest, ahead_count: int, now_seconds: float
    ) -> Postponement | None:
        """Return the postponement of a request that can't be sent in time.

        ``None`` if it can, or if no forecast applies to it.
        """
        forecast = self.find(item.arrival, now_seconds)
        if forecast is None:
            return None
        return _postponement(item, forecast, ahead_count, now_seconds)

    def find_postponement_on_arrival(
        self, item: QueuedRequest, now_seconds: float
    ) -> Postponement | None:
        """Return the same for an arriving request, behind all others of its service."""
        forecast = self.find(item.arrival, now_seconds)
        if forecast is None:
            return None
        ahead_count = self._waiting_count(item.arrival.service)
        return _postponement(item, forecast, ahead_count, now_seconds)

    def _waiting_count(self, service: str) -> int:
        counts = self._queue.service_counts()
        return sum(count for (_, name), count in counts.items() if name == service)


def _combine(forecasts: Sequence[Forecast], now_seconds: float) -> Forecast:
    first_at_seconds = min(item.first_at_seconds for item in forecasts)
    reasons = {item.reason for item in forecasts}
    return Forecast(
        max(now_seconds, first_at_seconds),
        sum(item.requests_per_second for item in forecasts),
        next(reason for reason in REASONS if reason in reasons),
    )


def _postponement(
    item: QueuedRequest, forecast: Forecast, ahead_count: int, now_seconds: float
) -> Postponement | None:
    send_at_seconds = forecast.send_at_seconds(ahead_count)
    if send_at_seconds <= latest_send_seconds(item):
        return None
    if forecast.reason == NO_UPSTREAM:
        return Postponement(NO_UPSTREAM, None)
    wait_seconds = send_at_seconds - now_seconds
    retry_after_seconds = min(
        MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, wait_seconds)
    )
    return Postponement(forecast.reason, retry_after_seconds)
