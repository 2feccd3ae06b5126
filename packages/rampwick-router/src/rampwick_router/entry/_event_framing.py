"""Framing of server-sent events, with the bytes of each event unchanged.

An upstream may fail in the middle of an event. Only complete events are forwarded, so
that another upstream can resume the stream after the last id that the caller received.
"""

import itertools
import re

import attrs

from rampwick_policy import BLANK_LINE, Outcome, has_field, is_idle_stream
from rampwick_schema import ReprMixin

from .._errors import AttemptError

EVENT_END = re.compile(BLANK_LINE)
LONGEST_END_BYTES = len(b"\r\n\r\n")
ID_LINE = re.compile(rb"(?:\A|[\r\n])id: ?([^\r\n]*)")

#: Length above which bytes are searched for an event before they are split.
LONG_BYTES = 1024

#: Maximum length of an id that is compared as a number.
MAX_ID_DIGITS = 18

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
        self._remainder = bytearray()
        #: Bytes of comments and empty lines since the last event.
        self._idle_bytes = 0
        #: Number of complete events so far that were not dropped as duplicates.
        self.events_count = 0
        #: Events with ids up to this one are dropped; None if ids are not numeric.
        self._after_id = _read_number(after_id)

    @property
    def remainder(self) -> bytes:
        """Bytes after the last complete event."""
        return bytes(self._remainder)

    @property
    def remainder_bytes(self) -> int:
        """Number of bytes after the last complete event."""
        return len(self._remainder)

    @property
    def is_inside_event(self) -> bool:
        """Whether the bytes so far end inside an event."""
        return has_field(bytes(self._remainder))

    def feed(self, data: bytes) -> EventBatch:
        """Add bytes and return the events that they complete."""
        # The end of an event may have begun in the remainder.
        first = max(0, len(self._remainder) - LONGEST_END_BYTES)
        self._remainder += data
        ends = self._find_ends(first)
        new_blocks = []
        new_count = 0
        last_id = ""
        for start, end in itertools.pairwise([0, *ends]):
            event = bytes(self._remainder[start:end])
            is_event = has_field(event)
            self._idle_bytes = 0 if is_event else self._idle_bytes + len(event)
            event_id = _read_id(event) if is_event else ""
            if self._is_duplicate(event_id):
                continue
            new_count += is_event
            new_blocks.append(event)
            last_id = event_id or last_id
        if ends:
            del self._remainder[: ends[-1]]
        if len(self._remainder) > self._max_event_bytes:
            message = f"event larger than {self._max_event_bytes} bytes"
            raise self._error(message, "event")
        if is_idle_stream(self._idle_bytes):
            message = f"no event in {self._idle_bytes} bytes"
            raise self._error(message, "bytes without an event")
        self.events_count += new_count
        return EventBatch(b"".join(new_blocks), new_count, last_id)

    def _find_ends(self, first: int) -> list[int]:
        """Return the ends of the blocks that are complete."""
        if len(self._remainder) > LONG_BYTES and not self.is_inside_event:
            # Comments and empty lines only, which are handled as one block.
            last = self._remainder.rfind(b"\n\n", first)
            if last >= 0:
                return [last + len(b"\n\n")]
        return [end.end() for end in EVENT_END.finditer(self._remainder, first)]

    def _error(self, message: str, bound: str) -> AttemptError:
        return AttemptError(
            message, outcome=Outcome.BROKEN, step=STEP, peer=self._peer, bound=bound
        )

    def _is_duplicate(self, event_id: str) -> bool:
        number = _read_number(event_id)
        if number is None or self._after_id is None:
            return False
        return number <= self._after_id


def _read_number(event_id: str) -> int | None:
    is_number = event_id.isascii() and event_id.isdigit()
    return int(event_id) if is_number and len(event_id) <= MAX_ID_DIGITS else None


def _read_id(event: bytes) -> str:
    match = ID_LINE.search(event)
    return match.group(1).decode("latin-1") if match else ""
