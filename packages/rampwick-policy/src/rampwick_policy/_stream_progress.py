"""When an answer brings bytes but no progress.

Comments and empty lines keep a connection alive, and tell that a server still works.
They are no part of the answer, so that a server could send them without end.
"""

#: Bytes without an event after which a stream has failed. A server that sends a short
#: comment each second would need most of an hour for as many.
MAX_IDLE_BYTES = 65_536

#: Time without an event after which a stream that sends comments may be given up, as a
#: multiple of the time after which one that sends nothing may be: comments tell that
#: the server is alive.
IDLE_FACTOR = 3.0

#: Bytes of chunk framing after which a body has failed that consists mostly of framing.
MAX_FRAMING_BYTES = 262_144
MAX_FRAMING_RATIO = 2.0


def is_idle_stream(idle_bytes: int) -> bool:
    """Return whether a stream has sent too much since its last event."""
    return idle_bytes > MAX_IDLE_BYTES


def max_idle_seconds(silence_timeout_seconds: float) -> float:
    """Return the time without an event after which a stream may be given up."""
    return IDLE_FACTOR * silence_timeout_seconds


def is_mostly_framing(read_bytes: int, body_bytes: int) -> bool:
    """Return whether what was read for a body is hardly any content."""
    framing_bytes = read_bytes - body_bytes
    return (
        framing_bytes > MAX_FRAMING_BYTES
        and framing_bytes > MAX_FRAMING_RATIO * body_bytes
    )
