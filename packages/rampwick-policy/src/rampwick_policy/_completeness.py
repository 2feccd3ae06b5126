"""When an answer of an upstream is complete.

Every path on which bytes of an answer are forwarded asks :func:`find_defect` at the end
of the body, and ends the answer towards its caller only if there is no defect. An
answer with a defect may be continued by another attempt, or is visibly cut short.
"""

import enum
import re

import attrs

from rampwick_schema import ReprMixin

#: The empty line that ends an event, with any of the three line terminators.
BLANK_LINE = rb"(?>\r\n|\n|\r)(?>\r\n|\n|\r)"

#: What may precede the first event of a stream.
BYTE_ORDER_MARK = b"\xef\xbb\xbf"

#: A field of an event, which is any line that is neither empty nor a comment.
FIELD_LINE = re.compile(rb"(?:\A|[\r\n])[^:\r\n]")


class BodyEnd(enum.Enum):
    """How the end of a body was recognized, if the connection was not broken."""

    #: By the stated length or the last chunk.
    DELIMITED = "delimited"
    #: By the orderly close of the connection, without a length or chunks.
    CLOSED = "closed"


class AnswerContent(enum.Enum):
    """What the body of an answer consists of."""

    BYTES = "bytes"
    EVENTS = "events"
    #: Events of the OpenAI dialect, which marks the end of a complete answer.
    COMPLETION_EVENTS = "completion events"


@attrs.frozen(repr=False)
class ReceivedAnswer(ReprMixin):
    """What is known about an answer at the end of its body."""

    content: AnswerContent
    #: How the body ended; ``None`` if its connection broke.
    body_end: BodyEnd | None
    #: Number of complete events in this body that the caller did not have yet; comments
    #: and empty blocks, which servers send as heartbeats, are none.
    events_count: int = 0
    #: Whether the body ended between the first and the last byte of an event.
    is_inside_event: bool = False
    #: Whether at least one more event is due: the first one of a stream, or the one
    #: that an earlier attempt of the same answer was cut in.
    is_event_due: bool = False
    #: Whether the event that marks the end of a complete answer was received.
    has_final_event: bool = False


def find_defect(answer: ReceivedAnswer) -> str:
    """Return why an answer is not complete; empty if it is.

    The framing alone does not show it: an upstream that fails may still close its
    connection in order, or send the last chunk.
    """
    if answer.content is AnswerContent.COMPLETION_EVENTS:
        return "" if answer.has_final_event else "the stream ended before its end"
    if answer.body_end is None:
        return "the connection broke"
    if answer.is_inside_event:
        return "the stream ended inside an event"
    if answer.is_event_due and not answer.events_count:
        return "the stream ended without an event that was due"
    has_no_evidence = answer.body_end is BodyEnd.CLOSED and not answer.events_count
    if answer.content is AnswerContent.EVENTS and has_no_evidence:
        return "the connection closed before the first event"
    return ""


def has_field(block: bytes) -> bool:
    """Return whether bytes hold a field of an event, or its beginning.

    Empty lines and comments are none, nor is a byte order mark before them.
    """
    return FIELD_LINE.search(block.removeprefix(BYTE_ORDER_MARK)) is not None
