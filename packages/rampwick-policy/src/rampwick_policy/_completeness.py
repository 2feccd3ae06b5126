"""How the body of an upstream's response ended."""

import enum


class BodyEnd(enum.Enum):
    """How the end of a body was recognized, if the connection was not broken."""

    #: By the stated length or the last chunk.
    DELIMITED = "delimited"
    #: By the orderly close of the connection, without a length or chunks.
    CLOSED = "closed"
