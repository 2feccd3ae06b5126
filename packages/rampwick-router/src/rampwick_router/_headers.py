"""Headers of requests and answers, and which of them never travel further."""

from collections.abc import Iterable, Sequence

import attrs

from rampwick_schema import ReprMixin

Header = tuple[bytes, bytes]
RawHeaders = Sequence[Header]

#: Requests a second that an upstream takes from all hosts together, as rampwick's own
#: upstreams name it.
REQUEST_RATE = b"rampwick-request-rate"

#: Announcement of an upstream that is shutting down.
LEAVING = b"rampwick-leaving"

#: Headers of one connection, by RFC 9110, and those that the sender makes anew.
CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


@attrs.frozen(repr=False)
class AnswerHead(ReprMixin):
    """Status line and headers of an upstream's answer."""

    status: int
    headers: RawHeaders
    #: Whether the end of the body is told by its length or by chunks.
    is_framed: bool


def end_to_end(headers: Iterable[Header]) -> list[Header]:
    """Return the headers that go beyond one connection.

    What a Connection header names belongs to the connection as well.
    """
    known = list(headers)
    named = {
        token.strip().lower()
        for name, value in known
        if name.lower() == b"connection"
        for token in value.split(b",")
    }
    left_out = CONNECTION_HEADERS | named
    return [(name, value) for name, value in known if name.lower() not in left_out]


def find(headers: Iterable[Header], name: bytes) -> bytes | None:
    """Return the value of the first header of a lower-case name; None without one."""
    for known, value in headers:
        if known.lower() == name:
            return value
    return None


def find_all(headers: Iterable[Header], name: bytes) -> list[bytes]:
    """Return the values of all headers of a lower-case name."""
    return [value for known, value in headers if known.lower() == name]


def keep_alive_seconds(headers: Iterable[Header]) -> float | None:
    """Return the rest that a Keep-Alive header allows; None if it names none."""
    value = find(headers, b"keep-alive")
    if value is None:
        return None
    for part in value.split(b","):
        name, _, text = part.strip().partition(b"=")
        if name.strip().lower() == b"timeout" and text.strip().isdigit():
            return float(text)
    return None


def asks_to_close(headers: Iterable[Header]) -> bool:
    """Return whether a Connection header ends the connection after this message."""
    value = find(headers, b"connection")
    if value is None:
        return False
    return any(token.strip().lower() == b"close" for token in value.split(b","))
