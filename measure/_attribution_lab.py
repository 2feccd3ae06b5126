"""Simulation of crash attribution in stepped time.

Only attribution is simulated: requests arrive at hosts, are sent to upstreams that are
up, and either fail with a crash of their upstream or are answered. Hosts broadcast
crashes and answers to each other with a delay. Callers retry once after a failure; each
try makes at most two attempts.
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

#: Time from an upstream's crash to its restart.
RESTART_SECONDS = 4.0
#: Time from the start of a deadly request to the crash of its upstream.
CRASH_DELAY_SECONDS = 0.12
MEAN_RUN_SECONDS = 0.35
#: Delay before a caller retries a failed request.
CALLER_RETRY_DELAY_SECONDS = 0.3
#: Interval at which a waiting request tries again to find an upstream.
PLACEMENT_INTERVAL_SECONDS = 0.1
#: Time after which a request without an upstream fails.
MAX_WAIT_SECONDS = 2.0
MAX_ATTEMPTS = 2


@attrs.frozen
class AttributionPattern:
    """Fleet sizes, load and faults of a run."""

    name: str
    hosts_count: int
    upstreams_count: int
    requests_per_second: float
    deadly_count: int = 2
    #: Rate at which each deadly request arrives, without retries by callers.
    deadly_per_second: float = 1.5
    #: Mean time between crashes of one upstream that no request causes.
    mean_uptime_seconds: float = 30.0
    #: Delay until a host's broadcast reaches the other hosts.
    broadcast_delay_seconds: float = 0.03
    length_seconds: float = 40.0


PATTERNS = (
    AttributionPattern("8 hosts, 5 upstreams", 8, 5, 32.0),
    AttributionPattern(
        "8 hosts, 5 upstreams, 6 deadly at once", 8, 5, 32.0, deadly_count=6
    ),
    AttributionPattern(
        "8 hosts, 5 upstreams, often ill", 8, 5, 32.0, mean_uptime_seconds=6.0
    ),
    AttributionPattern(
        "90 hosts, 45 upstreams", 90, 45, 360.0, broadcast_delay_seconds=0.12
    ),
    AttributionPattern("90 hosts, often ill", 90, 45, 360.0, 6, 1.5, 10.0, 0.12),
)


class NoAttribution:
    """Never quarantines a request."""

    def is_responsible(
        self, suspect: SuspectRequest, others: Iterable[SuspectRequest]
    ) -> bool:
        """Return whether a request is to be quarantined."""
        return False


class CrashCountRule:
    """Quarantines a request after three crashes in a row under it."""

    def is_responsible(
        self, suspect: SuspectRequest, others: Iterable[SuspectRequest]
    ) -> bool:
        """Return whether a request is to be quarantined."""
        return len(suspect.crashes) >= 3


class MostCrashesOfFour:
    """Quarantines the request with the most crashes, from its fourth crash on.

    The policy's own rule needs one crash less.
    """

    def is_responsible(
        self, suspect: SuspectRequest, others: Iterable[SuspectRequest]
    ) -> bool:
        """Return whether a request is to be quarantined."""
        count = len(suspect.crashes)
        return count >= 4 and all(len(other.crashes) < count for other in others)


@attrs.frozen
class AttributionStrategy:
    """A rule, and whether suspects are isolated from each other."""

    rule: AttributionRule
    is_isolated: bool


STRATEGIES = {
    "none": AttributionStrategy(NoAttribution(), is_isolated=False),
    "count": AttributionStrategy(CrashCountRule(), is_isolated=False),
    "most": AttributionStrategy(MostCrashes(), is_isolated=False),
    "most, apart": AttributionStrategy(MostCrashes(), is_isolated=True),
    "most of four, apart": AttributionStrategy(MostCrashesOfFour(), is_isolated=True),
}


@attrs.define(eq=False)
class SimulatedRequest:
    """A request, with the retries of its caller."""

    fingerprint: bytes
    is_deadly: bool
    tries_count: int = 0
    attempts_count: int = 0
    waiting_since_seconds: float = 0.0
    waited_seconds: float = 0.0


@attrs.define(eq=False)
class _Upstream:
    name: str
    incarnation: int = 1
    is_up: bool = True
    running: dict[SimulatedRequest, "_Host"] = attrs.field(factory=dict)

    @property
    def incarnation_key(self) -> IncarnationKey:
        return IncarnationKey(self.name, str(self.incarnation))


@attrs.define(eq=False)
class _Host:
    name: str
    tracker: CrashTracker
    #: Fingerprint of the isolated suspect that this host runs at each upstream.
    isolated: dict[str, bytes] = attrs.field(factory=dict)


@attrs.define(repr=False)
class AttributionResult(ReprMixin):
    """Results of a run."""

    #: Crashes caused by each deadly request.
    crashes: dict[bytes, int] = attrs.field(factory=dict)
    innocents_count: int = 0
    #: Innocent requests refused by quarantine, and those that failed otherwise.
    refused_count: int = 0
    lost_count: int = 0
    #: Waits of innocent suspects for an upstream without another suspect.
    waits_seconds: list[float] = attrs.field(factory=list)


class AttributionLab:
    """One run of a pattern with one strategy."""

    def __init__(self, pattern: AttributionPattern, strategy: str, seed: int) -> None:
        self._pattern = pattern
        self._strategy = STRATEGIES[strategy]
        self._draw = random.Random(seed)
        self._clock = Clock()
        self._numbers = itertools.count()
        self._hosts = [
            _Host(f"h{index}", CrashTracker(self._strategy.rule))
            for index in range(pattern.hosts_count)
        ]
        self._upstreams = [
            _Upstream(f"u{index}") for index in range(pattern.upstreams_count)
        ]
        self.result = AttributionResult()

    def run(self) -> AttributionResult:
        """Simulate the pattern."""
        pattern = self._pattern
        at_seconds = 0.0
        while at_seconds < pattern.length_seconds:
            at_seconds += self._draw.expovariate(pattern.requests_per_second)
            self._clock.after(
                at_seconds,
                self._arrive,
                SimulatedRequest(self._next_fingerprint(), False),
            )
            self.result.innocents_count += 1
        for _ in range(pattern.deadly_count):
            self._schedule_deadly_request()
        for upstream in self._upstreams:
            self._schedule_spontaneous_crash(upstream)
        self._clock.run_until(pattern.length_seconds + 10.0)
        return self.result

    def _next_fingerprint(self) -> bytes:
        return next(self._numbers).to_bytes(16, "big")

    def _schedule_deadly_request(self) -> None:
        fingerprint = self._next_fingerprint()
        self.result.crashes[fingerprint] = 0
        at_seconds = 2.0
        while at_seconds < self._pattern.length_seconds:
            at_seconds += self._draw.expovariate(self._pattern.deadly_per_second)
            self._clock.after(
                at_seconds, self._arrive, SimulatedRequest(fingerprint, True)
            )

    def _schedule_spontaneous_crash(self, upstream: _Upstream) -> None:
        uptime_seconds = self._draw.expovariate(1.0 / self._pattern.mean_uptime_seconds)
        self._clock.after(uptime_seconds, self._crash_spontaneously, upstream)

    def _crash_spontaneously(self, upstream: _Upstream) -> None:
        if upstream.is_up:
            self._crash(upstream)
        self._schedule_spontaneous_crash(upstream)

    # Requests.

    def _arrive(self, request: SimulatedRequest) -> None:
        request.tries_count += 1
        request.attempts_count = 0
        request.waiting_since_seconds = self._clock.now_seconds
        self._place(request, self._draw.choice(self._hosts))

    def _place(self, request: SimulatedRequest, host: _Host) -> None:
        now_seconds = self._clock.now_seconds
        host.tracker.attribute_crashes(now_seconds)
        quarantine_state = host.tracker.quarantine_state(request.fingerprint)
        if quarantine_state is QuarantineState.STOPPED:
            self.result.refused_count += not request.is_deadly
            return
        is_isolated = quarantine_state is QuarantineState.APART
        upstream = self._choose(
            request, host, is_isolated and self._strategy.is_isolated
        )
        if upstream is None:
            waited_seconds = now_seconds - request.waiting_since_seconds
            if waited_seconds > MAX_WAIT_SECONDS:
                self._fail(request)
            else:
                self._clock.after(
                    PLACEMENT_INTERVAL_SECONDS, self._place, request, host
                )
            return
        if is_isolated:
            host.isolated[upstream.name] = request.fingerprint
            if not request.is_deadly:
                waited_seconds = now_seconds - request.waiting_since_seconds
                self.result.waits_seconds.append(waited_seconds)
        request.attempts_count += 1
        upstream.running[request] = host
        self._start(request, upstream)

    def _choose(
        self, request: SimulatedRequest, host: _Host, is_isolated: bool
    ) -> _Upstream | None:
        up = {item.name: item for item in self._upstreams if item.is_up}
        if not up:
            return None
        if not is_isolated:
            return self._draw.choice(list(up.values()))
        if not host.tracker.has_complete_reports(
            request.fingerprint, self._clock.now_seconds
        ):
            return None
        for name in rank(request.fingerprint, up):
            if host.isolated.get(name, request.fingerprint) == request.fingerprint:
                return up[name]
        return None

    def _start(self, request: SimulatedRequest, upstream: _Upstream) -> None:
        incarnation = upstream.incarnation
        if request.is_deadly:
            self._clock.after(
                CRASH_DELAY_SECONDS,
                self._crash_by_request,
                request,
                upstream,
                incarnation,
            )
        else:
            run_seconds = self._draw.expovariate(1.0 / MEAN_RUN_SECONDS)
            self._clock.after(
                run_seconds, self._complete, request, upstream, incarnation
            )

    def _complete(
        self, request: SimulatedRequest, upstream: _Upstream, incarnation: int
    ) -> None:
        if upstream.incarnation != incarnation or not upstream.is_up:
            return
        host = upstream.running.pop(request)
        self._release(request, host, upstream)
        if host.tracker.clear(request.fingerprint, self._clock.now_seconds):
            self._broadcast(host, "clear", request.fingerprint, self._clock.now_seconds)

    def _release(
        self, request: SimulatedRequest, host: _Host, upstream: _Upstream
    ) -> None:
        if host.isolated.get(upstream.name) == request.fingerprint:
            del host.isolated[upstream.name]

    # Crashes.

    def _crash_by_request(
        self, request: SimulatedRequest, upstream: _Upstream, incarnation: int
    ) -> None:
        if upstream.incarnation == incarnation and upstream.is_up:
            self.result.crashes[request.fingerprint] += 1
            self._crash(upstream)

    def _crash(self, upstream: _Upstream) -> None:
        now_seconds = self._clock.now_seconds
        incarnation_key, running = upstream.incarnation_key, upstream.running
        upstream.running, upstream.is_up = {}, False
        self._clock.after(RESTART_SECONDS, self._restart, upstream)
        for request, host in running.items():
            arguments = (incarnation_key, request.fingerprint, "/w", now_seconds)
            host.tracker.note_crash(*arguments, now_seconds)
            self._broadcast(host, "note_crash", *arguments, now_seconds)
            self._release(request, host, upstream)
        for request, host in running.items():
            if request.attempts_count < MAX_ATTEMPTS:
                request.waiting_since_seconds = now_seconds
                self._place(request, host)
            else:
                self._fail(request)

    def _restart(self, upstream: _Upstream) -> None:
        upstream.incarnation += 1
        upstream.is_up = True

    def _fail(self, request: SimulatedRequest) -> None:
        if request.tries_count < MAX_ATTEMPTS:
            self._clock.after(CALLER_RETRY_DELAY_SECONDS, self._arrive, request)
        else:
            self.result.lost_count += not request.is_deadly

    def _broadcast(self, sender: _Host, method: str, *arguments: object) -> None:
        self._clock.after(
            self._pattern.broadcast_delay_seconds,
            self._receive,
            sender,
            method,
            arguments,
        )

    def _receive(
        self, sender: _Host, method: str, arguments: tuple[object, ...]
    ) -> None:
        for host in self._hosts:
            if host is not sender:
                getattr(host.tracker, method)(*arguments)
