"""A TCP connection without a hidden buffer.

A stream of the event loop may have read bytes that were not requested yet, so that it
is unknown whether a pooled connection is clean. Here every byte is either in the kernel
or with the caller.

The code uses asyncio's event loop directly, which anyio runs on here. Waiting through
anyio registers the socket again for each read, which doubled the system calls for each
chunk of a stream.
"""

import asyncio
import socket
import struct
from collections.abc import Callable

import anyio

from rampwick_platform import LIVENESS_OPTIONS

from .._segment_age import max_segment_age_seconds, segment_age_seconds

#: Maximum number of bytes per read from the kernel.
RECEIVE_BYTES = 65536


class TcpSocket:
    """One connection; errors are OSError, end of stream is an empty read."""

    def __init__(self, raw: socket.socket) -> None:
        self._raw = raw
        self._is_closed = False
        #: Number of bytes passed to the kernel so far.
        self.sent_bytes_count = 0
        #: Whether the loop watches the socket, and whether it has become readable.
        self._is_watched = False
        self._has_bytes = asyncio.Event()
        #: First error of the connection. The kernel reports a reset once, to whichever
        #: call comes next; a read after that returns no bytes, as after a close.
        self._error: OSError | None = None

    @classmethod
    async def connect(cls, address: str) -> "TcpSocket":
        """Connect to ``ip:port``; the caller limits the time."""
        host, _, port = address.rpartition(":")
        raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            raw.setblocking(False)
            _tune(raw)
            await _connect(raw, (host, int(port)))
        except BaseException:
            raw.close()
            raise
        return cls(raw)

    async def send(self, data: bytes, before_write: Callable[[], None]) -> None:
        """Send all bytes.

        ``before_write`` is called immediately before each write, and ends the sending
        by an error.
        """
        view = memoryview(data)
        while view:
            before_write()
            try:
                count = self._raw.send(view)
                self.sent_bytes_count += count
                view = view[count:]
            except BlockingIOError:
                await anyio.wait_writable(self._raw)
            except OSError as error:
                raise self._first_error(error) from None

    async def receive(self) -> bytes:
        """Return the next bytes; empty once the peer has closed its side.

        A connection that has failed, in whichever call, raises the error that ended it
        once its last bytes are read.
        """
        while True:
            self._watch()
            await self._has_bytes.wait()
            self._has_bytes.clear()
            try:
                data = self._raw.recv(RECEIVE_BYTES)
            except BlockingIOError:
                # Woken for bytes that an earlier read has already consumed.
                continue
            except OSError as error:
                raise self._first_error(error) from None
            if not data and self._error is not None:
                raise self._error
            return data

    def _first_error(self, error: OSError) -> OSError:
        """Return the error that ended the connection; later ones follow from it."""
        if self._error is None:
            self._error = error
        return self._error

    def unwatch(self) -> None:
        """Stop watching the socket, since no read is expected."""
        if self._is_watched:
            self._is_watched = False
            asyncio.get_running_loop().remove_reader(self._raw)
        self._has_bytes.clear()

    def _watch(self) -> None:
        if self._is_closed:
            raise OSError("the connection is closed")
        if not self._is_watched:
            self._is_watched = True
            asyncio.get_running_loop().add_reader(self._raw, self._on_readable)

    def _on_readable(self) -> None:
        if self._has_bytes.is_set():
            # No read has consumed the bytes since the last loop iteration. Watching on
            # would wake the loop in every iteration.
            self._is_watched = False
            asyncio.get_running_loop().remove_reader(self._raw)
        self._has_bytes.set()

    def is_readable(self) -> bool:
        """Return whether there is data to read, an end of stream or an error."""
        if self._is_closed or self._error is not None:
            return True
        try:
            self._raw.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError as error:
            # It is reported to no other call, so that the next read raises it.
            self._first_error(error)
        return True

    def has_unread(self) -> bool:
        """Return whether a read would return or fail at once."""
        return self.is_readable()

    def data_age_seconds(self) -> float:
        """Return how long ago at least the bytes read last arrived."""
        return 0.0 if self._is_closed else segment_age_seconds(self._raw)

    def max_data_age_seconds(self) -> float | None:
        """Return how long ago at most the bytes read last arrived, if known."""
        return None if self._is_closed else max_segment_age_seconds(self._raw)

    def discard_unsent(self) -> None:
        """Make the close discard the bytes that the kernel has not sent yet."""
        if not self._is_closed:
            linger = struct.pack("ii", 1, 0)
            self._raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    def close(self) -> None:
        """Close the connection; data that the peer still sends is lost."""
        if not self._is_closed:
            self.unwatch()
            self._is_closed = True
            self._raw.close()


async def _connect(raw: socket.socket, address: tuple[str, int]) -> None:
    try:
        raw.connect(address)
    except BlockingIOError:
        await anyio.wait_writable(raw)
        error = raw.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            raise OSError(error, "connection failed") from None


def _tune(raw: socket.socket) -> None:
    no_delay = (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    for level, name, value in (no_delay, *LIVENESS_OPTIONS):
        raw.setsockopt(level, name, value)
