"""Hosts that send each other the versions of streams, with halls and relays."""

import functools
import random

import attrs

from rampwick_policy import BegunStream, BegunStreams, Outbox
from rampwick_policy._begun_streams import RETENTION_SECONDS
from rampwick_policy._version_history import VersionHistory
from rampwick_schema import BegunStreamsUpdate, encode_message

from ._stream_events import SERVICE, Events, Scenario, Stream

#: Longest time for which a stream may last, by its route.
TIMEOUT_SECONDS = 8.0
#: Delay of a link.
LINK_SECONDS = 0.001
#: Time until the other hosts replace a relay that is gone.
RELAY_TIMEOUT_SECONDS = 1.0
#: Fleets above this size have halls with relays, two each.
MESH_LIMIT_COUNT, RELAYS_COUNT = 16, 2

#: Number of hosts at which streams are taken up, drawn for each run, and of those of
#: each hall that may become relays. Others don't store records, which saves time.
TAKERS_COUNT, CANDIDATES_COUNT = 40, 4

#: Number of hosts and of halls.
FLEETS = {2: 1, 6: 1, 20: 4, 66: 4, 300: 6}


@attrs.define(eq=False)
class Host:
    """A host: what it lists, and what it knows of streams."""

    index: int
    hall: int
    is_older: bool
    listed: dict[int, str] = attrs.field(factory=dict)
    streams: BegunStreams = attrs.field(init=False)
    history: VersionHistory = attrs.field(init=False)
    incarnation: int = 0
    is_up: bool = True
    is_cut_off: bool = False
    #: Time since which it is gone for the others.
    gone_at_seconds: float = 0.0
    listed_at_seconds: float = -1e9
    #: Outboxes whose next update is due.
    batches: set[Outbox] = attrs.field(factory=set)

    def restart(self) -> None:
        """Start with empty memory."""
        self.history = VersionHistory()
        self.history.list_age_seconds = lambda now: now - self.listed_at_seconds
        self.streams = BegunStreams(self.history)
        self.listed, self.listed_at_seconds, self.batches = {}, -1e9, set()

    @property
    def is_reachable(self) -> bool:
        """Return whether other hosts reach it."""
        return self.is_up and not self.is_cut_off

    def read_list(self, versions: dict[int, str], now_seconds: float) -> None:
        """Apply the host list."""
        for listed in (self.listed, versions):
            self.history.note_listed([Listed(v) for v in listed.values()], now_seconds)
        self.listed, self.listed_at_seconds = dict(versions), now_seconds


class Listed:
    """An upstream as the history of versions sees it."""

    def __init__(self, version: str) -> None:
        self.entry = self
        self.group, self.software_version = SERVICE, version


class Records(Events):
    """A fleet whose hosts broadcast the streams that they begin."""

    def __init__(self, hosts_count: int, scenario: Scenario, seed: int) -> None:
        halls_count = FLEETS[hosts_count]
        rng = random.Random(f"{seed} {hosts_count}")
        self.hosts = [
            Host(index, index % halls_count, rng.random() < scenario.older_ratio)
            for index in range(hosts_count)
        ]
        self._is_large = hosts_count > MESH_LIMIT_COUNT
        self._halls = [self.hosts[hall::halls_count] for hall in range(halls_count)]
        #: Hosts at which callers take streams up, and those that store records.
        self.takers = rng.sample(self.hosts, min(TAKERS_COUNT, hosts_count))
        self._holders = set(self.takers)
        for hosts in self._halls:
            self._holders.update(hosts[:CANDIDATES_COUNT])
        self.messages_count = self.bytes_count = 0
        super().__init__(scenario, rng)

    def start(self, host: Host) -> None:
        """Start a host with empty memory."""
        host.restart()
        for outbox in (host.streams.to_all, host.streams.to_group):
            outbox.on_update = functools.partial(self._batch, host, outbox)

    def record(self, host: Host, stream: Stream) -> None:
        """Record an attempt and broadcast it."""
        if host.is_older:
            return
        expires_at_seconds = stream.began_seconds + TIMEOUT_SECONDS + RETENTION_SECONDS
        begun = BegunStream(
            SERVICE,
            stream.version,
            stream.key[:2],
            stream.attempt_number,
            expires_at_seconds,
        )
        host.streams.note_begun(stream.key, begun, self.now_seconds)

    def _batch(self, host: Host, outbox: Outbox) -> None:
        if outbox not in host.batches:
            host.batches.add(outbox)
            delay_seconds = outbox.batch_seconds()
            self.after(delay_seconds, self._broadcast, host, outbox, host.incarnation)

    def _broadcast(self, host: Host, outbox: Outbox, incarnation: int) -> None:
        if not host.is_up or host.incarnation != incarnation:
            return
        host.batches.discard(outbox)
        update = outbox.take_update(self.now_seconds)
        if update is None:
            return
        to = self._recipients(host)
        if outbox is host.streams.to_group:
            to = _except(self._halls[host.hall], host)
        self._send(host, update, to)

    def _send(self, host: Host, update: BegunStreamsUpdate, to: list[Host]) -> None:
        bytes_count = len(encode_message(update))
        for peer in to:
            if host.is_reachable and peer.is_reachable and not peer.is_older:
                self.messages_count += 1
                self.bytes_count += bytes_count
                if peer in self._holders:
                    self.after(
                        LINK_SECONDS,
                        self._receive,
                        peer,
                        peer.incarnation,
                        update,
                        not self._is_large or host.hall == peer.hall,
                    )

    def _receive(
        self,
        host: Host,
        incarnation: int,
        update: BegunStreamsUpdate,
        is_from_group: bool,
    ) -> None:
        if host.incarnation != incarnation or not host.is_reachable:
            return
        must_forward = self._is_large and self._relays(host.hall)[:1] == [host]
        host.streams.receive_update(
            update,
            self.now_seconds,
            must_forward=must_forward,
            is_from_group=is_from_group,
        )

    def _relays(self, hall: int) -> list[Host]:
        """Return the relays of a hall, as the others see it."""
        oldest_seconds = self.now_seconds - RELAY_TIMEOUT_SECONDS
        hosts = (
            host
            for host in self._halls[hall]
            if host.is_reachable or host.gone_at_seconds > oldest_seconds
        )
        return [host for host, _ in zip(hosts, range(RELAYS_COUNT), strict=False)]

    def _recipients(self, host: Host) -> list[Host]:
        if not self._is_large:
            return [peer for peer in self.hosts if peer is not host]
        relays = self._relays(host.hall)
        return self._linked(host) if relays[:1] == [host] else _except(relays, host)

    def _linked(self, host: Host) -> list[Host]:
        """Return the hosts to which a host has links."""
        if not self._is_large:
            return _except(self.hosts, host)
        if host not in self._relays(host.hall):
            return _except(self._relays(host.hall), host)
        halls = [hall for hall in range(len(self._halls)) if hall != host.hall]
        others = [relay for hall in halls for relay in self._relays(hall)]
        return _except(self._halls[host.hall], host) + others

    def link(self, host: Host) -> None:
        """Open the links of a host that has been started or is no longer cut off."""
        if host.is_older or not host.is_reachable:
            return
        now_seconds = self.now_seconds
        for peer in self._linked(host):
            if not peer.is_older and peer.is_reachable:
                for one, other in ((host, peer), (peer, host)):
                    update = one.streams.initial_state(now_seconds)
                    self._send(one, update, [other])


def _except(hosts: list[Host], host: Host) -> list[Host]:
    return [peer for peer in hosts if peer is not host]
