"""Strategies of the rate lab to respect the request rate limits of upstreams."""

import random
from typing import Protocol

from rampwick_policy._fleet_limit import FleetLimit, LimitParameters
from rampwick_policy._request_rates import RequestRates
from rampwick_policy._tree import LimitedNode
from rampwick_policy._upstream import Upstream
from rampwick_policy._upstream_rate_limiter import UpstreamRateLimiter

#: Allowed requests in a window: OVER_RATIO times the rate, plus SLACK_COUNT.
WINDOW_SECONDS = 4.0
OVER_RATIO = 1.5
SLACK_COUNT = 5


class AllHostsSend:
    """All hosts send, each an equal share of the rate."""

    def __init__(self, hosts_count: int) -> None:
        self._hosts_count = hosts_count

    def senders_count(self, requests_per_second: float) -> int:
        """Return the maximum number of hosts that send."""
        return self._hosts_count


class SingleSender:
    """A single host sends all requests."""

    def senders_count(self, requests_per_second: float) -> int:
        """Return the maximum number of hosts that send."""
        return 1


class Gate(Protocol):
    """Decision of one host whether to send a request to an upstream."""

    def may_send(self, upstream: Upstream, now_seconds: float) -> bool:
        """Return whether a request may be sent, and count it if so."""


class UnlimitedGate:
    """Ignores rate limits."""

    def may_send(self, upstream: Upstream, now_seconds: float) -> bool:
        """Return True."""
        return True


class RateLimiterGate:
    """The policy's rate limiter with a policy for the number of senders."""

    def __init__(self, rate_limiter: UpstreamRateLimiter) -> None:
        self._turns = rate_limiter

    def may_send(self, upstream: Upstream, now_seconds: float) -> bool:
        """Return whether a request may be sent, and count it if so."""
        if not self._turns.may_send(upstream, now_seconds):
            return False
        self._turns.note_sent(upstream, now_seconds)
        return True


class FullRateGate:
    """Every host applies the full rate on its own."""

    def __init__(self, rates: RequestRates) -> None:
        self._rates = rates
        self._last_at: dict[str, float] = {}

    def may_send(self, upstream: Upstream, now_seconds: float) -> bool:
        """Return whether a request may be sent, and count it if so."""
        rate = self._rates.rate(upstream.name, "", now_seconds)
        if rate is None:
            return True
        last_at_seconds = self._last_at.get(upstream.name, 0.0)
        if now_seconds < last_at_seconds + 1.0 / max(0.1, rate):
            return False
        self._last_at[upstream.name] = now_seconds
        return True


class AdmitRatioGate:
    """Fleet-wide usage and one admit ratio, as for token limits."""

    def __init__(self, rates: RequestRates, rng: random.Random) -> None:
        self._rates = rates
        self._rng = rng
        self.limits: dict[str, FleetLimit] = {}

    def may_send(self, upstream: Upstream, now_seconds: float) -> bool:
        """Return whether a request may be sent, and count it if so."""
        rate = self._rates.rate(upstream.name, "", now_seconds)
        if rate is None:
            self.limits.pop(upstream.name, None)
            return True
        node = LimitedNode(upstream.name, rate, 0.0, 1.0, True, None, None)
        limit = self.limits.get(upstream.name)
        if limit is None:
            limit = FleetLimit(node, WINDOW_SECONDS, self._rng)
            self.limits[upstream.name] = limit
        elif limit.limit != node:
            limit.change(node, WINDOW_SECONDS, now_seconds)
        limit.record_demand(1.0, now_seconds)
        terms = LimitParameters(WINDOW_SECONDS, OVER_RATIO - 1.0, SLACK_COUNT)
        return limit.admit(1.0, terms, now_seconds) is None
