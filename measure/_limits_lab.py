"""The limits lab: many hosts under one limit in tokens, in stepped time.

Only the limit is played: requests arrive at hosts, each decides at once, and hosts hear
of each other as in a fleet with relays: a host tells its hall's relay, the relay tells
its own hosts and, half as often, the other halls.
"""

import math
import random
from collections.abc import Iterator

import attrs

from rampwick_policy import (
    BurstDetector,
    SummaryAggregator,
    subtract_summary,
    sum_limits,
)
from rampwick_schema import ReprMixin, Summary

from ._limit_patterns import LimitPattern
from ._limit_ways import WAYS, Way
from ._runner import Clock

TELL_SECONDS = 0.25
HALL_TELL_SECONDS = 0.5
HOP_SECONDS = 0.002
#: Least time between two words that come before their time.
EARLY_GAP_SECONDS = 0.1
#: Time for which a peer that fell silent is still counted.
DEAD_SECONDS = 3.0
#: The same for a hall whose relay says nothing.
LATE_HALL_SECONDS = 1.25


@attrs.define(repr=False)
class _Host(ReprMixin):
    name: str
    hall: int
    way: Way
    told: Summary | None = None
    told_at_seconds: float = 0.0
    is_off: bool = False


@attrs.frozen(repr=False)
class Asked(ReprMixin):
    """One request and what came of it."""

    at_seconds: float
    tokens: int
    has_gone: bool


class LimitsLab:
    """One run of a pattern with one way."""

    def __init__(self, pattern: LimitPattern, way: str, seed: int) -> None:
        self._pattern = pattern
        self._make = WAYS[way]
        self._draw = random.Random(seed)
        self.clock = Clock()
        self.asked: list[Asked] = []
        self.hosts = [
            _Host(f"h{index}", index % pattern.halls_count, self._new(f"h{index}", 0.0))
            for index in range(pattern.hosts_count)
        ]
        #: Halls' sums by the hall that heard them, then by the hall they are of.
        self._sums: dict[tuple[int, int], tuple[Summary, float]] = {}
        #: When each hall's relay passed on an early word, and how many there were.
        self._early_at: dict[int, float] = {}
        self.immediate_updates_count = 0
        self._burst_detector = [BurstDetector() for _ in range(pattern.halls_count)]
        self.relayed_updates_count = 0

    def _new(self, name: str, now_seconds: float) -> Way:
        return self._make(self._pattern, name, now_seconds)

    def run(self) -> list[Asked]:
        """Play the pattern."""
        pattern = self._pattern
        for host in self.hosts:
            phase = self._draw.random() * TELL_SECONDS
            self.clock.after(phase, self._tell, host)
        for hall in range(pattern.halls_count):
            self.clock.after(self._draw.random() * TELL_SECONDS, self._tell_hall, hall)
            phase = self._draw.random() * HALL_TELL_SECONDS
            self.clock.after(phase, self._tell_others, hall)
        for at_seconds, tokens in self._arrivals():
            self.clock.after(at_seconds, self._arrive, tokens)
        if pattern.lowered_ratio != 1.0:
            self._plan_change(pattern.hot_from_seconds, pattern.lowered_ratio)
        if pattern.again_at_seconds < math.inf:
            self._plan_change(pattern.again_at_seconds, pattern.again_ratio)
        if pattern.killed_at_seconds < math.inf:
            self.clock.after(pattern.killed_at_seconds, self._kill)
        self.clock.run_until(pattern.length_seconds)
        return self.asked

    def _arrivals(self) -> Iterator[tuple[float, int]]:
        """Yield times and tokens: many short requests, some long ones."""
        pattern = self._pattern
        at_seconds = 0.0
        mean_tokens = 4000.0
        while at_seconds < pattern.length_seconds:
            rate = pattern.tokens_per_second * pattern.usual_ratio
            rate *= _surge_ratio(pattern, at_seconds)
            at_seconds += self._draw.expovariate(rate / mean_tokens)
            is_long = self._draw.random() < 0.36
            mean = 9200.0 if is_long else 1075.0
            yield at_seconds, max(200, int(self._draw.gauss(mean, mean / 3.0)))

    def _arrive(self, tokens: int) -> None:
        now_seconds = self.clock.now_seconds
        up = [host for host in self.hosts if not host.is_off]
        if not up:
            # Callers whose hosts are off try until those are back.
            back_seconds = self._pattern.killed_at_seconds
            back_seconds += self._pattern.killed_seconds + 0.3
            self.clock.after(back_seconds - now_seconds, self._arrive, tokens)
            return
        host = self._draw.choice(self._surge_hosts(up))
        cut_for_seconds = now_seconds - self._pattern.cut_at_seconds
        if host.hall == 0 and cut_for_seconds > self._pattern.cut_serves_seconds:
            return
        hold_seconds = host.way.hold_seconds(tokens, now_seconds)
        was_held = hold_seconds > 0.0
        self.clock.after(hold_seconds, self._decide, host, tokens, was_held)

    def _decide(self, host: _Host, tokens: int, was_held: bool) -> None:
        now_seconds = self.clock.now_seconds
        if not host.is_off:
            has_gone = host.way.ask(tokens, was_held, now_seconds)
            self.asked.append(Asked(now_seconds, tokens, has_gone))
            if host.way.has_surged(now_seconds):
                self._tell_early(host)

    # Hosts tell each other.

    def _is_cut(self, hall: int, other: int) -> bool:
        is_apart = (hall == 0) != (other == 0)
        return is_apart and self.clock.now_seconds >= self._pattern.cut_at_seconds

    def _tell_early(self, host: _Host) -> None:
        if self.clock.now_seconds - host.told_at_seconds >= EARLY_GAP_SECONDS:
            self.immediate_updates_count += 1
            self._say(host)
            self.clock.after(HOP_SECONDS, self._relay_early, host.hall)

    def _relay_early(self, hall: int) -> None:
        """Pass on what a hall's hosts said early, to them and to the other halls."""
        now_seconds = self.clock.now_seconds
        if now_seconds - self._early_at.get(hall, -math.inf) < EARLY_GAP_SECONDS:
            return
        self._early_at[hall] = now_seconds
        if not self._burst_detector[hall].has_grown(sum_limits(self._hall(hall))):
            return
        self.relayed_updates_count += 1
        self._say_hall(hall)
        self._say_others(hall)
        for other in range(self._pattern.halls_count):
            if other != hall and not self._is_cut(hall, other):
                self.clock.after(HOP_SECONDS, self._say_hall, other)

    def _tell(self, host: _Host) -> None:
        self.clock.after(TELL_SECONDS, self._tell, host)
        self._say(host)

    def _say(self, host: _Host) -> None:
        if not host.is_off:
            now_seconds = self.clock.now_seconds
            host.told = host.way.summary(now_seconds)
            host.told_at_seconds = now_seconds
            host.way.note_time(self._heard_count(host.hall), now_seconds)

    def _heard_count(self, hall: int) -> int:
        heard = [*self._hall(hall), *self._others(hall)]
        return sum(summary.hosts_count for summary in heard)

    def _others(self, hall: int) -> list[Summary]:
        """Return the other halls' sums that a hall's relay has."""
        oldest = self.clock.now_seconds - LATE_HALL_SECONDS
        return [
            summary
            for (by, of), (summary, at_seconds) in self._sums.items()
            if by == hall and of != hall and at_seconds > oldest
        ]

    def _hall(self, hall: int) -> list[Summary]:
        """Return the words that a hall's relay has of its hosts."""
        oldest = self.clock.now_seconds - DEAD_SECONDS
        return [
            host.told
            for host in self.hosts
            if host.hall == hall and host.told and host.told_at_seconds > oldest
        ]

    def _tell_hall(self, hall: int) -> None:
        self.clock.after(TELL_SECONDS, self._tell_hall, hall)
        self._say_hall(hall)

    def _say_hall(self, hall: int) -> None:
        now_seconds = self.clock.now_seconds
        heard = [*self._hall(hall), *self._others(hall)]
        total = SummaryAggregator().merge(heard, 1)
        for host in self.hosts:
            if host.hall == hall and not host.is_off and host.told is not None:
                age_seconds = now_seconds - host.told_at_seconds
                word = subtract_summary(total, host.told)
                host.way.hear("fleet", word, age_seconds, now_seconds)

    def _tell_others(self, hall: int) -> None:
        self.clock.after(HALL_TELL_SECONDS, self._tell_others, hall)
        self._say_others(hall)

    def _say_others(self, hall: int) -> None:
        if not any(host.hall == hall and not host.is_off for host in self.hosts):
            return
        summary = SummaryAggregator().merge(self._hall(hall), 1)
        self._burst_detector[hall].note_published(summary.limits)
        for other in range(self._pattern.halls_count):
            if other != hall and not self._is_cut(hall, other):
                self._sums[other, hall] = (summary, self.clock.now_seconds)

    # What happens.

    def _plan_change(self, at_seconds: float, ratio: float) -> None:
        late_count = round(len(self.hosts) * self._pattern.late_hosts_ratio)
        late, early = self.hosts[:late_count], self.hosts[late_count:]
        self.clock.after(at_seconds, self._change, early, ratio)
        late_at_seconds = at_seconds + self._pattern.late_seconds
        self.clock.after(late_at_seconds, self._change, late, ratio)

    def _change(self, hosts: list[_Host], ratio: float) -> None:
        for host in hosts:
            host.way.change(ratio, self.clock.now_seconds)

    def _surge_hosts(self, up: list[_Host]) -> list[_Host]:
        """Return the hosts at one of which the next request arrives."""
        pattern = self._pattern
        surge_ratio = _surge_ratio(pattern, self.clock.now_seconds)
        if not pattern.surge_hosts_count or surge_ratio <= 1.0:
            return up
        if self._draw.random() < 1.0 / surge_ratio:
            return up
        # Those of one hall first.
        by_hall = sorted(up, key=lambda host: host.hall)
        return by_hall[: pattern.surge_hosts_count]

    def _kill(self) -> None:
        count = round(len(self.hosts) * self._pattern.killed_ratio)
        for host in self.hosts[:count]:
            host.is_off = True
            host.told = None
            wait = self._pattern.killed_seconds + 0.3 * self._draw.random()
            self.clock.after(wait, self._start, host)

    def _start(self, host: _Host) -> None:
        host.is_off = False
        host.way = self._new(host.name, self.clock.now_seconds)
        # Who else there is comes with the first links.
        host.way.note_members(self._pattern.hosts_count, self.clock.now_seconds)


def _surge_ratio(pattern: LimitPattern, at_seconds: float) -> float:
    """Return the multiple of the usual demand at a time."""
    if pattern.hot_from_seconds <= at_seconds < pattern.hot_until_seconds:
        return pattern.hot_ratio
    if pattern.surge_from_seconds <= at_seconds < pattern.surge_until_seconds:
        return pattern.surge_ratio
    return 1.0


def _limit_changes(pattern: LimitPattern) -> list[tuple[float, float]]:
    """Return when the limit became which part of what it was, in their order."""
    changes = [(0.0, 1.0)]
    if pattern.lowered_ratio != 1.0:
        changes.append((pattern.hot_from_seconds, pattern.lowered_ratio))
    if pattern.again_at_seconds < math.inf:
        changes.append((pattern.again_at_seconds, pattern.again_ratio))
    return changes


def _binding_ratio(
    pattern: LimitPattern, window_seconds: float, at_seconds: float
) -> float:
    """Return the part of the limit that binds a window that ends at a time.

    A lower one binds from one window after the last host has learned of it.
    """
    changes = _limit_changes(pattern)
    grace_seconds = window_seconds + pattern.late_seconds
    ends = [at for at, _ in changes[1:]] + [math.inf]
    return max(
        ratio
        for (since, ratio), end in zip(changes, ends, strict=True)
        if since <= at_seconds <= end + grace_seconds
    )


def worst_window_ratio(
    pattern: LimitPattern, asked: list[Asked], window_seconds: float = 8.0
) -> float:
    """Return the most that was sent within a window, as a part of what a rule allows.

    A lower limit binds from one window after the change.
    """
    limit = pattern.tokens_per_second * window_seconds + pattern.burst_tokens
    gone = [item for item in asked if item.has_gone]
    worst = 0.0
    total = 0.0
    first = 0
    for item in gone:
        total += item.tokens
        while gone[first].at_seconds < item.at_seconds - window_seconds:
            total -= gone[first].tokens
            first += 1
        most = limit * _binding_ratio(pattern, window_seconds, item.at_seconds)
        most = most * (1.0 + pattern.over_ratio) + pattern.slack_tokens
        worst = max(worst, total / most)
    return worst


def refused_wrongly_ratio(pattern: LimitPattern, asked: list[Asked]) -> float:
    """Return the part of the tokens within the limit that was refused.

    What is within it is told by one bucket that sees every request at once.
    """
    level = pattern.burst_tokens
    at_seconds = 0.0
    within = refused = 0.0
    changes = _limit_changes(pattern)
    for item in asked:
        ratio = [part for at, part in changes if at <= item.at_seconds][-1]
        rate = pattern.tokens_per_second * ratio
        most = pattern.burst_tokens * ratio
        level = min(most, level + rate * (item.at_seconds - at_seconds))
        at_seconds = item.at_seconds
        if level >= item.tokens:
            level -= item.tokens
            within += item.tokens
        if not item.has_gone:
            refused += item.tokens
    beyond = sum(item.tokens for item in asked) - within
    return max(0.0, refused - beyond) / max(1.0, within)
