"""Simulation of request rates that upstreams declare, in stepped time.

Only rate limiting is simulated: each request arrives at a host and is sent to its first
choice of upstream. If the host may not send to it at present, the next upstream is
tried, and the request is refused if none is left. A host receives a rate in responses
and broadcasts it to the other hosts with a delay.
"""

import math
import random
from collections import deque
from collections.abc import Callable

import attrs

from rampwick_policy import Health, LivePeers
from rampwick_policy._fleet_limit import FleetLimit
from rampwick_policy._request_rates import RateObservation, RequestRates
from rampwick_policy._state_changes import StateChangeTracker
from rampwick_policy._upstream import Upstream
from rampwick_policy._upstream_rate_limiter import (
    LocalView,
    SenderCountPolicy,
    SendersByRate,
    UpstreamRateLimiter,
)
from rampwick_schema import HostEntry, ReprMixin

from ._rate_patterns import RatePattern
from ._rate_strategies import (
    OVER_RATIO,
    SLACK_COUNT,
    WINDOW_SECONDS,
    AdmitRatioGate,
    AllHostsSend,
    FullRateGate,
    Gate,
    RateLimiterGate,
    SingleSender,
    UnlimitedGate,
)
from ._runner import Clock

#: A window is checked from GRACE_SECONDS after the upstream first declared a rate. A
#: host counts as informed from KNOWN_SECONDS after it received the rate.
GRACE_SECONDS = 3.0
KNOWN_SECONDS = 0.5
MEAN_ANSWER_SECONDS = 0.2
#: Interval at which hosts broadcast their usage, with the strategy "sums".
USAGE_INTERVAL_SECONDS = 0.25


@attrs.define(eq=False)
class _Host:
    name: str
    hall: str
    rates: RequestRates
    gate: Gate
    rate_limiter: UpstreamRateLimiter | None = None
    rate_known_since: dict[str, float] = attrs.field(factory=dict)
    #: Ratio of hosts that it is connected to.
    live_ratio: float = 1.0


@attrs.define(eq=False)
class _Window:
    """Requests within the window, each with the rate when it was sent."""

    sent: deque[tuple[float, float]] = attrs.field(factory=deque)

    def add(self, now_seconds: float, rate: float) -> float:
        """Add a request; return the ratio of sent to allowed requests."""
        self.sent.append((now_seconds, rate))
        while self.sent[0][0] <= now_seconds - WINDOW_SECONDS:
            self.sent.popleft()
        # The highest rate in the window applies: requests may have been sent under it.
        largest = max(known for _, known in self.sent)
        return len(self.sent) / (OVER_RATIO * largest * WINDOW_SECONDS + SLACK_COUNT)


@attrs.define(eq=False)
class _RatedUpstream:
    """An upstream, its rates over time and the requests sent to it."""

    upstream: Upstream
    rates: tuple[tuple[float, float | None], ...] = ()
    #: Requests sent while it declared a rate: by hosts that had received the rate from
    #: it, and by all hosts.
    informed_sent: "_Window" = attrs.field(factory=lambda: _Window())
    all_sent: "_Window" = attrs.field(factory=lambda: _Window())
    sent_count: int = 0
    worst_ratio: float = 0.0
    all_worst_ratio: float = 0.0

    def rate(self, now_seconds: float) -> float | None:
        """Return the rate that it declares."""
        known = [rate for at, rate in self.rates if at <= now_seconds]
        return known[-1] if known else None


@attrs.define(repr=False)
class RateResult(ReprMixin):
    """Results of a run."""

    arrived_count: int = 0
    refused_count: int = 0
    #: Highest ratio of sent to allowed requests in a window of any upstream: by hosts
    #: that had received the rate from it, and by all hosts.
    worst_ratio: float = 0.0
    all_worst_ratio: float = 0.0
    #: Ratio of requests sent to limited upstreams to the sum of their rates.
    used_ratio: float = 0.0
    messages_count: int = 0


class RateLab:
    """One run of a pattern with one strategy."""

    def __init__(self, pattern: RatePattern, strategy: str, seed: int) -> None:
        self._pattern = pattern
        self._strategy = strategy
        self._draw = random.Random(seed)
        self._clock = Clock()
        self._is_partitioned = False
        self._upstreams = [
            self._make_upstream(index) for index in range(pattern.upstreams_count)
        ]
        self._hosts = [self._make_host(index) for index in range(pattern.hosts_count)]
        self.result = RateResult()

    def _make_upstream(self, index: int) -> _RatedUpstream:
        entry = HostEntry(f"u{index}", "service", "h0", f"u{index}:1")
        rates = self._pattern.rates if index < self._pattern.limited_count else ()
        return _RatedUpstream(Upstream(entry, Health(0.1, 1.0)), rates)

    def _make_host(self, index: int) -> _Host:
        rates = RequestRates(StateChangeTracker())
        host = _Host(
            f"e{index}", f"h{index % self._pattern.halls_count}", rates, UnlimitedGate()
        )
        STRATEGIES[self._strategy](host, self)
        return host

    def run(self) -> RateResult:
        """Simulate the pattern."""
        pattern = self._pattern
        self._update_live_peers()
        at_seconds = 0.0
        while at_seconds < pattern.length_seconds:
            at_seconds += self._draw.expovariate(pattern.requests_per_second)
            self._clock.after(at_seconds, self._arrive)
        if pattern.cut_seconds:
            for at_seconds, is_partitioned in zip(
                pattern.cut_seconds, (True, False), strict=True
            ):
                self._clock.after(at_seconds, self._set_partitioned, is_partitioned)
        if pattern.restart_seconds is not None:
            self._clock.after(pattern.restart_seconds, self._restart)
        if self._strategy == "sums":
            self._clock.after(USAGE_INTERVAL_SECONDS, self._broadcast_usage)
        self._clock.run_until(pattern.length_seconds)
        self.result.worst_ratio = max(target.worst_ratio for target in self._upstreams)
        self.result.all_worst_ratio = max(
            target.all_worst_ratio for target in self._upstreams
        )
        self.result.used_ratio = self._used_ratio()
        return self.result

    def _used_ratio(self) -> float:
        limited = [target for target in self._upstreams if target.rates]
        steps = [at / 10.0 for at in range(int(self._pattern.length_seconds * 10))]
        taken = sum(
            (target.rate(at) or 0.0) / 10.0 for target in limited for at in steps
        )
        return sum(target.sent_count for target in limited) / taken

    # Connections between hosts.

    def _is_isolated(self, host: _Host) -> bool:
        return self._is_partitioned and host.hall == "h0"

    def _is_connected(self, host: _Host, other: _Host) -> bool:
        return self._is_isolated(host) == self._is_isolated(other)

    def _update_live_peers(self) -> None:
        for host in self._hosts:
            connected = [
                other for other in self._hosts if self._is_connected(host, other)
            ]
            hall_peers = frozenset(
                other.name
                for other in connected
                if other.hall == host.hall and other != host
            )
            halls = frozenset(other.hall for other in connected)
            host.live_ratio = len(connected) / len(self._hosts)
            if host.rate_limiter is not None:
                live_peers = LivePeers(hall_peers, hall_peers, halls)
                host.rate_limiter.local_view = LocalView(
                    host.name, host.hall, live_peers
                )

    def _set_partitioned(self, is_partitioned: bool) -> None:
        self._is_partitioned = is_partitioned
        # Hosts notice the change only after the timeout for unresponsive peers.
        self._clock.after(1.25, self._update_live_peers)

    def _restart(self) -> None:
        for index in range(0, len(self._hosts), 2):
            self._hosts[index] = self._make_host(index)
        self._update_live_peers()
        self._clock.after(
            self._pattern.broadcast_delay_seconds * 2, self._send_initial_state
        )

    def _send_initial_state(self) -> None:
        for target in self._upstreams:
            for host in self._hosts[1::2]:
                observation = host.rates.observation(target.upstream.name)
                if observation is not None:
                    self._receive(host, target.upstream.name, observation)
                    break

    # Requests.

    def _arrive(self) -> None:
        now_seconds = self._clock.now_seconds
        host = self._draw.choice(self._hosts)
        self.result.arrived_count += 1
        is_hot = self._draw.random() < self._pattern.hot_ratio
        order = self._draw.sample(self._upstreams, len(self._upstreams))
        if is_hot:
            order.insert(0, self._upstreams[0])
        for target in order:
            if host.gate.may_send(target.upstream, now_seconds):
                self._send(host, target)
                return
        self.result.refused_count += 1

    def _send(self, host: _Host, target: _RatedUpstream) -> None:
        now_seconds = self._clock.now_seconds
        rate = target.rate(now_seconds)
        if rate is not None:
            target.sent_count += 1
            self._record_sent(host, target, rate)
        answer_seconds = self._draw.expovariate(1.0 / MEAN_ANSWER_SECONDS)
        self._clock.after(answer_seconds, self._answer, host, target, now_seconds)

    def _record_sent(self, host: _Host, target: _RatedUpstream, rate: float) -> None:
        now_seconds = self._clock.now_seconds
        is_past_grace = now_seconds >= target.rates[0][0] + GRACE_SECONDS
        over_ratio = target.all_sent.add(now_seconds, rate)
        if is_past_grace:
            target.all_worst_ratio = max(target.all_worst_ratio, over_ratio)
        known_at_seconds = host.rate_known_since.get(target.upstream.name, math.inf)
        if now_seconds < known_at_seconds + KNOWN_SECONDS:
            return
        over_ratio = target.informed_sent.add(now_seconds, rate)
        if is_past_grace:
            target.worst_ratio = max(target.worst_ratio, over_ratio)

    def _answer(
        self, host: _Host, target: _RatedUpstream, sent_at_seconds: float
    ) -> None:
        now_seconds = self._clock.now_seconds
        name, rate = target.upstream.name, target.rate(now_seconds)
        if rate is not None:
            host.rate_known_since.setdefault(name, now_seconds)
        observation = RateObservation("", rate, sent_at_seconds, now_seconds)
        if host.rates.record(name, observation, "reported in the response"):
            self._clock.after(
                self._pattern.broadcast_delay_seconds,
                self._receive,
                host,
                name,
                observation,
            )

    def _receive(self, sender: _Host, name: str, observation: RateObservation) -> None:
        for host in self._hosts:
            if host is not sender and self._is_connected(sender, host):
                self.result.messages_count += 1
                host.rates.record(name, observation, "reported by a peer")

    def _broadcast_usage(self) -> None:
        now_seconds = self._clock.now_seconds
        for name in {name for host in self._hosts for name in _limits(host)}:
            usages = {
                host.name: limit.usage(now_seconds)
                for host in self._hosts
                if (limit := _limits(host).get(name)) is not None
            }
            self._clock.after(
                self._pattern.broadcast_delay_seconds,
                self._receive_usage,
                name,
                usages,
                now_seconds,
            )
        self._clock.after(USAGE_INTERVAL_SECONDS, self._broadcast_usage)

    def _receive_usage(
        self, name: str, usages: dict[str, object], at_seconds: float
    ) -> None:
        for host in self._hosts:
            limit = _limits(host).get(name)
            if limit is None:
                continue
            for sender, usage in usages.items():
                if sender != host.name and usage is not None:
                    self.result.messages_count += 1
                    limit.receive_usage(sender, usage, at_seconds)  # type: ignore[arg-type]


def _limits(host: _Host) -> dict[str, FleetLimit]:
    return host.gate.limits if isinstance(host.gate, AdmitRatioGate) else {}


def _with_rate_limiter(
    make_policy: Callable[[int], SenderCountPolicy],
) -> Callable[[_Host, RateLab], None]:
    def configure(host: _Host, lab: RateLab) -> None:
        count = lab._pattern.hosts_count
        host.rate_limiter = UpstreamRateLimiter(
            host.rates,
            LocalView(host.name, host.hall),
            lambda now_seconds: host.live_ratio,
            make_policy(count),
        )
        host.gate = RateLimiterGate(host.rate_limiter)

    return configure


def _with_full_rate(host: _Host, lab: RateLab) -> None:
    host.gate = FullRateGate(host.rates)


def _with_usage_sums(host: _Host, lab: RateLab) -> None:
    host.gate = AdmitRatioGate(host.rates, lab._draw)


def _without_limit(host: _Host, lab: RateLab) -> None:
    host.gate = UnlimitedGate()


#: Configures the gate of a host, by strategy.
STRATEGIES: dict[str, Callable[[_Host, RateLab], None]] = {
    "unread": _without_limit,
    "each the whole": _with_full_rate,
    "equal parts": _with_rate_limiter(AllHostsSend),
    "sums": _with_usage_sums,
    "one sender": _with_rate_limiter(lambda count: SingleSender()),
    "few senders": _with_rate_limiter(lambda count: SendersByRate()),
}
