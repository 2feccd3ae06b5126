"""Drawn events of a fleet: streams, crashes, killed hosts and changes of versions."""

import heapq
import itertools
import math
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any

import attrs

from rampwick_policy import stream_key

SERVICE, OLD, NEW, NEWEST = "notes", "2026.1", "2026.2", "2026.3"

#: Time between two crashes of one upstream, and until it serves again.
CRASH_SECONDS, DOWN_SECONDS = 8.0, 1.0
#: Time for which a changing upstream goes on with its streams, and for which it is off.
DRAIN_SECONDS, OFF_SECONDS = 1.0, 1.0
#: Time until a killed host has been started, has links and has a list.
RESTART_SECONDS, LINKED_SECONDS = 2.0, 0.05
CUT_SECONDS, LIST_SECONDS, TICK_SECONDS = 3.0, 0.25, 0.05
#: Times between which upstreams change to the new version, and a third of them back.
CHANGES_SECONDS, RETURNS_SECONDS = (6.0, 14.0), (16.0, 19.0)
NEWEST_SECONDS = (10.0, 18.0)


@attrs.frozen
class Scenario:
    """What happens in a run."""

    length_seconds: float = 24.0
    #: Streams that begin each second at a host; in the whole fleet, if stated.
    rate: float = 4.0
    fleet_rate: float = 0.0
    #: Number of times at which a part of the hosts is killed or cut off, and the parts.
    kills_count: int = 0
    cuts_count: int = 0
    cut_ratio: float = 0.1
    older_ratio: float = 0.0
    #: Share of requests that change their upstream before the first event.
    second_ratio: float = 0.01
    #: Time from the listing of an upstream until it serves.
    start_seconds: float = 2.0
    #: Whether versions change; else one upstream always has the new one.
    has_changes: bool = True
    #: Number of versions: with three the second one is replaced as it comes, with one
    #: no version changes.
    versions_count: int = 2


@attrs.define
class Upstream:
    """An upstream as it is, whatever hosts list."""

    version: str
    is_up: bool = True


@attrs.define(eq=False)
class Stream:
    """A stream and the attempt that produces it."""

    key: bytes
    host: int
    incarnation: int
    began_seconds: float
    upstream: int = -1
    version: str = ""
    attempt_number: int = 0
    first_event_at_seconds: float = math.inf


class Events(ABC):
    """The events of a run; subclasses decide about streams."""

    hosts: list

    def __init__(self, scenario: Scenario, rng: Any) -> None:
        self._scenario, self.rng = scenario, rng
        self.now_seconds = 0.0
        self._heap: list[tuple[float, int, Callable, tuple]] = []
        self._numbers = itertools.count()
        count = max(6, len(self.hosts) // 2)
        self._upstreams = [Upstream(OLD) for _ in range(count)]
        if not scenario.has_changes:
            self._upstreams[-1].version = NEW
        self.listed = {i: item.version for i, item in enumerate(self._upstreams)}
        self._list_version = 0
        self._read: dict[int, int] = {}
        self._active: dict[Stream, None] = {}
        for host in self.hosts:
            self.start(host)
            host.read_list(self.listed, -10.0)
            self._read[host.index] = 0
        self._schedule()

    def after(self, delay_seconds: float, call: Callable, *arguments: Any) -> None:
        """Call a function at a later time."""
        at_seconds = self.now_seconds + delay_seconds
        heapq.heappush(self._heap, (at_seconds, next(self._numbers), call, arguments))

    def run(self) -> None:
        """Run to the end."""
        while self._heap[0][0] < self._scenario.length_seconds:
            self.now_seconds, _, call, arguments = heapq.heappop(self._heap)
            call(*arguments)

    @abstractmethod
    def start(self, host: Any) -> None:
        """Start a host with empty memory."""

    @abstractmethod
    def link(self, host: Any) -> None:
        """Open the links of a host."""

    @abstractmethod
    def record(self, host: Any, stream: Stream) -> None:
        """Record an attempt."""

    @abstractmethod
    def take_up(self, stream: Stream) -> None:
        """Decide about a stream that its caller takes up."""

    def can_read_list(self) -> bool:
        """Return whether hosts can read the list of upstreams."""
        return True

    def note_list_change(self) -> None:
        """Count a change of the list, before an entry goes or after one has come."""
        self._list_version += 1

    def _schedule(self) -> None:
        scenario = self._scenario
        self._tick(0)
        self._begin_streams()
        self._crash_upstreams()
        for count, call in (
            (scenario.kills_count, self._kill_hosts),
            (scenario.cuts_count, self._cut_hosts),
        ):
            for number in range(count):
                share = (number + self.rng.uniform(0.2, 0.8)) / count
                self.after(share * scenario.length_seconds, call)
        if not scenario.has_changes or scenario.versions_count == 1:
            return
        count = len(self._upstreams)
        last = (RETURNS_SECONDS, OLD, count // 3)
        if scenario.versions_count == 3:
            last = (NEWEST_SECONDS, NEWEST, count)
        for (began, ended), version, changed_count in (
            (CHANGES_SECONDS, NEW, count),
            last,
        ):
            for index in range(changed_count):
                at_seconds = began + (ended - began) * index / changed_count
                self.after(at_seconds, self._change, index, version)

    # Upstreams and their list.

    def _tick(self, step: int) -> None:
        steps = round(LIST_SECONDS / TICK_SECONDS)
        for host in self.hosts[step % steps :: steps]:
            if host.is_up:
                host.history.note_time(self.now_seconds)
            if not host.is_reachable or not self.can_read_list():
                continue
            host.listed_at_seconds = self.now_seconds
            if self._read.get(host.index) != self._list_version:
                # As in the product, only a changed list is applied.
                self._read[host.index] = self._list_version
                host.read_list(self.listed, self.now_seconds)
        self.after(TICK_SECONDS, self._tick, step + 1)

    def _change(self, index: int, version: str) -> None:
        self.note_list_change()
        self.listed.pop(index, None)
        self.after(DRAIN_SECONDS, self._stop, index)
        self.after(DRAIN_SECONDS + OFF_SECONDS, self._list, index, version)

    def _list(self, index: int, version: str) -> None:
        self.listed[index] = version
        self.note_list_change()
        self.after(self._scenario.start_seconds, self._serve, index, version)

    def _serve(self, index: int, version: str) -> None:
        self._upstreams[index] = Upstream(version)

    def _crash_upstreams(self) -> None:
        delay_seconds = self.rng.expovariate(len(self._upstreams) / CRASH_SECONDS)
        self.after(delay_seconds, self._crash_upstreams)
        index = self.rng.randrange(len(self._upstreams))
        upstream = self._upstreams[index]
        if upstream.is_up and index in self.listed:
            self._stop(index)
            self.after(DOWN_SECONDS, self._recover, index, upstream)

    def _recover(self, index: int, upstream: Upstream) -> None:
        # Another one may have its place by now.
        upstream.is_up = index in self.listed and self._upstreams[index] is upstream

    def _stop(self, index: int) -> None:
        self._upstreams[index].is_up = False
        for stream in [item for item in self._active if item.upstream == index]:
            if stream.first_event_at_seconds > self.now_seconds:
                self.after(0.001, self._attempt, stream)
            else:
                self._break(stream)

    # Hosts.

    def _kill_hosts(self) -> None:
        for host in self._draw_hosts(0.1):
            host.is_up, host.incarnation = False, host.incarnation + 1
            host.gone_at_seconds = self.now_seconds
            for stream in [item for item in self._active if item.host == host.index]:
                self._break(stream)
            self.after(RESTART_SECONDS, self._restart, host)

    def _restart(self, host: Any) -> None:
        self._read.pop(host.index, None)
        self.start(host)
        host.is_up = True
        self.after(LINKED_SECONDS, self.link, host)

    def _cut_hosts(self) -> None:
        hosts = self._draw_hosts(self._scenario.cut_ratio)
        for host in hosts:
            host.is_cut_off, host.gone_at_seconds = True, self.now_seconds
            self.after(CUT_SECONDS, self._reconnect, host)
        for number in range(1, 6):
            self.after(CUT_SECONDS * number / 6, self._break_some, hosts)

    def _break_some(self, hosts: list) -> None:
        indexes = {host.index for host in hosts}
        for stream in [item for item in self._active if item.host in indexes]:
            if self.rng.random() < 0.2:
                self._break(stream)

    def _reconnect(self, host: Any) -> None:
        host.is_cut_off = False
        self.link(host)

    def _draw_hosts(self, ratio: float) -> list:
        reachable = [host for host in self.hosts if host.is_reachable]
        count = max(1, round(ratio * len(self.hosts)))
        return self.rng.sample(reachable, min(count, len(reachable) - 1))

    # Streams.

    def _begin_streams(self) -> None:
        scenario = self._scenario
        rate = scenario.fleet_rate or scenario.rate * len(self.hosts)
        self.after(self.rng.expovariate(rate), self._begin_streams)
        up = [host for host in self.hosts if host.is_up]
        if not up:
            return
        host = self.rng.choice(up)
        key = stream_key("/w/a", str(next(self._numbers)))
        stream = Stream(key, host.index, host.incarnation, self.now_seconds)
        self._active[stream] = None
        self._attempt(stream)
        if self.rng.random() < scenario.second_ratio:
            stream.first_event_at_seconds = math.inf
            self.after(self.rng.uniform(0.001, 0.1), self._attempt, stream)
        self.after(self.rng.uniform(0.2, 6.0), self._active.pop, stream, None)

    def _attempt(self, stream: Stream) -> None:
        """Send the request of a stream that has no event yet."""
        host = self.hosts[stream.host]
        is_open = stream in self._active and host.is_up
        if not is_open or stream.first_event_at_seconds <= self.now_seconds:
            return
        usable = [
            index
            for index, version in host.listed.items()
            if index != stream.upstream
            and self._upstreams[index].is_up
            and self._upstreams[index].version == version
        ]
        if not usable:
            del self._active[stream]
            return
        stream.upstream = self.rng.choice(usable)
        stream.version = self._upstreams[stream.upstream].version
        stream.attempt_number += 1
        delay_seconds = self.rng.uniform(0.01, 0.3)
        stream.first_event_at_seconds = self.now_seconds + delay_seconds
        self.after(delay_seconds, self._send_first_event, stream, stream.attempt_number)

    def _send_first_event(self, stream: Stream, attempt_number: int) -> None:
        host = self.hosts[stream.host]
        is_same = host.is_up and host.incarnation == stream.incarnation
        has_event = stream.first_event_at_seconds <= self.now_seconds
        if is_same and has_event and stream.attempt_number == attempt_number:
            self.record(host, stream)

    def _break(self, stream: Stream) -> None:
        del self._active[stream]
        if stream.first_event_at_seconds <= self.now_seconds:
            self.after(self.rng.uniform(0.005, 0.05), self.take_up, stream)
