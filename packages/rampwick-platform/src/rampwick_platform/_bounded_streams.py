"""Connections of the store's client, with bounds on the bytes and time of a response.

The client's own timeout starts anew with each byte, and it bounds neither a body nor
the number of interim responses.
"""

import ssl
from collections.abc import Callable, Iterable
from typing import Any

import anyio
import httpcore
import httpx

#: Maximum size of a response, with its head: several pages of the largest listing.
MAX_RESPONSE_BYTES = 4_194_304

#: Rate that a response must keep once its timeout is over, so that one which arrives
#: byte by byte ends. It is far below the rate of a usable link.
MIN_BYTES_PER_SECOND = 100_000.0


def bound_responses(transport: httpx.AsyncHTTPTransport) -> None:
    """Bound the responses on a transport's connections; httpx has no setting for it."""
    pool: Any = transport._pool
    pool._network_backend = BoundedBackend(httpcore.AnyIOBackend())


class BoundedBackend(httpcore.AsyncNetworkBackend):
    """Opens connections on which each response is bounded."""

    def __init__(
        self,
        backend: httpcore.AsyncNetworkBackend,
        read_clock: Callable[[], float] = anyio.current_time,
    ) -> None:
        self._backend = backend
        self._read_clock = read_clock

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a connection."""
        stream = await self._backend.connect_tcp(
            host, port, timeout, local_address, socket_options
        )
        return BoundedStream(stream, self._read_clock)

    async def sleep(self, seconds: float) -> None:
        """Sleep."""
        await self._backend.sleep(seconds)


class BoundedStream(httpcore.AsyncNetworkStream):
    """A connection; each response begins with the first read after a write."""

    def __init__(
        self, stream: httpcore.AsyncNetworkStream, read_clock: Callable[[], float]
    ) -> None:
        self._stream = stream
        self._read_clock = read_clock
        self._received_bytes = 0
        #: End of the timeout that began with the first read; none if there is none.
        self._due_seconds: float | None = None
        self._has_begun = False

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return the next bytes of the response, or raise a ReadError or timeout."""
        if not self._has_begun:
            self._has_begun = True
            if timeout is not None:
                self._due_seconds = self._read_clock() + timeout
        limit = self._limit(timeout, self._read_clock())
        data = await self._stream.read(max_bytes, limit)
        self._received_bytes += len(data)
        if self._received_bytes > MAX_RESPONSE_BYTES:
            raise httpcore.ReadError(f"response exceeds {MAX_RESPONSE_BYTES} bytes")
        return data

    def _limit(self, timeout: float | None, now_seconds: float) -> float | None:
        """Return the timeout of one read, or raise ReadTimeout if none is left."""
        if self._due_seconds is None or timeout is None:
            return timeout
        due_seconds = self._due_seconds + self._received_bytes / MIN_BYTES_PER_SECOND
        remaining_seconds = due_seconds - now_seconds
        if remaining_seconds <= 0.0:
            raise httpcore.ReadTimeout("the response is too slow")
        return min(timeout, remaining_seconds)

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send bytes of a request, which a new response follows."""
        self._received_bytes = 0
        self._has_begun = False
        self._due_seconds = None
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Encrypt the connection."""
        stream = await self._stream.start_tls(ssl_context, server_hostname, timeout)
        return BoundedStream(stream, self._read_clock)

    def get_extra_info(self, info: str) -> Any:
        """Return information about the connection."""
        return self._stream.get_extra_info(info)
