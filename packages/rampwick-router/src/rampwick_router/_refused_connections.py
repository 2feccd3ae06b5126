"""Connections that are refused unread, as their listener is closed."""

import contextlib
import select
import socket
import struct
from collections.abc import Callable
from http import HTTPStatus

from ._dialects import ErrorResponse

#: Bytes of one read of what a caller sent.
READ_BYTES = 65536

#: Most bytes that are read of one connection at once.
MAX_READ_BYTES = 1 << 20

#: How a caller that uses HTTP/2 without negotiation begins (RFC 9113, 3.4).
HTTP2_PREFACE = b"PRI * HTTP/2.0"

#: Types of the frames of a refusal on HTTP/2: empty settings, and an end of the
#: connection that names no stream as processed.
_SETTINGS, _GOAWAY = 0x4, 0x7
_HTTP2_REFUSAL = (
    struct.pack(">xHBBI", 0, _SETTINGS, 0, 0)
    + struct.pack(">xHBBI", 8, _GOAWAY, 0, 0)
    + struct.pack(">II", 0, 0)
)


def encode_response(response: ErrorResponse) -> bytes:
    """Return a response as HTTP/1.1, the last one on its connection."""
    phrase = HTTPStatus(response.status).phrase.encode()
    lines = [b"HTTP/1.1 %d %s" % (response.status, phrase), b"connection: close"]
    lines += [b"%s: %s" % (name, value) for name, value in response.headers]
    return b"\r\n".join(lines) + b"\r\n\r\n" + response.body


class RefusedConnections:
    """Sends one response on each connection, whatever its caller has sent.

    The connections stay open until their callers have closed them: one that is closed
    with unread bytes is reset, and its caller may lose the response.
    """

    def __init__(self, write_refusal: Callable[[], bytes]) -> None:
        """``write_refusal`` returns the response, with its head."""
        self._write_refusal = write_refusal
        #: The response on HTTP/1.1; empty before the first one.
        self._refusal = b""
        self._open: list[socket.socket] = []

    def refuse(self, connection: socket.socket) -> None:
        """Send the response and end the sending direction."""
        connection.setblocking(False)
        # A caller that has left gets no response, and nothing is lost.
        with contextlib.suppress(OSError):
            is_http2 = _read(connection).startswith(HTTP2_PREFACE)
            self._refusal = self._refusal or self._write_refusal()
            connection.send(_HTTP2_REFUSAL if is_http2 else self._refusal)
            connection.shutdown(socket.SHUT_WR)
        self._open.append(connection)

    def count_open(self) -> int:
        """Return the number of connections that their callers have not closed."""
        still_open = []
        for connection in self._open:
            with contextlib.suppress(OSError):
                _read(connection)
            if _has_left(connection):
                connection.close()
            else:
                still_open.append(connection)
        self._open = still_open
        return len(self._open)

    def close(self) -> None:
        """Close all connections."""
        self.count_open()
        while self._open:
            self._open.pop().close()


def _read(connection: socket.socket) -> bytes:
    """Read what has arrived, up to a bound; return its first bytes."""
    first, read_bytes = b"", 0
    with contextlib.suppress(BlockingIOError):
        while read_bytes < MAX_READ_BYTES:
            data = connection.recv(READ_BYTES)
            if not data:
                break
            first, read_bytes = first or data, read_bytes + len(data)
    return first


def _has_left(connection: socket.socket) -> bool:
    poll = select.poll()
    poll.register(connection, select.POLLRDHUP)
    return bool(poll.poll(0))
