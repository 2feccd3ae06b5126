"""Check at the end of an answer's body, before the answer to the caller is ended."""

import re

from rampwick_policy import (
    BLANK_LINE,
    AnswerContent,
    BodyEnd,
    Outcome,
    ReceivedAnswer,
    find_defect,
    has_field,
)

from .._errors import AttemptError
from .._headers import ResponseHead, find

EVENT_END = re.compile(BLANK_LINE)
EVENT_STREAM_TYPE = b"text/event-stream"

#: Length of an unfinished event above which its bytes are not kept.
MAX_KEPT_BYTES = 4096

#: Bytes kept of it, in which an empty line is found over the borders of chunks.
LINE_END_BYTES = 4


def check_complete(answer: ReceivedAnswer, step: str, peer: str) -> None:
    """Raise an AttemptError if an answer from ``peer`` is not complete."""
    defect = find_defect(answer)
    if defect:
        raise AttemptError(
            defect,
            outcome=Outcome.BROKEN,
            step=step,
            peer=peer,
            was_closed=answer.body_end is BodyEnd.CLOSED,
        )


def has_events(head: ResponseHead, *, otherwise: bool) -> bool:
    """Return whether a body is a stream of events, by its type if it has one."""
    content_type = find(head.headers, b"content-type")
    if content_type is None:
        return otherwise
    return content_type.partition(b";")[0].strip().lower() == EVENT_STREAM_TYPE


class BodyTracker:
    """Follows a body that is forwarded as it arrives, not event by event."""

    def __init__(self, head: ResponseHead) -> None:
        is_stream = has_events(head, otherwise=False)
        self._content = AnswerContent.EVENTS if is_stream else AnswerContent.BYTES
        self._events_count = 0
        self._tail = b""
        self._is_long_event = False

    def feed(self, chunk: bytes) -> None:
        """Record a chunk of the body."""
        if self._content is AnswerContent.BYTES:
            return
        buffer = self._tail + chunk
        start = 0
        for end in EVENT_END.finditer(buffer):
            block, start = buffer[start : end.end()], end.end()
            self._events_count += self._is_long_event or has_field(block)
            self._is_long_event = False
        self._tail = buffer[start:]
        if len(self._tail) > MAX_KEPT_BYTES:
            self._is_long_event |= has_field(self._tail)
            self._tail = self._tail[-LINE_END_BYTES:]

    def check(self, body_end: BodyEnd | None, step: str, peer: str) -> None:
        """Raise an AttemptError if the body from ``peer`` is not complete."""
        answer = ReceivedAnswer(
            self._content,
            body_end,
            events_count=self._events_count,
            is_inside_event=self._is_long_event or has_field(self._tail),
        )
        check_complete(answer, step, peer)
