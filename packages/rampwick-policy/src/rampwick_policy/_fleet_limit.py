"""A token limit that all hosts enforce together, as one host sees it.

Each host counts the tokens that it sends. Its peers report, some tenths of a second
late, the tokens that they sent within the window, the part that expires next, and their
demand. While the fleet is well below the limit, every request is admitted. Near the
limit, each host admits the same ratio of its requests, such that the sum of the fleet
converges to the limit within a short time. Equal shares would not work: with 90 hosts,
a share is smaller than one long prompt.
"""

import math
import random

import attrs

from rampwick_schema import LimitUsage, ReprMixin

from ._limit_reports import EXPIRY_HORIZON_SECONDS, PeerReports
from ._sliding_window import SlidingWindow
from ._tree import LimitedNode

#: Window over which demand is measured. It covers some tens of requests of a workspace
#: near its limit and is short compared to the time in which a burst exhausts the limit.
DEMAND_WINDOW_SECONDS = 0.5

#: Time within which the sum of the fleet converges to the limit. It is two to three
#: times the age of peer reports, so that not all hosts repeat the correction of one.
CONVERGENCE_SECONDS = 2.0

#: Time in which a burst becomes known to all hosts. The target stays below the hard
#: ceiling by the demand of this time, so a small excess converges near the ceiling and
#: a large one near the limit. With the limit itself as target, the fleet would be below
#: it half of the time and refuse requests that are within the limit.
PROPAGATION_SECONDS = 0.6

#: Largest part of the tolerated excess over a limit that the target may include.
MAX_TARGET_RATIO = 0.5

#: Growth in demand at a host that is reported to its peers immediately, and the usage
#: of the limit above which this applies.
BURST_RATIO = 2.0
NEAR_LIMIT_RATIO = 0.8

#: Shortest window over which demand is measured after a start.
MIN_DEMAND_WINDOW_SECONDS = 0.125

#: A fleet that has just started may at once use the rate of a limit over this time,
#: since a single request does not indicate a workspace over its limit.
START_BURST_SECONDS = 0.5

#: Time for which the first requests are held after a simultaneous start of the fleet,
#: until the demand of other halls has arrived through two relays. Requests that built
#: up during the outage arrive all at once, and each host would admit all of its own
#: before it received the demand of the others.
HOLD_SECONDS = 1.0

#: Fraction of a limit up to which a request is negligible: neither held nor sampled.
NEGLIGIBLE_RATIO = 1.0 / 5000.0

#: Time for which a limit is reported as binding after a refusal.
BINDING_SECONDS = 1.0

#: Lower bound and jitter of the retry delay sent to callers over a limit.
MIN_RETRY_AFTER_SECONDS = 0.25
JITTER_RATIO = 0.25


@attrs.frozen(repr=False)
class LimitParameters(ReprMixin):
    """Parameters that apply to all limits at one time."""

    window_seconds: float
    #: Tolerated excess over a limit.
    over_ratio: float
    slack_tokens: float
    #: Share of the limit that the hosts which reach each other may use.
    share_ratio: float = 1.0
    #: Part of the window for which no live host has usage data.
    unknown_seconds: float = 0.0


@attrs.frozen(repr=False)
class OverLimit(ReprMixin):
    """A request that would exceed a limit of its workspace."""

    path: str
    retry_after_seconds: float


@attrs.define(repr=False)
class _ExcessAllowance(ReprMixin):
    """Tokens sent under a higher limit that are exempt, decreasing over one window.

    If the full excess stayed exempt until it expired, expiring tokens would be admitted
    again at the old rate, and a burst right afterwards would find the window full.
    """

    until_seconds: float
    _excess_tokens: float = 0.0
    _since_seconds: float | None = None

    def tokens(self, excess_tokens: float, now_seconds: float) -> float:
        """Return the tokens of the window that are exempt.

        The excess is fixed at the first call after the change of the limit.
        """
        if now_seconds >= self.until_seconds:
            return 0.0
        if self._since_seconds is None:
            self._since_seconds = now_seconds
            self._excess_tokens = max(0.0, excess_tokens)
        span_seconds = self.until_seconds - self._since_seconds
        return self._excess_tokens * (self.until_seconds - now_seconds) / span_seconds


@attrs.frozen(repr=False)
class _Forecast(ReprMixin):
    """Usage and demand of a limit over all hosts, in tokens within the window."""

    used: float
    #: Tokens up to the target, and the hard upper bound of the usage.
    headroom: float
    ceiling: float
    #: Tokens that peers are expected to send before the sum of the fleet converges.
    expected_elsewhere: float
    #: Demand and admissible rate, in tokens per second.
    demand: float
    admissible: float
    #: Whether the usage of peers is known from old reports only, or not at all.
    is_estimate: bool


class FleetLimit:
    """One limit: the window of this host and the reports of its peers."""

    def __init__(
        self, limit: LimitedNode, window_seconds: float, rng: random.Random
    ) -> None:
        self.limit = limit
        self._rng = rng
        self._sent = SlidingWindow(window_seconds)
        self._demand = SlidingWindow(DEMAND_WINDOW_SECONDS)
        self._reports = PeerReports(window_seconds)
        #: Accumulated fractions of admitted requests; each whole admits one request.
        self._credit = rng.random()
        #: Last computed ratio of requests that are admitted.
        self.admit_ratio = 1.0
        self._allowance: _ExcessAllowance | None = None
        self._refused_at_seconds = -math.inf
        self._demand_since_seconds: float | None = None
        #: Demand in the last report to the peers, in tokens per second.
        self._published_demand = 0.0

    def change(
        self, limit: LimitedNode, window_seconds: float, now_seconds: float
    ) -> None:
        """Apply changed values; tokens sent under a higher limit are exempt."""
        old = allowed_tokens(self.limit, window_seconds)
        if allowed_tokens(limit, window_seconds) < old:
            self._allowance = _ExcessAllowance(now_seconds + window_seconds)
        elif self._allowance is not None:
            # The excess over the raised limit is smaller, so it is determined again.
            self._allowance = _ExcessAllowance(self._allowance.until_seconds)
        self.limit = limit

    # Exchange with peers.

    def usage(self, now_seconds: float) -> LimitUsage | None:
        """Return the report for the peers; ``None`` if there is nothing to report."""
        sent = self._sent.total(now_seconds)
        demand = self._demand_per_second(now_seconds)
        self._published_demand = demand
        if sent < 1.0 and demand < 1.0:
            return None
        expiring = self._expiring_per_second(now_seconds)
        return LimitUsage(self.limit.path, round(sent), round(expiring), round(demand))

    def receive_usage(self, peer: str, usage: LimitUsage, at_seconds: float) -> None:
        """Record the report of a peer, current at ``at_seconds``."""
        self._reports.record(peer, usage, at_seconds)

    def forget(self, peer: str) -> None:
        """Drop the report of a peer; another peer now reports on its behalf."""
        self._reports.forget(peer)

    def has_burst(self, parameters: LimitParameters, now_seconds: float) -> bool:
        """Return whether the demand at this host calls for an immediate update.

        While a limit has enough headroom, the periodic summary is sufficient.
        """
        demand = self._demand_per_second(now_seconds)
        if demand < BURST_RATIO * max(1.0, self._published_demand):
            return False
        allowed = allowed_tokens(self.limit, parameters.window_seconds)
        return self.used_tokens(parameters, now_seconds) > allowed * NEAR_LIMIT_RATIO

    def expire(self, now_seconds: float) -> None:
        """Drop reports that are older than the window."""
        self._reports.expire(now_seconds)

    # Admission.

    def hold_seconds(
        self, tokens: float, window_seconds: float, now_seconds: float
    ) -> float:
        """Return how long a request is held until peers have reported their demand.

        Called during warm-up only; the demand report includes held requests.
        """
        if tokens <= self._negligible_tokens(window_seconds):
            return 0.0
        since_seconds = self._demand_since_seconds
        if since_seconds is None:
            since_seconds = now_seconds
        hold_seconds = max(0.0, since_seconds + HOLD_SECONDS - now_seconds)
        if hold_seconds:
            self.record_demand(tokens, now_seconds)
        return hold_seconds

    def record_demand(self, tokens: float, now_seconds: float) -> None:
        """Add a request to the demand at this host."""
        if self._demand_since_seconds is None:
            self._demand_since_seconds = now_seconds
        self._demand.add(tokens, now_seconds)

    def admit(
        self, tokens: float, parameters: LimitParameters, now_seconds: float
    ) -> OverLimit | None:
        """Charge a request that is admitted now; return the excess otherwise."""
        forecast = self._make_forecast(parameters, now_seconds)
        self.admit_ratio = min(1.0, forecast.admissible / max(1.0, forecast.demand))
        if self._may_admit(tokens, parameters.window_seconds, forecast):
            self._sent.add(tokens, now_seconds)
            return None
        self._refused_at_seconds = now_seconds
        wait_seconds = self._wait_seconds(tokens, forecast)
        return OverLimit(self.limit.path, min(wait_seconds, parameters.window_seconds))

    def _may_admit(
        self, tokens: float, window_seconds: float, forecast: _Forecast
    ) -> bool:
        if tokens + forecast.expected_elsewhere <= forecast.headroom:
            return True
        if not forecast.is_estimate or forecast.used + tokens > forecast.ceiling:
            return False
        return tokens <= self._negligible_tokens(window_seconds) or self._sample()

    def _negligible_tokens(self, window_seconds: float) -> float:
        return allowed_tokens(self.limit, window_seconds) * NEGLIGIBLE_RATIO

    def _make_forecast(
        self, parameters: LimitParameters, now_seconds: float
    ) -> _Forecast:
        demand_elsewhere = self._reports.demand_per_second
        demand = self._demand_per_second(now_seconds) + demand_elsewhere
        expiring = (
            self._expiring_per_second(now_seconds) + self._reports.expiring_per_second
        )
        target, ceiling = self._bounds(demand, parameters)
        used = self.used_tokens(parameters, now_seconds)
        if self._allowance is not None:
            exempt = self._allowance.tokens(used - target, now_seconds)
            used = max(min(used, target), used - exempt)
        headroom = target - used
        if parameters.unknown_seconds:
            expiring += self._refill * parameters.share_ratio
            headroom = self._headroom_with_unknown(headroom, used, parameters)
        expected_elsewhere = max(0.0, demand_elsewhere - expiring) * CONVERGENCE_SECONDS
        return _Forecast(
            used=used,
            headroom=headroom,
            ceiling=ceiling,
            expected_elsewhere=expected_elsewhere,
            demand=demand,
            admissible=max(0.0, headroom / CONVERGENCE_SECONDS + expiring),
            is_estimate=bool(self._reports) or parameters.unknown_seconds > 0.0,
        )

    def _headroom_with_unknown(
        self, headroom: float, used: float, parameters: LimitParameters
    ) -> float:
        """Return the headroom if hosts that no longer exist may have sent as well.

        They are assumed to have used the full rate and, recently, the burst.
        """
        sent = self._refill * parameters.unknown_seconds + self.limit.burst_tokens
        known_seconds = parameters.window_seconds - parameters.unknown_seconds
        fresh = self._refill * (known_seconds + START_BURST_SECONDS)
        return max(
            headroom - sent * parameters.share_ratio,
            fresh * parameters.share_ratio - used,
        )

    def _bounds(
        self, demand: float, parameters: LimitParameters
    ) -> tuple[float, float]:
        """Return the target usage within a window and its hard upper bound."""
        limit = allowed_tokens(self.limit, parameters.window_seconds)
        ceiling = limit * (1.0 + parameters.over_ratio) + parameters.slack_tokens
        target = min(
            ceiling - demand * PROPAGATION_SECONDS,
            limit + (ceiling - limit) * MAX_TARGET_RATIO,
        )
        target = max(limit, target)
        return target * parameters.share_ratio, ceiling * parameters.share_ratio

    def is_binding(self, now_seconds: float) -> bool:
        """Return whether the limit has recently caused a refusal."""
        return now_seconds - self._refused_at_seconds < BINDING_SECONDS

    def used_tokens(self, parameters: LimitParameters, now_seconds: float) -> float:
        """Return the estimated tokens that all hosts have sent within the window."""
        # Unreachable hosts use the remaining share of the limit.
        only_fresh = parameters.share_ratio < 1.0
        return self._sent.total(now_seconds) + self._reports.sent_tokens(
            self.admit_ratio, only_fresh, now_seconds
        )

    def move(self, tokens: float, from_seconds: float, now_seconds: float) -> None:
        """Move the charge of a queued request to its dispatch time."""
        self._sent.subtract(tokens, from_seconds)
        self._sent.add(tokens, now_seconds)

    def charge_again(self, tokens: float, now_seconds: float) -> None:
        """Charge another attempt of a request."""
        self._sent.add(tokens, now_seconds)

    def refund(self, tokens: float, at_seconds: float) -> None:
        """Revert the charge of a request that did not run."""
        self._sent.subtract(tokens, at_seconds)

    @property
    def _refill(self) -> float:
        return self.limit.tokens_per_second or 0.0

    def _demand_per_second(self, now_seconds: float) -> float:
        if self._demand_since_seconds is None:
            return 0.0
        # A host that has just started has no demand for the whole window yet.
        since_seconds = now_seconds - self._demand_since_seconds
        span_seconds = min(
            DEMAND_WINDOW_SECONDS, max(MIN_DEMAND_WINDOW_SECONDS, since_seconds)
        )
        return self._demand.total(now_seconds) / span_seconds

    def _expiring_per_second(self, now_seconds: float) -> float:
        return (
            self._sent.expiring(EXPIRY_HORIZON_SECONDS, now_seconds)
            / EXPIRY_HORIZON_SECONDS
        )

    def _sample(self) -> bool:
        # Fractions accumulate: with independent samples, a host that receives two
        # requests per second would often admit both or none.
        self._credit += self.admit_ratio
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True

    def _wait_seconds(self, tokens: float, forecast: _Forecast) -> float:
        """Return the time until this and other refused requests have capacity."""
        refill = max(1.0, self._refill)
        wait_seconds = max(0.0, tokens - forecast.headroom) / refill
        refused = max(0.0, forecast.demand - forecast.admissible)
        wait_seconds += refused * DEMAND_WINDOW_SECONDS / refill
        jitter = 1.0 + JITTER_RATIO * (2.0 * self._rng.random() - 1.0)
        return max(MIN_RETRY_AFTER_SECONDS, wait_seconds * jitter)


def allowed_tokens(limit: LimitedNode, window_seconds: float) -> float:
    """Return the tokens that all hosts together may send within a window."""
    return (limit.tokens_per_second or 0.0) * window_seconds + limit.burst_tokens
