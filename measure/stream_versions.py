"""Compare ways to keep a stream at its software version when its caller takes it up.

Hosts begin streams at upstreams of two versions, whose shares change; upstreams crash,
hosts are killed or cut off from each other, and callers take broken streams up at any
host. Each take-up is decided in all four ways, so that all see the same events. Time is
simulated. The second part measures the processor time of receiving records.
"""

import argparse
import functools
import time

import attrs

from rampwick_policy import BegunStream, BegunStreams, stream_key
from rampwick_policy._begun_streams import RETENTION_SECONDS, UNKNOWN_VERSION
from rampwick_policy._version_history import VersionHistory
from rampwick_schema import decode_message, encode_message

from ._stream_events import SERVICE, Scenario, Stream
from ._stream_hosts import TIMEOUT_SECONDS, Host, Listed, Records
from ._stream_outages import SCENARIOS as OUTAGES, WAYS as HERD_WAYS, print_outages
from ._stream_steps import print_steps

#: The platform's store: duration of a call, accepted writes a second, and outages.
STORE_SECONDS, MAX_WRITE_RATE, STORE_WINDOW_SECONDS = 0.004, 400, 0.1
STORE_PERIOD_SECONDS, STORE_OUTAGE_SECONDS = 12.0, 2.0
#: Length of a question to the host that began a stream, and of its answer.
QUESTION_BYTES = 40
#: Time after which a caller repeats a refused request, at any host.
REPEAT_SECONDS = 0.25

ASK_NOBODY, ASK_HOST, BROADCAST, STORE = "nobody", "beginner", "broadcast", "store"
WAYS = (ASK_NOBODY, ASK_HOST, BROADCAST, STORE)

SCENARIOS = {
    "crashes only": Scenario(),
    "kills": Scenario(kills_count=4),
    "cut off": Scenario(cuts_count=3),
    "older release, kills": Scenario(kills_count=4, older_ratio=0.3),
    "second attempts": Scenario(kills_count=4, cuts_count=3, second_ratio=0.2),
    "served when listed": Scenario(kills_count=4, start_seconds=0.0),
    # One upstream has the newer version, few streams begin and the list stays the same.
    "quiet": Scenario(
        600.0, fleet_rate=0.6, cuts_count=100, cut_ratio=0.3, has_changes=False
    ),
}


@attrs.define
class Figures:
    """Decisions about taken-up streams in one way, and its cost."""

    count: int = 0
    same_count: int = 0
    other_count: int = 0
    unknown_count: int = 0
    #: Streams of which the version was known, but no upstream of it listed.
    gone_count: int = 0
    #: Streams that go on at the first try or at a repetition.
    repeated_count: int = 0
    messages_count: int = 0
    bytes_count: int = 0
    store_calls_count: int = 0


def describe(runs: list[Figures], hosts_count: int, length_seconds: float) -> str:
    """Return the figures of several runs as columns."""
    sums = {
        field.name: sum(getattr(run, field.name) for run in runs)
        for field in attrs.fields(Figures)
    }
    total = Figures(**sums)
    count, seconds = total.count or 1, length_seconds * len(runs)
    others = "/".join(str(run.other_count) for run in runs)
    return (
        f"{total.same_count / count:.4f} {total.repeated_count / count:.4f} "
        f"{others:>14} {total.unknown_count / count:.4f} "
        f"{total.gone_count / count:.4f} "
        f"{total.messages_count / seconds / hosts_count:6.1f} "
        f"{total.bytes_count / seconds / hosts_count:7.0f} "
        f"{total.store_calls_count / seconds:7.1f}"
    )


class VersionsLab(Records):
    """A simulation of one fleet and scenario, with the decisions of all ways."""

    def __init__(self, hosts_count: int, scenario: Scenario, seed: int) -> None:
        self.figures = {way: Figures() for way in WAYS}
        #: Take-ups at hosts of the older release, which go on at any version, and those
        #: of them that go on at another one.
        self.older_count = self.older_other_count = 0
        self._stored: dict[bytes, tuple[str, float]] = {}
        self._writes: dict[int, int] = {}
        super().__init__(hosts_count, scenario, seed)

    def run(self) -> None:
        """Run to the end."""
        super().run()
        self.figures[BROADCAST].messages_count = self.messages_count
        self.figures[BROADCAST].bytes_count = self.bytes_count

    def record(self, host: Host, stream: Stream) -> None:
        """Record an attempt in all ways that keep records."""
        self._write(stream)
        super().record(host, stream)

    # Way (d): the platform's store.

    def _write(self, stream: Stream) -> None:
        self.figures[STORE].store_calls_count += 1
        window = int(self.now_seconds / STORE_WINDOW_SECONDS)
        self._writes[window] = self._writes.get(window, 0) + 1
        is_full = self._writes[window] > MAX_WRITE_RATE * STORE_WINDOW_SECONDS
        if not is_full and not self._is_store_down():
            at_seconds = self.now_seconds + STORE_SECONDS
            self._stored[stream.key] = (stream.version, at_seconds)

    def _is_store_down(self) -> bool:
        return self.now_seconds % STORE_PERIOD_SECONDS > (
            STORE_PERIOD_SECONDS - STORE_OUTAGE_SECONDS
        )

    # Decisions.

    def take_up(self, stream: Stream) -> None:
        """Decide in all ways about a stream that its caller takes up at any host."""
        self._decide(stream, WAYS, is_first=True)

    def _decide(self, stream: Stream, ways: tuple[str, ...], *, is_first: bool) -> None:
        host = self.rng.choice([host for host in self.takers if host.is_up])
        any_version = self.rng.choice(list(host.listed.values()) or [None])
        if host.is_older:
            self.older_count += is_first
            is_other = any_version not in (None, stream.version)
            self.older_other_count += is_first and is_other
            return
        refused = []
        for way in ways:
            figures = self.figures[way]
            version = (
                any_version if way == ASK_NOBODY else self._find(way, stream, host)
            )
            is_known = version not in (None, UNKNOWN_VERSION)
            goes_on = is_known and version in host.listed.values()
            is_same = goes_on and version == stream.version
            figures.other_count += goes_on and not is_same
            figures.repeated_count += is_same
            if is_first:
                figures.count += 1
                figures.same_count += is_same
                figures.unknown_count += not is_known and bool(host.listed)
                figures.gone_count += not goes_on and (is_known or not host.listed)
            if not goes_on:
                refused.append(way)
        if refused and is_first:
            self.after(
                REPEAT_SECONDS,
                functools.partial(self._decide, is_first=False),
                stream,
                tuple(refused),
            )

    def _ask(self, beginner: Host, stream: Stream, host: Host) -> str | None:
        figures = self.figures[ASK_HOST]
        if beginner is not host:
            is_reached = host.is_reachable and beginner.is_reachable
            figures.messages_count += 1 + is_reached
            figures.bytes_count += QUESTION_BYTES * (1 + is_reached)
            if not is_reached or beginner.is_older:
                return None
        is_known = beginner.incarnation == stream.incarnation
        return stream.version if is_known else None

    def _find(self, way: str, stream: Stream, host: Host) -> str | None:
        figures, now_seconds = self.figures[way], self.now_seconds
        if way == ASK_HOST:
            return self._ask(self.hosts[stream.host], stream, host)
        if way == STORE:
            figures.store_calls_count += 1
            version, at_seconds = self._stored.get(stream.key, (None, 0.0))
            is_there = at_seconds <= now_seconds and not self._is_store_down()
            return version if is_there else None
        begun = host.streams.find(stream.key, now_seconds)
        if begun is not None:
            return begun.software_version
        return host.history.only_version(
            SERVICE,
            [Listed(v) for v in host.listed.values()],
            TIMEOUT_SECONDS,
            now_seconds,
        )


def time_receiving(rate: int, updates_per_second: int) -> float:
    """Return the microseconds per stream of decoding and storing records."""
    sender, receiver = (BegunStreams(VersionHistory()) for _ in range(2))
    count, spent_seconds = rate // updates_per_second, 0.0
    for number in range(20 * updates_per_second):
        now_seconds = number / updates_per_second
        for index in range(count):
            version = f"2026.{index % 2}"
            until_seconds = now_seconds + TIMEOUT_SECONDS + RETENTION_SECONDS
            begun = BegunStream(SERVICE, version, b"ab", 1, until_seconds)
            key = stream_key("/w/a", f"{number} {index}")
            sender.note_begun(key, begun, now_seconds)
        body = encode_message(sender.to_all.take_update(now_seconds))[4:]
        began_seconds = time.process_time()
        update = decode_message(body)
        receiver.receive_update(update, now_seconds, must_forward=False)
        spent_seconds += time.process_time() - began_seconds
    return spent_seconds * 1e6 / (20 * updates_per_second * count)


def main(argv: list[str]) -> None:
    """Print all figures."""
    parser = argparse.ArgumentParser(
        prog="measure stream_versions", description=__doc__
    )
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--hosts", type=int, nargs="*", default=[6, 20, 300])
    parser.add_argument("--scenarios", nargs="*", default=list(SCENARIOS))
    parser.add_argument(
        "--outages", nargs="*", choices=list(OUTAGES), help="all hosts end at once"
    )
    parser.add_argument(
        "--ways", nargs="*", choices=HERD_WAYS, default=HERD_WAYS, help="with --outages"
    )
    parser.add_argument(
        "--out-of-step", action="store_true", help="hosts that miss a version"
    )
    arguments = parser.parse_args(argv)
    if arguments.out_of_step:
        print_steps(arguments.hosts, arguments.seeds)
        return
    if arguments.outages is not None:
        names = arguments.outages or list(OUTAGES)
        print_outages(arguments.hosts, names, arguments.ways, arguments.seeds)
        return
    for updates in (50, 500, 1500):
        cost = time_receiving(1500, updates)
        print(f"1500 streams/s in {updates} updates/s: {cost:.2f} us a stream")
    print(
        "way: share that goes on, with a repetition; number at another version by "
        "seed; share refused as unknown, for lack of an upstream; messages and bytes "
        "a host and second, store calls a second"
    )
    for hosts_count in arguments.hosts:
        for name in arguments.scenarios:
            _print_scenario(hosts_count, name, arguments.seeds)


def _print_scenario(hosts_count: int, name: str, seeds: int) -> None:
    scenario = SCENARIOS[name]
    labs = [VersionsLab(hosts_count, scenario, seed) for seed in range(seeds)]
    for lab in labs:
        lab.run()
    count = sum(lab.figures[BROADCAST].count for lab in labs)
    older_count = sum(lab.older_count for lab in labs)
    other_count = sum(lab.older_other_count for lab in labs)
    print(
        f"{hosts_count} hosts, {name}: {count} taken up; {other_count} of {older_count}"
        " at hosts of the older release go on at another version"
    )
    for way in WAYS:
        runs = [lab.figures[way] for lab in labs]
        row = describe(runs, hosts_count, scenario.length_seconds)
        print(f"  {way:9} {row}", flush=True)
