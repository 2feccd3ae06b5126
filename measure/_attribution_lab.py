"""Simulation of crash attribution in stepped time.

Only attribution is simulated: requests arrive at hosts, are sent to upstreams that are
up, and either fail with a crash of their upstream or are answered. Hosts broadcast
crashes and answers to each other with a delay. Callers retry once after a failure; each
try makes at most two attempts.

Deadly are whole requests, which come again, or parts of prompts, whose requests are all
different and share their other parts with sound ones.
"""

import itertools
import math
import random
from collections.abc import Iterable, Sequence

import attrs

from rampwick_policy import (
    AttributionRule,
    CrashTracker,
    IncarnationKey,
    MostCrashes,
    QuarantineState,
    Suspect,
)
from rampwick_policy._crash_updates import (
    ClearedFact,
    CrashFact,
    Fact,
    LiveFact,
    QuarantineFact,
    SoundFact,
    quarantine_fact,
    state_facts,
    to_update,
)
from rampwick_policy._rendezvous import rank
from rampwick_policy._sound_parts import SoundParts
from rampwick_schema import ReprMixin, encode_message

from ._runner import HOP_SECONDS, Clock

#: Time from an upstream's crash to its restart.
RESTART_SECONDS = 4.0
#: Time from the start of a deadly request to the crash of its upstream.
CRASH_DELAY_SECONDS = 0.12
#: When deadly requests begin to arrive.
DEADLY_FROM_SECONDS = 2.0
#: Crash of a deadly request or part from which its further runs are counted, and the
#: time after it until they are, and until requests that share a guide must be served.
KNOWN_CRASHES_COUNT = 5
LATE_RUN_SECONDS = 3.0
RECOVERY_SECONDS = 6.0
#: Time from the start of a request to the begin of its answer, and from there until
#: its parts have proved sound.
FIRST_EVENT_SECONDS = 0.1
SOUND_AFTER_SECONDS = 0.5
#: Mean time from there until a probe shows that the upstream is alive.
PROBE_SECONDS = 0.25
#: Delay before a caller retries a failed request.
CALLER_RETRY_DELAY_SECONDS = 0.3
#: Interval at which a waiting request tries again to find an upstream.
PLACEMENT_INTERVAL_SECONDS = 0.1
#: Time after which a request without an upstream fails.
MAX_WAIT_SECONDS = 2.0
MAX_ATTEMPTS = 2
#: Batching interval of broadcasts, and how often each one is sent.
BROADCAST_BATCH_SECONDS = 0.02
BROADCASTS_COUNT = 4
#: Prompts begin with one of a few guides, followed by one of these letters.
LETTERS_COUNT = 60


@attrs.frozen
class AttributionPattern:
    """Fleet sizes, load and faults of a run."""

    name: str
    hosts_count: int
    upstreams_count: int
    requests_per_second: float
    deadly_count: int = 0
    deadly_parts_count: int = 0
    #: Whether a deadly part is the first of its prompts, in place of a guide.
    is_deadly_part_first: bool = False
    #: Whether each deadly part is a letter that upstreams answer before.
    was_sound: bool = False
    #: Rate at which each deadly request, or request with each deadly part, arrives,
    #: without retries by callers.
    deadly_per_second: float = 1.5
    mean_run_seconds: float = 0.35
    #: Mean time between crashes of one upstream that no request causes.
    mean_uptime_seconds: float = 30.0
    #: Delay until a host's broadcast reaches the other hosts.
    broadcast_delay_seconds: float = 0.03
    length_seconds: float = 40.0
    guides_count: int = 3
    #: Mean time between restarts of hosts; a restarted host forgets what it knew.
    mean_host_restarts_seconds: float = math.inf
    #: Part of the hosts that reach no other hosts from a time on, and for how long.
    cut_off_ratio: float = 0.0
    cut_off_at_seconds: float = 8.0
    cut_off_seconds: float = 6.0


def _troubled(
    hosts_count: int, deadly_count: int, length_seconds: float = 40.0
) -> AttributionPattern:
    """Return a pattern with deadly requests in the midst of other faults."""
    upstreams_count = 5 if hosts_count == 6 else hosts_count // 2
    return AttributionPattern(
        f"{hosts_count} hosts, {deadly_count} requests, troubled",
        hosts_count,
        upstreams_count,
        32.0 if hosts_count == 6 else 4.0 * hosts_count,
        deadly_count,
        mean_uptime_seconds=15.0 if hosts_count == 6 else 60.0,
        broadcast_delay_seconds=0.03 if hosts_count == 6 else 0.12,
        length_seconds=length_seconds,
        guides_count=1,
        mean_host_restarts_seconds=3.0,
        cut_off_ratio=0.25,
        cut_off_at_seconds=length_seconds / 5.0,
        cut_off_seconds=length_seconds / 6.0,
    )


PATTERNS = (
    AttributionPattern("6 hosts, 5 upstreams, 1 part", 6, 5, 32.0, 0, 1),
    AttributionPattern("6 hosts, 1 part, first", 6, 5, 32.0, 0, 1, True),
    AttributionPattern(
        "6 hosts, 1 part, long streams", 6, 5, 32.0, 0, 1, mean_run_seconds=2.0
    ),
    AttributionPattern(
        "6 hosts, 1 part, long streams, often",
        6,
        5,
        32.0,
        deadly_parts_count=1,
        deadly_per_second=6.0,
        mean_run_seconds=2.0,
    ),
    AttributionPattern("6 hosts, 3 parts and 2 requests", 6, 5, 32.0, 2, 3),
    AttributionPattern(
        "6 hosts, 1 part, often ill", 6, 5, 32.0, 0, 1, mean_uptime_seconds=6.0
    ),
    AttributionPattern(
        "6 hosts, 1 part that was sound", 6, 5, 32.0, 0, 1, was_sound=True
    ),
    AttributionPattern("6 hosts, 2 requests", 6, 5, 32.0, 2),
    *(_troubled(6, count) for count in (2, 5, 10)),
    AttributionPattern(
        "6 hosts, no deadly ones, often ill", 6, 5, 32.0, mean_uptime_seconds=6.0
    ),
    AttributionPattern(
        "90 hosts, 45 upstreams, 2 parts, 1 request",
        90,
        45,
        360.0,
        1,
        2,
        broadcast_delay_seconds=0.12,
        length_seconds=20.0,
    ),
    AttributionPattern(
        "90 hosts, the same, often ill",
        90,
        45,
        360.0,
        1,
        2,
        mean_uptime_seconds=10.0,
        broadcast_delay_seconds=0.12,
        length_seconds=20.0,
    ),
    AttributionPattern(
        "300 hosts, 150 upstreams, 2 parts, 1 request",
        300,
        150,
        1200.0,
        1,
        2,
        mean_uptime_seconds=60.0,
        broadcast_delay_seconds=0.12,
        length_seconds=10.0,
    ),
    *(_troubled(90, count, 20.0) for count in (2, 10)),
    *(_troubled(300, count, 10.0) for count in (2, 10)),
)


class NoAttribution:
    """Never quarantines a request."""

    def is_responsible(self, suspect: Suspect, others: Iterable[Suspect]) -> bool:
        """Return whether a request is to be quarantined."""
        return False


class CrashCountRule:
    """Quarantines a request after three crashes in a row under it."""

    def is_responsible(self, suspect: Suspect, others: Iterable[Suspect]) -> bool:
        """Return whether a request is to be quarantined."""
        return len(suspect.crashes) >= 3


class KeepsBystanders(CrashTracker):
    """Counts crashes against bystanders after the responsible suspect is known."""

    def _update_explained(self, keys: Iterable[bytes]) -> None:
        return


@attrs.frozen
class AttributionStrategy:
    """A rule, and what it is applied to."""

    rule: AttributionRule
    #: Whether parts are suspects beside whole requests, ranked with them or apart.
    has_parts: bool = True
    is_ranked_together: bool = True
    #: Whether suspects are isolated from each other.
    is_isolated: bool = True
    #: Whether parts that were answered before the crash are presumed sound.
    uses_sound_parts: bool = True
    #: Whether a request whose answer has begun proves that its parts are sound.
    uses_begun_answers: bool = True
    tracker: type[CrashTracker] = CrashTracker

    def make_trackers(self) -> list[CrashTracker]:
        """Return the trackers of one host."""
        count = 1 if self.is_ranked_together else 2
        return [self.tracker(self.rule) for _ in range(count)]


STRATEGIES = {
    "none": AttributionStrategy(NoAttribution(), is_isolated=False),
    "requests": AttributionStrategy(MostCrashes(), has_parts=False),
    "two books": AttributionStrategy(MostCrashes(), is_ranked_together=False),
    "count": AttributionStrategy(CrashCountRule()),
    "not apart": AttributionStrategy(MostCrashes(), is_isolated=False),
    "no release": AttributionStrategy(MostCrashes(), tracker=KeepsBystanders),
    "forgetful": AttributionStrategy(MostCrashes(), uses_sound_parts=False),
    "at the end": AttributionStrategy(MostCrashes(), uses_begun_answers=False),
    "one ranking": AttributionStrategy(MostCrashes()),
}


@attrs.define(eq=False)
class SimulatedRequest:
    """A request, with the retries of its caller."""

    fingerprint: bytes
    part_keys: tuple[bytes, ...]
    #: Key of the suspect that crashes upstreams; empty for a sound request.
    deadly_key: bytes = b""
    tries_count: int = 0
    attempts_count: int = 0
    waiting_since_seconds: float = 0.0
    arrived_at_seconds: float = 0.0

    @property
    def is_deadly(self) -> bool:
        """Whether its upstream crashes."""
        return bool(self.deadly_key)


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
    #: One tracker, or one for whole requests and one for parts.
    trackers: list[CrashTracker]
    has_parts: bool
    #: Key of the isolated suspect that this host runs at each upstream.
    isolated: dict[str, bytes] = attrs.field(factory=dict)
    sound_parts: SoundParts = attrs.field(factory=SoundParts)
    #: Facts for the next broadcast.
    pending: list[Fact] = attrs.field(factory=list)
    #: Whether it reaches the hosts that are not cut off.
    is_connected: bool = True

    def restricted(self, request: SimulatedRequest) -> list[Suspect]:
        """Return the restricted suspects of a request, the narrowest last."""
        keys = (*request.part_keys, request.fingerprint)
        return [
            suspect
            for tracker in reversed(self.trackers)
            for suspect in tracker.restricted(keys)
        ]

    def attribute_crashes(self, now_seconds: float) -> list[Suspect]:
        """Quarantine the responsible suspects, and return them."""
        return [
            suspect
            for tracker in self.trackers
            for suspect in tracker.attribute_crashes(now_seconds)
        ]

    def has_complete_reports(self, key: bytes, now_seconds: float) -> bool:
        """Return whether the reports on a suspect's last crash have arrived."""
        return all(
            tracker.has_complete_reports(key, now_seconds) for tracker in self.trackers
        )

    def apply(self, fact: Fact, now_seconds: float) -> bool:
        """Apply an observation of this host or a peer; return whether it is new."""
        if isinstance(fact, ClearedFact):
            cleared = [item.clear(fact.key, fact.at_seconds) for item in self.trackers]
            return any(cleared)
        if isinstance(fact, CrashFact):
            return self._apply_crash(fact, now_seconds)
        if isinstance(fact, QuarantineFact):
            return self._apply_quarantine(fact, now_seconds)
        if isinstance(fact, SoundFact):
            for tracker in self.trackers:
                tracker.note_sound(fact.key)
        return False

    def find_sound(self, crash: CrashFact, now_seconds: float) -> list[SoundFact]:
        """Return the suspected parts of a crash that this host had answered."""
        return [
            SoundFact(suspect.key, now_seconds)
            for tracker in self.trackers
            for suspect in tracker.restricted(crash.part_keys)
            if not suspect.was_sound
            and self.sound_parts.is_sound(suspect.key, now_seconds)
        ]

    def _apply_quarantine(self, fact: QuarantineFact, now_seconds: float) -> bool:
        tracker = self.trackers[-1 if fact.is_part else 0]
        return tracker.note_quarantined(
            fact.key,
            fact.workspace_path,
            fact.crashes_count,
            fact.at_seconds,
            now_seconds,
            is_part=fact.is_part,
        )

    def _apply_crash(self, crash: CrashFact, now_seconds: float) -> bool:
        first, *others = self.trackers
        key, path, at_seconds = crash.incarnation_key, "/w", crash.at_seconds
        parts = crash.part_keys if self.has_parts else ()
        for tracker in others:
            for part in parts:
                tracker.note_crash(key, part, path, at_seconds, now_seconds)
        if others:
            parts = ()
        return first.note_crash(
            key,
            crash.fingerprint,
            path,
            at_seconds,
            now_seconds,
            parts,
            crash.are_sound,
        )


@attrs.define(repr=False)
class AttributionResult(ReprMixin):
    """Results of a run."""

    #: Crashes caused by each deadly request or part.
    crashes: dict[bytes, int] = attrs.field(factory=dict)
    #: Crashes caused by each until a host quarantined it.
    crashes_until_known: dict[bytes, int] = attrs.field(factory=dict)
    #: Time of the fifth crash of each, or of the last if there are fewer.
    known_at_seconds: dict[bytes, float] = attrs.field(factory=dict)
    #: Runs of each that begin later than the time within which it must be known.
    late_runs: dict[bytes, int] = attrs.field(factory=dict)
    #: Sound requests that arrive once all must be known, and those of them that a first
    #: try serves.
    later_count: int = 0
    later_served_count: int = 0
    #: Bytes of all broadcasts that hosts receive.
    broadcast_bytes: int = 0
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
            _Host(
                f"h{index}",
                self._strategy.make_trackers(),
                self._strategy.has_parts,
            )
            for index in range(pattern.hosts_count)
        ]
        self._upstreams = [
            _Upstream(f"u{index}") for index in range(pattern.upstreams_count)
        ]
        #: Parts that are deadly from some time on.
        self._turned_parts: set[bytes] = set()
        self.result = AttributionResult()

    def run(self) -> AttributionResult:
        """Simulate the pattern."""
        pattern = self._pattern
        at_seconds = 0.0
        while at_seconds < pattern.length_seconds:
            at_seconds += self._draw.expovariate(pattern.requests_per_second)
            parts = (self._draw_guide(), self._draw_letter())
            request = SimulatedRequest(self._next_key(), parts)
            self._clock.after(at_seconds, self._arrive, request)
        for _ in range(pattern.deadly_count):
            self._schedule_deadly_request()
        for _ in range(pattern.deadly_parts_count):
            self._schedule_deadly_part()
        for upstream in self._upstreams:
            self._schedule_spontaneous_crash(upstream)
        if pattern.cut_off_ratio:
            until_seconds = pattern.cut_off_at_seconds + pattern.cut_off_seconds
            self._clock.after(pattern.cut_off_at_seconds, self._set_cut_off, True)
            self._clock.after(until_seconds, self._set_cut_off, False)
        if pattern.mean_host_restarts_seconds < math.inf:
            self._schedule_host_restart()
        self._clock.run_until(pattern.length_seconds + 10.0)
        return self.result

    def _next_key(self) -> bytes:
        return next(self._numbers).to_bytes(16, "big")

    def _draw_guide(self) -> bytes:
        return b"guide-%d" % self._draw.randrange(self._pattern.guides_count)

    def _draw_letter(self) -> bytes:
        """Return a letter; low numbers are drawn more often."""
        return b"letter%d" % int(LETTERS_COUNT * self._draw.random() ** 3)

    def _deadly_times(self) -> Iterable[float]:
        at_seconds = DEADLY_FROM_SECONDS
        while at_seconds < self._pattern.length_seconds:
            at_seconds += self._draw.expovariate(self._pattern.deadly_per_second)
            yield at_seconds

    def _schedule_deadly_request(self) -> None:
        fingerprint = self._next_key()
        self.result.crashes[fingerprint] = 0
        parts = (self._draw_guide(), self._draw_letter())
        for at_seconds in self._deadly_times():
            request = SimulatedRequest(fingerprint, parts, fingerprint)
            self._clock.after(at_seconds, self._arrive, request)

    def _schedule_deadly_part(self) -> None:
        part = b"d" + self._next_key()[-7:]
        if self._pattern.was_sound:
            part = self._draw_letter()
            self._turned_parts.add(part)
        self.result.crashes[part] = 0
        guide = self._draw_guide()
        for at_seconds in self._deadly_times():
            parts = (guide, part)
            if self._pattern.is_deadly_part_first:
                parts = (part, self._draw_letter())
            request = SimulatedRequest(self._next_key(), parts, part)
            self._clock.after(at_seconds, self._arrive, request)

    def _schedule_spontaneous_crash(self, upstream: _Upstream) -> None:
        uptime_seconds = self._draw.expovariate(1.0 / self._pattern.mean_uptime_seconds)
        self._clock.after(uptime_seconds, self._crash_spontaneously, upstream)

    def _crash_spontaneously(self, upstream: _Upstream) -> None:
        if upstream.is_up:
            self._crash(upstream)
        self._schedule_spontaneous_crash(upstream)

    # Faults of hosts.

    def _schedule_host_restart(self) -> None:
        rate = 1.0 / self._pattern.mean_host_restarts_seconds
        self._clock.after(self._draw.expovariate(rate), self._restart_host)

    def _restart_host(self) -> None:
        """Have a host forget all, and receive the state of its peers."""
        host = self._draw.choice(self._hosts)
        host.trackers = self._strategy.make_trackers()
        host.sound_parts = SoundParts()
        host.pending.clear()
        host.isolated.clear()
        self._exchange_states([host], self._hosts)
        if self._clock.now_seconds < self._pattern.length_seconds:
            self._schedule_host_restart()

    def _set_cut_off(self, is_cut_off: bool) -> None:
        count = round(self._pattern.cut_off_ratio * len(self._hosts))
        hosts = self._hosts[: max(1, count)]
        for host in hosts:
            host.is_connected = not is_cut_off
        if not is_cut_off:
            self._exchange_states(hosts, self._hosts[len(hosts) :])
            self._exchange_states(self._hosts[len(hosts) :], hosts)

    def _exchange_states(
        self, receivers: Iterable[_Host], senders: Sequence[_Host]
    ) -> None:
        """Have hosts receive the initial state of a peer for each tracker."""
        now_seconds = self._clock.now_seconds
        for receiver in receivers:
            reachable = [
                item
                for item in senders
                if item is not receiver and item.is_connected == receiver.is_connected
            ]
            if not reachable:
                continue
            sender = self._draw.choice(reachable)
            for tracker in sender.trackers:
                facts = list(state_facts(tracker, now_seconds))
                self._clock.after(HOP_SECONDS, self._apply_all, receiver, facts)

    def _apply_all(self, host: _Host, facts: Iterable[Fact]) -> None:
        for fact in sorted(facts, key=_message_order):
            host.apply(fact, self._clock.now_seconds)
            if isinstance(fact, CrashFact) and self._strategy.uses_sound_parts:
                for sound in host.find_sound(fact, self._clock.now_seconds):
                    host.apply(sound, self._clock.now_seconds)
                    self._broadcast(host, sound)

    # Requests.

    def _arrive(self, request: SimulatedRequest) -> None:
        if self._clock.now_seconds >= DEADLY_FROM_SECONDS:
            turned = self._turned_parts.intersection(request.part_keys)
            request.deadly_key = request.deadly_key or next(iter(turned), b"")
        request.tries_count += 1
        request.attempts_count = 0
        if request.tries_count == 1:
            request.arrived_at_seconds = self._clock.now_seconds
            self.result.later_count += self._must_be_served(request)
            self.result.innocents_count += not request.is_deadly
        request.waiting_since_seconds = self._clock.now_seconds
        self._place(request, self._draw.choice(self._hosts))

    def _count_run(self, deadly_key: bytes) -> None:
        if self.result.crashes[deadly_key] < KNOWN_CRASHES_COUNT:
            return
        late_at_seconds = self.result.known_at_seconds[deadly_key] + LATE_RUN_SECONDS
        if self._clock.now_seconds > late_at_seconds:
            late_runs = self.result.late_runs
            late_runs[deadly_key] = late_runs.get(deadly_key, 0) + 1

    def _must_be_served(self, request: SimulatedRequest) -> bool:
        """Return whether a sound request arrived after all crashes must have ended."""
        known_at_seconds = self.result.known_at_seconds.values()
        return not request.is_deadly and (
            request.arrived_at_seconds
            > max(known_at_seconds, default=0.0) + RECOVERY_SECONDS
        )

    def _place(self, request: SimulatedRequest, host: _Host) -> None:
        now_seconds = self._clock.now_seconds
        self._attribute(host)
        suspects = host.restricted(request)
        if any(suspect.state is QuarantineState.STOPPED for suspect in suspects):
            self.result.refused_count += not request.is_deadly
            return
        leading = max(
            reversed(suspects), key=lambda item: item.crashes_count, default=None
        )
        key = leading.key if leading and self._strategy.is_isolated else b""
        upstream = self._choose(host, key)
        if upstream is None:
            waited_seconds = now_seconds - request.waiting_since_seconds
            if waited_seconds > MAX_WAIT_SECONDS:
                self._fail(request)
            else:
                self._clock.after(
                    PLACEMENT_INTERVAL_SECONDS, self._place, request, host
                )
            return
        if key:
            host.isolated[upstream.name] = key
            if not request.is_deadly:
                waited_seconds = now_seconds - request.waiting_since_seconds
                self.result.waits_seconds.append(waited_seconds)
        request.attempts_count += 1
        upstream.running[request] = host
        self._start(request, upstream)

    def _attribute(self, host: _Host) -> None:
        for suspect in host.attribute_crashes(self._clock.now_seconds):
            crashes_count = self.result.crashes.get(suspect.key)
            if crashes_count is not None:
                self.result.crashes_until_known.setdefault(suspect.key, crashes_count)
            self._broadcast(host, quarantine_fact(suspect))

    def _choose(self, host: _Host, key: bytes) -> _Upstream | None:
        """Return an upstream; ``key`` is that of the isolated suspect, if any."""
        up = {item.name: item for item in self._upstreams if item.is_up}
        if not up:
            return None
        if not key:
            return self._draw.choice(list(up.values()))
        if not host.has_complete_reports(key, self._clock.now_seconds):
            return None
        for name in rank(key, up):
            if host.isolated.get(name, key) == key:
                return up[name]
        return None

    def _start(self, request: SimulatedRequest, upstream: _Upstream) -> None:
        incarnation = upstream.incarnation
        if request.is_deadly:
            self._count_run(request.deadly_key)
            self._clock.after(
                CRASH_DELAY_SECONDS,
                self._crash_by_request,
                request,
                upstream,
                incarnation,
            )
        else:
            run_seconds = self._draw.expovariate(1.0 / self._pattern.mean_run_seconds)
            if self._strategy.uses_begun_answers:
                self._clock.after(
                    FIRST_EVENT_SECONDS + SOUND_AFTER_SECONDS + PROBE_SECONDS,
                    self._note_writing,
                    request,
                    upstream,
                    incarnation,
                )
            self._clock.after(
                run_seconds, self._complete, request, upstream, incarnation
            )

    def _complete(
        self, request: SimulatedRequest, upstream: _Upstream, incarnation: int
    ) -> None:
        if upstream.incarnation != incarnation or not upstream.is_up:
            return
        host = upstream.running.pop(request)
        self._release(host, upstream)
        if self._must_be_served(request) and request.tries_count == 1:
            self.result.later_served_count += 1
        host.sound_parts.note_answered("/w", request.part_keys, self._clock.now_seconds)
        for key in (*request.part_keys, request.fingerprint):
            cleared = ClearedFact(key, self._clock.now_seconds)
            if host.apply(cleared, self._clock.now_seconds):
                self._broadcast(host, cleared)

    def _note_writing(
        self, request: SimulatedRequest, upstream: _Upstream, incarnation: int
    ) -> None:
        host = upstream.running.get(request)
        if host is None or upstream.incarnation != incarnation:
            return
        for key in request.part_keys:
            cleared = ClearedFact(key, self._clock.now_seconds)
            if host.apply(cleared, self._clock.now_seconds):
                self._broadcast(host, cleared)

    def _release(self, host: _Host, upstream: _Upstream) -> None:
        """Lift the isolation of an upstream once its host runs nothing there."""
        if host not in upstream.running.values():
            host.isolated.pop(upstream.name, None)

    # Crashes.

    def _crash_by_request(
        self, request: SimulatedRequest, upstream: _Upstream, incarnation: int
    ) -> None:
        if upstream.incarnation == incarnation and upstream.is_up:
            self._count_crash(request.deadly_key)
            self._crash(upstream)

    def _count_crash(self, deadly_key: bytes) -> None:
        self.result.crashes[deadly_key] += 1
        if self.result.crashes[deadly_key] <= KNOWN_CRASHES_COUNT:
            self.result.known_at_seconds[deadly_key] = self._clock.now_seconds

    def _crash(self, upstream: _Upstream) -> None:
        now_seconds = self._clock.now_seconds
        incarnation_key, running = upstream.incarnation_key, upstream.running
        upstream.running, upstream.is_up = {}, False
        self._clock.after(RESTART_SECONDS, self._restart, upstream)
        for request, host in running.items():
            crash = CrashFact(
                incarnation_key,
                request.fingerprint,
                "/w",
                now_seconds,
                request.part_keys if host.has_parts else (),
                host.sound_parts.are_sound(request.part_keys, now_seconds)
                if self._strategy.uses_sound_parts
                else (),
            )
            host.apply(crash, now_seconds)
            self._broadcast(host, crash)
            self._release(host, upstream)
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

    def _broadcast(self, sender: _Host, fact: Fact) -> None:
        sender.pending.append(fact)
        if len(sender.pending) == 1:
            self._clock.after(BROADCAST_BATCH_SECONDS, self._flush, sender)

    def _flush(self, sender: _Host) -> None:
        facts, sender.pending = sender.pending, []
        update = to_update(facts, self._clock.now_seconds)
        size = len(encode_message(update))
        receivers_count = len(self._hosts) - 1
        self.result.broadcast_bytes += size * receivers_count * BROADCASTS_COUNT
        delay_seconds = self._pattern.broadcast_delay_seconds - BROADCAST_BATCH_SECONDS
        self._clock.after(max(0.0, delay_seconds), self._receive, sender, facts)

    def _receive(self, sender: _Host, facts: list[Fact]) -> None:
        for host in self._hosts:
            if host is not sender and host.is_connected == sender.is_connected:
                self._apply_all(host, facts)


def _message_order(fact: Fact) -> int:
    """Return the position of a fact among those that a host applies of a message."""
    types = (LiveFact, ClearedFact, CrashFact, SoundFact, QuarantineFact)
    return types.index(type(fact))
