"""Framing of server-sent events, with the bytes of each event unchanged.

An upstream may fail in the middle of an event. Only complete events are forwarded, so
that another upstream can resume the stream after the last id that the caller received.
"""

import re

import attrs

from rampwick_policy import BLANK_LINE, Outcome, has_field
from rampwick_schema import ReprMixin

from .._errors import AttemptError

EVENT_END = re.compile(BLANK_LINE)
ID_LINE = re.compile(rb"(?:\A|[\r\n])id: ?([^\r\n]*)")

STEP = "read stream"


@attrs.frozen(repr=False)
class EventBatch(ReprMixin):
    """Complete events from one read, and the comments between them."""

    data: bytes
    #: Number of events, without comments.
    count: int
    #: Id of the last event that has an id; empty if none has.
    last_id: str = ""


class EventFramer:
    """Buffers bytes and returns complete events."""

    def __init__(self, max_event_bytes: int, peer: str, after_id: str = "") -> None:
        self._max_event_bytes = max_event_bytes
        self._peer = peer
        self._remainder = b""
        #: Number of complete events so far that were not dropped as duplicates.
        self.events_count = 0
        #: Events with ids up to this one are dropped; None if ids are not numeric.
        self._after_id = int(after_id) if after_id.isdigit() else None

    @property
    def remainder(self) -> bytes:
        """Bytes after the last complete event."""
        return self._remainder

    @property
    def is_inside_event(self) -> bool:
        """Whether the bytes so far end inside an event."""
        return has_field(self._remainder)

    def feed(self, data: bytes) -> EventBatch:
        """Add bytes and return the events that they complete."""
        buffer = self._remainder + data
        new_blocks = []
        new_count = 0
        last_id = ""
        start = 0
        for end in EVENT_END.finditer(buffer):
            event = buffer[start : end.end()]
            start = end.end()
            event_id = _read_id(event)
            if self._is_duplicate(event_id):
                continue
            new_count += has_field(event)
            new_blocks.append(event)
            last_id = event_id or last_id
        self._remainder = buffer[start:]
        if len(self._remainder) > self._max_event_bytes:
            raise AttemptError(
                f"event larger than {self._max_event_bytes} bytes",
                outcome=Outcome.BROKEN,
                step=STEP,
                peer=self._peer,
            )
        self.events_count += new_count
        return EventBatch(b"".join(new_blocks), new_count, last_id)

    def _is_duplicate(self, event_id: str) -> bool:
        return (
            self._after_id is not None
            and event_id.isdigit()
            and int(event_id) <= self._after_id
        )


def _read_id(event: bytes) -> str:
    match = ID_LINE.search(event)
    return match.group(1).decode("latin-1") if match else ""
