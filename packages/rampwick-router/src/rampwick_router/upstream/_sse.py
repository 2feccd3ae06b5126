"""Server-sent events: parsing an upstream's bytes and formatting a caller's events.

Only the subset that engines send is supported: an ``id`` line with a position and one
``data`` line. Parsing is on the path of every token, so it works on whole buffers.
"""

import attrs

from rampwick_policy import is_idle_stream
from rampwick_schema import ReprMixin

from .._errors import AttemptError, Outcome

EVENT_END = b"\n\n"
DONE = b"[DONE]"

#: Beginnings of the lines that are read.
FIELDS = (b"data: ", b"id: ")

STEP = "read stream"


@attrs.frozen(repr=False)
class StreamEvent(ReprMixin):
    """One event; an event without an id has no position."""

    position: int | None
    data: bytes

    @property
    def is_comment(self) -> bool:
        """Whether it is no event: a comment, or an empty block."""
        return self.position is None and not self.data

    @property
    def is_done(self) -> bool:
        """Whether this event ends a complete response."""
        return self.data == DONE


class EventSplitter:
    """Splits a byte stream into events, independent of how the bytes are chunked."""

    def __init__(self, max_event_bytes: int, peer: str) -> None:
        self._max_event_bytes = max_event_bytes
        self._peer = peer
        self._buffered = bytearray()
        #: Bytes of comments and empty lines since the last event.
        self._idle_bytes = 0
        #: A carriage return at the end of the last read, which may be half of a
        #: terminator.
        self._held = b""

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes after the last complete event."""
        return len(self._buffered)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that these bytes complete."""
        data, self._held = self._held + data, b""
        if data.endswith(b"\r"):
            data, self._held = data[:-1], b"\r"
        # The end of an event may have begun in the buffer.
        first = max(0, len(self._buffered) - len(EVENT_END) + 1)
        self._buffered += data.replace(b"\r\n", b"\n")
        blocks: list[bytes] = []
        end = self._buffered.rfind(EVENT_END, first)
        if end >= 0:
            complete = bytes(self._buffered[:end])
            del self._buffered[: end + len(EVENT_END)]
            if any(field in complete for field in FIELDS):
                blocks = complete.split(EVENT_END)
            else:
                # Comments and empty lines only, which may be many.
                self._idle_bytes += end + len(EVENT_END)
        if len(self._buffered) > self._max_event_bytes:
            message = f"event larger than {self._max_event_bytes} bytes"
            raise self._error(message, "event")
        events = []
        for block in blocks:
            event = self._parse(block) if block else None
            if event is None or event.is_comment:
                self._idle_bytes += len(block) + len(EVENT_END)
            else:
                self._idle_bytes = 0
                events.append(event)
        if is_idle_stream(self._idle_bytes):
            message = f"no event in {self._idle_bytes} bytes"
            raise self._error(message, "bytes without an event")
        return events

    def _parse(self, block: bytes) -> StreamEvent:
        position = None
        data = b""
        for line in block.split(b"\n"):
            if line.startswith(b"data: "):
                data = line[6:]
            elif line.startswith(b"id: "):
                position = self._parse_position(line[4:])
        return StreamEvent(position, data)

    def _parse_position(self, text: bytes) -> int:
        if not text.isdigit() or len(text) > 12:
            raise self._error(f"position {text[:20]!r} is not a number")
        return int(text)

    def _error(self, message: str, bound: str = "") -> AttemptError:
        return AttemptError(
            message, outcome=Outcome.BROKEN, step=STEP, peer=self._peer, bound=bound
        )


class SequenceFilter:
    """Passes each position once and in order."""

    def __init__(self, next_position: int, peer: str) -> None:
        #: Next expected position.
        self.next_position = next_position
        self._peer = peer

    def admit(self, event: StreamEvent) -> bool:
        """Return whether the event is the next one; a gap is an error.

        False means that the event is a duplicate and must be dropped.
        """
        if event.position is None or event.position == self.next_position:
            self.next_position += 1
            return True
        if event.position < self.next_position:
            return False
        raise AttemptError(
            f"position {event.position} came before {self.next_position}",
            outcome=Outcome.BROKEN,
            step=STEP,
            peer=self._peer,
        )


def format_event(stream_token: bytes, position: int, data: bytes) -> bytes:
    """Format an event for the caller; its id lets any host resume after it."""
    return b"id: %s.%d\ndata: %s\n\n" % (stream_token, position, data)
