"""The begun streams that are kept in the store, in segments.

Streams in the store outlive the end of all hosts. One host of each group writes those
that its group began, and a standby does so less often, in segments of its own.

A segment is one object: it is written again as streams are added to it, then closed,
and overwritten once all of its streams have expired. Streams are written at once while
a service has several versions. Otherwise they are needed only if another version is
listed while no host runs, and are written less often.
"""

import math
from collections.abc import Callable, Iterable, Mapping

import attrs

from rampwick_schema import ReprMixin, StreamGroup

from ._begun_streams import BegunStream, make_groups
from ._version_history import VersionHistory

#: Number of streams from which a segment is closed, and maximum added by one write.
SEGMENT_COUNT = 500
MAX_WRITE_COUNT = 2_000

#: Maximum number of segments of one group. Beyond it the one that expires first is
#: overwritten.
MAX_SEGMENTS_COUNT = 100

#: Version of a segment after a write that may have been done.
UNKNOWN_VERSION = -1

#: Time after which a service counts as of one version again.
MIXED_SECONDS = 30.0

#: Time between two writes of all groups together, while a service has several versions
#: and otherwise: the store's calls must not grow with the number of groups.
URGENT_INTERVAL_SECONDS = 0.1
RELAXED_INTERVAL_SECONDS = 1.0

#: Number of intervals between two writes of a standby, which also waits for at least
#: a relaxed one.
STANDBY_FACTOR = 4.0


@attrs.define(repr=False)
class Segment(ReprMixin):
    """What is known of a segment in the store."""

    version: int
    expires_at_seconds: float
    #: Its streams while more may be added; none once it is closed.
    streams: dict[bytes, BegunStream] = attrs.field(factory=dict)


@attrs.frozen(repr=False)
class SegmentWrite(ReprMixin):
    """A write of one segment."""

    number: int
    expected_version: int
    streams: Mapping[bytes, BegunStream]
    groups: list[StreamGroup]


class StreamSegments:
    """Decides what is written to which segment."""

    def __init__(self, history: VersionHistory) -> None:
        self._history = history
        #: Streams that aren't stored.
        self._pending: dict[bytes, BegunStream] = {}
        self._written_at_seconds = -math.inf
        #: Whether another host of the group writes as well, and more often.
        self.is_standby = False
        #: Called when there are streams to be written.
        self.on_pending: Callable[[], None] = _do_nothing
        self._segments: dict[int, Segment] = {}
        self._open_number: int | None = None
        self._in_flight: SegmentWrite | None = None
        #: Number from which a free segment is searched; it differs between hosts, so
        #: that two that write at the same time seldom choose the same one.
        self.first_number = 0

    # The streams of the own group.

    def put(self, key: bytes, stream: BegunStream) -> None:
        """Add a stream, or replace it."""
        self._pending[key] = stream
        self.on_pending()

    def discard(self, key: bytes) -> None:
        """Drop a stream that can't be taken up any more."""
        self._pending.pop(key, None)

    # The segments.

    def note_read(
        self, segments: Iterable[tuple[int, int, float]], now_seconds: float
    ) -> None:
        """Record number, version and longest lifetime of each segment in the store."""
        self._open_number = None
        self._segments = {
            number: Segment(version, now_seconds + lifetime_seconds)
            for number, version, lifetime_seconds in segments
        }

    def due_seconds(self, groups_count: int, now_seconds: float) -> float:
        """Return when the next write may be made."""
        interval_seconds = self._interval_seconds(groups_count, now_seconds)
        return self._written_at_seconds + interval_seconds

    def next_write(self, groups_count: int, now_seconds: float) -> SegmentWrite | None:
        """Return the write that is due, if there is one."""
        if now_seconds < self.due_seconds(groups_count, now_seconds):
            return None
        if self._in_flight is not None:
            # An unexpected error ended it.
            self.note_failed(self._in_flight, may_be_done=True)
        added = self._take_pending(now_seconds)
        if not added:
            return None
        self._written_at_seconds = now_seconds
        number = self._choose_segment(now_seconds)
        segment = self._segments.get(number)
        streams = (
            dict(segment.streams) if segment and number == self._open_number else {}
        )
        streams |= added
        version = segment.version if segment else 0
        self._in_flight = SegmentWrite(
            number, version, streams, make_groups(streams, now_seconds)
        )
        return self._in_flight

    def note_written(self, write: SegmentWrite, version: int) -> None:
        """Record the version of a segment after a write."""
        self._in_flight = None
        is_closed = len(write.streams) >= SEGMENT_COUNT
        expires_at_seconds = max(
            stream.expires_at_seconds for stream in write.streams.values()
        )
        self._open_number = None if is_closed else write.number
        self._segments[write.number] = Segment(
            # Lifetimes are rounded up when they are written.
            version,
            expires_at_seconds + 1.0,
            {} if is_closed else dict(write.streams),
        )

    def note_failed(self, write: SegmentWrite, *, may_be_done: bool) -> None:
        """Keep the streams of a write that failed, or may not have taken effect.

        A segment of which it isn't known what it holds is left alone until the next
        reading.
        """
        self._in_flight = None
        self._pending = {**write.streams, **self._pending}
        self._open_number = None
        if may_be_done:
            self._segments[write.number] = Segment(UNKNOWN_VERSION, math.inf)

    @property
    def unknown_count(self) -> int:
        """Number of segments of which it isn't known what they hold."""
        return sum(
            segment.version == UNKNOWN_VERSION for segment in self._segments.values()
        )

    def _interval_seconds(self, groups_count: int, now_seconds: float) -> float:
        is_mixed = self._history.had_several(MIXED_SECONDS, now_seconds)
        seconds = URGENT_INTERVAL_SECONDS if is_mixed else RELAXED_INTERVAL_SECONDS
        if self.is_standby:
            seconds = max(RELAXED_INTERVAL_SECONDS, STANDBY_FACTOR * seconds)
        return seconds * groups_count

    def _take_pending(self, now_seconds: float) -> dict[bytes, BegunStream]:
        # The newest ones are useful for longest, should there be too many.
        keys = list(self._pending)[-MAX_WRITE_COUNT:]
        taken = {key: self._pending.pop(key) for key in keys}
        return {
            key: stream
            for key, stream in taken.items()
            if stream.expires_at_seconds >= now_seconds
        }

    def _choose_segment(self, now_seconds: float) -> int:
        if self._open_number is not None:
            return self._open_number
        numbers = [
            (self.first_number + index) % MAX_SEGMENTS_COUNT
            for index in range(MAX_SEGMENTS_COUNT)
        ]
        ends = {
            number: segment.expires_at_seconds
            for number, segment in self._segments.items()
        }
        for number in numbers:
            if ends.get(number, math.inf) < now_seconds:
                return number
        for number in numbers:
            if number not in ends:
                return number
        return min(numbers, key=lambda number: ends[number])


def _do_nothing() -> None:
    return
