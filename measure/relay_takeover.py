"""Bytes that a host sends to its peers while it takes over as the relay of its hall.

The relay's own code for sums, cache events, records of streams and members sends to
simulated links that open one after the other; hosts and callers are simulated. Time is
stepped. The messages leave over one link of limited speed, as does a caller's answer.
"""

import argparse
import itertools
import json
import random
import sys
from collections import Counter, defaultdict
from pathlib import Path
from types import SimpleNamespace

import anyio
import attrs

from rampwick_policy import (
    BegunStream,
    BegunStreams,
    CacheChanges,
    CacheReported,
    Member,
    MemberTable,
    MessageKind,
    PeerView,
)
from rampwick_policy._version_history import VersionHistory
from rampwick_router._metrics import Metrics
from rampwick_router.peers._cache_outbox import BATCH_SECONDS, CacheOutbox
from rampwick_router.peers._links import Link, PeerLinks
from rampwick_router.peers._messages import to_cache_event_update, to_record
from rampwick_router.peers._paced_sender import PacedSender
from rampwick_router.peers._stream_records import StreamRecordSender
from rampwick_router.peers._summaries import SummaryPublisher
from rampwick_schema import (
    LENGTH_BYTES,
    MESSAGES_VERSION,
    BegunStreamsUpdate,
    CacheEventUpdate,
    Compressed,
    LimitUsage,
    Members,
    PlacedPrefix,
    StreamGroup,
    Summary,
    UpstreamUsage,
    WorkspaceUsage,
    decode_message,
    parse_settings,
)

STEP_SECONDS = 0.01
GOSSIP_STEPS = 25
RUN_SECONDS = 8.0
#: Time over which the links open.
OPENING_SECONDS = 2.4
#: Traffic of one host, and what follows from one request.
REQUESTS_PER_SECOND = 5.4
ENTRIES_PER_REQUEST = 3
STREAM_SECONDS = 10.0
#: A speed at which the link never delays a message.
UNLIMITED_MEGABITS = 1e6


@attrs.frozen
class Fleet:
    """Sizes of a fleet."""

    hosts_count: int
    halls_count: int
    workspaces_count: int
    upstreams_count: int


FLEETS = {
    20: Fleet(20, 4, 30, 12),
    69: Fleet(69, 4, 83, 34),
    300: Fleet(300, 6, 200, 150),
}


@attrs.define
class Figures:
    """What a relay sent."""

    hosts_count: int
    link_megabits_per_second: float
    is_paced: bool
    #: Sent in each second, in all and by kind over the whole run.
    bytes_by_second: list[int]
    bytes_by_kind: dict[str, int]
    #: Longest time that a byte waited for the link.
    max_queued_seconds: float
    #: Longest time between two aggregates, and between two messages of any kind, that
    #: one host of the hall received after its first aggregate.
    max_sum_gap_seconds: float
    max_silence_seconds: float
    #: Longest time between two sums of the hall that a relay of another one received.
    max_hall_gap_seconds: float
    #: Cache entries that still waited for that host at the end.
    unsent_entries_count: int
    #: Cache entries that this host received, and those that it sent to the host whose
    #: link opened first.
    read_entries_count: int
    told_entries_count: int


class Takeover:
    """One host that becomes the relay of its hall at time 0."""

    def __init__(self, fleet: Fleet, megabits: float, *, is_paced: bool) -> None:
        self._fleet, self._megabits, self._is_paced = fleet, megabits, is_paced
        self._rng = random.Random(fleet.hosts_count)
        self.now_seconds = 0.0
        members = [
            Member(f"front-{index}", f"hall-{index % fleet.halls_count}", f"{index}:1")
            for index in range(fleet.hosts_count)
        ]
        members = [
            attrs.evolve(item, link_megabits_per_second=megabits) for item in members
        ]
        self._own = members[0]
        table = MemberTable(self._own)
        table.merge(members)
        self._group = {item.name for item in table.group()}
        others = members[1 : 2 * fleet.halls_count]
        relays = [item for item in others if item.name not in self._group]
        self._to_link = [*table.group(), *relays]
        standby = self._standby = table.group()[0].name
        self._roles = SimpleNamespace(
            table=table,
            relay_listener=SimpleNamespace(note_published=lambda *_: None),
            is_relay=lambda: True,
            is_recipient=lambda peer: peer.name == standby,
            is_in_own_group=lambda peer: table.is_in_group(peer.hall),
            is_in_other_group=lambda peer: not table.is_in_group(peer.hall),
        )
        settings = parse_settings('[host]\nname = "a"\nhall = "h"\n', source="measure")
        self._links = PeerLinks(
            self._own, settings.peers, Metrics(), list, list, self._read_clock
        )
        self._sender = PacedSender(
            self._links, megabits if is_paced else UNLIMITED_MEGABITS, self._read_clock
        )
        self._links.on_unpaced = self._sender.note_unpaced
        self._streams = BegunStreams(VersionHistory())
        self._records = StreamRecordSender(self._streams, self._sender, self._roles)
        self._outbox = CacheOutbox(
            table,
            self._links,
            SimpleNamespace(post=lambda event: None),
            lambda: self._group,
            self._sender,
        )
        # This host is the first of its hall, whatever the order of the others.
        table.is_relay = lambda live: True
        self._views = self._make_views()
        self._publisher = SummaryPublisher(
            SimpleNamespace(
                peer_views=lambda now_seconds: self._views,
                run_query=lambda query: self._make_summary(5, 12),
                with_relayed_limits=lambda summary: summary,
                targets=list,
                named_weights=list,
            ),
            SimpleNamespace(revision=1, version=SimpleNamespace(store_era=1)),
            self._links,
            self._roles,
            SimpleNamespace(
                with_own_versions=lambda summary: summary, own_ages=lambda: (0.1, 0.1)
            ),
            self._sender,
            self._read_clock,
        )
        #: Sent bytes by step and by class, and those that wait for the link.
        self._sent_bytes: Counter[int] = Counter()
        self._by_kind: Counter[str] = Counter()
        self._queued_bytes = self._max_queued_bytes = 0.0
        self._sums: dict[str, list[float]] = defaultdict(list)
        self._heard: dict[str, list[float]] = defaultdict(list)
        self._hall_sums: dict[str, list[float]] = defaultdict(list)
        self._read_entries_count = self._told_entries_count = 0

    def _read_clock(self) -> float:
        return self.now_seconds

    async def run(self) -> Figures:
        """Run for some seconds after the takeover."""
        self._remember_streams()
        steps = round(RUN_SECONDS / STEP_SECONDS)
        opening = round(OPENING_SECONDS / STEP_SECONDS)
        opened_count = 0
        batch_steps = round(BATCH_SECONDS / STEP_SECONDS)
        for step in range(steps):
            self.now_seconds = step * STEP_SECONDS
            while opened_count < len(self._to_link) * min(1.0, (step + 1) / opening):
                self._open_link(self._to_link[opened_count])
                opened_count += 1
            self._receive()
            self._sender.send_waiting()
            if step % batch_steps == 0:
                self._outbox._flush()
            if step % GOSSIP_STEPS == 0:
                self._publish(step // GOSSIP_STEPS)
            bytes_per_step = self._megabits * 125_000 * STEP_SECONDS
            self._max_queued_bytes = max(self._max_queued_bytes, self._queued_bytes)
            self._queued_bytes = max(0.0, self._queued_bytes - bytes_per_step)
        return self._figures()

    def _publish(self, count: int) -> None:
        self._publisher.publish_own()
        self._publisher.publish_fleet()
        if count % 2 == 0 or self._publisher.is_hall_behind:
            self._publisher.publish_hall()
        for outbox, broadcast in self._records.outboxes():
            if not self._records.is_ready():
                continue
            update = outbox.take_update(self.now_seconds)
            if update is not None:
                broadcast(update)

    def _open_link(self, peer: Member) -> None:
        link = Link.open(
            peer,
            self.now_seconds,
            lambda data: self._send(peer, data),
            MESSAGES_VERSION if self._is_paced else Compressed.CODE - 1,
        )
        link.on_unpaced = self._links.on_unpaced
        self._links._links.append(link)
        link.put(Members([to_record(item) for item in self._roles.table]))
        self._records.send_initial_state(link, self.now_seconds)

    def _send(self, peer: Member, data: bytes) -> bool:
        message = decode_message(data[LENGTH_BYTES:])
        kind = type(message).__name__
        self._sent_bytes[int(self.now_seconds)] += len(data)
        self._by_kind[kind] += len(data)
        self._queued_bytes += len(data)
        if peer.name in self._group:
            if kind == "FleetSummary":
                self._sums[peer.name].append(self.now_seconds)
            if kind in ("FleetSummary", "Summary"):
                self._heard[peer.name].append(self.now_seconds)
        if kind == "HallSummary":
            self._hall_sums[peer.name].append(self.now_seconds)
        if kind == "CacheEventUpdate" and peer.name == self._standby:
            self._told_entries_count += _count_entries(message)
        return True

    def _remember_streams(self) -> None:
        """Record the streams of the fleet that have begun before the takeover."""
        count = int(self._fleet.hosts_count * REQUESTS_PER_SECOND * STREAM_SECONDS)
        for index in range(count):
            stream = BegunStream("notes", "v1", b"aa", 1, 1.0 + index % 9)
            self._streams._add(self._rng.randbytes(8), stream, 0.0)

    def _receive(self) -> None:
        """Receive what the hosts of the fleet tell in one step."""
        requests = self._fleet.hosts_count * REQUESTS_PER_SECOND * STEP_SECONDS
        count = int(requests) + (self._rng.random() < requests % 1)
        names = [item.name for item in self._roles.table]
        for _ in range(count):
            host = self._roles.table.get(self._rng.choice(names))
            link = SimpleNamespace(peer=host)
            record = self._rng.randbytes(8) + b"aa\x01"
            self._streams.receive_update(
                BegunStreamsUpdate([StreamGroup("notes", "v1", 9.0, record)]),
                self.now_seconds,
                must_forward=True,
                is_from_group=host.hall == self._own.hall,
            )
            self._read_entries_count += ENTRIES_PER_REQUEST
            prefixes = tuple(self._rng.randbytes(8) for _ in range(ENTRIES_PER_REQUEST))
            change = CacheChanges("ab12cd34/1", prefixes, (2500,) * len(prefixes))
            upstream = f"lektor-{self._rng.randrange(self._fleet.upstreams_count)}"
            event = to_cache_event_update([CacheReported(upstream, (change,))])
            self._outbox.receive(link, event)
            placed = PlacedPrefix(upstream, "ab12cd34/1", list(prefixes[:2]), [1, 2])
            summary = attrs.evolve(self._make_summary(0, 0), placed=[placed])
            self._publisher.add_host(summary)

    def _make_views(self) -> list[PeerView]:
        fleet = self._fleet
        views = [
            PeerView(name, self._own.hall, 1, self._make_summary(5, 12), 1e9)
            for name in sorted(self._group)
        ]
        whole = self._make_summary(fleet.workspaces_count, fleet.upstreams_count)
        return views + [
            PeerView(f"hall-{index}", f"hall-{index}", 1, whole, 1e9)
            for index in range(1, fleet.halls_count)
        ]

    def _make_summary(self, workspaces_count: int, upstreams_count: int) -> Summary:
        rng = self._rng
        workspaces = rng.sample(range(self._fleet.workspaces_count), workspaces_count)
        upstreams = rng.sample(range(self._fleet.upstreams_count), upstreams_count)
        return Summary(
            sequence=1,
            revision=1,
            host_list_version=1,
            is_leaving=False,
            workspaces=[
                WorkspaceUsage(f"/herbaria/w{index}", rng.randrange(100_000))
                for index in workspaces
            ],
            upstreams=[
                UpstreamUsage(f"lektor-{index}", "ab12cd34/1", 4, rng.randrange(9000))
                for index in upstreams
            ],
            placed=[],
            limits=[
                LimitUsage(f"/herbaria/w{index}", rng.randrange(10**6))
                for index in workspaces
            ],
        )

    def _figures(self) -> Figures:
        return Figures(
            self._fleet.hosts_count,
            self._megabits,
            self._is_paced,
            [self._sent_bytes[second] for second in range(int(RUN_SECONDS))],
            dict(self._by_kind),
            self._max_queued_bytes / (self._megabits * 125_000),
            _max_gap(self._sums),
            _max_gap(self._heard),
            _max_gap(self._hall_sums),
            self._count_unsent(),
            self._read_entries_count,
            self._told_entries_count,
        )

    def _count_unsent(self) -> int:
        outbox = self._outbox
        waiting = [
            to_cache_event_update(buffer.take())
            for buffer in (outbox._from_own_hall, outbox._from_other_halls)
        ]
        lane = self._sender._queue._lanes[MessageKind.CACHE_EVENTS]
        queued = lane.waiting.get(self._links.link_to(self._standby), ())
        waiting += [decode_message(data[LENGTH_BYTES:]) for data in queued]
        return sum(map(_count_entries, waiting))


def _max_gap(times: dict[str, list[float]]) -> float:
    return max(
        later - earlier
        for item in times.values()
        for earlier, later in itertools.pairwise(item)
    )


def _count_entries(message: CacheEventUpdate) -> int:
    return sum(
        len(change.prefixes) for update in message.updates for change in update.changes
    )


def _print(figures: Figures) -> None:
    megabytes = " ".join(f"{value / 1e6:.2f}" for value in figures.bytes_by_second)
    kinds = ", ".join(
        f"{kind} {size_bytes / 1e6:.2f}"
        for kind, size_bytes in figures.bytes_by_kind.items()
    )
    print(
        f"{figures.hosts_count:>4} hosts "
        f"{figures.link_megabits_per_second:>4.0f} Mbit/s "
        f"{'paced' if figures.is_paced else 'unpaced':<8}"
        f"MB in each second {megabytes} ({kinds}); "
        f"queued {figures.max_queued_seconds:.2f} s, "
        f"sums each {figures.max_sum_gap_seconds:.2f} s, "
        f"silent {figures.max_silence_seconds:.2f} s, "
        f"hall's sums each {figures.max_hall_gap_seconds:.2f} s, "
        f"entries unsent {figures.unsent_entries_count}"
    )


def main(argv: list[str] | None = None) -> None:
    """Measure fleets of several sizes, paced, and unpaced without compression."""
    parser = argparse.ArgumentParser(prog="measure relay_takeover", description=__doc__)
    parser.add_argument("--hosts", nargs="+", type=int, default=list(FLEETS))
    parser.add_argument("--megabits", nargs="+", type=float, default=[5.0, 10.0])
    parser.add_argument("--out", type=Path, default=Path("out/relay_takeover.json"))
    arguments = parser.parse_args(argv)
    results = []
    for count in arguments.hosts:
        for megabits in arguments.megabits:
            for is_paced in (False, True):
                takeover = Takeover(FLEETS[count], megabits, is_paced=is_paced)
                found = anyio.run(takeover.run)
                results.append(attrs.asdict(found))
                _print(found)
    arguments.out.parent.mkdir(parents=True, exist_ok=True)
    arguments.out.write_text(json.dumps(results, indent=1) + "\n")


if __name__ == "__main__":
    main(sys.argv[1:])
