"""Streams that are taken up after all hosts ended at once, with ways to store them.

Each way sees the same events: its decisions draw from their own source.
"""

import random

import attrs

from rampwick_policy import StreamSegments
from rampwick_policy._begun_streams import UNKNOWN_VERSION, BegunStream
from rampwick_schema import HostEntry, ListedVersion

from ._stream_events import SERVICE, Scenario, Stream
from ._stream_hosts import TIMEOUT_SECONDS, Host, Listed, Records

#: Ways: nothing is stored; each host writes each stream; the history of versions only;
#: with it segments by one host of each group, at some intervals; by each host.
MEMORY, EACH_STREAM, HISTORY = "memory", "each stream", "history"
SEGMENTS, SLOWER, SLOWEST = "segments", "each 0.5 s", "each 2 s"
OWN, NO_HISTORY = "each host", "no history"
WAYS = (MEMORY, EACH_STREAM, HISTORY, NO_HISTORY, SEGMENTS, SLOWER, SLOWEST, OWN)
INTERVALS = {SLOWER: 0.5, SLOWEST: 2.0}
WITH_HISTORY = (HISTORY, SEGMENTS, SLOWER, SLOWEST, OWN)

#: Accepted writes a second of the store, counted in windows.
MAX_WRITE_RATE, WINDOW_SECONDS = 400, 0.1
CALL_SECONDS, SLOW_CALL_SECONDS = 0.004, 0.4
CHECK_SECONDS = 0.01
HISTORY_SECONDS, GRACE_SECONDS = 4.0, 1.0
#: Time between tries of a reading that failed, and of a caller's request.
RETRY_SECONDS, REPEAT_SECONDS, REPEATS_COUNT = 0.2, 0.25, 3
LATE_SECONDS = 3.0
#: Size of a record in an object, and of an object without any.
RECORD_BYTES, OBJECT_BYTES = 15, 200


@attrs.frozen
class OutageScenario(Scenario):
    """All hosts end some times, beside a store with faults."""

    #: Times between which all hosts end, and until they are back.
    ends: tuple[tuple[float, float], ...] = ((7.0, 9.0), (12.0, 14.0), (17.0, 19.0))
    back_seconds: tuple[float, float] = (0.5, 2.6)
    #: Time for which the store is away or slow, from one second before each end.
    away_seconds: float = 0.0
    slow_seconds: float = 0.0
    #: Whether the store has forgotten its history at each end.
    is_forgetful: bool = False


@attrs.define
class OutageFigures:
    """Take-ups after all hosts had ended, and calls to the store."""

    count: int = 0
    first_count: int = 0
    repeated_count: int = 0
    other_count: int = 0
    gone_count: int = 0
    writes_count: int = 0
    reads_count: int = 0
    written_bytes: int = 0
    most_writes_count: int = 0


class OutageLab(Records):
    """A fleet whose hosts all end at once, in one way."""

    def __init__(
        self, hosts_count: int, scenario: OutageScenario, seed: int, way: str
    ) -> None:
        self._way, self._seed = way, seed
        self.figures = OutageFigures()
        self._segments: dict[Host, StreamSegments] = {}
        self._started: dict[Host, float] = {}
        #: Incarnation of each host that has read the history.
        self._joined: dict[Host, int] = {}
        self._back_at_seconds = 0.0
        self._broken_off: set[Stream] = set()
        #: The store: objects by group and number, histories by group, and the changes
        #: of the list of upstreams.
        self._objects: dict[tuple, dict[bytes, BegunStream]] = {}
        self._histories: dict[int, tuple] = {}
        self._changes: list[tuple[int, str]] = []
        self._version = 0
        self._first_version = 0
        self._away: list[tuple[float, float]] = []
        self._slow: list[tuple[float, float]] = []
        self._rates: dict[int, int] = {}
        super().__init__(hosts_count, scenario, seed)
        for host in self.hosts:
            # The fleet has run for some time.
            host.listed_at_seconds = 0.0
            host.history._known_since_seconds = -2.0 * TIMEOUT_SECONDS
            self._joined[host] = 0

    def _schedule(self) -> None:
        super()._schedule()
        scenario = self._scenario
        for began, ended in scenario.ends:
            at_seconds = self.rng.uniform(began, ended)
            back_seconds = self.rng.uniform(*scenario.back_seconds)
            self.after(at_seconds, self._end_all, back_seconds)
            start = at_seconds - 1.0
            self._away.append((start, start + scenario.away_seconds))
            self._slow.append((start, start + scenario.slow_seconds))
        for host in self.hosts:
            if host in self._holders or self._way == OWN:
                self.after(self.rng.uniform(0.0, 0.1), self._write, host)
        self.after(0.5, self._write_histories)

    def run(self) -> None:
        """Run to the end."""
        super().run()
        self.figures.most_writes_count = max(self._rates.values(), default=0)

    # Hosts.

    def start(self, host: Host) -> None:
        """Start a host with empty memory."""
        super().start(host)
        self._segments[host] = segments = StreamSegments(host.history)
        segments.first_number = host.index % 100
        self._started[host] = self.now_seconds if self.now_seconds else -10.0
        if self._way in (*INTERVALS, SEGMENTS, NO_HISTORY, OWN):
            host.streams.storage = segments
        if self.now_seconds:
            self.after(0.02, self._read_store, host, host.incarnation)

    def can_read_list(self) -> bool:
        """Return whether hosts can read the list of upstreams."""
        return not self._is_in(self._away)

    def note_list_change(self) -> None:
        """Record the versions listed at a change."""
        super().note_list_change()
        self._changes += [(self._list_version, v) for v in set(self.listed.values())]

    def _end_all(self, back_seconds: float) -> None:
        self._back_at_seconds = self.now_seconds + back_seconds
        if self._scenario.is_forgetful:
            self._first_version = self._list_version + 1
        for host in self.hosts:
            host.is_up, host.incarnation = False, host.incarnation + 1
            host.gone_at_seconds = self.now_seconds
        for stream in list(self._active):
            self._broken_off.add(stream)
            self._break(stream)
        for host in self.hosts:
            jitter_seconds = self.rng.uniform(0.0, 0.3)
            self.after(back_seconds + jitter_seconds, self._restart, host)

    # The store.

    def _is_in(self, periods: list[tuple[float, float]]) -> bool:
        return any(began <= self.now_seconds < ended for began, ended in periods)

    def _call_seconds(self) -> float:
        return SLOW_CALL_SECONDS if self._is_in(self._slow) else CALL_SECONDS

    def _count_write(self, bytes_count: int) -> bool:
        """Count a write; return whether the store accepts it."""
        self.figures.writes_count += 1
        self.figures.written_bytes += bytes_count
        window = int(self.now_seconds / WINDOW_SECONDS)
        self._rates[window] = self._rates.get(window, 0) + 1
        is_full = self._rates[window] > MAX_WRITE_RATE * WINDOW_SECONDS
        return not is_full and not self._is_in(self._away)

    def record(self, host: Host, stream: Stream) -> None:
        """Record a stream that has begun."""
        super().record(host, stream)
        if self._way == EACH_STREAM and self._count_write(OBJECT_BYTES):
            begun = host.streams.find(stream.key, self.now_seconds)
            self.after(
                self._call_seconds(), self._store, (stream.key,), {stream.key: begun}
            )

    def _group(self, host: Host) -> int:
        return host.index if self._way == OWN else host.hall if self._is_large else 0

    def _is_writer(self, host: Host) -> bool:
        if not host.is_up or self.now_seconds < self._started[host] + GRACE_SECONDS:
            return False
        if self._way == OWN:
            return True
        hosts = self._halls[host.hall] if self._is_large else self.hosts
        return next((item for item in hosts if item.is_reachable), None) is host

    def _write(self, host: Host) -> None:
        groups_count = len(self._halls) if self._is_large else 1
        if self._way == OWN:
            groups_count = len(self.hosts)
        interval = INTERVALS.get(self._way, CHECK_SECONDS)
        if host.streams.storage is None or not self._is_writer(host):
            self.after(interval, self._write, host)
            return
        segments = self._segments[host]
        write = segments.next_write(groups_count, self.now_seconds)
        if write is None:
            self.after(interval, self._write, host)
            return
        bytes_count = OBJECT_BYTES + RECORD_BYTES * len(write.streams)
        is_accepted = self._count_write(bytes_count)
        seconds = self._call_seconds()
        if is_accepted:
            key = (self._group(host), write.number)
            self.after(seconds, self._store, key, write.streams)
        incarnation = host.incarnation
        self.after(seconds, self._end_write, host, incarnation, write, is_accepted)
        self.after(interval + seconds, self._write, host)

    def _end_write(self, host, incarnation, write, is_accepted) -> None:
        if host.incarnation != incarnation:
            return
        segments = self._segments[host]
        if is_accepted:
            segments.note_written(write, 1)
        else:
            segments.note_failed(write, may_be_done=False)

    def _store(self, key: tuple, streams: dict[bytes, BegunStream]) -> None:
        self._version += 1
        self._objects[key] = dict(streams)

    def _write_histories(self) -> None:
        self.after(HISTORY_SECONDS, self._write_histories)
        if self._way not in WITH_HISTORY:
            return
        writers = [host for host in self.hosts if self._is_group_writer(host)]
        for host in writers:
            upstreams = [Listed(version) for version in host.listed.values()]
            host.history.note_listed(upstreams, self.now_seconds)
            known_seconds = host.history.known_seconds(self.now_seconds)
            if known_seconds and self._count_write(OBJECT_BYTES):
                ages = [
                    ListedVersion(*item) for item in host.history.ages(self.now_seconds)
                ]
                history = (self._read[host.index], known_seconds, ages)
                self._histories[host.hall] = history

    def _is_group_writer(self, host: Host) -> bool:
        hosts = self._halls[host.hall] if self._is_large else self.hosts
        is_first = next((h for h in hosts if h.is_reachable), None) is host
        return host.is_up and is_first and self._joined.get(host) == host.incarnation

    def _read_store(self, host: Host, incarnation: int) -> None:
        if host.incarnation != incarnation or self._way == MEMORY:
            return
        self.figures.reads_count += 1 + (self._way in WITH_HISTORY)
        if self._is_in(self._away):
            self.after(RETRY_SECONDS, self._read_store, host, incarnation)
            return
        self.after(self._call_seconds(), self._apply, host, incarnation)

    def _apply(self, host: Host, incarnation: int) -> None:
        if host.incarnation != incarnation:
            return
        now_seconds = self.now_seconds
        if host in self._holders:
            for streams in self._objects.values():
                for key, stream in streams.items():
                    stored = attrs.evolve(stream, is_from_store=True)
                    host.streams._add(key, stored, now_seconds, is_stored=False)
        segments = [
            (
                number,
                1,
                max(s.expires_at_seconds for s in streams.values()) - now_seconds,
            )
            for (group, number), streams in (
                (key, streams)
                for key, streams in self._objects.items()
                if len(key) == 2
            )
            if group == self._group(host)
        ]
        self._segments[host].note_read(segments, now_seconds)
        if self._way in WITH_HISTORY:
            self._join_history(host, incarnation)

    def _join_history(self, host: Host, incarnation: int) -> None:
        if host.incarnation != incarnation:
            return
        if self.now_seconds - host.listed_at_seconds > 2.0:
            self.after(0.02, self._join_history, host, incarnation)
            return
        self._joined[host] = incarnation
        if not self._histories:
            return
        version, known_seconds, ages = max(self._histories.values(), key=lambda h: h[0])
        if version < self._first_version:
            return
        changed = [
            HostEntry("u", "service", "h", "a:1", group=SERVICE, software_version=v)
            for changed_version, v in self._changes
            if changed_version > version
        ]
        host.history.recover(ages, known_seconds, changed, self.now_seconds)

    # Decisions.

    def take_up(self, stream: Stream) -> None:
        """Decide about streams that broke as all hosts ended."""
        if stream not in self._broken_off:
            return
        rng = random.Random(f"{self._seed} {stream.key!r}")
        self.figures.count += 1
        delay_seconds = max(0.0, self._back_at_seconds - self.now_seconds)
        if rng.random() < 0.5:
            delay_seconds += LATE_SECONDS
        self.after(delay_seconds, self._try, stream, rng, 0)

    def _try(self, stream: Stream, rng: random.Random, number: int) -> None:
        hosts = [host for host in self.takers if host.is_up and host.listed]
        if not hosts:
            self.after(RETRY_SECONDS, self._try, stream, rng, number)
            return
        host = rng.choice(hosts)
        version = self._find(stream, host)
        listed = set(host.listed.values())
        if version in listed and version != UNKNOWN_VERSION:
            is_same = version == stream.version
            self.figures.other_count += not is_same
            self.figures.first_count += is_same and not number
            self.figures.repeated_count += is_same
        elif number < REPEATS_COUNT:
            self.after(REPEAT_SECONDS, self._try, stream, rng, number + 1)
        else:
            self.figures.gone_count += stream.version not in listed

    def _find(self, stream: Stream, host: Host) -> str | None:
        begun = host.streams.find(stream.key, self.now_seconds)
        if begun is not None:
            return begun.software_version
        listed = [Listed(version) for version in host.listed.values()]
        return host.history.only_version(
            SERVICE, listed, TIMEOUT_SECONDS, self.now_seconds
        )


SCENARIOS = {
    "all end": OutageScenario(rate=1.0),
    "store away": OutageScenario(rate=1.0, away_seconds=3.0),
    "store slow": OutageScenario(rate=1.0, slow_seconds=4.0),
    "three versions": OutageScenario(rate=1.0, versions_count=3),
    "one version": OutageScenario(rate=1.0, versions_count=1),
    "one version, store away": OutageScenario(
        rate=1.0, versions_count=1, away_seconds=3.0
    ),
    "one version, history gone": OutageScenario(
        rate=1.0, versions_count=1, is_forgetful=True
    ),
}


def print_outages(
    hosts_counts: list[int], names: list[str], ways: list[str], seeds_count: int
) -> None:
    """Print the figures of all ways."""
    print(
        "all hosts end at once; way: take-ups, share that goes on at once, with 3 "
        "repetitions, number at another version, share whose version is not listed; "
        "writes and bytes written a second, most writes in 0.1 s, reads a host"
    )
    for hosts_count in hosts_counts:
        for name in names:
            print(f"{hosts_count} hosts, {name}")
            for way in ways:
                _print_way(hosts_count, SCENARIOS[name], seeds_count, way)


def _print_way(
    hosts_count: int, scenario: OutageScenario, seeds_count: int, way: str
) -> None:
    total = OutageFigures()
    for seed in range(seeds_count):
        lab = OutageLab(hosts_count, scenario, seed, way)
        lab.run()
        for field in attrs.fields(OutageFigures):
            value = getattr(total, field.name) + getattr(lab.figures, field.name)
            setattr(total, field.name, value)
    count, seconds = total.count or 1, scenario.length_seconds * seeds_count
    print(
        f"  {way:12} {total.count:6} {total.first_count / count:.3f} "
        f"{total.repeated_count / count:.3f} {total.other_count:4} "
        f"{total.gone_count / count:.3f} {total.writes_count / seconds:7.1f} "
        f"{total.written_bytes / seconds:9.0f} "
        f"{total.most_writes_count / seeds_count:6.1f} "
        f"{total.reads_count / hosts_count / seeds_count:5.1f}",
        flush=True,
    )
