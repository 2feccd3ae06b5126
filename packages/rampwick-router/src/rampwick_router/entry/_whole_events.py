"""Cutting a stream of server-sent events at event ends, bytes unchanged.

An upstream may stop in the middle of an event; only whole ones are passed on, so that
the stream can go on elsewhere after the last id that the caller has.
"""

import re

import attrs

from rampwick_policy import Outcome
from rampwick_schema import ReprMixin

from .._errors import AttemptError

#: An event ends with an empty line, in any of the three line ends.
EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
ID_LINE = re.compile(rb"(?:\A|[\r\n])id: ?([^\r\n]*)")

STEP = "read stream"


@attrs.frozen(repr=False)
class EventBatch(ReprMixin):
    """Whole events that came together."""

    data: bytes
    count: int
    #: Id of the last event that has one; empty if none has.
    last_id: str = ""


class WholeEvents:
    """Collects bytes and gives out whole events."""

    def __init__(self, max_event_bytes: int, peer: str, after_id: str = "") -> None:
        self._max_event_bytes = max_event_bytes
        self._peer = peer
        self._rest = b""
        #: Events up to this one are left out; nothing if ids are not numbers.
        self._after = int(after_id) if after_id.isdigit() else None

    @property
    def rest(self) -> bytes:
        """Bytes of an event that is not whole."""
        return self._rest

    def feed(self, data: bytes) -> EventBatch:
        """Return the events that these bytes complete."""
        buffer = self._rest + data
        kept = []
        last_id = ""
        start = 0
        for end in EVENT_END.finditer(buffer):
            event = buffer[start : end.end()]
            start = end.end()
            event_id = _read_id(event)
            if self._is_known(event_id):
                continue
            kept.append(event)
            last_id = event_id or last_id
        self._rest = buffer[start:]
        if len(self._rest) > self._max_event_bytes:
            raise AttemptError(
                f"event larger than {self._max_event_bytes} bytes",
                outcome=Outcome.BROKEN,
                step=STEP,
                peer=self._peer,
            )
        return EventBatch(b"".join(kept), len(kept), last_id)

    def _is_known(self, event_id: str) -> bool:
        return (
            self._after is not None
            and event_id.isdigit()
            and int(event_id) <= self._after
        )


def _read_id(event: bytes) -> str:
    match = ID_LINE.search(event)
    return match.group(1).decode("latin-1") if match else ""
