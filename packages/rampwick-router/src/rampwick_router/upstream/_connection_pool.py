"""Connection pool for upstreams: HTTP/1.1 over h11, one request at a time on each.

A connection is reused only if its last response was complete, no byte followed it, it
has not been idle for too long, and neither side wants to close it. In any doubt it is
closed: a new connection costs one round trip, a stale one a failed response.
"""

import math
from collections import Counter
from collections.abc import AsyncIterator, Callable, Iterator, Sequence
from contextlib import asynccontextmanager

import anyio
import attrs
import h11

from rampwick_platform import sleep_aligned
from rampwick_policy import (
    BodyEnd,
    BulkPacing,
    ConnectionDoubts,
    Outcome,
    UpstreamPath,
    is_mostly_framing,
)
from rampwick_schema import RampwickError, ReprMixin

from .._answer_buffers import AnswerBuffers, make_buffers
from .._errors import AttemptError
from .._headers import RawHeaders, ResponseHead, is_bodiless
from ._read_pacer import ReadPacer
from ._sockets import CHUNK_BYTES, TunnelDialer, UpstreamSocket
from ._tcp_socket import TcpSocket

#: Connect timeout: about ten round trips within a region, and short enough to try
#: another upstream within the usual latency targets.
CONNECT_TIMEOUT_SECONDS = 0.25

#: Idle time after which a connection is closed if the upstream does not state a limit.
#: Common servers keep idle connections for at least five seconds.
DEFAULT_IDLE_SECONDS = 4.0

#: Fraction of the upstream's own idle limit that is used. The rest allows for the
#: network delay and for upstreams that close slightly early.
IDLE_LIMIT_RATIO = 0.85

#: Maximum size of a response head.
MAX_HEAD_BYTES = 65536

#: Maximum number of interim responses before a response head. Each is a complete head,
#: so that the limit on a head's size does not bound them.
MAX_INTERIM_RESPONSES_COUNT = 32

#: Parsed events after which a read of a body lets other tasks run. A chunk of one byte
#: is an event, too.
EVENTS_PER_YIELD = 64

#: Default maximum size of a response body.
MAX_BODY_BYTES = 268_435_456

#: Time between two sweeps for expired idle connections.
SWEEP_SECONDS = 1.0


#: Highest status of HTTP. The parser refuses those below the lowest one.
MAX_STATUS = 599


#: Called before each write of a request, with whether a part of it has been sent.
SendCheck = Callable[[bool], None]

#: Default reason for opening a connection, and the count of those opened through peers
#: for any reason.
REQUEST = "request"
TUNNEL = "tunnel"


class UnsendableRequestError(RampwickError):
    """A request that HTTP can't represent; no byte of it was sent."""


class ConnectionLimitError(AttemptError):
    """All connections that this host may open to an upstream are in use."""


@attrs.define(eq=False, repr=False)
class UpstreamConnection(ReprMixin):
    """One connection to an upstream."""

    peer: str
    _socket: UpstreamSocket
    path: UpstreamPath = UpstreamPath.DIRECT
    max_body_bytes: int = MAX_BODY_BYTES
    _pacer: ReadPacer = attrs.field(factory=ReadPacer)
    _http: h11.Connection = attrs.field(init=False)
    #: Maximum idle time; responses of the upstream may change it.
    max_idle_seconds: float = DEFAULT_IDLE_SECONDS
    idle_since_seconds: float = 0.0
    #: When it was lent for the current request.
    lent_at_seconds: float = 0.0
    requests_count: int = 0
    #: How the body of the current response ended; none while it has not.
    body_end: BodyEnd | None = None
    #: Bytes that the socket had sent before the current request.
    _earlier_bytes_count: int = 0
    _method: str = ""
    #: Whether the head of the current response has arrived, and whether its body ends
    #: by a length or by chunks.
    _has_head: bool = False
    _is_delimited: bool = False
    _interim_count: int = 0
    #: Bytes read for the body of the current response, with their framing.
    _read_bytes: int = 0
    _has_failed: bool = False
    #: Whether the upstream has closed or reset the connection.
    _was_closed: bool = False

    def __attrs_post_init__(self) -> None:
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )

    @property
    def has_sent(self) -> bool:
        """Whether bytes of the current request have been passed to the kernel."""
        return self._socket.sent_bytes_count > self._earlier_bytes_count

    async def send(
        self,
        method: str,
        target: str,
        headers: RawHeaders,
        body: bytes,
        check: SendCheck | None = None,
    ) -> None:
        """Send a complete request.

        ``check`` is called immediately before each write, with whether an earlier write
        has sent a part of the request. It raises an error if no more may be sent.
        """
        self.requests_count += 1
        self._earlier_bytes_count = self._socket.sent_bytes_count
        self._has_head = False
        self._interim_count = 0
        self.body_end = None
        self._method = method
        try:
            parts = self._encode(method, target, headers, body)
        except h11.LocalProtocolError as error:
            self._has_failed = True
            raise UnsendableRequestError(
                str(error), step="send request", peer=self.peer
            ) from error
        # Sent in pieces, so that an early response is noticed.
        for piece in _in_pieces(parts):
            await self._send_bytes(piece, check)

    def _encode(
        self, method: str, target: str, headers: RawHeaders, body: bytes
    ) -> list[bytes]:
        """Return the parts of a request; the body is not copied."""
        request = h11.Request(method=method, target=target, headers=list(headers))
        parts = self._http.send_with_data_passthrough(request) or []
        if body:
            data = h11.Data(data=body)
            parts += self._http.send_with_data_passthrough(data) or []
        return parts + (self._http.send_with_data_passthrough(h11.EndOfMessage()) or [])

    async def _send_bytes(self, data: bytes, check: SendCheck | None) -> None:
        def before_write() -> None:
            if check is not None:
                check(self.has_sent)

        try:
            await self._socket.send(data, before_write)
        except OSError as error:
            raise self._broken("send request", error) from error

    async def receive_head(self) -> ResponseHead:
        """Return the response head, skipping informational responses."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                self._check_status(event.status_code)
                self._has_head = True
                self._is_delimited = self._has_delimited_body(event)
                return ResponseHead(event.status_code, list(event.headers))
            if not isinstance(event, h11.InformationalResponse):
                raise self._broken("read answer", "the connection closed")
            self._interim_count += 1
            if self._interim_count > MAX_INTERIM_RESPONSES_COUNT:
                raise self._broken(
                    "read answer", "too many interim responses", "interim responses"
                )

    def _check_status(self, status: int) -> None:
        """Raise an error for a status that HTTP does not have (RFC 9110, 15)."""
        if status > MAX_STATUS:
            raise self._broken("read answer", f"status {status}")

    async def receive_chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives; raise an error if it is truncated or too large.

        The chunks of one read are yielded together.
        """
        body_bytes = 0
        has_ended = False
        self._read_bytes = 0
        self._pacer.begin()
        while not has_ended:
            data, has_ended = await self._receive_data()
            body_bytes += len(data)
            if body_bytes > self.max_body_bytes:
                message = f"body larger than {self.max_body_bytes} bytes"
                raise self._broken("read answer", message, "body")
            if is_mostly_framing(self._read_bytes, body_bytes):
                message = "the body is mostly framing"
                raise self._broken("read answer", message, "framing")
            if data:
                yield data
        is_delimited = self._is_delimited
        self.body_end = BodyEnd.DELIMITED if is_delimited else BodyEnd.CLOSED

    async def _receive_data(self) -> tuple[bytes, bool]:
        """Return the next bytes of the body, and whether they are the last ones."""
        parts: list[bytes] = []
        events_count = 0
        while True:
            event = self._parse(has_data=bool(parts))
            if isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return b"".join(parts), True
            elif parts:
                # An error is raised by the next call, after the bytes before it.
                return b"".join(parts), False
            elif event is h11.NEED_DATA:
                await self._pacer.before_read()
                self._pacer.begin(await self._read())
            else:
                raise self._broken("read answer", "the connection closed")
            events_count += 1
            if events_count % EVENTS_PER_YIELD == 0:
                await self._pacer.pause()

    def _has_delimited_body(self, response: h11.Response) -> bool:
        """Return whether the end of the body is known without the connection's."""
        if is_bodiless(self._method, response.status_code):
            return True
        names = {name for name, _ in response.headers}
        return b"content-length" in names or b"transfer-encoding" in names

    async def _next_event(self) -> object:
        while True:
            event = self._parse()
            if event is not h11.NEED_DATA:
                return event
            await self._read()

    def _parse(self, *, has_data: bool = False) -> object:
        """Return the next event; no event if it is an error and there is data."""
        try:
            return self._http.next_event()
        except h11.RemoteProtocolError as error:
            if has_data:
                return None
            raise self._broken("read answer", error) from error

    async def _read(self) -> int:
        """Read once; return the number of bytes."""
        try:
            data = await self._socket.receive()
        except OSError as error:
            raise self._broken("read answer", error) from error
        self._was_closed = not data
        self._http.receive_data(data)
        self._read_bytes += len(data)
        return len(data)

    def has_unread(self) -> bool:
        """Return whether there is something to read, which a late host has not read."""
        return self._socket.has_unread()

    def data_age_seconds(self) -> float:
        """Return how long ago at least the bytes read last arrived at this host."""
        return self._socket.data_age_seconds()

    def max_data_age_seconds(self) -> float | None:
        """Return an upper bound on the age of the bytes read last, if known."""
        return self._socket.max_data_age_seconds()

    def is_reusable(self) -> bool:
        """Return whether the response was complete and no data followed it.

        Must be called once after each response; it prepares the connection for the next
        request.
        """
        http = self._http
        if self._has_failed or http.trailing_data != (b"", False):
            return False
        if (http.our_state, http.their_state) != (h11.DONE, h11.DONE):
            return False
        http.start_next_cycle()
        self._socket.unwatch()
        return not self._socket.is_readable()

    def set_idle_limit(self, seconds: float) -> None:
        """Set the idle limit stated by the upstream."""
        self.max_idle_seconds = seconds * IDLE_LIMIT_RATIO

    def may_stay_idle(self, now_seconds: float) -> bool:
        """Return whether an idle connection may still be used."""
        idle_seconds = now_seconds - self.idle_since_seconds
        return idle_seconds < self.max_idle_seconds and not self._socket.is_readable()

    def abort(self) -> None:
        """Close the connection; an unanswered request must not arrive after that.

        The kernel would go on sending what an upstream that reads slowly has not
        received, although the caller has left.
        """
        if self.has_sent and not self._has_head:
            self._socket.discard_unsent()
        self.close()

    def close(self) -> None:
        """Close the connection at once."""
        self._has_failed = True
        self._socket.close()

    def _broken(self, step: str, cause: object, bound: str = "") -> AttemptError:
        self._has_failed = True
        is_reset = isinstance(cause, ConnectionResetError | BrokenPipeError)
        return AttemptError(
            str(cause) or type(cause).__name__,
            outcome=Outcome.BROKEN,
            step=step,
            peer=self.peer,
            was_closed=self._was_closed or is_reset,
            bound=bound,
        )


@attrs.define(repr=False)
class _UpstreamConnections(ReprMixin):
    """Connections to one incarnation of an upstream."""

    idle: list[UpstreamConnection] = attrs.field(factory=list)
    open_count: int = 0


def _always_direct(upstream: str) -> UpstreamPath:
    return UpstreamPath.DIRECT


def _in_pieces(parts: Sequence[bytes]) -> Iterator[bytes]:
    """Yield bytes in pieces of equal size, which do not end where a part does."""
    pending = b""
    for part in parts:
        view = memoryview(part)
        while view:
            taken = view[: CHUNK_BYTES - len(pending)]
            pending += taken
            view = view[len(taken) :]
            if len(pending) == CHUNK_BYTES:
                yield pending
                pending = b""
    if pending:
        yield pending


class ConnectionPool:
    """Connections to all upstreams of one host, opened by itself or through peers."""

    def __init__(
        self,
        read_clock: Callable[[], float],
        max_body_bytes: int = MAX_BODY_BYTES,
        buffers: AnswerBuffers | None = None,
    ) -> None:
        self._read_clock = read_clock
        #: Buffers of the answers that come over these connections.
        self.buffers = buffers or make_buffers()
        self._max_body_bytes = max_body_bytes
        #: Returns the current path to an upstream.
        self.find_path: Callable[[str], UpstreamPath] = _always_direct
        #: Opens connections through peers; none if this host has no peers.
        self.tunnels: TunnelDialer | None = None
        #: By upstream and lane.
        self._by_upstream: dict[tuple[str, str], _UpstreamConnections] = {}
        self._doubts = ConnectionDoubts()
        self._pacing = BulkPacing()
        #: Number of connections opened so far, by reason.
        self._opened: Counter[str] = Counter()

    def opened_counts(self) -> dict[str, int]:
        """Return the number of connections opened so far, by reason."""
        return dict(self._opened)

    def idle_count(self, upstream: str) -> int:
        """Return the number of idle connections to an upstream."""
        return sum(len(item.idle) for item in self._list_connections(upstream))

    def note_silent(self, connection: UpstreamConnection) -> None:
        """Record that a request on a connection has brought no response head for long.

        If it was kept from an earlier request, others kept since then may be silent as
        well, although new ones work. They are closed once a new one answers; until then
        it may be the upstream that is silent.
        """
        if connection.requests_count > 1:
            self._doubt(connection.peer, connection.lent_at_seconds)

    def note_stalled(
        self, connection: UpstreamConnection, silent_seconds: float
    ) -> None:
        """Record that a response has brought nothing for some seconds in its body."""
        self._doubt(connection.peer, self._read_clock() - silent_seconds)

    def _doubt(self, upstream: str, since_seconds: float) -> None:
        connected = {known for known, _ in self._by_upstream}
        self._doubts.note(upstream, since_seconds, self._read_clock(), connected)

    def _note_answered(self, connection: UpstreamConnection) -> None:
        """Close connections that may be silent, if a new one has just answered."""
        if connection.requests_count != 1:
            return
        since_seconds = self._doubts.resolve(
            connection.peer, connection.lent_at_seconds
        )
        if since_seconds is None:
            return
        for connections in self._list_connections(connection.peer):
            for other in list(connections.idle):
                if other.idle_since_seconds < since_seconds:
                    connections.idle.remove(other)
                    connections.open_count -= 1
                    other.close()

    def _list_connections(self, upstream: str) -> list[_UpstreamConnections]:
        """Return the connections to an upstream in all lanes."""
        return [
            connections
            for (known, _), connections in self._by_upstream.items()
            if known == upstream
        ]

    async def __aenter__(self) -> "ConnectionPool":
        return self

    async def __aexit__(self, *details: object) -> None:
        for connections in self._by_upstream.values():
            for connection in connections.idle:
                connection.close()
        self._by_upstream.clear()

    @asynccontextmanager
    async def borrow(
        self,
        upstream: str,
        address: str,
        max_count: float = math.inf,
        reason: str = REQUEST,
        path: UpstreamPath | None = None,
        *,
        may_reuse: bool = True,
        prefers_new: bool = False,
        lane: str = "",
    ) -> AsyncIterator[UpstreamConnection]:
        """Lend a connection to an upstream, an idle one if available.

        ``reason`` states what the connection is for, for metrics on connection cost.
        ``path`` replaces the current path to the upstream. Without ``may_reuse`` the
        connection is a new one, which shows whether new ones can be opened.
        With ``prefers_new`` it is a new one, too. Idle connections that may be silent
        are not lent. At the limit a new connection replaces an idle one.
        Connections of one ``lane`` are not lent to another.
        Afterwards the connection returns to the pool if its response was complete.
        Otherwise it is closed, which also stops the upstream's work on the request.
        """
        connections = self._by_upstream.setdefault(
            (upstream, lane), _UpstreamConnections()
        )
        current_path = self.find_path(upstream)
        path = path or current_path
        # A kept connection of another path may have died in the meantime.
        may_reuse = may_reuse and path is current_path
        connection = None
        if may_reuse:
            min_idle_since_seconds = (
                math.inf if prefers_new else self._doubts.usable_since_seconds(upstream)
            )
            connection = self._take_idle(connections, path, min_idle_since_seconds)
        if connection is None and connections.open_count >= max_count:
            self._close_oldest_idle(connections)
        if connection is None:
            connection = await self._open(
                connections, upstream, address, max_count, reason, path
            )
        connection.lent_at_seconds = self._read_clock()
        is_complete = False
        try:
            yield connection
            is_complete = connection.is_reusable()
            if is_complete:
                self._note_answered(connection)
        finally:
            if is_complete and connection.max_idle_seconds > 0.0:
                connection.idle_since_seconds = self._read_clock()
                connections.idle.append(connection)
            else:
                connections.open_count -= 1
                connection.abort()

    def _take_idle(
        self,
        connections: _UpstreamConnections,
        path: UpstreamPath,
        min_idle_since_seconds: float,
    ) -> UpstreamConnection | None:
        # Use the most recently used connection first, so that the others can expire.
        while (
            connections.idle
            and connections.idle[-1].idle_since_seconds >= min_idle_since_seconds
        ):
            connection = connections.idle.pop()
            is_usable = connection.may_stay_idle(self._read_clock())
            if is_usable and connection.path is path:
                return connection
            connections.open_count -= 1
            connection.close()
        return None

    def _close_oldest_idle(self, connections: _UpstreamConnections) -> None:
        """Make room for a new connection, if one is idle."""
        if connections.idle:
            connections.idle.pop(0).close()
            connections.open_count -= 1

    async def _open(
        self,
        connections: _UpstreamConnections,
        upstream: str,
        address: str,
        max_count: float,
        reason: str,
        path: UpstreamPath,
    ) -> UpstreamConnection:
        if connections.open_count >= max_count:
            raise ConnectionLimitError(
                f"all {max_count:.0f} connections are in use",
                outcome=Outcome.CROWDED,
                step="connect",
                peer=upstream,
            )
        connections.open_count += 1
        is_open = False
        try:
            upstream_socket = await self._connect(upstream, address, path)
            is_open = True
        finally:
            if not is_open:
                connections.open_count -= 1
        self._opened[reason] += 1
        if path is UpstreamPath.TUNNEL:
            self._opened[TUNNEL] += 1
        return UpstreamConnection(
            upstream,
            upstream_socket,
            path,
            self._max_body_bytes,
            ReadPacer(self._pacing, self._read_clock),
        )

    async def _connect(
        self, upstream: str, address: str, path: UpstreamPath
    ) -> UpstreamSocket:
        try:
            if path is UpstreamPath.TUNNEL:
                if self.tunnels is None:
                    raise OSError("no peers")
                return await self.tunnels.open(upstream, address)
            return await connect_directly(address)
        except (OSError, TimeoutError, ValueError) as error:
            raise AttemptError(
                str(error) or type(error).__name__,
                outcome=Outcome.UNREACHABLE,
                step="connect",
                peer=upstream,
            ) from error

    async def sweep(self) -> None:
        """Close expired idle connections periodically until cancelled."""
        while True:
            await sleep_aligned(SWEEP_SECONDS)
            for key, connections in list(self._by_upstream.items()):
                self._close_expired(connections)
                if not connections.open_count:
                    self._by_upstream.pop(key, None)
                    if not self._list_connections(key[0]):
                        self._doubts.forget(key[0])

    def _close_expired(self, connections: _UpstreamConnections) -> None:
        now_seconds = self._read_clock()
        idle, connections.idle = connections.idle, []
        expired = [
            item
            for item in idle
            if not item.may_stay_idle(now_seconds)
            or item.path is not self.find_path(item.peer)
        ]
        connections.idle += [item for item in idle if item not in expired]
        for connection in expired:
            connections.open_count -= 1
            connection.close()


async def connect_directly(address: str) -> TcpSocket:
    """Connect to ``ip:port`` over this host's own link, within the timeout."""
    with anyio.fail_after(CONNECT_TIMEOUT_SECONDS):
        return await TcpSocket.connect(address)
