"""Hosts out of step while the first upstream of another version joins.

Hosts are cut off from the store and each other, stand still, or read a store that does
not answer. Meanwhile the upstream serves at once, breaks and its streams are taken up
at any host. Each take-up is decided in all ways. What reaches a host that stands still
is delayed; what it began before goes on.
"""

import functools

import attrs

from rampwick_policy._begun_streams import UNKNOWN_VERSION

from ._stream_events import (
    CHANGES_SECONDS,
    CUT_SECONDS,
    DRAIN_SECONDS,
    OFF_SECONDS,
    SERVICE,
    TICK_SECONDS,
    Scenario,
    Stream,
)
from ._stream_hosts import TIMEOUT_SECONDS, Host, Listed, Records

#: Time at which the first upstream of another version is listed, and serves.
JOIN_SECONDS = CHANGES_SECONDS[0] + DRAIN_SECONDS + OFF_SECONDS
#: Time before that from which hosts fall out of step, and after which it breaks.
BEFORE_SECONDS, BREAK_SECONDS = 2.4, 1.5
#: Interval at which an unchanged list is confirmed.
CONFIRM_SECONDS = 1.3
#: Maximum age of the list by which the only version counts beside recent contact, and
#: the time after which a lost contact is noticed.
RECENT_LIST_SECONDS, CONTACT_SECONDS = 0.5, 1.0
#: Time after which a caller repeats a refused request, and the number of repetitions.
REPEAT_SECONDS, REPEATS_COUNT = 0.25, 3
#: Share of take-ups whose callers don't name the request that began the stream.
UNNAMED_RATIO = 0.1
#: Share of the hosts that fall out of step, and the number of fleets of one seed.
OUT_OF_STEP_RATIO, ROUNDS_COUNT = 0.3, 10

OLD_LIST, CONTACT, RECENT = "list <= 2.5 s", "contact", "contact, list <= 0.5 s"
CONFIRMED = "read on request"
WAYS = (OLD_LIST, CONTACT, RECENT, CONFIRMED)

CALM, CUT, STOPPED, STORE_AWAY = "calm", "cut off", "stopped", "store away"
SCENARIOS = (CALM, CUT, STOPPED, STORE_AWAY)


@attrs.define
class Figures:
    """Decisions in one way."""

    count: int = 0
    same_count: int = 0
    other_count: int = 0
    repeated_count: int = 0
    unknown_count: int = 0
    readings_count: int = 0

    def add(self, other: "Figures") -> None:
        """Add the figures of another run."""
        for field in attrs.fields(Figures):
            value = getattr(self, field.name) + getattr(other, field.name)
            setattr(self, field.name, value)


class StepLab(Records):
    """A fleet in which a part of the hosts is out of step as the versions change."""

    def __init__(self, hosts_count: int, fault: str, seed: int) -> None:
        self.figures = {way: Figures() for way in WAYS}
        #: When stopped hosts wake, and what arrives there meanwhile.
        self._wakes: dict[int, float] = {}
        self._woken_at: dict[int, float] = {}
        self._is_store_away = False
        self._readings: dict[int, float] = {}
        scenario = Scenario(length_seconds=12.0, start_seconds=0.0)
        super().__init__(hosts_count, scenario, seed)
        for host in self.hosts:
            # All versions are known for as long as a stream may last.
            host.history.receive([], 2 * TIMEOUT_SECONDS, 0.0)
        began_seconds = JOIN_SECONDS - self.rng.uniform(0.0, BEFORE_SECONDS)
        calls = {CUT: self._cut, STOPPED: self._stop_hosts, STORE_AWAY: self._leave}
        if fault in calls:
            self.after(began_seconds, calls[fault])
        # Its streams break soon after they began.
        for _ in range(3):
            delay_seconds = self.rng.uniform(0.1, BREAK_SECONDS)
            self.after(JOIN_SECONDS + delay_seconds, self._break_new)

    def can_read_list(self) -> bool:
        """Return whether the store answers."""
        return not self._is_store_away

    # Faults.

    def _cut(self) -> None:
        for host in self._draw_hosts(OUT_OF_STEP_RATIO):
            host.is_cut_off, host.gone_at_seconds = True, self.now_seconds
            self.after(CUT_SECONDS, self._reconnect, host)

    def _stop_hosts(self) -> None:
        for host in self._draw_hosts(OUT_OF_STEP_RATIO):
            seconds = self.rng.uniform(0.5, 4.0)
            self._wakes[host.index] = self.now_seconds + seconds
            self.after(seconds, self._wake, host)

    def _wake(self, host: Host) -> None:
        del self._wakes[host.index]
        self._woken_at[host.index] = self.now_seconds

    def _leave(self) -> None:
        self._is_store_away = True
        self.after(CUT_SECONDS, setattr, self, "_is_store_away", False)

    def _break_new(self) -> None:
        for stream in [item for item in self._active if item.upstream == 0]:
            self._break(stream)

    # Hosts that stand still read nothing.

    def _tick(self, step: int) -> None:
        for host in self.hosts:
            if host.index in self._wakes or not host.is_up:
                continue
            host.history.note_time(self.now_seconds)
            if not host.is_reachable or not self.can_read_list():
                continue
            has_changed = self._read.get(host.index) != self._list_version
            age_seconds = self.now_seconds - host.listed_at_seconds
            if has_changed and self.rng.random() < TICK_SECONDS / 0.15:
                self._read[host.index] = self._list_version
                host.read_list(self.listed, self.now_seconds)
            elif not has_changed and age_seconds >= CONFIRM_SECONDS:
                host.listed_at_seconds = self.now_seconds
        self.after(TICK_SECONDS, self._tick, step + 1)

    def _receive(self, host: Host, *arguments: object) -> None:
        wake_seconds = self._wakes.get(host.index)
        if wake_seconds is None:
            super()._receive(host, *arguments)  # type: ignore[arg-type]
        else:
            # What callers sent is read first.
            delay_seconds = wake_seconds - self.now_seconds + 0.002
            self.after(delay_seconds, super()._receive, host, *arguments)

    # Decisions.

    def take_up(self, stream: Stream) -> None:
        """Decide in all ways about a stream that its caller takes up at any host."""
        is_named = self.rng.random() >= UNNAMED_RATIO
        self._send_take_up(stream, is_named, WAYS, 0)

    def _send_take_up(
        self, stream: Stream, is_named: bool, ways: tuple[str, ...], number: int
    ) -> None:
        host = self.rng.choice(self.takers)
        wake_seconds = self._wakes.get(host.index, self.now_seconds)
        self.after(
            wake_seconds - self.now_seconds + 0.001,
            self._decide,
            stream,
            is_named,
            ways,
            number,
            host,
        )

    def _decide(
        self,
        stream: Stream,
        is_named: bool,
        ways: tuple[str, ...],
        number: int,
        host: Host,
    ) -> None:
        refused = []
        for way in ways:
            figures = self.figures[way]
            version = self._find(way, stream, is_named, host)
            goes_on = version in host.listed.values()
            figures.count += not number
            figures.same_count += goes_on and version == stream.version and not number
            figures.repeated_count += goes_on and version == stream.version
            figures.other_count += goes_on and version != stream.version
            figures.unknown_count += version is None and not number
            if not goes_on:
                refused.append(way)
        if refused and number < REPEATS_COUNT:
            again = functools.partial(
                self._send_take_up, stream, is_named, tuple(refused), number + 1
            )
            self.after(REPEAT_SECONDS, again)

    def _find(self, way: str, stream: Stream, is_named: bool, host: Host) -> str | None:
        now_seconds = self.now_seconds
        begun = host.streams.find(stream.key, now_seconds) if is_named else None
        if begun is not None:
            known = begun.software_version
            return None if known == UNKNOWN_VERSION else known
        only = host.history.only_version(
            SERVICE,
            [Listed(version) for version in host.listed.values()],
            TIMEOUT_SECONDS,
            now_seconds,
        )
        if only is None or way == OLD_LIST:
            return only
        if way != CONFIRMED:
            age_seconds = now_seconds - host.listed_at_seconds
            is_recent = way == CONTACT or age_seconds <= RECENT_LIST_SECONDS
            return only if is_recent and self._has_contact(host) else None
        return self._read_on_request(only, host)

    def _has_contact(self, host: Host) -> bool:
        """Return whether a host takes its peers for reachable, as it can tell."""
        lost_seconds = self.now_seconds - host.gone_at_seconds
        is_noticed = host.is_cut_off and lost_seconds >= CONTACT_SECONDS
        woken_seconds = self.now_seconds - self._woken_at.get(host.index, -1e9)
        return not is_noticed and woken_seconds >= CONTACT_SECONDS

    def _read_on_request(self, only: str, host: Host) -> str | None:
        if not host.is_reachable or not self.can_read_list():
            return None
        if self.now_seconds - self._readings.get(host.index, -1e9) >= 0.1:
            self._readings[host.index] = self.now_seconds
            self.figures[CONFIRMED].readings_count += 1
        versions = set(self.listed.values()) | set(host.listed.values())
        return only if versions == {only} else None


def print_steps(hosts_counts: list[int], seeds_count: int) -> None:
    """Print the figures of all faults."""
    print(
        "way: share that goes on at once, after repetitions; number at another "
        "version; share refused at first as unknown; readings of the list a host and "
        "second"
    )
    for hosts_count in hosts_counts:
        for fault in SCENARIOS:
            _print_fault(hosts_count, fault, seeds_count)


def _print_fault(hosts_count: int, fault: str, seeds_count: int) -> None:
    sums = {way: Figures() for way in WAYS}
    for seed in range(seeds_count):
        for number in range(ROUNDS_COUNT):
            lab = StepLab(hosts_count, fault, seed * ROUNDS_COUNT + number)
            lab.run()
            for way in WAYS:
                sums[way].add(lab.figures[way])
    host_seconds = hosts_count * seeds_count * ROUNDS_COUNT * 12.0
    print(f"{hosts_count} hosts, {fault}: {sums[OLD_LIST].count} taken up")
    for way in WAYS:
        found = sums[way]
        count = found.count or 1
        print(
            f"  {way:22} {found.same_count / count:.4f} "
            f"{found.repeated_count / count:.4f} {found.other_count:5} "
            f"{found.unknown_count / count:.4f} "
            f"{found.readings_count / host_seconds:.4f}",
            flush=True,
        )
