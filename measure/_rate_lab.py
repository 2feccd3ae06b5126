"""The rate lab: hosts before upstreams that name a rate, in stepped time.

Only the question of who may send is played: requests arrive at hosts, each has an
upstream that it would go to, goes to another one where that takes none now, and is
refused where none does. A host learns a rate from the answers of what it sent, and
tells the others, who hear it after a delay.
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
from ._rate_ways import (
    OVER_RATIO,
    SLACK_COUNT,
    WINDOW_SECONDS,
    EachHost,
    Gate,
    OneSender,
    OpenGate,
    SumsGate,
    TurnGate,
    WholeGate,
)
from ._runner import Clock

#: Time from a rate's first naming from which on it is judged, and the time for which a
#: host must have known it.
CONTACT_SECONDS = 3.0
KNOWN_SECONDS = 0.5
MEAN_ANSWER_SECONDS = 0.2
#: Time between two words where hosts tell what they sent.
WORD_SECONDS = 0.25


@attrs.define(eq=False)
class _Host:
    name: str
    hall: str
    rates: RequestRates
    gate: Gate
    rate_limiter: UpstreamRateLimiter | None = None
    known_since: dict[str, float] = attrs.field(factory=dict)
    #: Part of the fleet that it hears.
    heard_ratio: float = 1.0


@attrs.define(eq=False)
class _Window:
    """Requests of the last seconds, each with the rate at its time."""

    sent: deque[tuple[float, float]] = attrs.field(factory=deque)

    def add(self, now_seconds: float, rate: float) -> float:
        """Take a request; return the window's count as a part of what is allowed."""
        self.sent.append((now_seconds, rate))
        while self.sent[0][0] <= now_seconds - WINDOW_SECONDS:
            self.sent.popleft()
        # The largest rate within the window counts, since the sum began under it.
        largest = max(known for _, known in self.sent)
        return len(self.sent) / (OVER_RATIO * largest * WINDOW_SECONDS + SLACK_COUNT)


@attrs.define(eq=False)
class _Named:
    """One upstream with what was sent to it."""

    upstream: Upstream
    rates: tuple[tuple[float, float | None], ...] = ()
    #: What came while it named a rate: from hosts that it had told, and from all.
    told_sent: "_Window" = attrs.field(factory=lambda: _Window())
    all_sent: "_Window" = attrs.field(factory=lambda: _Window())
    sent_count: int = 0
    worst_ratio: float = 0.0
    all_worst_ratio: float = 0.0

    def rate(self, now_seconds: float) -> float | None:
        """Return the rate that it names."""
        known = [rate for at, rate in self.rates if at <= now_seconds]
        return known[-1] if known else None


@attrs.define(repr=False)
class RateResult(ReprMixin):
    """What came of a run."""

    arrived_count: int = 0
    refused_count: int = 0
    #: Worst window of any upstream, as a part of what is allowed: by hosts that it had
    #: told itself, and by all.
    worst_ratio: float = 0.0
    all_worst_ratio: float = 0.0
    #: What was sent to limited upstreams, as a part of what they took.
    used_ratio: float = 0.0
    messages_count: int = 0


class RateLab:
    """One run of a pattern with one way."""

    def __init__(self, pattern: RatePattern, way: str, seed: int) -> None:
        self._pattern = pattern
        self._way = way
        self._draw = random.Random(seed)
        self._clock = Clock()
        self._is_cut = False
        self._named = [
            self._make_upstream(index) for index in range(pattern.upstreams_count)
        ]
        self._hosts = [self._make_host(index) for index in range(pattern.hosts_count)]
        self.result = RateResult()

    def _make_upstream(self, index: int) -> _Named:
        entry = HostEntry(f"u{index}", "service", "h0", f"u{index}:1")
        rates = self._pattern.rates if index < self._pattern.limited_count else ()
        return _Named(Upstream(entry, Health(0.1, 1.0)), rates)

    def _make_host(self, index: int) -> _Host:
        rates = RequestRates(StateChangeTracker())
        host = _Host(
            f"e{index}", f"h{index % self._pattern.halls_count}", rates, OpenGate()
        )
        WAYS[self._way](host, self)
        return host

    def run(self) -> RateResult:
        """Play the pattern."""
        pattern = self._pattern
        self._look_around()
        at_seconds = 0.0
        while at_seconds < pattern.length_seconds:
            at_seconds += self._draw.expovariate(pattern.requests_per_second)
            self._clock.after(at_seconds, self._arrive)
        if pattern.cut_seconds:
            for at_seconds, is_cut in zip(
                pattern.cut_seconds, (True, False), strict=True
            ):
                self._clock.after(at_seconds, self._cut, is_cut)
        if pattern.restart_seconds is not None:
            self._clock.after(pattern.restart_seconds, self._restart)
        if self._way == "sums":
            self._clock.after(WORD_SECONDS, self._tell_words)
        self._clock.run_until(pattern.length_seconds)
        self.result.worst_ratio = max(item.worst_ratio for item in self._named)
        self.result.all_worst_ratio = max(item.all_worst_ratio for item in self._named)
        self.result.used_ratio = self._used_ratio()
        return self.result

    def _used_ratio(self) -> float:
        limited = [item for item in self._named if item.rates]
        steps = [at / 10.0 for at in range(int(self._pattern.length_seconds * 10))]
        taken = sum((item.rate(at) or 0.0) / 10.0 for item in limited for at in steps)
        return sum(item.sent_count for item in limited) / taken

    # What hosts hear of each other.

    def _is_apart(self, host: _Host) -> bool:
        return self._is_cut and host.hall == "h0"

    def _hears(self, host: _Host, other: _Host) -> bool:
        return self._is_apart(host) == self._is_apart(other)

    def _look_around(self) -> None:
        for host in self._hosts:
            heard = [other for other in self._hosts if self._hears(host, other)]
            mates = frozenset(
                other.name
                for other in heard
                if other.hall == host.hall and other != host
            )
            halls = frozenset(other.hall for other in heard)
            host.heard_ratio = len(heard) / len(self._hosts)
            if host.rate_limiter is not None:
                near = LivePeers(mates, mates, halls)
                host.rate_limiter.local_view = LocalView(host.name, host.hall, near)

    def _cut(self, is_cut: bool) -> None:
        self._is_cut = is_cut
        # It takes a while until silence counts.
        self._clock.after(1.25, self._look_around)

    def _restart(self) -> None:
        for index in range(0, len(self._hosts), 2):
            self._hosts[index] = self._make_host(index)
        self._look_around()
        self._clock.after(self._pattern.told_seconds * 2, self._greet)

    def _greet(self) -> None:
        for item in self._named:
            for host in self._hosts[1::2]:
                word = host.rates.observation(item.upstream.name)
                if word is not None:
                    self._hear(host, item.upstream.name, word)
                    break

    # Requests.

    def _arrive(self) -> None:
        now_seconds = self._clock.now_seconds
        host = self._draw.choice(self._hosts)
        self.result.arrived_count += 1
        is_hot = self._draw.random() < self._pattern.hot_ratio
        order = self._draw.sample(self._named, len(self._named))
        if is_hot:
            order.insert(0, self._named[0])
        for item in order:
            if host.gate.may_send(item.upstream, now_seconds):
                self._send(host, item)
                return
        self.result.refused_count += 1

    def _send(self, host: _Host, item: _Named) -> None:
        now_seconds = self._clock.now_seconds
        rate = item.rate(now_seconds)
        if rate is not None:
            item.sent_count += 1
            self._judge(host, item, rate)
        answer_seconds = self._draw.expovariate(1.0 / MEAN_ANSWER_SECONDS)
        self._clock.after(answer_seconds, self._answer, host, item, now_seconds)

    def _judge(self, host: _Host, item: _Named, rate: float) -> None:
        now_seconds = self._clock.now_seconds
        is_old = now_seconds >= item.rates[0][0] + CONTACT_SECONDS
        over_ratio = item.all_sent.add(now_seconds, rate)
        if is_old:
            item.all_worst_ratio = max(item.all_worst_ratio, over_ratio)
        known_at = host.known_since.get(item.upstream.name, math.inf)
        if now_seconds < known_at + KNOWN_SECONDS:
            return
        over_ratio = item.told_sent.add(now_seconds, rate)
        if is_old:
            item.worst_ratio = max(item.worst_ratio, over_ratio)

    def _answer(self, host: _Host, item: _Named, asked_at_seconds: float) -> None:
        now_seconds = self._clock.now_seconds
        name, rate = item.upstream.name, item.rate(now_seconds)
        if rate is not None:
            host.known_since.setdefault(name, now_seconds)
        word = RateObservation("", rate, asked_at_seconds, now_seconds)
        if host.rates.record(name, word, "its answer says so"):
            self._clock.after(self._pattern.told_seconds, self._hear, host, name, word)

    def _hear(self, teller: _Host, name: str, word: RateObservation) -> None:
        for host in self._hosts:
            if host is not teller and self._hears(teller, host):
                self.result.messages_count += 1
                host.rates.record(name, word, "a peer says so")

    def _tell_words(self) -> None:
        now_seconds = self._clock.now_seconds
        for name in {name for host in self._hosts for name in _limits(host)}:
            said = {
                host.name: limit.usage(now_seconds)
                for host in self._hosts
                if (limit := _limits(host).get(name)) is not None
            }
            self._clock.after(
                self._pattern.told_seconds, self._hear_words, name, said, now_seconds
            )
        self._clock.after(WORD_SECONDS, self._tell_words)

    def _hear_words(
        self, name: str, said: dict[str, object], at_seconds: float
    ) -> None:
        for host in self._hosts:
            limit = _limits(host).get(name)
            if limit is None:
                continue
            for teller, usage in said.items():
                if teller != host.name and usage is not None:
                    self.result.messages_count += 1
                    limit.receive_usage(teller, usage, at_seconds)  # type: ignore[arg-type]


def _limits(host: _Host) -> dict[str, FleetLimit]:
    return host.gate.limits if isinstance(host.gate, SumsGate) else {}


def _with_turns(
    make_rule: Callable[[int], SenderCountPolicy],
) -> Callable[[_Host, RateLab], None]:
    def equip(host: _Host, lab: RateLab) -> None:
        count = lab._pattern.hosts_count
        host.rate_limiter = UpstreamRateLimiter(
            host.rates,
            LocalView(host.name, host.hall),
            lambda now_seconds: host.heard_ratio,
            make_rule(count),
        )
        host.gate = TurnGate(host.rate_limiter)

    return equip


def _with_whole(host: _Host, lab: RateLab) -> None:
    host.gate = WholeGate(host.rates)


def _with_sums(host: _Host, lab: RateLab) -> None:
    host.gate = SumsGate(host.rates, lab._draw)


def _with_nothing(host: _Host, lab: RateLab) -> None:
    host.gate = OpenGate()


#: What each host is given to decide with.
WAYS: dict[str, Callable[[_Host, RateLab], None]] = {
    "unread": _with_nothing,
    "each the whole": _with_whole,
    "equal parts": _with_turns(EachHost),
    "sums": _with_sums,
    "one sender": _with_turns(lambda count: OneSender()),
    "few senders": _with_turns(lambda count: SendersByRate()),
}
