"""The software versions at which streams began, shared by all hosts.

A caller may take a broken stream up at any host, when the host that began it is gone or
cut off. Each host therefore broadcasts the version of each stream that it begins, with
the first event. Attempts without events are not recorded: a host that had only such a
record would go on at the wrong version, while one without any refuses.
"""

import hashlib
from collections import OrderedDict, deque
from collections.abc import Callable, Iterable, Iterator
from typing import Protocol

import attrs

from rampwick_schema import BegunStreamsUpdate, ListedVersion, ReprMixin, StreamGroup

from ._version_history import MAX_NAME_CHARACTERS, VersionHistory

#: Version of an upstream whose entry does not state one. It equals no version, not even
#: itself: two upstreams of unknown versions may differ.
UNKNOWN_VERSION = ""

#: Length of a stream's key, and of its record in an update, which ends with the number
#: of the attempt.
KEY_BYTES = 8
INSTANCE_BYTES = 2
RECORD_BYTES = KEY_BYTES + INSTANCE_BYTES + 1
MAX_ATTEMPT_NUMBER = 254

#: Number of a record whose key belongs to requests of different versions; it outweighs
#: all others.
CONFLICT_NUMBER = 255

#: Time by which a stream's lifetime has to grow for peers to be notified again: more
#: than what rounding adds on the way over relays.
MIN_EXTENSION_SECONDS = 1.5

#: Maximum number of streams that a host remembers, and that one update has.
MAX_STREAMS_COUNT = 50_000
MAX_UPDATE_COUNT = 5_000

#: Maximum number of streams in one part of an update, so that none of them takes a slow
#: link for long.
MAX_PART_COUNT = 400

#: Time after a stream's deadline for which it is remembered: callers' clocks differ.
RETENTION_SECONDS = 2.0

#: Longest time for which a peer may ask a host to remember a stream.
MAX_LIFETIME_SECONDS = 600.0

#: Time for which updates are retransmitted while there are no newer ones, and forwarded
#: by a host that takes over as the relay.
RETRANSMIT_SECONDS = 3.0

#: Longest time for which the state for new peers is used again.
STATE_AGE_SECONDS = 1.0

#: Time over which streams are collected for one update while all upstreams of a service
#: have one version, and while they have several.
RELAXED_BATCH_SECONDS = 0.25
URGENT_BATCH_SECONDS = 0.02


def stream_key(workspace_path: str, request_id: str) -> bytes:
    """Return the key of a stream by the request that began it.

    The workspace is part of it, so that no caller can name a stream of another one.
    """
    return _digest(f"{workspace_path}\0{request_id}", KEY_BYTES)


def request_instance(own_request_id: str) -> bytes:
    """Return what distinguishes requests with the same id of their caller.

    ``own_request_id`` is unique over all hosts.
    """
    return _digest(own_request_id, INSTANCE_BYTES)


def _digest(text: str, size_bytes: int) -> bytes:
    return hashlib.blake2b(text.encode(), digest_size=size_bytes).digest()


@attrs.frozen(repr=False)
class BegunStream(ReprMixin):
    """Where a stream began, as far as is known."""

    service: str
    software_version: str
    #: Which request with this key it was.
    instance: bytes
    #: Number of the attempt within its request; the last one that sent events counts.
    attempt_number: int
    expires_at_seconds: float
    #: Whether only the store told of it, after all hosts had ended.
    is_from_store: bool = attrs.field(default=False, eq=False)


class StreamStorage(Protocol):
    """Keeps streams that the hosts of the own group began."""

    def put(self, key: bytes, stream: BegunStream) -> None:
        """Add a stream, or replace it."""

    def discard(self, key: bytes) -> None:
        """Drop a stream that can't be taken up any more."""


class BegunStreams:
    """Streams begun by any host, by key, and the updates about them for peers."""

    def __init__(self, history: VersionHistory) -> None:
        self._history = history
        #: The oldest are dropped first, which takes linear time in a plain dict.
        self._streams: OrderedDict[bytes, BegunStream] = OrderedDict()
        #: Updates for all peers, and those for the own group only, whose other
        #: recipients get them from the relay that sent them here.
        self.to_all = Outbox(history)
        self.to_group = Outbox(history)
        #: Where streams of the own group go that are to outlive all hosts.
        self.storage: StreamStorage | None = None
        #: Called before peers are told which versions were listed, and when.
        self.on_state: Callable[[float], None] = _ignore_time
        #: Streams received lately while another host was the relay.
        self._unforwarded: deque[tuple[float, bytes, bool]] = deque()
        self._cached_state: tuple[float, BegunStreamsUpdate] | None = None

    def __len__(self) -> int:
        return len(self._streams)

    def find(self, key: bytes, now_seconds: float) -> BegunStream | None:
        """Return a stream that can still be taken up, or ``None``."""
        stream = self._streams.get(key)
        if stream is None or stream.expires_at_seconds < now_seconds:
            return None
        return stream

    def note_begun(self, key: bytes, stream: BegunStream, now_seconds: float) -> None:
        """Record a stream whose first event is about to be sent, and notify peers."""
        if self._add(key, stream, now_seconds):
            self.to_all.put(key, self._streams[key], now_seconds)

    def receive_update(
        self,
        update: BegunStreamsUpdate,
        now_seconds: float,
        *,
        must_forward: bool,
        is_from_group: bool = True,
    ) -> None:
        """Apply a peer's update; values that can't be right are ignored.

        With ``must_forward``, as at a relay, what is new is passed on: what comes from
        the own group to all peers, else to the own group.
        """
        if must_forward:
            self._forward_late(now_seconds)
        self._history.receive(update.listed, update.known_seconds, now_seconds)
        for group in update.groups:
            names = (group.service, group.software_version)
            if max(map(len, names)) > MAX_NAME_CHARACTERS:
                continue
            self._history.note_begun(*names, now_seconds)
            for key, stream in read_group(group, now_seconds):
                if not self._add(key, stream, now_seconds, is_stored=is_from_group):
                    continue
                if must_forward:
                    self._forward(key, is_from_group, now_seconds)
                else:
                    self._unforwarded.append((now_seconds, key, is_from_group))
        self._drop_unforwarded(now_seconds - RETRANSMIT_SECONDS)

    def restore(self, groups: Iterable[StreamGroup], now_seconds: float) -> None:
        """Add streams from the store, which may be of any host."""
        for group in groups:
            names = (group.service, group.software_version)
            if max(map(len, names)) > MAX_NAME_CHARACTERS:
                continue
            for key, stream in read_group(group, now_seconds):
                stored = attrs.evolve(stream, is_from_store=True)
                self._add(key, stored, now_seconds, is_stored=False)

    def _forward(self, key: bytes, is_from_group: bool, now_seconds: float) -> None:
        outbox = self.to_all if is_from_group else self.to_group
        outbox.put(key, self._streams[key], now_seconds)

    def _forward_late(self, now_seconds: float) -> None:
        """Forward what came while the relay before this one may have been gone."""
        self._drop_unforwarded(now_seconds - RETRANSMIT_SECONDS)
        while self._unforwarded:
            _, key, is_from_group = self._unforwarded.popleft()
            if key in self._streams:
                self._forward(key, is_from_group, now_seconds)

    def _drop_unforwarded(self, before_seconds: float) -> None:
        while self._unforwarded and self._unforwarded[0][0] < before_seconds:
            self._unforwarded.popleft()

    def initial_state(self, now_seconds: float) -> BegunStreamsUpdate:
        """Return the newest streams and the versions listed, for a new peer.

        Many peers may connect at once, so that it is made once a second at most.
        """
        cached = self._cached_state
        if cached is not None and 0.0 <= now_seconds - cached[0] < STATE_AGE_SECONDS:
            return cached[1]
        state = self._make_state(now_seconds)
        self._cached_state = (now_seconds, state)
        return state

    def _make_state(self, now_seconds: float) -> BegunStreamsUpdate:
        self.on_state(now_seconds)
        self._expire(now_seconds)
        keys = list(self._streams)[-MAX_UPDATE_COUNT:]
        update = _to_update({key: self._streams[key] for key in keys}, now_seconds)
        return attrs.evolve(
            update,
            listed=[
                ListedVersion(service, version, age_seconds)
                for service, version, age_seconds in self._history.ages(now_seconds)
            ],
            known_seconds=self._history.known_seconds(now_seconds),
        )

    def _add(
        self,
        key: bytes,
        stream: BegunStream,
        now_seconds: float,
        *,
        is_stored: bool = True,
    ) -> bool:
        """Record a stream, in the store if need be; return whether that is new."""
        known = self.find(key, now_seconds)
        if known is not None:
            if _adds_nothing(known, stream):
                return False
            stream = _merge(known, stream)
            extension_seconds = stream.expires_at_seconds - known.expires_at_seconds
            is_same = (
                attrs.evolve(stream, expires_at_seconds=known.expires_at_seconds)
                == known
            )
            if is_same and extension_seconds < MIN_EXTENSION_SECONDS:
                return False
        # The newest streams are at the end.
        self._streams.pop(key, None)
        self._streams[key] = stream
        if is_stored and self.storage is not None:
            self.storage.put(key, stream)
        self._expire(now_seconds)
        return True

    def _expire(self, now_seconds: float) -> None:
        """Forget the oldest streams that have expired, or are too many."""
        while self._streams:
            key = next(iter(self._streams))
            has_expired = self._streams[key].expires_at_seconds < now_seconds
            if not has_expired and len(self._streams) <= MAX_STREAMS_COUNT:
                return
            del self._streams[key]
            if self.storage is not None:
                self.storage.discard(key)


class Outbox:
    """Streams to be sent to some peers."""

    def __init__(self, history: VersionHistory) -> None:
        self._history = history
        self._pending: dict[bytes, BegunStream] = {}
        #: What was sent lately, for retransmissions.
        self._sent: deque[tuple[float, bytes, BegunStream]] = deque()
        #: Called when there is an update to broadcast.
        self.on_update: Callable[[], None] = _do_nothing

    def put(self, key: bytes, stream: BegunStream, now_seconds: float) -> None:
        """Add a stream to the next update."""
        self._pending[key] = stream
        self._sent.append((now_seconds, key, stream))
        self.on_update()

    def take_update(self, now_seconds: float) -> BegunStreamsUpdate | None:
        """Return the streams that have not been sent yet, if any."""
        self._forget_sent(now_seconds)
        self._drop_expired(now_seconds)
        if not self._pending:
            return None
        # The newest ones are useful for longest, should there be too many.
        keys = list(self._pending)[-MAX_UPDATE_COUNT:]
        taken = {key: self._pending.pop(key) for key in keys}
        if self._pending:
            self.on_update()
        return _to_update(taken, now_seconds)

    def take_retransmission(self, now_seconds: float) -> BegunStreamsUpdate | None:
        """Return what was sent lately, if any."""
        self._forget_sent(now_seconds)
        recent = list(self._sent)[-MAX_UPDATE_COUNT:]
        streams = {key: stream for _, key, stream in recent}
        return _to_update(streams, now_seconds) if streams else None

    def initial_state(self, now_seconds: float) -> BegunStreamsUpdate | None:
        """Return nothing: a newly connected peer needs all streams, not the latest."""
        return None

    def batch_seconds(self) -> float:
        """Return the time over which streams are collected for one update."""
        is_mixed = self._history.is_mixed
        return URGENT_BATCH_SECONDS if is_mixed else RELAXED_BATCH_SECONDS

    def _drop_expired(self, now_seconds: float) -> None:
        """Drop streams that nobody can take up any more."""
        expired = [
            key
            for key, stream in self._pending.items()
            if stream.expires_at_seconds < now_seconds
        ]
        for key in expired:
            del self._pending[key]

    def _forget_sent(self, now_seconds: float) -> None:
        oldest_seconds = now_seconds - RETRANSMIT_SECONDS
        while self._sent and self._sent[0][0] < oldest_seconds:
            self._sent.popleft()


def _adds_nothing(known: BegunStream, other: BegunStream) -> bool:
    """Return whether a record repeats a known one, as most of a new peer's state does.

    Records are compared without copies: a host may receive thousands of them at once.
    """
    return (
        other.attempt_number == known.attempt_number
        and other.instance == known.instance
        and other.software_version == known.software_version
        and other.service == known.service
        and other.expires_at_seconds - known.expires_at_seconds < MIN_EXTENSION_SECONDS
    )


def _merge(known: BegunStream, other: BegunStream) -> BegunStream:
    """Return what two records of one key say together, in any order of arrival."""
    expires_at_seconds = max(known.expires_at_seconds, other.expires_at_seconds)
    newest = max(known, other, key=lambda item: item.attempt_number)
    is_conflict = (
        newest.attempt_number < CONFLICT_NUMBER
        and known.instance != other.instance
        and known.software_version != other.software_version
    )
    if is_conflict:
        # The caller may hold events of either.
        newest = attrs.evolve(
            newest, software_version=UNKNOWN_VERSION, attempt_number=CONFLICT_NUMBER
        )
    return attrs.evolve(newest, expires_at_seconds=expires_at_seconds)


def read_group(
    group: StreamGroup, now_seconds: float
) -> Iterator[tuple[bytes, BegunStream]]:
    """Yield the streams of a group, and their keys."""
    lifetime_seconds = min(group.lifetime_seconds, MAX_LIFETIME_SECONDS)
    expires_at_seconds = now_seconds + lifetime_seconds
    records = group.records
    for start in range(0, len(records) - RECORD_BYTES + 1, RECORD_BYTES):
        record = records[start : start + RECORD_BYTES]
        yield (
            record[:KEY_BYTES],
            BegunStream(
                group.service,
                group.software_version,
                record[KEY_BYTES:-1],
                record[-1],
                expires_at_seconds,
            ),
        )


def make_groups(
    streams: dict[bytes, BegunStream], now_seconds: float
) -> list[StreamGroup]:
    """Return streams as they are sent and stored."""
    records: dict[tuple[str, str, int], bytearray] = {}
    for key, stream in streams.items():
        # Lifetimes are rounded up to whole seconds, so that many share a group.
        left_seconds = max(0.0, stream.expires_at_seconds - now_seconds)
        group = (stream.service, stream.software_version, int(left_seconds) + 1)
        record = key + stream.instance + bytes([stream.attempt_number])
        records.setdefault(group, bytearray()).extend(record)
    return [
        StreamGroup(service, version, float(seconds), bytes(data))
        for (service, version, seconds), data in records.items()
    ]


def _to_update(
    streams: dict[bytes, BegunStream], now_seconds: float
) -> BegunStreamsUpdate:
    return BegunStreamsUpdate(make_groups(streams, now_seconds))


def split_update(update: BegunStreamsUpdate) -> Iterator[BegunStreamsUpdate]:
    """Yield the versions of an update, then its streams in parts of limited size.

    The versions outweigh missing records: a host that knows several versions of a
    service refuses streams without a record.
    """
    yield attrs.evolve(update, groups=[])
    groups: list[StreamGroup] = []
    free_bytes = MAX_PART_COUNT * RECORD_BYTES
    for group in update.groups:
        start = 0
        while start < len(group.records):
            records = group.records[start : start + free_bytes]
            groups.append(attrs.evolve(group, records=records))
            start += len(records)
            free_bytes -= len(records)
            if free_bytes <= 0:
                yield BegunStreamsUpdate(groups)
                groups, free_bytes = [], MAX_PART_COUNT * RECORD_BYTES
    if groups:
        yield BegunStreamsUpdate(groups)


def _do_nothing() -> None:
    return


def _ignore_time(now_seconds: float) -> None:
    return
