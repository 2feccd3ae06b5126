"""Headers of requests and responses, and the selection of end-to-end headers."""

from collections.abc import Iterable, Sequence
from http import HTTPStatus

import attrs

from rampwick_schema import ReprMixin

Header = tuple[bytes, bytes]
RawHeaders = Sequence[Header]

#: Statuses whose responses have no body.
BODILESS_STATUSES = (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)

#: Requests per second that a rampwick upstream accepts from all hosts together.
REQUEST_RATE = b"rampwick-request-rate"

#: Rejections per second under which a rampwick upstream fails.
BRITTLE = b"rampwick-brittle"

#: Announces that an upstream is shutting down.
LEAVING = b"rampwick-leaving"

#: Hop-by-hop headers of RFC 9110, and headers that each sender generates itself.
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
class ResponseHead(ReprMixin):
    """Status line and headers of an upstream's response."""

    status: int
    headers: RawHeaders


def end_to_end_headers(headers: Iterable[Header]) -> list[Header]:
    """Return the headers that are not hop-by-hop.

    Headers listed in a Connection header are hop-by-hop as well.
    """
    all_headers = list(headers)
    listed = {
        token.strip().lower()
        for name, value in all_headers
        if name.lower() == b"connection"
        for token in value.split(b",")
    }
    hop_by_hop = CONNECTION_HEADERS | listed
    return [
        (name, value) for name, value in all_headers if name.lower() not in hop_by_hop
    ]


def find(headers: Iterable[Header], name: bytes) -> bytes | None:
    """Return the value of the first header with a lower-case name, or None."""
    for header_name, value in headers:
        if header_name.lower() == name:
            return value
    return None


def find_all(headers: Iterable[Header], name: bytes) -> list[bytes]:
    """Return the values of all headers with a lower-case name."""
    return [value for header_name, value in headers if header_name.lower() == name]


def keep_alive_seconds(headers: Iterable[Header]) -> float | None:
    """Return the idle timeout in a Keep-Alive header, or None."""
    value = find(headers, b"keep-alive")
    if value is None:
        return None
    for part in value.split(b","):
        name, _, text = part.strip().partition(b"=")
        if name.strip().lower() == b"timeout" and text.strip().isdigit():
            return float(text)
    return None


def has_connection_close(headers: Iterable[Header]) -> bool:
    """Return whether a Connection header contains ``close``."""
    value = find(headers, b"connection")
    if value is None:
        return False
    return any(token.strip().lower() == b"close" for token in value.split(b","))


def is_bodiless(method: str, status: int) -> bool:
    """Return whether a response has no body, whatever its head states."""
    return method == "HEAD" or status in BODILESS_STATUSES
