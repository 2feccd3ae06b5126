"""Compare strategies to handle shutdowns and pauses that responses announce.

Hosts send requests to random upstreams among those that they consider available. Some
upstreams shut down, or refuse requests and request a pause. Time is simulated, and
arrivals are the same for each strategy.
"""

import argparse
import heapq
import itertools
import random
from collections.abc import Callable

import attrs

from rampwick_policy._pauses import Pauses
from rampwick_policy._shutdown_announcements import Incarnation, ShutdownAnnouncements

LENGTH_SECONDS = 30.0
#: When the signalling upstreams start to signal, and when they stop or shut down.
SIGNAL_START_SECONDS, SIGNAL_END_SECONDS = 10.0, 20.0
#: Requests per second per upstream, and the share of upstreams that signal.
UPSTREAM_RATE = 4.0
SIGNALLING_RATIO = 0.2
#: Time from a request to the response headers, to its end, and from host to host.
HEAD_SECONDS, RUN_SECONDS, HOP_SECONDS = 0.05, 2.0, 0.025
PAUSE_SECONDS = 3.0
CUT_PAUSE_SECONDS = 1.0
#: Time after a refusal after which requests sent within the pause are counted.
GRACE_SECONDS = 0.5
MAX_TRIES = 3

FLEETS = {"8 hosts, 5 upstreams": (8, 5), "90 hosts, 45 upstreams": (90, 45)}


@attrs.define(eq=False)
class _Host:
    index: int
    shutdown_announcements: ShutdownAnnouncements = attrs.field(
        factory=ShutdownAnnouncements
    )
    pauses: Pauses = attrs.field(factory=Pauses)

    def may_send(self, upstream: Incarnation, now_seconds: float) -> bool:
        """Return whether this host considers an upstream available."""
        is_paused = now_seconds < self.pauses.until_seconds(upstream)
        return upstream not in self.shutdown_announcements and not is_paused


@attrs.define
class Figures:
    """Results of one run."""

    requests_count: int = 0
    refused_tries_count: int = 0
    unserved_count: int = 0
    #: Requests sent after the host had received the signal.
    late_count: int = 0
    #: Most requests sent by one host within one pause, after the grace period.
    worst_in_pause_count: int = 0
    #: Requests that the signalling upstreams served, and those offered to them.
    served_count: int = 0
    offered_count: int = 0
    #: Requests running when their upstream shut down.
    broken_count: int = 0
    messages_count: int = 0


#: Whether an upstream that signals refuses a host's request.
Refuses = Callable[[int, random.Random], bool]

PAUSE_PATTERNS: dict[str, Refuses] = {
    "all are refused": lambda host, rng: True,
    "one host is refused": lambda host, rng: host == 0,
    "0.4 of all are refused": lambda host, rng: rng.random() < 0.4,
}


class SignalLab:
    """A simulation of one strategy."""

    def __init__(
        self,
        fleet: tuple[int, int],
        seed: int,
        *,
        refuses: Refuses | None,
        handles_signals: bool,
        broadcasts: bool,
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
        self._handles_signals = handles_signals
        self._broadcasts_signals = broadcasts
        self._max_pause_seconds = max_pause_seconds
        self._arrivals = random.Random(seed)
        self._rng = random.Random(seed + 1)
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._sequence = itertools.count()
        self._signalled_at: dict[tuple[int, Incarnation], float] = {}
        self._sent_in_pause: dict[tuple[int, Incarnation], int] = {}
        self.figures = Figures()

    def run(self) -> Figures:
        """Run the simulation to its end and return the figures."""
        at = 0.0
        rate = UPSTREAM_RATE * len(self._upstreams)
        while (at := at + self._arrivals.expovariate(rate)) < LENGTH_SECONDS:
            host = self._arrivals.choice(self._hosts)
            candidates = self._arrivals.sample(self._upstreams, len(self._upstreams))
            self._after(
                at,
                lambda now, host=host, candidates=candidates: self._try(
                    host, candidates, MAX_TRIES, now
                ),
            )
            is_signal = candidates[0] in self._signalling
            self.figures.offered_count += is_signal and self._is_signal_time(at)
        while self._events:
            now, _, action = heapq.heappop(self._events)
            action(now)
        return self.figures

    def _after(self, at: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at, next(self._sequence), action))

    def _is_signal_time(self, now: float) -> bool:
        return SIGNAL_START_SECONDS <= now < SIGNAL_END_SECONDS

    def _try(
        self, host: _Host, candidates: list[Incarnation], tries: int, now: float
    ) -> None:
        self.figures.requests_count += tries == MAX_TRIES
        upstream = next((item for item in candidates if host.may_send(item, now)), None)
        if upstream is None or not tries:
            self.figures.unserved_count += 1
            return
        if upstream not in self._signalling or not self._is_signal_time(now):
            return
        other_candidates = [item for item in candidates if item is not upstream]
        if self._refuses is None:
            self._serve_leaving(host, upstream, now)
        elif self._refuses(host.index, self._rng):
            self._count_sent_in_pause(host, upstream, now)
            self.figures.refused_tries_count += 1
            self._after(
                now + HEAD_SECONDS,
                lambda at: self._handle_refusal(
                    host, upstream, other_candidates, tries - 1, at
                ),
            )
        else:
            self._count_sent_in_pause(host, upstream, now)
            self.figures.served_count += 1

    def _count_sent_in_pause(
        self, host: _Host, upstream: Incarnation, now: float
    ) -> None:
        key = (host.index, upstream)
        signalled_at = self._signalled_at.get(key, -LENGTH_SECONDS)
        if signalled_at + GRACE_SECONDS < now < signalled_at + PAUSE_SECONDS:
            count = self._sent_in_pause[key] = self._sent_in_pause.get(key, 0) + 1
            worst = self.figures.worst_in_pause_count
            self.figures.worst_in_pause_count = max(worst, count)

    def _handle_refusal(
        self,
        host: _Host,
        upstream: Incarnation,
        other_candidates: list[Incarnation],
        tries: int,
        now: float,
    ) -> None:
        self._signalled_at[host.index, upstream] = now
        self._sent_in_pause[host.index, upstream] = 0
        self._pause(host, upstream, now)
        self._broadcast(host, lambda peer, at: self._pause(peer, upstream, at), now)
        self._try(host, other_candidates, tries, now)

    def _pause(self, host: _Host, upstream: Incarnation, now: float) -> None:
        if self._handles_signals:
            host.pauses.note(upstream, self._max_pause_seconds, now)

    def _serve_leaving(self, host: _Host, upstream: Incarnation, now: float) -> None:
        key = (host.index, upstream)
        self.figures.served_count += 1
        self.figures.late_count += self._signalled_at.get(key, now) < now
        self.figures.broken_count += now + RUN_SECONDS > SIGNAL_END_SECONDS
        self._after(
            now + HEAD_SECONDS, lambda at: self._handle_announcement(host, upstream, at)
        )

    def _handle_announcement(
        self, host: _Host, upstream: Incarnation, now: float
    ) -> None:
        self._signalled_at.setdefault((host.index, upstream), now)
        if self._handles_signals and host.shutdown_announcements.note(upstream, now):
            self._broadcast(
                host,
                lambda peer, at: peer.shutdown_announcements.note(upstream, at),
                now,
            )

    def _broadcast(
        self, host: _Host, action: Callable[[_Host, float], object], now: float
    ) -> None:
        if not self._broadcasts_signals:
            return
        for peer in self._hosts:
            if peer is not host:
                self.figures.messages_count += 1
                self._after(now + HOP_SECONDS, lambda at, peer=peer: action(peer, at))


PAUSE_STRATEGIES = {
    "cut to 1 s": {"max_pause_seconds": CUT_PAUSE_SECONDS, "broadcasts": False},
    "whole, by the host that was refused": {"broadcasts": False},
    "whole, by all hosts": {"broadcasts": True},
}

LEAVING_STRATEGIES = {
    "unread": {"handles_signals": False, "broadcasts": False},
    "by the host that had the answer": {"handles_signals": True, "broadcasts": False},
    "by all hosts": {"handles_signals": True, "broadcasts": True},
}


def _mean(runs: list[Figures], read: Callable[[Figures], float]) -> float:
    return sum(read(run) for run in runs) / len(runs)


def main(argv: list[str]) -> None:
    """Print the figures of each strategy by pattern and fleet."""
    parser = argparse.ArgumentParser(prog="measure signals", description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    seeds = range(1, parser.parse_args(argv).seeds + 1)
    for fleet_name, fleet in FLEETS.items():
        for pattern, refuses in PAUSE_PATTERNS.items():
            for strategy, options in PAUSE_STRATEGIES.items():
                runs = [
                    SignalLab(
                        fleet, seed, refuses=refuses, handles_signals=True, **options
                    ).run()
                    for seed in seeds
                ]
                refused = _mean(runs, lambda run: run.refused_tries_count)
                worst = max(run.worst_in_pause_count for run in runs)
                served = _mean(runs, lambda run: run.served_count)
                served /= max(1.0, _mean(runs, lambda run: run.offered_count))
                unserved = _mean(runs, lambda run: run.unserved_count)
                messages = _mean(runs, lambda run: run.messages_count)
                print(
                    f"{fleet_name}; {pattern}; {strategy}: "
                    f"{refused:.0f} refused tries, worst in a pause {worst}, "
                    f"served {served:.2f} of offered, "
                    f"{unserved:.0f} unserved, {messages:.0f} messages"
                )
        for strategy, options in LEAVING_STRATEGIES.items():
            runs = [
                SignalLab(fleet, seed, refuses=None, **options).run() for seed in seeds
            ]
            print(
                f"{fleet_name}; leaving; {strategy}: "
                f"{_mean(runs, lambda run: run.served_count):.1f} sent after the first "
                f"announcement, {_mean(runs, lambda run: run.late_count):.1f} by hosts "
                f"that had it, {_mean(runs, lambda run: run.broken_count):.1f} broken, "
                f"{_mean(runs, lambda run: run.messages_count):.0f} messages"
            )
