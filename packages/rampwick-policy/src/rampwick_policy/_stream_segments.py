"""The part of the begun streams that is kept in the store, in segments.

Streams in the store outlive the end of all hosts. One host of each group writes those
that its group began. A segment is one object: it is written again as streams are added
to it, then closed, and overwritten once all of its streams have expired. Only streams
of services that had several versions lately are written, since the version of the
others is found without.
"""

import math
from collections.abc import Iterable, Mapping

import attrs

from rampwick_schema import ReprMixin, StreamGroup

from ._begun_streams import MAX_LIFETIME_SECONDS, BegunStream, make_groups
from ._version_history import VersionHistory

#: Number of streams from which a segment is closed, and maximum added by one write.
SEGMENT_COUNT = 500
MAX_WRITE_COUNT = 2_000

#: Maximum number of segments of one group. Beyond it the one that expires first is
#: overwritten.
MAX_SEGMENTS_COUNT = 100

#: Time beyond the lifetime of its streams for which a service that had several versions
#: counts as mixed: hosts that read the history later remember versions for longer.
MIXED_MARGIN_SECONDS = 20.0

#: Time between two writes of one group, and of all groups together.
GROUP_INTERVAL_SECONDS = 0.1
FLEET_INTERVAL_SECONDS = 0.025


def write_interval_seconds(groups_count: int) -> float:
    """Return the time between two writes of one of several groups."""
    return max(GROUP_INTERVAL_SECONDS, FLEET_INTERVAL_SECONDS * groups_count)


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
        #: Streams that aren't stored, by service.
        self._pending: dict[str, dict[bytes, BegunStream]] = {}
        self._segments: dict[int, Segment] = {}
        self._open_number: int | None = None
        #: Number from which a free segment is searched; it differs between hosts, so
        #: that two that write at the same time seldom choose the same one.
        self.first_number = 0

    @property
    def pending_count(self) -> int:
        """Number of streams that aren't stored, needed or not."""
        return sum(map(len, self._pending.values()))

    # The streams of the own group.

    def put(self, key: bytes, stream: BegunStream) -> None:
        """Add a stream, or replace it."""
        self._pending.setdefault(stream.service, {})[key] = stream

    def discard(self, key: bytes, stream: BegunStream) -> None:
        """Drop a stream that can't be taken up any more."""
        pending = self._pending.get(stream.service)
        if pending is None:
            return
        pending.pop(key, None)
        if not pending:
            del self._pending[stream.service]

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

    def next_write(self, now_seconds: float) -> SegmentWrite | None:
        """Return the next write, if there is anything to be stored."""
        added = self._take_pending(now_seconds)
        if not added:
            return None
        number = self._choose_segment(now_seconds)
        segment = self._segments.get(number)
        streams = (
            dict(segment.streams) if segment and number == self._open_number else {}
        )
        streams |= added
        version = segment.version if segment else 0
        return SegmentWrite(number, version, streams, make_groups(streams, now_seconds))

    def note_written(self, write: SegmentWrite, version: int) -> None:
        """Record the version of a segment after a write."""
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

    def note_failed(self, write: SegmentWrite) -> None:
        """Keep the streams of a write that may not have taken effect."""
        for key, stream in write.streams.items():
            self._pending.setdefault(stream.service, {}).setdefault(key, stream)
        self._open_number = None

    def _take_pending(self, now_seconds: float) -> dict[bytes, BegunStream]:
        taken: dict[bytes, BegunStream] = {}
        for service in list(self._pending):
            if not self._is_mixed(service, now_seconds):
                continue
            pending = self._pending[service]
            # The newest ones are useful for longest, should there be too many.
            for key in list(pending)[len(taken) - MAX_WRITE_COUNT :]:
                stream = pending.pop(key)
                if stream.expires_at_seconds >= now_seconds:
                    taken[key] = stream
            if not pending:
                del self._pending[service]
            if len(taken) >= MAX_WRITE_COUNT:
                break
        return taken

    def _is_mixed(self, service: str, now_seconds: float) -> bool:
        newest = next(reversed(self._pending[service].values()))
        lifetime_seconds = newest.expires_at_seconds - now_seconds
        within_seconds = min(lifetime_seconds, MAX_LIFETIME_SECONDS)
        return self._history.had_several(
            service, within_seconds + MIXED_MARGIN_SECONDS, now_seconds
        )

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
