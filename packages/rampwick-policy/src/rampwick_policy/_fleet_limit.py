"""A token limit that all hosts enforce together, as one host sees it.

Each host keeps the level of a bucket that all hosts fill and that leaks at the rate of
the limit (``_fleet_account.py``). Its peers report, some tenths of a second late, what
they have charged and their demand. While the level is low, every request is admitted.
Near the capacity, each host admits the same ratio of its requests, such that the level
of the fleet converges to it within a short time. Equal shares would not work: with 90
hosts, a share is smaller than one long prompt.

The window of a limit may not be used up in a moment, though the limit allows as much
within a window: after all hosts have ended with what they knew, it would be given out a
second time.
"""

import math
import random
from collections import deque

import attrs

from rampwick_schema import LimitUsage, ReprMixin

from ._fleet_account import FleetAccount, PeerReport
from ._limit_reports import EXPIRY_HORIZON_SECONDS, PeerReports
from ._sliding_window import SlidingWindow
from ._tree import LimitedNode

#: Window over which demand is measured. It covers some tens of requests of a workspace
#: near its limit and is short compared to the time in which a burst exhausts the limit.
DEMAND_WINDOW_SECONDS = 0.35

#: Time within which the level of the fleet converges to its target. It is about twice
#: the age of peer reports, so that not all hosts repeat the correction of one.
CONVERGENCE_SECONDS = 1.0

#: Time in which demand becomes known to all hosts. Requests are admitted freely if the
#: level stays below its target for that long. Over a longer time, chance alone would
#: often look like a burst.
PROPAGATION_SECONDS = 1.0

#: Part of the capacity beyond the burst that the target includes. The rest absorbs what
#: is sent before a burst is known to all hosts.
TARGET_RATIO = 0.9

#: Growth in demand at a host that is reported to its peers immediately, and the level,
#: as a ratio of the capacity, above which this applies.
BURST_RATIO = 2.0
NEAR_LIMIT_RATIO = 0.25

#: Shortest window over which demand is measured after a start.
MIN_DEMAND_WINDOW_SECONDS = 0.125

#: Share of the tolerated excess that a fleet without any memory may send at its start.
#: The rest belongs to the capacity that it may have used up before.
START_RATIO = 0.5

#: Least capacity, as the rate over this time: callers send at random times.
MIN_CAPACITY_SECONDS = 1.0

#: Time for which the first requests are held after a simultaneous start of the fleet,
#: until the demand of other halls has arrived through two relays. Requests that built
#: up during the outage arrive all at once, and each host would admit all of its own
#: before it received the demand of the others.
HOLD_SECONDS = 1.0

#: Interval at which a request that is held for want of room is decided again.
RECHECK_SECONDS = 0.1

#: Fraction of a limit up to which a request is negligible: neither held nor sampled.
NEGLIGIBLE_RATIO = 1.0 / 5000.0

#: Time for which a limit is reported as binding after a refusal.
BINDING_SECONDS = 1.0

#: Number of own reports that are kept, and the tolerance in comparing their times.
REPORTS_COUNT = 64
CLOCK_TOLERANCE_SECONDS = 0.001

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


@attrs.frozen(repr=False)
class LimitWindow(ReprMixin):
    """What a limit's window and bucket hold as far as this host knows, in tokens."""

    own_tokens: float
    reported_tokens: float
    #: Sent by hosts that have ended, as far as their peers had reports.
    remembered_tokens: float
    #: Part of the level that stands for what no live host has seen.
    assumed_tokens: float
    #: Age of the oldest report of a live peer.
    report_age_seconds: float
    level_tokens: float
    capacity_tokens: float


@attrs.frozen(repr=False)
class OverLimit(ReprMixin):
    """A request that would exceed a limit of its workspace."""

    path: str
    retry_after_seconds: float


@attrs.frozen(repr=False)
class Capacity(ReprMixin):
    """Bounds on the level of a limit's bucket, in tokens."""

    #: Level that the fleet converges to while demand exceeds the limit.
    target_tokens: float
    ceiling_tokens: float
    #: Level at which a fleet without any memory starts.
    start_tokens: float


@attrs.frozen(repr=False)
class _Forecast(ReprMixin):
    """Level and demand of a limit over all hosts."""

    level: float
    capacity: Capacity
    #: Tokens beyond the rate that peers are expected to send before they know of this
    #: host's demand.
    expected_elsewhere: float
    #: Demand and admissible rate, in tokens per second.
    demand: float
    admissible: float
    #: Whether peers send as well, whose usage is known from old reports only.
    is_estimate: bool
    #: Tokens that all hosts have sent within the window, and the most that they may.
    used: float
    max_used: float

    def headroom(self, tokens: float) -> float:
        """Return the tokens up to the target that a request may still need.

        A request above the target needs an empty bucket.
        """
        return self.capacity.target_tokens - self.level - self._needed(tokens)

    def is_below_ceiling(self, tokens: float) -> bool:
        """Return whether a request keeps the level and the window within bounds."""
        needed = min(tokens, self.capacity.ceiling_tokens)
        return (
            self.level + needed <= self.capacity.ceiling_tokens
            and self.used + tokens <= self.max_used
        )

    def _needed(self, tokens: float) -> float:
        return min(tokens, self.capacity.target_tokens)


class FleetLimit:
    """One limit: its bucket, the window of this host and the reports of its peers."""

    def __init__(
        self,
        limit: LimitedNode,
        window_seconds: float,
        rng: random.Random,
        level_tokens: float,
        now_seconds: float,
    ) -> None:
        self.limit = limit
        self._rng = rng
        self.account = FleetAccount(
            limit.path, level_tokens, limit.tokens_per_second or 0.0, now_seconds
        )
        self._sent = SlidingWindow(window_seconds)
        self._demand = SlidingWindow(DEMAND_WINDOW_SECONDS)
        self._reports = PeerReports(window_seconds)
        #: Own counter in the latest reports, with their times.
        self._reported_totals: deque[tuple[float, float]] = deque(maxlen=REPORTS_COUNT)
        #: Accumulated fractions of admitted requests; each whole admits one request.
        self._credit = rng.random()
        #: Last computed ratio of requests that are admitted.
        self.admit_ratio = 1.0
        self._refused_at_seconds = -math.inf
        self._counting_since_seconds = now_seconds
        self._demand_since_seconds: float | None = None
        #: Tokens of the requests that are held here, and the time until which they are.
        self._held_tokens = 0.0
        self._held_until_seconds = -math.inf
        #: Demand in the last report to the peers, in tokens per second.
        self._published_demand = 0.0

    def change(
        self, limit: LimitedNode, parameters: LimitParameters, now_seconds: float
    ) -> None:
        """Apply changed values.

        What is left of the burst stays as it is, and is at most that of the new limit.
        """
        if limit == self.limit:
            return
        old = capacity(self.limit, parameters).ceiling_tokens
        new = capacity(limit, parameters).ceiling_tokens
        self.account.level_tokens(now_seconds)
        self.account.shift_level(new - old)
        self.account.limit_level(new)
        self.account.tokens_per_second = limit.tokens_per_second or 0.0
        self.limit = limit

    # Exchange with peers.

    def usage(self, now_seconds: float) -> LimitUsage | None:
        """Return the report for the peers; ``None`` if there is nothing to report."""
        sent = self._sent.total(now_seconds)
        demand = self._demand_per_second(now_seconds)
        level = self.account.level_tokens(now_seconds)
        self._published_demand = demand
        held = self._held(now_seconds)
        if sent < 1.0 and demand < 1.0 and level < 1.0 and held < 1.0:
            self.account.own_total_tokens = 0.0
            return None
        self._reported_totals.append((now_seconds, self.account.own_total_tokens))
        return LimitUsage(
            self.limit.path,
            round(sent),
            round(self._expiring_per_second(now_seconds)),
            round(demand),
            max(0, round(self.account.own_total_tokens)),
            round(self.account.pending_tokens),
            round(level),
            round(held),
        )

    def receive_usage(
        self, report: PeerReport, usage: LimitUsage, now_seconds: float
    ) -> None:
        """Record the report of a peer, current at ``report.at_seconds``."""
        if not report.is_fleet or usage.total_tokens < 0:
            self.account.receive(report, usage, self.admit_ratio, now_seconds)
        elif report.is_trusted:
            self._follow(report, usage, now_seconds)
        self._reports.record(report.peer, usage, report.at_seconds)

    def note_idle(self, report: PeerReport) -> None:
        """Record that a peer no longer reports any usage of this limit."""
        self._reports.record(
            report.peer, LimitUsage(self.limit.path, 0), report.at_seconds
        )
        self.account.reset_counter(report.peer, report.incarnation, report.at_seconds)

    def _follow(
        self, report: PeerReport, usage: LimitUsage, now_seconds: float
    ) -> None:
        """Take the level of the relay, which knows each host of the hall."""
        level = float(max(0, usage.level_tokens))
        own = 0.0
        if report.includes_own:
            own = self.account.own_total_tokens - self._reported_total(
                report.at_seconds
            )
        else:
            level = max(level, self.account.level_tokens(now_seconds))
        self.account.adopt(level, max(0.0, own), now_seconds)
        self.account.record_fleet(report.peer, usage, now_seconds)

    def _reported_total(self, at_seconds: float) -> float:
        """Return the own counter in the last report until a time."""
        for reported_at_seconds, tokens in reversed(self._reported_totals):
            if reported_at_seconds <= at_seconds + CLOCK_TOLERANCE_SECONDS:
                return min(tokens, self.account.own_total_tokens)
        return 0.0

    def adopt(self, level_tokens: float, now_seconds: float) -> None:
        """Take the level of a peer that has known the limit for longer."""
        self.account.adopt(level_tokens, self.account.own_total_tokens, now_seconds)

    def forget(self, peer: str) -> None:
        """Drop the report of a peer; another peer now reports on its behalf."""
        self._reports.forget(peer)
        self.account.forget(peer)

    def has_burst(self, parameters: LimitParameters, now_seconds: float) -> bool:
        """Return whether the demand at this host calls for an immediate update.

        While a limit has enough headroom, the periodic summary is sufficient.
        """
        demand = self._demand_per_second(now_seconds)
        if demand < BURST_RATIO * max(1.0, self._published_demand):
            return False
        near_tokens = capacity(self.limit, parameters).target_tokens * NEAR_LIMIT_RATIO
        return self.account.level_tokens(now_seconds) > near_tokens

    def expire(self, parameters: LimitParameters, now_seconds: float) -> None:
        """Drop reports that are older than the window."""
        self.account.level_tokens(now_seconds)
        self.account.limit_level(max_window_tokens(self.limit, parameters))
        self.account.share_ratio = parameters.share_ratio
        self._reports.expire(now_seconds)
        self.account.expire(now_seconds, parameters.window_seconds)

    # Admission.

    def hold_seconds(
        self,
        tokens: float,
        parameters: LimitParameters,
        now_seconds: float,
        *,
        was_held: bool = False,
        may_wait: bool = False,
    ) -> float:
        """Return how long a request is held until peers have reported their demand.

        Called during warm-up only. A request for which there is no room is held on if
        it ``may_wait``: while other hosts are starting, those that are back have only
        their share, and count each token for the missing ones too.
        """
        if tokens <= self._negligible_tokens(parameters.window_seconds):
            return 0.0
        since_seconds = self._demand_since_seconds
        if since_seconds is None:
            since_seconds = now_seconds
        hold_seconds = max(0.0, since_seconds + HOLD_SECONDS - now_seconds)
        if (
            not hold_seconds
            and may_wait
            and not self._has_room(tokens, parameters, now_seconds, was_held=was_held)
        ):
            return RECHECK_SECONDS
        return hold_seconds

    def note_held(
        self, tokens: float, hold_seconds: float, now_seconds: float, *, was_held: bool
    ) -> None:
        """Record that a request is held from now on, or held on if it was already."""
        until_seconds = now_seconds + hold_seconds
        self._held_until_seconds = max(self._held_until_seconds, until_seconds)
        if not was_held:
            self.record_demand(tokens, now_seconds)
            self._held_tokens += tokens

    def _held(self, now_seconds: float) -> float:
        """Return the tokens of the requests held here."""
        is_held = now_seconds < self._held_until_seconds + CLOCK_TOLERANCE_SECONDS
        return self._held_tokens if is_held else 0.0

    def record_demand(self, tokens: float, now_seconds: float) -> None:
        """Add a request to the demand at this host."""
        if self._demand_since_seconds is None:
            self._demand_since_seconds = now_seconds
        self._demand.add(tokens, now_seconds)

    def admit(
        self,
        tokens: float,
        parameters: LimitParameters,
        now_seconds: float,
        *,
        was_held: bool = False,
    ) -> OverLimit | None:
        """Charge a request that is admitted now; return the excess otherwise."""
        forecast = self._make_forecast(parameters, now_seconds)
        self.admit_ratio = min(1.0, forecast.admissible / max(1.0, forecast.demand))
        if was_held:
            forecast = self._released(forecast, parameters, now_seconds)
        if self._may_admit(tokens, parameters, forecast):
            self._sent.add(tokens, now_seconds)
            self.account.charge(tokens, now_seconds)
            self.account.note_pending(tokens, now_seconds)
            return None
        self._refused_at_seconds = now_seconds
        wait_seconds = self._wait_seconds(tokens / parameters.share_ratio, forecast)
        return OverLimit(self.limit.path, min(wait_seconds, parameters.window_seconds))

    def _released(
        self, forecast: _Forecast, parameters: LimitParameters, now_seconds: float
    ) -> _Forecast:
        """Return the forecast for requests that all hosts have held and now release.

        Nothing else has been sent meanwhile. The demand measured while all callers
        returned at once is no estimate of the demand that follows.
        """
        level = self.account.level_tokens(now_seconds)
        held_elsewhere = self.account.held_tokens(now_seconds)
        held = self._held_tokens + held_elsewhere
        room = max(0.0, forecast.capacity.ceiling_tokens - level)
        self.admit_ratio = min(1.0, room * parameters.share_ratio / max(1.0, held))
        return attrs.evolve(
            forecast,
            level=level,
            expected_elsewhere=held_elsewhere / parameters.share_ratio,
        )

    def _has_room(
        self,
        tokens: float,
        parameters: LimitParameters,
        now_seconds: float,
        *,
        was_held: bool,
    ) -> bool:
        """Return whether a request would be admitted whatever chance decides."""
        forecast = self._make_forecast(parameters, now_seconds)
        if was_held:
            forecast = self._released(forecast, parameters, now_seconds)
        cost = tokens / parameters.share_ratio
        return forecast.is_below_ceiling(
            cost
        ) and forecast.expected_elsewhere <= forecast.headroom(cost)

    def _may_admit(
        self, tokens: float, parameters: LimitParameters, forecast: _Forecast
    ) -> bool:
        cost = tokens / parameters.share_ratio
        if not forecast.is_below_ceiling(cost):
            return False
        if forecast.expected_elsewhere <= forecast.headroom(cost):
            return True
        if not forecast.is_estimate:
            return False
        return (
            tokens <= self._negligible_tokens(parameters.window_seconds)
            or self._sample()
        )

    def may_repeat(
        self, tokens: float, parameters: LimitParameters, now_seconds: float
    ) -> bool:
        """Return whether the limit leaves room for another attempt of a request."""
        forecast = self._make_forecast(parameters, now_seconds)
        return forecast.is_below_ceiling(tokens / parameters.share_ratio)

    def _negligible_tokens(self, window_seconds: float) -> float:
        return allowed_tokens(self.limit, window_seconds) * NEGLIGIBLE_RATIO

    def _make_forecast(
        self, parameters: LimitParameters, now_seconds: float
    ) -> _Forecast:
        share_ratio = parameters.share_ratio
        demand_elsewhere = self.account.demand_per_second(now_seconds)
        demand = self._demand_per_second(now_seconds) + demand_elsewhere
        level = self.account.level_tokens(now_seconds)
        level += self.account.expected_tokens(self.admit_ratio, now_seconds)
        bounds = capacity(self.limit, parameters)
        headroom = bounds.target_tokens - level
        excess_elsewhere = max(0.0, demand_elsewhere / share_ratio - self._refill)
        held_elsewhere = self.account.held_tokens(now_seconds) / share_ratio
        admissible = headroom / CONVERGENCE_SECONDS + self._refill
        return _Forecast(
            level=level,
            capacity=bounds,
            expected_elsewhere=held_elsewhere + excess_elsewhere * PROPAGATION_SECONDS,
            demand=demand,
            admissible=max(0.0, admissible * share_ratio),
            is_estimate=bool(self._reports),
            used=self.used_tokens(parameters, now_seconds) / share_ratio,
            max_used=_max_used_tokens(self.limit, parameters),
        )

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

    def note_sent(
        self, tokens: float, from_seconds: float, is_pending: bool, now_seconds: float
    ) -> None:
        """Move the charge of a queued request to its dispatch time."""
        self._sent.subtract(tokens, from_seconds)
        self._sent.add(tokens, now_seconds)
        if is_pending:
            self.account.note_pending(-tokens, now_seconds)
            return
        # The charge of a refused attempt leaks while the request waits for another one.
        waited_seconds = max(0.0, now_seconds - from_seconds)
        self.account.charge(min(tokens, self._refill * waited_seconds), now_seconds)

    def charge_again(self, tokens: float, now_seconds: float) -> None:
        """Charge another attempt of a request."""
        self._sent.add(tokens, now_seconds)
        self.account.charge(tokens, now_seconds)

    def refund(
        self, tokens: float, at_seconds: float, is_pending: bool, now_seconds: float
    ) -> None:
        """Revert the charge of a request that did not run."""
        self._sent.subtract(tokens, at_seconds)
        if is_pending:
            self.account.note_pending(-tokens, now_seconds)
        self.account.charge(-tokens, now_seconds)

    def window(self, parameters: LimitParameters, now_seconds: float) -> LimitWindow:
        """Return what the window of this limit is known to hold, by its sources."""
        return LimitWindow(
            own_tokens=self._sent.total(now_seconds),
            reported_tokens=self._reports.reported_tokens(
                self.admit_ratio, now_seconds
            ),
            remembered_tokens=self._reports.remembered_tokens(now_seconds),
            assumed_tokens=self.account.assumed_tokens(now_seconds),
            report_age_seconds=self.account.report_age_seconds(now_seconds),
            level_tokens=self.account.level_tokens(now_seconds),
            capacity_tokens=capacity(self.limit, parameters).ceiling_tokens,
        )

    @property
    def _refill(self) -> float:
        return self.limit.tokens_per_second or 0.0

    def _demand_per_second(self, now_seconds: float) -> float:
        # A host that has just started has no demand for the whole window yet. Counted
        # from its first request, that request alone would look like a burst.
        since_seconds = now_seconds - self._counting_since_seconds
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
        wait_seconds = max(0.0, -forecast.headroom(tokens)) / refill
        refused = max(0.0, forecast.demand - forecast.admissible)
        wait_seconds += refused * DEMAND_WINDOW_SECONDS / refill
        jitter = 1.0 + JITTER_RATIO * (2.0 * self._rng.random() - 1.0)
        return max(MIN_RETRY_AFTER_SECONDS, wait_seconds * jitter)


def allowed_tokens(limit: LimitedNode, window_seconds: float) -> float:
    """Return the tokens that all hosts together may send within a window."""
    return (limit.tokens_per_second or 0.0) * window_seconds + limit.burst_tokens


def max_window_tokens(limit: LimitedNode, parameters: LimitParameters) -> float:
    """Return the tokens of a window that updates in flight are tolerated to lead to."""
    allowed = allowed_tokens(limit, parameters.window_seconds)
    return allowed * (1.0 + parameters.over_ratio) + parameters.slack_tokens


def _max_used_tokens(limit: LimitedNode, parameters: LimitParameters) -> float:
    """Return the bound on the window where the bucket alone does not imply it."""
    burst_tokens = (limit.tokens_per_second or 0.0) * MIN_CAPACITY_SECONDS
    if capacity(limit, parameters).ceiling_tokens > burst_tokens:
        return math.inf
    return max_window_tokens(limit, parameters)


def capacity(limit: LimitedNode, parameters: LimitParameters) -> Capacity:
    """Return the bounds on the level of a limit's bucket.

    A window that spans a start of the whole fleet holds at most the ceiling, the rate
    over the window, and what the start gives out at once.
    """
    allowed = allowed_tokens(limit, parameters.window_seconds)
    excess = max_window_tokens(limit, parameters) - allowed
    start_room = START_RATIO * excess
    ceiling = limit.burst_tokens + excess - start_room
    ceiling = max(ceiling, (limit.tokens_per_second or 0.0) * MIN_CAPACITY_SECONDS)
    burst = min(ceiling, limit.burst_tokens)
    target = burst + (ceiling - burst) * TARGET_RATIO
    return Capacity(target, ceiling, ceiling - start_room)
