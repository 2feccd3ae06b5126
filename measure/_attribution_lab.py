"""The blame lab: hosts, upstreams that end under requests, in stepped time.

Only the question of who is to blame is played: requests arrive at hosts, go to
upstreams that are up, and end with them or are answered. Hosts tell each other what
they saw after a delay. Callers ask once more after a failure; a try takes two upstreams
at the most.
"""

import itertools
import random
from collections.abc import Iterable

import attrs

from rampwick_policy import (
    AttributionRule,
    CrashTracker,
    IncarnationKey,
    MostCrashes,
    QuarantineState,
    SuspectRequest,
)
from rampwick_policy._rendezvous import rank
from rampwick_schema import ReprMixin

from ._runner import Clock

#: Time until an upstream that ended is replaced.
RETURN_SECONDS = 4.0
#: Time from the start of a deadly request's run to its upstream's end.
DEADLY_SECONDS = 0.12
MEAN_RUN_SECONDS = 0.35
#: A caller's pause before it asks once more.
CALLER_PAUSE_SECONDS = 0.3
#: Time between two looks for room by a request that waits.
LOOK_SECONDS = 0.1
#: Time after which a request that finds no upstream is refused.
MAX_WAIT_SECONDS = 2.0
MAX_ATTEMPTS = 2


@attrs.frozen
class BlamePattern:
    """Sizes and troubles of a run."""

    name: str
    hosts_count: int
    upstreams_count: int
    requests_per_second: float
    deadly_count: int = 2
    #: Times a second that each deadly request comes, callers' retries apart.
    deadly_per_second: float = 1.5
    #: Mean time between two ordinary ends of one upstream.
    ordinary_seconds: float = 30.0
    #: Time until the other hosts hear what one saw.
    told_seconds: float = 0.03
    length_seconds: float = 40.0


PATTERNS = (
    BlamePattern("8 hosts, 5 upstreams", 8, 5, 32.0),
    BlamePattern("8 hosts, 5 upstreams, 6 deadly at once", 8, 5, 32.0, deadly_count=6),
    BlamePattern("8 hosts, 5 upstreams, often ill", 8, 5, 32.0, ordinary_seconds=6.0),
    BlamePattern("90 hosts, 45 upstreams", 90, 45, 360.0, told_seconds=0.12),
    BlamePattern("90 hosts, often ill", 90, 45, 360.0, 6, 1.5, 10.0, 0.12),
)


class NeverBlames:
    """Nobody is stopped."""

    def is_responsible(
        self, suspect: SuspectRequest, others: Iterable[SuspectRequest]
    ) -> bool:
        """Return whether a request is to be stopped."""
        return False


class CountedEnds:
    """Whoever was aboard three ends in a row is stopped."""

    def is_responsible(
        self, suspect: SuspectRequest, others: Iterable[SuspectRequest]
    ) -> bool:
        """Return whether a request is to be stopped."""
        return len(suspect.crashes) >= 3


class MostEndsOfFour:
    """The same as the policy's own rule, one end later."""

    def is_responsible(
        self, suspect: SuspectRequest, others: Iterable[SuspectRequest]
    ) -> bool:
        """Return whether a request is to be stopped."""
        count = len(suspect.crashes)
        return count >= 4 and all(len(other.crashes) < count for other in others)


@attrs.frozen
class BlameWay:
    """A rule, and whether suspects are kept apart from each other."""

    rule: AttributionRule
    is_apart: bool


WAYS = {
    "none": BlameWay(NeverBlames(), is_apart=False),
    "count": BlameWay(CountedEnds(), is_apart=False),
    "most": BlameWay(MostCrashes(), is_apart=False),
    "most, apart": BlameWay(MostCrashes(), is_apart=True),
    "most of four, apart": BlameWay(MostEndsOfFour(), is_apart=True),
}


@attrs.define(eq=False)
class Asked:
    """A request over all tries of its caller."""

    fingerprint: bytes
    is_deadly: bool
    tries_count: int = 0
    attempts_count: int = 0
    waiting_since_seconds: float = 0.0
    waited_seconds: float = 0.0


@attrs.define(eq=False)
class _Upstream:
    name: str
    life: int = 1
    is_up: bool = True
    aboard: dict[Asked, "_Host"] = attrs.field(factory=dict)

    @property
    def life_name(self) -> IncarnationKey:
        return IncarnationKey(self.name, str(self.life))


@attrs.define(eq=False)
class _Host:
    name: str
    book: CrashTracker
    #: Suspects that this host has at upstreams.
    apart: dict[str, bytes] = attrs.field(factory=dict)


@attrs.define(repr=False)
class BlameResult(ReprMixin):
    """What came of a run."""

    #: Ends under each deadly request.
    ends: dict[bytes, int] = attrs.field(factory=dict)
    innocents_count: int = 0
    #: Innocent requests refused as if they were to blame, and those lost otherwise.
    refused_count: int = 0
    lost_count: int = 0
    #: What suspects that are innocent waited to be kept apart.
    waits_seconds: list[float] = attrs.field(factory=list)


class BlameLab:
    """One run of a pattern with one way."""

    def __init__(self, pattern: BlamePattern, way: str, seed: int) -> None:
        self._pattern = pattern
        self._way = WAYS[way]
        self._draw = random.Random(seed)
        self._clock = Clock()
        self._names = itertools.count()
        self._hosts = [
            _Host(f"h{index}", CrashTracker(self._way.rule))
            for index in range(pattern.hosts_count)
        ]
        self._upstreams = [
            _Upstream(f"u{index}") for index in range(pattern.upstreams_count)
        ]
        self.result = BlameResult()

    def run(self) -> BlameResult:
        """Play the pattern."""
        pattern = self._pattern
        at_seconds = 0.0
        while at_seconds < pattern.length_seconds:
            at_seconds += self._draw.expovariate(pattern.requests_per_second)
            self._clock.after(at_seconds, self._arrive, Asked(self._fresh(), False))
            self.result.innocents_count += 1
        for _ in range(pattern.deadly_count):
            self._plan_deadly()
        for upstream in self._upstreams:
            self._plan_ordinary_end(upstream)
        self._clock.run_until(pattern.length_seconds + 10.0)
        return self.result

    def _fresh(self) -> bytes:
        return next(self._names).to_bytes(16, "big")

    def _plan_deadly(self) -> None:
        fingerprint = self._fresh()
        self.result.ends[fingerprint] = 0
        at_seconds = 2.0
        while at_seconds < self._pattern.length_seconds:
            at_seconds += self._draw.expovariate(self._pattern.deadly_per_second)
            self._clock.after(at_seconds, self._arrive, Asked(fingerprint, True))

    def _plan_ordinary_end(self, upstream: _Upstream) -> None:
        pause_seconds = self._draw.expovariate(1.0 / self._pattern.ordinary_seconds)
        self._clock.after(pause_seconds, self._end_ordinarily, upstream)

    def _end_ordinarily(self, upstream: _Upstream) -> None:
        if upstream.is_up:
            self._end(upstream)
        self._plan_ordinary_end(upstream)

    # Requests.

    def _arrive(self, asked: Asked) -> None:
        asked.tries_count += 1
        asked.attempts_count = 0
        asked.waiting_since_seconds = self._clock.now_seconds
        self._place(asked, self._draw.choice(self._hosts))

    def _place(self, asked: Asked, host: _Host) -> None:
        now_seconds = self._clock.now_seconds
        host.book.attribute_crashes(now_seconds)
        quarantine_state = host.book.quarantine_state(asked.fingerprint)
        if quarantine_state is QuarantineState.STOPPED:
            self.result.refused_count += not asked.is_deadly
            return
        is_apart = quarantine_state is QuarantineState.APART
        upstream = self._choose(asked, host, is_apart and self._way.is_apart)
        if upstream is None:
            waited_seconds = now_seconds - asked.waiting_since_seconds
            if waited_seconds > MAX_WAIT_SECONDS:
                self._fail(asked)
            else:
                self._clock.after(LOOK_SECONDS, self._place, asked, host)
            return
        if is_apart:
            host.apart[upstream.name] = asked.fingerprint
            if not asked.is_deadly:
                waited_seconds = now_seconds - asked.waiting_since_seconds
                self.result.waits_seconds.append(waited_seconds)
        asked.attempts_count += 1
        upstream.aboard[asked] = host
        self._begin(asked, upstream)

    def _choose(self, asked: Asked, host: _Host, is_apart: bool) -> _Upstream | None:
        up = {item.name: item for item in self._upstreams if item.is_up}
        if not up:
            return None
        if not is_apart:
            return self._draw.choice(list(up.values()))
        if not host.book.has_complete_reports(
            asked.fingerprint, self._clock.now_seconds
        ):
            return None
        for name in rank(asked.fingerprint, up):
            if host.apart.get(name, asked.fingerprint) == asked.fingerprint:
                return up[name]
        return None

    def _begin(self, asked: Asked, upstream: _Upstream) -> None:
        life = upstream.life
        if asked.is_deadly:
            self._clock.after(DEADLY_SECONDS, self._end_by, asked, upstream, life)
        else:
            run_seconds = self._draw.expovariate(1.0 / MEAN_RUN_SECONDS)
            self._clock.after(run_seconds, self._answer, asked, upstream, life)

    def _answer(self, asked: Asked, upstream: _Upstream, life: int) -> None:
        if upstream.life != life or not upstream.is_up:
            return
        host = upstream.aboard.pop(asked)
        self._release(asked, host, upstream)
        if host.book.clear(asked.fingerprint, self._clock.now_seconds):
            self._tell(host, "clear", asked.fingerprint, self._clock.now_seconds)

    def _release(self, asked: Asked, host: _Host, upstream: _Upstream) -> None:
        if host.apart.get(upstream.name) == asked.fingerprint:
            del host.apart[upstream.name]

    # Ends.

    def _end_by(self, asked: Asked, upstream: _Upstream, life: int) -> None:
        if upstream.life == life and upstream.is_up:
            self.result.ends[asked.fingerprint] += 1
            self._end(upstream)

    def _end(self, upstream: _Upstream) -> None:
        now_seconds = self._clock.now_seconds
        life, aboard = upstream.life_name, upstream.aboard
        upstream.aboard, upstream.is_up = {}, False
        self._clock.after(RETURN_SECONDS, self._return, upstream)
        for asked, host in aboard.items():
            terms = (life, asked.fingerprint, "/w", now_seconds)
            host.book.note_crash(*terms, now_seconds)
            self._tell(host, "note_crash", *terms, now_seconds)
            self._release(asked, host, upstream)
        for asked, host in aboard.items():
            if asked.attempts_count < MAX_ATTEMPTS:
                asked.waiting_since_seconds = now_seconds
                self._place(asked, host)
            else:
                self._fail(asked)

    def _return(self, upstream: _Upstream) -> None:
        upstream.life += 1
        upstream.is_up = True

    def _fail(self, asked: Asked) -> None:
        if asked.tries_count < MAX_ATTEMPTS:
            self._clock.after(CALLER_PAUSE_SECONDS, self._arrive, asked)
        else:
            self.result.lost_count += not asked.is_deadly

    def _tell(self, teller: _Host, name: str, *terms: object) -> None:
        self._clock.after(self._pattern.told_seconds, self._hear, teller, name, terms)

    def _hear(self, teller: _Host, name: str, terms: tuple[object, ...]) -> None:
        for host in self._hosts:
            if host is not teller:
                getattr(host.book, name)(*terms)
