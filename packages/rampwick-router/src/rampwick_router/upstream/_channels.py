"""Kept connections to upstreams: one request at a time on each, HTTP/1.1 by h11.

A connection is used again only if nothing speaks against it: its answer came whole,
no byte came beyond it, it has not rested for too long, and neither side wants to
close it. Whatever is in doubt is closed; a new connection costs a round trip, a
wrong one an answer.
"""

import math
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import anyio
import attrs
import h11

from rampwick_platform import sleep_on_grid
from rampwick_policy import Outcome
from rampwick_schema import Shown

from .._errors import AttemptError
from .._headers import RawHeaders, ResponseHead
from ._tcp_socket import TcpSocket

#: Longest wait for a connection: some ten round trips within a region, and short
#: enough to try another upstream within the usual latency targets.
CONNECT_TIMEOUT_SECONDS = 0.25

#: Rest after which a connection is closed where the upstream names no bound; common
#: servers keep idle connections for at least five seconds.
DEFAULT_REST_SECONDS = 4.0

#: Part of the upstream's own bound that is used: the rest is for the way there, and
#: for the one that closes a little early.
REST_RATIO = 0.85

#: Largest head of an answer.
MAX_HEAD_BYTES = 65536

#: Bytes of a body handed to the socket at once, so that an early answer is seen.
SEND_BYTES = 65536

#: Time between two looks for connections that have rested too long.
SWEEP_SECONDS = 1.0


#: What a connection is for if its borrower says nothing else.
REQUEST = "request"


class ChannelLimitError(AttemptError):
    """All connections that this host may open to an upstream are in use."""


@attrs.define(eq=False, repr=False)
class Channel(Shown):
    """One connection to an upstream."""

    peer: str
    _socket: TcpSocket
    _connection: h11.Connection = attrs.field(init=False)
    #: How long it may rest; the upstream's answers may change it.
    max_rest_seconds: float = DEFAULT_REST_SECONDS
    rested_since_seconds: float = 0.0
    requests_count: int = 0
    #: Whether bytes of the present request have been handed to the socket.
    has_sent: bool = False
    _has_failed: bool = False
    #: Whether the upstream has closed or reset the connection.
    _was_closed: bool = False

    def __attrs_post_init__(self) -> None:
        self._connection = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )

    async def send(
        self, method: str, target: str, headers: RawHeaders, body: bytes
    ) -> None:
        """Send a whole request."""
        self.requests_count += 1
        self.has_sent = False
        request = h11.Request(method=method, target=target, headers=list(headers))
        head = self._connection.send(request)
        tail = b""
        if body:
            tail += self._connection.send(h11.Data(data=body))
        tail += self._connection.send(h11.EndOfMessage())
        data = head + tail
        for start in range(0, len(data), SEND_BYTES):
            await self._send_bytes(data[start : start + SEND_BYTES])

    async def _send_bytes(self, data: bytes) -> None:
        try:
            self.has_sent = True
            await self._socket.send(data)
        except OSError as error:
            raise self._broken("send request", error) from error

    async def receive_head(self) -> ResponseHead:
        """Return the head of the answer; informational ones are passed over."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                headers = list(event.headers)
                return ResponseHead(event.status_code, headers, _is_framed(headers))
            if not isinstance(event, h11.InformationalResponse):
                raise self._broken("read answer", "the connection closed")

    async def receive_pieces(self) -> AsyncIterator[bytes]:
        """Yield the body's pieces; return at its end, raise if it is cut."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return
            else:
                raise self._broken("read answer", "the connection closed")

    async def _next_event(self) -> object:
        while True:
            try:
                event = self._connection.next_event()
            except h11.RemoteProtocolError as error:
                raise self._broken("read answer", error) from error
            if event is not h11.NEED_DATA:
                return event
            try:
                data = await self._socket.receive()
            except OSError as error:
                raise self._broken("read answer", error) from error
            self._was_closed = not data
            self._connection.receive_data(data)

    def is_reusable(self) -> bool:
        """Return whether the answer came whole and nothing came after it.

        To be asked once after each answer; it makes the connection ready.
        """
        connection = self._connection
        if self._has_failed or connection.trailing_data != (b"", False):
            return False
        if (connection.our_state, connection.their_state) != (h11.DONE, h11.DONE):
            return False
        connection.start_next_cycle()
        self._socket.rest()
        return not self._socket.is_readable()

    def note_rest_bound(self, seconds: float) -> None:
        """Take the upstream's own bound on how long the connection may rest."""
        self.max_rest_seconds = seconds * REST_RATIO

    def may_rest_on(self, now_seconds: float) -> bool:
        """Return whether a resting connection may still be used."""
        rested_seconds = now_seconds - self.rested_since_seconds
        return rested_seconds < self.max_rest_seconds and not self._socket.is_readable()

    def close(self) -> None:
        """Close the connection at once."""
        self._has_failed = True
        self._socket.close()

    def _broken(self, step: str, cause: object) -> AttemptError:
        self._has_failed = True
        is_reset = isinstance(cause, ConnectionResetError | BrokenPipeError)
        return AttemptError(
            str(cause) or type(cause).__name__,
            outcome=Outcome.BROKEN,
            step=step,
            peer=self.peer,
            was_closed=self._was_closed or is_reset,
        )


def _is_framed(headers: RawHeaders) -> bool:
    names = {name.lower() for name, _ in headers}
    return b"content-length" in names or b"transfer-encoding" in names


@attrs.define(repr=False)
class _UpstreamChannels(Shown):
    """Connections to one upstream in one life."""

    resting: list[Channel] = attrs.field(factory=list)
    open_count: int = 0


class ChannelPool:
    """Connections to all upstreams of one host."""

    def __init__(self, read_clock: Callable[[], float]) -> None:
        self._read_clock = read_clock
        self._by_upstream: dict[str, _UpstreamChannels] = {}
        #: Connections opened so far, by what each was opened for.
        self._opened: Counter[str] = Counter()

    def opened_counts(self) -> dict[str, int]:
        """Return the connections opened so far, by what each was opened for."""
        return dict(self._opened)

    async def __aenter__(self) -> "ChannelPool":
        return self

    async def __aexit__(self, *details: object) -> None:
        for channels in self._by_upstream.values():
            for channel in channels.resting:
                channel.close()
        self._by_upstream.clear()

    @asynccontextmanager
    async def borrow(
        self,
        upstream: str,
        address: str,
        max_count: float = math.inf,
        reason: str = REQUEST,
    ) -> AsyncIterator[Channel]:
        """Lend a connection to an upstream, a resting one if there is any.

        ``reason`` says what it is for, for whoever looks at what connections cost.
        It rests again afterwards if its answer came whole; otherwise it is closed,
        which stops whatever the upstream still does for it.
        """
        channels = self._by_upstream.setdefault(upstream, _UpstreamChannels())
        channel = self._take_resting(channels)
        if channel is None:
            channel = await self._open(channels, upstream, address, max_count, reason)
        is_whole = False
        try:
            yield channel
            is_whole = channel.is_reusable()
        finally:
            if is_whole and channel.max_rest_seconds > 0.0:
                channel.rested_since_seconds = self._read_clock()
                channels.resting.append(channel)
            else:
                channels.open_count -= 1
                channel.close()

    def _take_resting(self, channels: _UpstreamChannels) -> Channel | None:
        # The one that rested least goes first, so that the others can expire.
        while channels.resting:
            channel = channels.resting.pop()
            if channel.may_rest_on(self._read_clock()):
                return channel
            channels.open_count -= 1
            channel.close()
        return None

    async def _open(
        self,
        channels: _UpstreamChannels,
        upstream: str,
        address: str,
        max_count: float,
        reason: str,
    ) -> Channel:
        if channels.open_count >= max_count:
            raise ChannelLimitError(
                f"all {max_count:.0f} connections are in use",
                outcome=Outcome.UNREACHABLE,
                step="connect",
                peer=upstream,
            )
        channels.open_count += 1
        is_open = False
        try:
            connection = await _connect(upstream, address)
            is_open = True
        finally:
            if not is_open:
                channels.open_count -= 1
        self._opened[reason] += 1
        return Channel(upstream, connection)

    async def sweep(self) -> None:
        """Close what has rested too long, again and again until cancelled."""
        while True:
            await sleep_on_grid(SWEEP_SECONDS)
            for upstream, channels in list(self._by_upstream.items()):
                self._sweep_one(channels)
                if not channels.open_count:
                    self._by_upstream.pop(upstream, None)

    def _sweep_one(self, channels: _UpstreamChannels) -> None:
        now_seconds = self._read_clock()
        resting, channels.resting = channels.resting, []
        spent = [item for item in resting if not item.may_rest_on(now_seconds)]
        channels.resting += [item for item in resting if item not in spent]
        for channel in spent:
            channels.open_count -= 1
            channel.close()


async def _connect(upstream: str, address: str) -> TcpSocket:
    try:
        with anyio.fail_after(CONNECT_TIMEOUT_SECONDS):
            return await TcpSocket.connect(address)
    except (OSError, TimeoutError, ValueError) as error:
        raise AttemptError(
            str(error) or type(error).__name__,
            outcome=Outcome.UNREACHABLE,
            step="connect",
            peer=upstream,
        ) from error
