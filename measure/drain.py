"""Compare ways to decide which requests a host that shuts down still takes.

One host serves generated requests, gets SIGTERM, and judges each later one by what it
has seen. Time is simulated, and arrivals are the same for each way. With ``--fleet``
the callers that it refuses go on to other hosts, and what becomes of them is counted.
"""

import argparse
import heapq
import itertools
import math
import random
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, ExitStack, contextmanager
from typing import Self
from unittest import mock

import attrs

from rampwick_policy import (
    AnswerKind,
    DrainAdmission,
    DrainRequest,
    OpenAnswer,
    _answer_times as times_module,
    _drain_admission as admission_module,
    retry_elsewhere_seconds,
)
from rampwick_policy._answer_times import AnswerTimes, _RecentAnswers
from rampwick_policy._drain_admission import TOKEN_SECONDS
from rampwick_policy._open_answers import OpenAnswers

#: SIGTERM is at 0; when the balancer is done, and when the host exits.
BALANCER_DONE_SECONDS, EXIT_SECONDS = 2.5, 7.25
#: Time after SIGTERM from which no answer may be cut.
LATE_SECONDS = 3.0
REQUESTS_PER_SECOND = 12.0
LATENCY_TARGET_SECONDS = 0.3
TIMEOUT_SECONDS = 30.0
#: Time of a stream that announces its length, as a multiple of the usual one.
ANNOUNCED_RATIOS = (0.8, 1.2)


@attrs.frozen
class Pattern:
    """Requests and the work of their answers."""

    name: str
    #: Returns the time that an answer takes at full pace.
    draw_seconds: Callable[[random.Random], float]
    #: Events of a stream, as announced; 0 for a plain request.
    events_count: int = 0
    #: Events in a second of streams that announce their length; 0 for none.
    events_per_second: float = 0.0
    #: Multiple of the time that all work takes after SIGTERM.
    slow_ratio: float = 1.0
    #: The time from which it does.
    slow_at_seconds: float = 0.0
    #: When the requests begin to arrive.
    begin_seconds: float = -30.0


def _evenly(low: float, high: float) -> Callable[[random.Random], float]:
    return lambda rng: rng.uniform(low, high)


def _two(short: float, long: float, share: float) -> Callable[[random.Random], float]:
    return lambda rng: rng.uniform(0.9, 1.1) * (long if rng.random() < share else short)


PATTERNS = [
    Pattern("plain, 0.1 to 0.4 s", _evenly(0.1, 0.4)),
    Pattern("plain, 0.05 s, 3 in 100 2.5 s", _two(0.05, 2.5, 0.03)),
    Pattern("plain, 0.05 s, 3 in 100 5 s", _two(0.05, 5.0, 0.03)),
    Pattern("streams of 1 to 5 s", _evenly(1.0, 5.0), 25),
    Pattern("streams of 1 to 5 s, announced", _evenly(1.0, 5.0), 0, 10.0),
    Pattern("streams, 0.25 s, 3 in 100 6 s", _two(0.25, 6.0, 0.03), 25),
    Pattern("streams, 0.25 s, 30 in 100 6 s", _two(0.25, 6.0, 0.3), 25),
    Pattern("streams of 0.5 to 1.5 s, pace / 2", _evenly(0.5, 1.5), 25, slow_ratio=2.0),
    Pattern("streams of 0.5 to 1.5 s, pace / 4", _evenly(0.5, 1.5), 25, slow_ratio=4.0),
    Pattern(
        "streams of 0.5 to 1.5 s, pace / 10", _evenly(0.5, 1.5), 25, slow_ratio=10.0
    ),
    Pattern("plain, 0.1 to 0.4 s, pace / 10", _evenly(0.1, 0.4), 0, slow_ratio=10.0),
    Pattern("plain, 2.5 s, first at 4 s", _evenly(2.4, 2.6), begin_seconds=4.0),
    Pattern("streams of 6 s, first at 0.4 s", _evenly(5.9, 6.1), 49, begin_seconds=0.4),
    Pattern("host up for 2 s, 0.05 or 2.5 s", _two(0.05, 2.5, 0.3), begin_seconds=-2.0),
    Pattern(
        "host up for 2 s, streams 1 to 5 s", _evenly(1.0, 5.0), 25, begin_seconds=-2.0
    ),
]


def _nearest(answers: _RecentAnswers, size: float, now_seconds: float) -> list[object]:
    return list(answers.nearest(size, now_seconds))


def _no_ages(*args: object, **kwargs: object) -> list[float]:
    return []


def _no_pace(*args: object) -> None:
    return None


Patch = AbstractContextManager[object]

#: Patches that take one mechanism away.
NEAREST = [mock.patch.object(_RecentAnswers, "find_like", _nearest)]
NO_AGES = [
    mock.patch.object(AnswerTimes, "_open_durations", _no_ages),
    mock.patch.object(AnswerTimes, "open_ages_seconds", _no_ages),
]
NO_PACE = [mock.patch.object(OpenAnswers, "event_seconds", _no_pace)]


def _set(**constants: float) -> list[Patch]:
    return [
        mock.patch.object(admission_module, name, value)
        for name, value in constants.items()
    ]


NO_EVIDENCE = _set(MIN_UNREPEATABLE_ANSWERS_COUNT=0, MAX_UNKNOWN_COUNT=1_000_000)
SLOWEST = _set(MAX_EARLY_CUT_RATIO=0.0, MAX_CUT_RATIO=0.0)
ONE_RATIO = _set(MAX_EARLY_CUT_RATIO=0.01)
SMALL_MARGIN: list[Patch] = [mock.patch.object(times_module, "MARGIN_RATIO", 1.1)]
ALWAYS_MORE = _set(MAX_EARLY_CUT_RATIO=0.05, MAX_CUT_RATIO=0.05)

#: The way that knows how answers are distributed, but not how long each one takes.
KNOWN = "distribution known"
KNOWN_SAMPLES_COUNT = 1000

#: Patterns whose pace falls after late requests were taken.
LATE_FALLS = [
    Pattern(
        f"{name}, pace / 6 from 4 s",
        _evenly(low, high),
        events_count,
        slow_ratio=6.0,
        slow_at_seconds=4.0,
    )
    for name, low, high, events_count in (
        ("streams of 0.5 to 1.5 s", 0.5, 1.5, 25),
        ("plain, 0.1 to 0.4 s", 0.1, 0.4, 0),
    )
]

#: Tries of a caller, the time at which hosts that stop are ready again, and the delay
#: by which an answer may come later than at a host that does not stop.
TRIES_COUNT = 4
READY_AGAIN_SECONDS = 9.5
AIM_SECONDS = 0.3


@attrs.frozen
class Fleet:
    """The hosts beside the one that stops."""

    name: str
    ready_count: int
    #: Hosts that stop at the same time.
    leaving_count: int
    #: Whether new connections reach hosts that stop only where no other is ready.
    is_balanced: bool = False

    @property
    def retry_seconds(self) -> float:
        """Return after which time a refused caller tries another host."""
        peers_count = self.ready_count + self.leaving_count
        return retry_elsewhere_seconds(self.ready_count, peers_count)


FLEETS = [
    Fleet("5 others ready", 5, 0),
    Fleet("3 others ready, 2 stop", 3, 2),
    Fleet("1 other ready, 1 stops", 1, 1),
    Fleet("2 others ready, 3 stop", 2, 3),
    Fleet("1 other ready, 4 stop", 1, 4),
    Fleet("1 other ready, 4 stop, balanced", 1, 4, is_balanced=True),
    Fleet("5 others stop", 0, 5),
]


@attrs.frozen
class FleetWay:
    """Which requests are left to other hosts or refused, once the balancer is done."""

    name: str
    #: Least ratio of peers that are ready for which late requests are left to them.
    min_ready_ratio: float = math.inf
    #: Whether that holds from SIGTERM on.
    leaves_early: bool = False
    #: Multiple of the slowest known answer within which a late request is taken, beside
    #: ready hosts and without; 0 for the estimate.
    margin_beside: float = 0.0
    margin_alone: float = 0.0
    #: Multiple of the time that the announced events take at the present pace, within
    #: which a late stream is taken; 0 for the estimate.
    announced_margin: float = 0.0
    #: Whether late streams are refused unless their own timeout ends before the exit.
    refuses_streams: bool = False
    #: Whether a refusal tells when a host is ready again, if none is.
    tells_return: bool = False


FLEET_WAYS = [
    FleetWay("estimate alone"),
    FleetWay("slowest known, x 4", margin_beside=4.0, margin_alone=4.0),
    FleetWay("the same beside ready hosts", margin_beside=4.0),
    FleetWay("left to half of the hosts after 2.5 s", 0.5),
    FleetWay("left to any ready host after 2.5 s", 0.01),
    FleetWay("the same from SIGTERM on", 0.01, leaves_early=True),
    FleetWay("half, else announced, x 2", 0.5, announced_margin=2.0),
    FleetWay("half, and streams refused", 0.5, refuses_streams=True),
    FleetWay("any, and streams refused", 0.01, refuses_streams=True),
    FleetWay(
        "half, streams refused, told when", 0.5, refuses_streams=True, tells_return=True
    ),
]

WAYS = {
    "nearest 20, slowest": NEAREST + NO_AGES + NO_PACE + NO_EVIDENCE + SLOWEST,
    "newest 100, 0.99": NO_AGES + NO_PACE + NO_EVIDENCE + ONE_RATIO,
    "and ages of open ones": NO_PACE + NO_EVIDENCE + ONE_RATIO,
    "and pace of open ones": NO_EVIDENCE + ONE_RATIO,
    "and no unknown ones": ONE_RATIO,
    "and 0.95 until the balancer is done": [],
    "and 0.95 always": ALWAYS_MORE,
    "and a margin of 1.1": SMALL_MARGIN,
    KNOWN: [],
}


@contextmanager
def _applied(patches: list[Patch]) -> Iterator[None]:
    with ExitStack() as stack:
        for patch in patches:
            stack.enter_context(patch)
        yield


@attrs.define
class Counts:
    """Numbers that add up field by field."""

    def __add__(self, other: Self) -> Self:
        mine, theirs = attrs.astuple(self), attrs.astuple(other)
        return type(self)(*(a + b for a, b in zip(mine, theirs, strict=True)))


@attrs.define
class Figures(Counts):
    """Requests after SIGTERM."""

    arrived_count: int = 0
    fitting_count: int = 0
    taken_count: int = 0
    served_count: int = 0
    cut_count: int = 0
    late_taken_count: int = 0
    late_cut_count: int = 0


class DrainLab:
    """A simulation of one way."""

    def __init__(
        self,
        pattern: Pattern,
        seed: int,
        *,
        is_repeatable: bool,
        is_known: bool = False,
    ) -> None:
        self._pattern = pattern
        self._rng = random.Random(seed)
        self._is_repeatable = is_repeatable
        self._policy = DrainAdmission()
        #: Times of answers that begin after SIGTERM; empty if the policy decides.
        self._known_seconds: list[float] = []
        if is_known:
            rng = random.Random(seed + 1)
            self._known_seconds = sorted(
                pattern.draw_seconds(rng) * pattern.slow_ratio
                for _ in range(KNOWN_SAMPLES_COUNT)
            )
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._sequence = itertools.count()
        self.figures = Figures()

    def run(self) -> Figures:
        """Run the simulation until the host exits, and return the figures."""
        at = self._pattern.begin_seconds
        while (at := at + self._rng.expovariate(REQUESTS_PER_SECOND)) < EXIT_SECONDS:
            seconds = self._pattern.draw_seconds(self._rng)
            self._after(at, lambda now, work=seconds: self._arrive(work, now))
        while self._events:
            now, _, action = heapq.heappop(self._events)
            action(now)
        return self.figures

    def _after(self, at: float, action: Callable[[float], None]) -> None:
        if at < EXIT_SECONDS:
            heapq.heappush(self._events, (at, next(self._sequence), action))

    def _end_of(self, work_seconds: float, now: float) -> float:
        """Return when work is done that begins now."""
        full_seconds = min(work_seconds, max(0.0, self._pattern.slow_at_seconds - now))
        slow_seconds = (work_seconds - full_seconds) * self._pattern.slow_ratio
        return now + full_seconds + slow_seconds

    def _arrive(self, work_seconds: float, now: float) -> None:
        events_count = self._pattern.events_count
        if self._pattern.events_per_second:
            events_count = round(work_seconds * self._pattern.events_per_second)
            work_seconds *= self._rng.uniform(*ANNOUNCED_RATIOS)
        request = DrainRequest(
            AnswerKind("s", is_stream=bool(events_count)),
            LATENCY_TARGET_SECONDS,
            events_count,
            None,
            self._is_repeatable,
            now + TIMEOUT_SECONDS,
        )
        end = self._end_of(work_seconds, now)
        if now >= 0.0 and not self._judge(request, end, now):
            return
        progress = self._policy.begin(request, now)
        progress.note_sent(now)
        for index in range(events_count):
            share = (index + 1) / events_count
            self._after(
                self._end_of(work_seconds * share, now),
                lambda at: progress.note_events(1, at),
            )
        self._after(end, lambda at: self._end(request, progress, at))

    def _judge(self, request: DrainRequest, end: float, now: float) -> bool:
        is_taken = self._decide(request, now)
        is_late, fits = now > LATE_SECONDS, end < EXIT_SECONDS
        self.figures += Figures(
            arrived_count=1,
            fitting_count=fits,
            taken_count=is_taken,
            served_count=is_taken and fits,
            cut_count=is_taken and not fits,
            late_taken_count=is_taken and is_late,
            late_cut_count=is_taken and is_late and not fits,
        )
        return is_taken

    def _decide(self, request: DrainRequest, now: float) -> bool:
        is_balancer_done = now >= BALANCER_DONE_SECONDS
        if not self._known_seconds:
            decision = self._policy.decide(
                request,
                EXIT_SECONDS,
                now_seconds=now,
                is_balancer_done=is_balancer_done,
            )
            # Compared is what the estimate says of late streams, too.
            return decision.is_admitted or decision.is_unbounded
        ratio = admission_module.max_cut_ratio(
            request, is_balancer_done=is_balancer_done
        )
        if self._pattern.events_per_second:
            announced_seconds = (
                request.max_answer_tokens / self._pattern.events_per_second
            )
            low, high = ANNOUNCED_RATIOS
            own_ratio = high - ratio * (high - low)
            return now + announced_seconds * own_ratio < EXIT_SECONDS
        index = int((1.0 - ratio) * (len(self._known_seconds) - 1))
        return now + self._known_seconds[index] < EXIT_SECONDS

    def _end(self, request: DrainRequest, progress: OpenAnswer, now: float) -> None:
        self._policy.end(progress)
        self._policy.note_answer(
            request, now - progress.began_at_seconds, now, progress=progress
        )


@attrs.define
class FleetFigures(Counts):
    """What became of the requests that reached the stopping host after SIGTERM."""

    arrived_count: int = 0
    #: Whole, and not later than at a host that does not stop.
    within_aim_count: int = 0
    later_count: int = 0
    cut_count: int = 0
    late_cut_count: int = 0
    #: Refused in each try.
    refused_count: int = 0
    tries_count: int = 0
    delay_seconds: float = 0.0

    @classmethod
    def served(cls, delay_seconds: float) -> "FleetFigures":
        """Return the figures of a request that was served with a delay."""
        is_within = delay_seconds <= AIM_SECONDS
        return cls(
            within_aim_count=is_within,
            later_count=not is_within,
            delay_seconds=delay_seconds,
        )


class FleetLab(DrainLab):
    """The same beside other hosts, of which those that stop know as much."""

    def __init__(
        self,
        pattern: Pattern,
        seed: int,
        fleet: Fleet,
        way: FleetWay,
        *,
        is_repeatable: bool,
    ) -> None:
        super().__init__(pattern, seed, is_repeatable=is_repeatable)
        self._fleet = fleet
        self._way = way
        self._callers_rng = random.Random(seed + 2)
        self.fleet_figures = FleetFigures()

    def _judge(self, request: DrainRequest, end: float, now: float) -> bool:
        is_taken = self._decide(request, now)
        figures = FleetFigures(arrived_count=1, tries_count=1)
        if not is_taken:
            figures += self._go_on(request, end, now)
        elif end < EXIT_SECONDS:
            figures += FleetFigures(within_aim_count=1)
        else:
            figures += FleetFigures(cut_count=1, late_cut_count=now > LATE_SECONDS)
        self.fleet_figures += figures
        return is_taken

    def _go_on(self, request: DrainRequest, end: float, now: float) -> FleetFigures:
        """Return what becomes of a request that was refused; its work begins later."""
        work_seconds = self._work_of(end, now)
        others = ["ready"] * self._fleet.ready_count
        others += ["leaving"] * self._fleet.leaving_count
        self._callers_rng.shuffle(others)
        if self._fleet.is_balanced:
            # The last one is tried first, and "ready" sorts behind "leaving".
            others.sort()
        at = now
        for tries_count in range(1, TRIES_COUNT):
            at = self._retry_at(at)
            kind = others.pop() if others else "leaving"
            figures = FleetFigures(tries_count=tries_count)
            new_end = self._end_of(work_seconds, at)
            served = FleetFigures.served(max(0.0, new_end - end))
            if kind == "ready" or at >= READY_AGAIN_SECONDS:
                return figures + served
            if at < EXIT_SECONDS and self._decide(request, at):
                if new_end < EXIT_SECONDS:
                    return figures + served
                return figures + FleetFigures(
                    cut_count=1, late_cut_count=at > LATE_SECONDS
                )
        return FleetFigures(refused_count=1, tries_count=TRIES_COUNT - 1)

    def _work_of(self, end: float, now: float) -> float:
        """Return the time that work takes at full pace; the reverse of its end."""
        full_seconds = min(end - now, max(0.0, self._pattern.slow_at_seconds - now))
        return full_seconds + (end - now - full_seconds) / self._pattern.slow_ratio

    def _retry_at(self, now: float) -> float:
        """Return when a caller that is refused now tries again."""
        at = now + self._fleet.retry_seconds
        if self._way.tells_return and not self._fleet.ready_count:
            at = max(at, READY_AGAIN_SECONDS)
        return at

    def _decide(self, request: DrainRequest, now: float) -> bool:
        fleet, way = self._fleet, self._way
        is_some_ready = fleet.ready_count > 0
        is_balancer_done = now >= BALANCER_DONE_SECONDS
        margin = way.margin_beside if is_some_ready else way.margin_alone
        if margin and is_balancer_done:
            with _applied(SLOWEST):
                decision = self._policy.decide(
                    request, EXIT_SECONDS, now_seconds=now, is_balancer_done=True
                )
            expected_seconds = decision.expected_seconds * margin
            return expected_seconds <= decision.remaining_seconds
        peers_count = fleet.ready_count + fleet.leaving_count
        leaves = fleet.ready_count >= way.min_ready_ratio * peers_count
        if is_some_ready and way.leaves_early:
            is_balancer_done = True
        decision = self._policy.decide(
            request,
            EXIT_SECONDS,
            now_seconds=now,
            is_balancer_done=is_balancer_done,
            is_elsewhere_ready=is_some_ready and leaves,
        )
        if not decision.is_unbounded or way.refuses_streams:
            return decision.is_admitted
        if not way.announced_margin:
            return True
        answers = self._policy.answer_times.open_answers
        event_seconds = answers.event_seconds(request.kind, now) or TOKEN_SECONDS
        announced_seconds = request.max_answer_tokens * event_seconds
        return announced_seconds * way.announced_margin <= decision.remaining_seconds


def _print_fleets(seeds: range) -> None:
    """Print what becomes of the callers, by fleet, pattern and way."""
    print(
        "| fleet | requests | way | within aim | later | cut (late) | refused "
        "| tries | delay |"
    )
    print("|---|---|---|---|---|---|---|---|---|")
    for fleet in FLEETS:
        totals = {way.name: FleetFigures() for way in FLEET_WAYS}
        for pattern in PATTERNS + LATE_FALLS:
            for way in FLEET_WAYS:
                figures = FleetFigures()
                for seed, is_repeatable in itertools.product(seeds, (True, False)):
                    lab = FleetLab(
                        pattern, seed, fleet, way, is_repeatable=is_repeatable
                    )
                    lab.run()
                    figures += lab.fleet_figures
                totals[way.name] += figures
                _print_fleet_row(fleet.name, pattern.name, way.name, figures)
        for name, figures in totals.items():
            _print_fleet_row(fleet.name, "all", name, figures)


def _print_fleet_row(fleet: str, pattern: str, way: str, figures: FleetFigures) -> None:
    arrived_count = max(1, figures.arrived_count)
    served_count = max(1, figures.within_aim_count + figures.later_count)
    print(
        f"| {fleet} | {pattern} | {way} "
        f"| {figures.within_aim_count / arrived_count:.3f} "
        f"| {figures.later_count / arrived_count:.3f} "
        f"| {figures.cut_count} ({figures.late_cut_count}) "
        f"| {figures.refused_count / arrived_count:.3f} "
        f"| {figures.tries_count / arrived_count:.2f} "
        f"| {figures.delay_seconds / served_count:.3f} s |"
    )


def main(argv: list[str]) -> None:
    """Print a table of the ways for each pattern, safe and unsafe requests."""
    parser = argparse.ArgumentParser(prog="measure drain", description=__doc__)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--fleet", action="store_true", help="follow refused callers")
    arguments = parser.parse_args(argv)
    seeds = range(1, arguments.seeds + 1)
    if arguments.fleet:
        _print_fleets(seeds)
        return
    print("| requests | way | taken of fitting | cut per 1,000 | late | once: taken |")
    print("|---|---|---|---|---|---|")
    for pattern in PATTERNS:
        for way, patches in WAYS.items():
            with _applied(patches):
                safe, once = (
                    sum(
                        (
                            DrainLab(
                                pattern,
                                seed,
                                is_repeatable=is_repeatable,
                                is_known=way == KNOWN,
                            ).run()
                            for seed in seeds
                        ),
                        Figures(),
                    )
                    for is_repeatable in (True, False)
                )
            print(
                f"| {pattern.name} | {way} | {_share(safe)} | {_cut(safe)} | "
                f"{safe.late_cut_count} | {_share(once)}, {once.cut_count} ended |"
            )


def _share(figures: Figures) -> str:
    return f"{figures.served_count / max(1, figures.fitting_count):.2f}"


def _cut(figures: Figures) -> str:
    return f"{1000.0 * figures.cut_count / max(1, figures.taken_count):.1f}"
