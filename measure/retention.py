"""Compare outages from which missing entries of upstreams are retained.

One host lists and watches the entries as ``KindWatcher`` does. Its watches are cut or
the store is away, upstreams renew their entries, and one of them leaves. Time is
simulated, and the same for each way.
"""

import argparse
import itertools
import math
import random
from collections.abc import Callable, Iterator

import attrs

from rampwick_platform._kind_watcher import (
    BACKOFF_FACTOR,
    INITIAL_BACKOFF_SECONDS,
    MAX_BACKOFF_SECONDS,
)
from rampwick_policy import ExpiredEntryGuard, OutageClock
from rampwick_policy._expired_entries import MIN_EXPIRY_RENEWALS
from rampwick_router.control._host_sources import (
    UPSTREAMS_WAIT_SECONDS,
    WATCH_PAUSE_SECONDS,
)
from rampwick_schema import HostEntry

RENEWAL_SECONDS = 1.2
#: Missed renewals after which an entry expires, and how far renewals vary.
EXPIRY_RENEWALS = 3
RENEWAL_RATIOS = (0.9, 1.1)

UPSTREAMS_COUNT = 4
#: Time for a response, and added to the wait of a watch that gets none.
RESPONSE_SECONDS, WATCH_GRACE_SECONDS = 0.004, 0.5

RUN_SECONDS = 20.0
#: Time around which an upstream leaves or the store is away, and after which an
#: upstream that left expects no requests.
EVENT_SECONDS, MAX_LATE_SECONDS = 8.0, 2.0
STEP_SECONDS = 0.05


@attrs.frozen
class Pattern:
    """What happens to the store and its watches."""

    name: str
    #: Returns the spans in which the store refuses all calls.
    draw_outages: Callable[[random.Random], list[tuple[float, float]]]
    #: Time between two cuts of the watch, from 4 s before the event on; 0 for none.
    cut_interval_seconds: float = 0.0
    #: Ratio of watches that get no response.
    dead_ratio: float = 0.0
    #: Ratio of listings that are answered in an outage, and refused outside.
    answered_ratio: float = 0.0
    refused_ratio: float = 0.0
    leaves: bool = False


def _none(rng: random.Random) -> list[tuple[float, float]]:
    return []


def _once(low: float, high: float) -> Callable[[random.Random], list]:
    return lambda rng: [(EVENT_SECONDS, EVENT_SECONDS + rng.uniform(low, high))]


def _twice(rng: random.Random) -> list[tuple[float, float]]:
    first = (EVENT_SECONDS, EVENT_SECONDS + rng.uniform(2.5, 4.0))
    begin_seconds = first[1] + rng.uniform(0.2, 1.5)
    return [first, (begin_seconds, begin_seconds + rng.uniform(0.5, 3.0))]


PATTERNS = [
    Pattern("a watch cut each 0.6 s", _none, 0.6, leaves=True),
    Pattern("a watch cut each 0.95 s", _none, 0.95, leaves=True),
    Pattern("a watch cut each 1.3 s", _none, 1.3, leaves=True),
    Pattern("3 of 10 watches without response", _none, dead_ratio=0.3, leaves=True),
    Pattern(
        "a watch cut each 1.3 s, 1 of 5 listings refused",
        _none,
        1.3,
        refused_ratio=0.2,
        leaves=True,
    ),
    Pattern("away for 0.5 to 2 s", _once(0.5, 2.0)),
    Pattern("away for 2 to 3 s", _once(2.0, 3.0)),
    Pattern("away for 3 to 6 s", _once(3.0, 6.0)),
    Pattern("the same, 1 of 5 listings answered", _once(3.0, 6.0), answered_ratio=0.2),
    Pattern("away twice within 1.5 s", _twice),
]


@attrs.frozen
class Reading:
    """Entries that the host reads at a time, and what preceded."""

    at_seconds: float
    names: frozenset[str]
    is_after_failure: bool
    #: Time since the reading before, and outage by failed listings.
    silent_seconds: float
    outage_seconds: float


def _after_outage(renewals: float) -> Callable[[Reading], bool]:
    least_seconds = renewals * RENEWAL_SECONDS
    return lambda reading: reading.outage_seconds >= least_seconds


#: Readings after which missing entries are retained.
WAYS: dict[str, Callable[[Reading], bool]] = {
    "each failed call": lambda reading: reading.is_after_failure,
    "a failed call, silent for 1.75 renewals": lambda reading: (
        reading.is_after_failure
        and reading.silent_seconds >= MIN_EXPIRY_RENEWALS * RENEWAL_SECONDS
    ),
    "each failed listing": lambda reading: reading.outage_seconds > 0.0,
    "an outage of 1 renewal": _after_outage(1.0),
    "an outage of 1.75 renewals": _after_outage(MIN_EXPIRY_RENEWALS),
    "an outage of 3 renewals": _after_outage(3.0),
    "nothing retained": lambda reading: False,
}


class StoreRun:
    """The entries in the store over one run."""

    def __init__(self, pattern: Pattern, seed: int) -> None:
        self.pattern = pattern
        self._rng = random.Random(seed)
        self._outages = pattern.draw_outages(self._rng)
        self.left_at_seconds = math.inf
        if pattern.leaves:
            self.left_at_seconds = EVENT_SECONDS + self._rng.uniform(0.0, 2.0)
        first_cut = EVENT_SECONDS - 4.0 + self._rng.uniform(0.0, 1.0)
        interval = pattern.cut_interval_seconds
        self._cuts = [first_cut + n * interval for n in range(20)] if interval else []
        self._renewals = [self._draw_renewals(n) for n in range(UPSTREAMS_COUNT)]

    def _draw_renewals(self, number: int) -> list[float]:
        """Return when an upstream renews its entry, as far as the store takes that."""
        at_seconds, renewals = -self._rng.uniform(0.0, RENEWAL_SECONDS), []
        while at_seconds < RUN_SECONDS:
            if not self.is_away(at_seconds):
                renewals.append(at_seconds)
            at_seconds += RENEWAL_SECONDS * self._rng.uniform(*RENEWAL_RATIOS)
        if number == 0:
            renewals = [at for at in renewals if at < self.left_at_seconds]
        return renewals

    def is_away(self, at_seconds: float) -> bool:
        """Return whether the store refuses calls."""
        return any(begin <= at_seconds < end for begin, end in self._outages)

    def names(self, at_seconds: float) -> frozenset[str]:
        """Return the upstreams with an entry."""
        since_seconds = at_seconds - EXPIRY_RENEWALS * RENEWAL_SECONDS
        found = {
            f"u{number}"
            for number, renewals in enumerate(self._renewals)
            if any(since_seconds < at <= at_seconds for at in renewals)
        }
        if at_seconds >= self.left_at_seconds:
            found.discard("u0")
        return frozenset(found)

    def readings(self) -> Iterator[Reading]:
        """Yield what the host reads, one listing and then watches."""
        now, last_seconds, failures_count = 0.0, 0.0, 0
        has_failed = is_listed = False
        clock = OutageClock()
        while now < RUN_SECONDS:
            now, is_answered = self._watch(now) if is_listed else self._list(now)
            if is_answered:
                outage_seconds = clock.note_answer(now)
                yield Reading(
                    now, self.names(now), has_failed, now - last_seconds, outage_seconds
                )
                failures_count = 0 if is_listed else failures_count
                is_listed, has_failed, last_seconds = True, False, now
                now += WATCH_PAUSE_SECONDS
                continue
            if not is_listed:
                clock.note_failed_listing()
            is_listed, has_failed = False, True
            seconds = INITIAL_BACKOFF_SECONDS * BACKOFF_FACTOR**failures_count
            failures_count += 1
            now += min(MAX_BACKOFF_SECONDS, seconds) * self._rng.uniform(0.5, 1.0)

    def _list(self, began_seconds: float) -> tuple[float, bool]:
        """Return when a listing ends, and whether it is answered."""
        end_seconds = began_seconds + RESPONSE_SECONDS
        draw = self._rng.random()
        if self.is_away(end_seconds):
            return end_seconds, draw < self.pattern.answered_ratio
        return end_seconds, draw >= self.pattern.refused_ratio

    def _watch(self, began_seconds: float) -> tuple[float, bool]:
        """Return when a watch ends, and whether it is answered."""
        end_seconds = began_seconds + UPSTREAMS_WAIT_SECONDS
        if self._rng.random() < self.pattern.dead_ratio:
            return end_seconds + WATCH_GRACE_SECONDS, False
        begins = [begin for begin, _ in self._outages] + self._cuts
        cut_at_seconds = min(
            (at for at in begins if began_seconds <= at < end_seconds), default=math.inf
        )
        if self.is_away(began_seconds):
            cut_at_seconds = began_seconds
        changed_at_seconds = math.inf
        before = self.names(began_seconds)
        at_seconds = began_seconds
        while (at_seconds := at_seconds + STEP_SECONDS) < end_seconds:
            if self.names(at_seconds) != before:
                changed_at_seconds = at_seconds
                break
        if cut_at_seconds < min(changed_at_seconds, end_seconds):
            return cut_at_seconds, False
        return min(changed_at_seconds, end_seconds) + RESPONSE_SECONDS, True


@attrs.define
class Figures:
    """What became of upstreams, in all runs of a pattern."""

    runs_count: int = 0
    #: Runs in which the upstream that left was used too late, and the latest use.
    late_count: int = 0
    latest_seconds: float = 0.0
    #: Time for which live upstreams were not used, and runs in which none was.
    unused_seconds: float = 0.0
    without_any_count: int = 0


def _entry(name: str) -> HostEntry:
    return HostEntry(name, "service", "h", f"{name}:1", "live", incarnation=name)


def _run(
    pattern: Pattern,
    seed: int,
    retains_after: Callable[[Reading], bool],
    figures: Figures,
) -> None:
    """Add one run of the guard to the figures."""
    store = StoreRun(pattern, seed)
    readings = list(store.readings())
    guard = ExpiredEntryGuard()
    latest_seconds, has_none = 0.0, False
    for version, (reading, following) in enumerate(
        itertools.zip_longest(readings, readings[1:]), start=1
    ):
        guard.apply(
            [_entry(name) for name in sorted(reading.names)],
            version,
            retains_after(reading),
            reading.at_seconds,
        )
        now = reading.at_seconds
        until_seconds = following.at_seconds if following else RUN_SECONDS
        while now < until_seconds:
            used = {item.name for item in guard.host_list(now).hosts}
            if now >= store.left_at_seconds and "u0" in used:
                latest_seconds = max(latest_seconds, now - store.left_at_seconds)
            has_left = now >= store.left_at_seconds
            live_count = UPSTREAMS_COUNT - has_left
            unused_count = live_count - len(used - ({"u0"} if has_left else set()))
            figures.unused_seconds += STEP_SECONDS * unused_count
            has_none |= not used
            now += STEP_SECONDS
    figures.runs_count += 1
    figures.late_count += latest_seconds > MAX_LATE_SECONDS
    figures.latest_seconds = max(figures.latest_seconds, latest_seconds)
    figures.without_any_count += has_none


def main(argv: list[str]) -> None:
    """Print a table of the ways for each pattern."""
    parser = argparse.ArgumentParser(prog="measure retention", description=__doc__)
    parser.add_argument("--seeds", type=int, default=200)
    seeds_count = parser.parse_args(argv).seeds
    print("| store | retained after | late | latest use | unused | none used |")
    print("|---|---|---|---|---|---|")
    for pattern in PATTERNS:
        for name, retains_after in WAYS.items():
            figures = Figures()
            for seed in range(seeds_count):
                _run(pattern, seed, retains_after, figures)
            count = figures.runs_count
            print(
                f"| {pattern.name} | {name} | {figures.late_count / count:.2f} "
                f"| {figures.latest_seconds:.2f} s "
                f"| {figures.unused_seconds / count:.2f} s "
                f"| {figures.without_any_count / count:.2f} |"
            )
