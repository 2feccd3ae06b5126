"""What hosts do with shutdowns and pauses that answers announce, way by way.

Hosts send requests to upstreams at random, as far as they believe that these take any.
Some upstreams leave, or refuse requests and ask for a pause. Time is stepped, and
arrivals are the same for each way.
"""

import argparse
import heapq
import itertools
import random
from collections.abc import Callable

import attrs

from rampwick_policy._departures import Departures, Incarnation
from rampwick_policy._pauses import Pauses

LENGTH_SECONDS = 30.0
#: When the signalling upstreams begin to signal, and when they stop or end.
BEGIN_SECONDS, END_SECONDS = 10.0, 20.0
#: Requests a second for each upstream, and upstreams that signal.
UPSTREAM_RATE = 4.0
SIGNALLING_RATIO = 0.2
#: Time from a request to the head of its answer, to its end, and from host to host.
HEAD_SECONDS, RUN_SECONDS, HOP_SECONDS = 0.05, 2.0, 0.025
PAUSE_SECONDS = 3.0
CUT_PAUSE_SECONDS = 1.0
#: Time after a refusal from which on requests within its pause are counted.
GRACE_SECONDS = 0.5
MAX_TRIES = 3

FLEETS = {"8 hosts, 5 upstreams": (8, 5), "90 hosts, 45 upstreams": (90, 45)}


@attrs.define(eq=False)
class _Host:
    index: int
    departures: Departures = attrs.field(factory=Departures)
    pauses: Pauses = attrs.field(factory=Pauses)

    def may_send(self, upstream: Incarnation, now_seconds: float) -> bool:
        """Return whether this host believes that an upstream takes requests."""
        is_paused = now_seconds < self.pauses.until_seconds(upstream)
        return upstream not in self.departures and not is_paused


@attrs.define
class Figures:
    """What one run showed."""

    requests_count: int = 0
    refused_tries_count: int = 0
    unserved_count: int = 0
    #: Requests sent after the host, or anybody, had been sent the signal.
    late_count: int = 0
    #: Most requests of one host within one pause, beyond the grace.
    worst_in_pause_count: int = 0
    #: Requests that the signalling upstreams served, and that they would have.
    served_count: int = 0
    offered_count: int = 0
    #: Requests under way as their upstream ended.
    broken_count: int = 0
    messages_count: int = 0


#: Whether an upstream that signals refuses a host's request.
Refuses = Callable[[int, random.Random], bool]

PAUSE_PATTERNS: dict[str, Refuses] = {
    "all are refused": lambda host, draw: True,
    "one host is refused": lambda host, draw: host == 0,
    "0.4 of all are refused": lambda host, draw: draw.random() < 0.4,
}


class SignalLab:
    """One run of one way."""

    def __init__(
        self,
        fleet: tuple[int, int],
        seed: int,
        *,
        refuses: Refuses | None,
        reads: bool,
        tells: bool,
        max_pause_seconds: float = PAUSE_SECONDS,
    ) -> None:
        hosts_count, upstreams_count = fleet
        self._hosts = [_Host(index) for index in range(hosts_count)]
        self._upstreams = [
            Incarnation(f"u{index}", "1") for index in range(upstreams_count)
        ]
        signalling_count = round(SIGNALLING_RATIO * upstreams_count)
        self._signalling = set(self._upstreams[:signalling_count])
        self._refuses = refuses
        self._reads = reads
        self._tells = tells
        self._max_pause_seconds = max_pause_seconds
        self._arrivals = random.Random(seed)
        self._draw = random.Random(seed + 1)
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._order = itertools.count()
        self._asked: dict[tuple[int, Incarnation], float] = {}
        self._in_pause: dict[tuple[int, Incarnation], int] = {}
        self.figures = Figures()

    def run(self) -> Figures:
        """Play the whole length and return the figures."""
        at = 0.0
        rate = UPSTREAM_RATE * len(self._upstreams)
        while (at := at + self._arrivals.expovariate(rate)) < LENGTH_SECONDS:
            host = self._arrivals.choice(self._hosts)
            wanted = self._arrivals.sample(self._upstreams, len(self._upstreams))
            self._after(
                at,
                lambda now, host=host, wanted=wanted: self._try(
                    host, wanted, MAX_TRIES, now
                ),
            )
            is_signal = wanted[0] in self._signalling
            self.figures.offered_count += is_signal and self._is_on(at)
        while self._events:
            now, _, action = heapq.heappop(self._events)
            action(now)
        return self.figures

    def _after(self, at: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at, next(self._order), action))

    def _is_on(self, now: float) -> bool:
        return BEGIN_SECONDS <= now < END_SECONDS

    def _try(
        self, host: _Host, wanted: list[Incarnation], tries: int, now: float
    ) -> None:
        self.figures.requests_count += tries == MAX_TRIES
        upstream = next((item for item in wanted if host.may_send(item, now)), None)
        if upstream is None or not tries:
            self.figures.unserved_count += 1
            return
        if upstream not in self._signalling or not self._is_on(now):
            return
        rest = [item for item in wanted if item is not upstream]
        if self._refuses is None:
            self._run_leaving(host, upstream, now)
        elif self._refuses(host.index, self._draw):
            self._count_in_pause(host, upstream, now)
            self.figures.refused_tries_count += 1
            self._after(
                now + HEAD_SECONDS,
                lambda at: self._refused(host, upstream, rest, tries - 1, at),
            )
        else:
            self._count_in_pause(host, upstream, now)
            self.figures.served_count += 1

    def _count_in_pause(self, host: _Host, upstream: Incarnation, now: float) -> None:
        key = (host.index, upstream)
        asked_at = self._asked.get(key, -LENGTH_SECONDS)
        if asked_at + GRACE_SECONDS < now < asked_at + PAUSE_SECONDS:
            count = self._in_pause[key] = self._in_pause.get(key, 0) + 1
            worst = self.figures.worst_in_pause_count
            self.figures.worst_in_pause_count = max(worst, count)

    def _refused(
        self,
        host: _Host,
        upstream: Incarnation,
        rest: list[Incarnation],
        tries: int,
        now: float,
    ) -> None:
        self._asked[host.index, upstream] = now
        self._in_pause[host.index, upstream] = 0
        self._pause(host, upstream, now)
        self._spread(host, lambda peer, at: self._pause(peer, upstream, at), now)
        self._try(host, rest, tries, now)

    def _pause(self, host: _Host, upstream: Incarnation, now: float) -> None:
        if self._reads:
            host.pauses.note(upstream, self._max_pause_seconds, now)

    def _run_leaving(self, host: _Host, upstream: Incarnation, now: float) -> None:
        key = (host.index, upstream)
        self.figures.served_count += 1
        self.figures.late_count += self._asked.get(key, now) < now
        self.figures.broken_count += now + RUN_SECONDS > END_SECONDS
        self._after(now + HEAD_SECONDS, lambda at: self._announced(host, upstream, at))

    def _announced(self, host: _Host, upstream: Incarnation, now: float) -> None:
        self._asked.setdefault((host.index, upstream), now)
        if self._reads and host.departures.note(upstream, now):
            self._spread(host, lambda peer, at: peer.departures.note(upstream, at), now)

    def _spread(
        self, host: _Host, action: Callable[[_Host, float], object], now: float
    ) -> None:
        if not self._tells:
            return
        for peer in self._hosts:
            if peer is not host:
                self.figures.messages_count += 1
                self._after(now + HOP_SECONDS, lambda at, peer=peer: action(peer, at))


PAUSE_STRATEGIES = {
    "cut to 1 s": {"max_pause_seconds": CUT_PAUSE_SECONDS, "tells": False},
    "whole, by the host that was refused": {"tells": False},
    "whole, by all hosts": {"tells": True},
}

LEAVING_STRATEGIES = {
    "unread": {"reads": False, "tells": False},
    "by the host that had the answer": {"reads": True, "tells": False},
    "by all hosts": {"reads": True, "tells": True},
}


def _mean(runs: list[Figures], read: Callable[[Figures], float]) -> float:
    return sum(read(run) for run in runs) / len(runs)


def main(words: list[str]) -> None:
    """Print the figures of each way, by pattern and fleet."""
    parser = argparse.ArgumentParser(prog="measure signals", description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    seeds = range(1, parser.parse_args(words).seeds + 1)
    for fleet_name, fleet in FLEETS.items():
        for pattern, refuses in PAUSE_PATTERNS.items():
            for way, options in PAUSE_STRATEGIES.items():
                runs = [
                    SignalLab(fleet, seed, refuses=refuses, reads=True, **options).run()
                    for seed in seeds
                ]
                refused = _mean(runs, lambda run: run.refused_tries_count)
                worst = max(run.worst_in_pause_count for run in runs)
                served = _mean(runs, lambda run: run.served_count)
                served /= max(1.0, _mean(runs, lambda run: run.offered_count))
                unserved = _mean(runs, lambda run: run.unserved_count)
                messages = _mean(runs, lambda run: run.messages_count)
                print(
                    f"{fleet_name}; {pattern}; {way}: {refused:.0f} refused tries, "
                    f"worst in a pause {worst}, served {served:.2f} of offered, "
                    f"{unserved:.0f} unserved, {messages:.0f} messages"
                )
        for way, options in LEAVING_STRATEGIES.items():
            runs = [
                SignalLab(fleet, seed, refuses=None, **options).run() for seed in seeds
            ]
            print(
                f"{fleet_name}; leaving; {way}: "
                f"{_mean(runs, lambda run: run.served_count):.1f} sent after the first "
                f"announcement, {_mean(runs, lambda run: run.late_count):.1f} by hosts "
                f"that had it, {_mean(runs, lambda run: run.broken_count):.1f} broken, "
                f"{_mean(runs, lambda run: run.messages_count):.0f} messages"
            )
