"""What the connection pool needs of a connection, however it is opened."""

from collections.abc import Callable
from typing import Protocol

#: Maximum number of bytes read from, and passed to, a connection at once.
CHUNK_BYTES = 65_536


class UpstreamSocket(Protocol):
    """A connection to an upstream; errors are OSError, end of stream is an empty read.

    A reset by the upstream is ConnectionResetError.
    """

    #: Number of bytes that may have been sent so far.
    sent_bytes_count: int

    async def send(self, data: bytes, before_write: Callable[[], None]) -> None:
        """Send all bytes; ``before_write`` is called immediately before each write."""

    async def receive(self) -> bytes:
        """Return the next bytes; empty once the upstream has closed its side."""

    def unwatch(self) -> None:
        """Stop watching the connection, since no read is expected."""

    def is_readable(self) -> bool:
        """Return whether there is data to read, an end of stream or an error."""

    def has_unread(self) -> bool:
        """Return whether a read would return or fail at once."""

    def data_age_seconds(self) -> float:
        """Return how long ago at least the bytes read last arrived."""

    def max_data_age_seconds(self) -> float | None:
        """Return an upper bound on the age of the bytes read last, if known."""

    def discard_unsent(self) -> None:
        """Make the close discard the bytes that have not been sent yet."""

    def close(self) -> None:
        """Close the connection; data that the upstream still sends is lost."""


class TunnelDialer(Protocol):
    """Opens connections to upstreams through other hosts."""

    @property
    def is_available(self) -> bool:
        """Whether there are peers to try."""

    async def open(self, upstream: str, address: str) -> UpstreamSocket:
        """Connect to ``ip:port`` through a peer; the upstream's name is for choice.

        Raises OSError or TimeoutError if no peer that was tried reaches it.
        """
