"""The server of one caller's connection, and how long it stays idle between them."""

import asyncio
import select

import h11
import hypercorn.asyncio.run
from hypercorn.asyncio.tcp_server import TCPServer
from hypercorn.events import Closed, Event, RawData, Updated

from rampwick_policy import HolderState

from ._caller_connections import CallerConnections, HeldBytes
from ._caller_memory import (
    CONNECTION_BYTES,
    HEADER_BYTES,
    UNREAD_BYTES,
    CallerBound,
    CallerMemory,
    HeldMemory,
)
from ._http1 import CallerConnectionParser, ReadingPaused
from ._http2 import LimitExceeded, ResettingH2Protocol
from ._kernel_bytes import unacknowledged_bytes, unread_bytes
from ._logs import ComponentLogger

#: Bytes of a connection that are read at once, and bytes from which on its reader reads
#: no more until they are taken.
READ_BYTES = 32_768
READER_BYTES = 16_384

#: Interval and number of checks whether what arrived by the end of the idle time was
#: read. A connection is not read while its caller takes nothing of what was sent to it.
UNREAD_CHECK_SECONDS = 0.005
UNREAD_CHECKS_COUNT = 200

#: Longest wait for a caller's kernel to acknowledge what was sent to it. A close with
#: unread bytes is a reset, which discards what is still under way.
LINGER_SECONDS = 0.25
LINGER_CHECK_SECONDS = 0.005

#: Longest wait for a caller to close a connection that was closed while idle. What it
#: had sent before has arrived by then, and is recorded.
CROSSING_SECONDS = 0.1

#: Time in which a new connection is expected to bring its first request, as its caller
#: opened it for one. A caller on a busy machine sends it late.
FIRST_REQUEST_SECONDS = 0.5

log = ComponentLogger("entry")


class CallerServer(TCPServer):
    """Closes no connection on which a request has arrived."""

    _has_read_all = False
    _is_recorded = False
    _is_idle = True
    #: Whether a request has begun to arrive on it.
    _has_received_request = False
    _began_seconds = 0.0

    #: What the connection holds; none on the server of another application.
    _held: HeldMemory | None = None
    #: Lines of the head that arrives.
    _lines_count = 0

    async def run(self) -> None:
        """Serve the connection until it ends."""
        self._began_seconds = self.loop.time()
        self._bound_reader()
        connections = self._connections
        if connections is None:
            await self._run()
            return
        connections.begin(self)
        self._held = connections.memory.open_connection(self._end_for_others)
        try:
            if self._held is None:
                self.writer.transport.abort()
                return
            await self._run()
        finally:
            connections.end(self)
            if self._held is not None:
                connections.memory.close(self._held)

    async def _run(self) -> None:
        try:
            await super().run()
        except BaseExceptionGroup as group:
            log.problem("connection failed", error=repr(group.exceptions))

    def _bound_reader(self) -> None:
        """Read no more ahead than is used soon; neither has a setting for it."""
        self.reader._limit = READER_BYTES  # type: ignore[attr-defined]
        self.writer.transport.max_size = READ_BYTES  # type: ignore[attr-defined]

    def _end_for_others(self) -> None:
        """Close a connection without a request, whose room others need."""
        transport = self.writer.transport
        if not transport.get_write_buffer_size():
            transport.abort()
            return
        transport.close()
        self.loop.call_later(LINGER_SECONDS, transport.abort)

    async def protocol_send(self, event: Event) -> None:
        """Send what the protocol has for the caller, or act on its state."""
        if isinstance(event, Updated) and event.idle and self._has_read_all:
            event = Closed()
        if isinstance(event, Updated):
            self._is_idle = event.idle
            self._has_received_request |= not event.idle
            self._set_state(HolderState.IDLE if event.idle else HolderState.KEPT)
        if isinstance(event, ReadingPaused):
            self._hold_unread(is_paused=event.is_paused)
        elif isinstance(event, LimitExceeded):
            self._end_for_bound(event.bound)
        else:
            await super().protocol_send(event)

    def _set_state(self, state: HolderState) -> None:
        held = self._held
        if held is None:
            return
        held.set_state(state)
        self._lines_count = 0
        if state is HolderState.IDLE and held.holder.held_bytes > CONNECTION_BYTES:
            held.hold(CONNECTION_BYTES)

    def _hold_unread(self, *, is_paused: bool) -> None:
        """Reserve memory for what arrives while the connection is not read."""
        if self._held is None:
            return
        if not self._held.hold(CONNECTION_BYTES + UNREAD_BYTES * is_paused):
            self.writer.transport.abort()

    def _end_for_bound(self, bound: CallerBound) -> None:
        if self._memory is not None:
            self._memory.note_limited(bound, "connection closed")
        self.writer.transport.abort()

    def held_bytes(self) -> HeldBytes:
        """Return the bytes that a close would discard."""
        return HeldBytes(
            self._count_unread(), self._count_unparsed(), self._count_unsent()
        )

    @property
    def _connections(self) -> CallerConnections | None:
        """The connections of this server, unless it is the server of another app."""
        found = getattr(self.config, "connections", None)
        assert found is None or isinstance(found, CallerConnections)
        return found

    @property
    def _memory(self) -> CallerMemory | None:
        return self._connections.memory if self._connections else None

    async def _read_data(self) -> None:
        while not self.reader.at_eof():
            try:
                data = await self.reader.read(READ_BYTES)
            except OSError:
                break
            if not self._hold_head(data):
                self.writer.transport.abort()
                break
            await self.protocol.handle(RawData(data))
            # It would be held until the next read.
            del data
        await self.protocol.handle(Closed())
        # The caller can send no further request on this connection.
        self._has_read_all = True
        await self.idle_task.stop()

    def _hold_head(self, data: bytes) -> bool:
        """Reserve memory for a head that arrives; return whether there is room.

        It is reserved before the head is parsed, and until its response has ended.
        """
        held = self._held
        if held is None or not self._is_idle:
            return True
        arrived_bytes = self._read_unparsed() + len(data)
        self._lines_count += count_head_lines(data)
        held.set_state(HolderState.RECEIVING)
        held.holder.received_bytes = arrived_bytes
        lines_bytes = self._lines_count * HEADER_BYTES
        return held.hold(CONNECTION_BYTES + arrived_bytes + lines_bytes)

    def _read_unparsed(self) -> int:
        protocol = self.protocol.protocol
        if isinstance(protocol, ResettingH2Protocol):
            return protocol.unparsed_bytes
        connection = protocol.connection
        if isinstance(connection, CallerConnectionParser):
            return connection.unparsed_bytes
        return 0

    async def _idle_timeout(self) -> None:
        await self._wait_idle()
        await self._wait_first_request()
        # An event loop that was late handles the end of the idle time before the bytes
        # that arrived until then. Reading them stops this task.
        for _ in range(UNREAD_CHECKS_COUNT):
            if not self._count_unread() and not self._count_unparsed():
                break
            await asyncio.sleep(UNREAD_CHECK_SECONDS)
        if not self._is_idle:
            # A request was read as the idle time ended. Its cancellation of this task
            # is lost if ``asyncio.wait_for`` has its result already.
            return
        if not self.writer.is_closing():
            # From here on nothing is read: a request that crosses the close must not
            # run, as its response could not be sent.
            self.writer.transport.pause_reading()  # type: ignore[attr-defined]
        await asyncio.shield(self._initiate_server_close())

    async def _wait_idle(self) -> None:
        """Return after the idle timeout, or when the server shuts down."""
        started_seconds = self.loop.time()
        connections = self._connections
        ending = connections.closing if connections else self.context.terminated
        while True:
            idle_seconds = self.loop.time() - started_seconds
            max_seconds = self._max_idle_seconds(idle_seconds)
            if idle_seconds >= max_seconds:
                return
            try:
                await asyncio.wait_for(ending.wait(), max_seconds - idle_seconds)
            except TimeoutError:
                continue
            return

    async def _wait_first_request(self) -> None:
        """Return when a new connection has had time for its first request.

        The arrival of the request cancels the wait.
        """
        if self._connections is None or self._has_received_request:
            return
        end_seconds = self._began_seconds + FIRST_REQUEST_SECONDS
        await asyncio.sleep(max(0.0, end_seconds - self.loop.time()))

    def _max_idle_seconds(self, idle_seconds: float) -> float:
        find_max_idle = getattr(self.config, "max_idle_seconds", None)
        if find_max_idle is None:
            # A server of another package in this process.
            return self.config.keep_alive_timeout
        return float(find_max_idle(idle_seconds))

    async def _initiate_server_close(self) -> None:
        await self.protocol.handle(Closed())
        if not self.writer.is_closing() and self._end_sending():
            await self._wait_until_left()
            await self._linger()
            self._record_end(
                "closed while idle", self._count_unread(), self._count_unsent()
            )
        self.writer.close()

    async def _close(self) -> None:
        # A caller that takes nothing may delay it.
        self._set_state(HolderState.IDLE)
        # The handler of the last response is cancelled if it waits here. The kernel
        # sends what is left after an orderly close.
        self._record_end("closed after a response", self._count_unread())
        task = asyncio.current_task()
        if self.context.terminated.is_set() and task is not None and task.cancelling():
            # The close would wait for the caller to take what the transport holds.
            self.writer.transport.abort()
        await super()._close()

    def _record_end(self, cause: str, unread_count: int, unsent_count: int = 0) -> None:
        """Record, once, what a close by the server discards."""
        connections = self._connections
        if connections is None or self._is_recorded or self.writer.is_closing():
            return
        self._is_recorded = True
        held = HeldBytes(unread_count, self._count_unparsed(), unsent_count)
        connections.record_end(held, cause=cause)

    async def _linger(self) -> None:
        """Return when the caller's kernel has what was sent, or after a bound."""
        end_seconds = self.loop.time() + LINGER_SECONDS
        while self._count_unsent() and self.loop.time() < end_seconds:
            await asyncio.sleep(LINGER_CHECK_SECONDS)

    def _end_sending(self) -> bool:
        """Tell the caller that no more will be sent; return false if it has left."""
        try:
            self.writer.write_eof()
        except OSError:
            # The caller has reset the connection.
            return False
        return True

    async def _wait_until_left(self) -> None:
        """Return when the caller has closed its side too, or after a bound."""
        end_seconds = self.loop.time() + CROSSING_SECONDS
        while not self._has_left() and self.loop.time() < end_seconds:
            await asyncio.sleep(LINGER_CHECK_SECONDS)

    def _has_left(self) -> bool:
        descriptor = self.writer.get_extra_info("socket").fileno()
        if descriptor < 0:
            return True
        poll = select.poll()
        poll.register(descriptor, select.POLLRDHUP)
        return bool(poll.poll(0))

    def _count_unread(self) -> int:
        """Return the number of bytes that wait in the reader or in the kernel."""
        buffered = len(self.reader._buffer)  # type: ignore[attr-defined]
        return buffered + unread_bytes(self._descriptor)

    def _count_unparsed(self) -> int:
        """Return the number of bytes read of a head that has not arrived whole."""
        wrapper = getattr(self, "protocol", None)
        connection = getattr(getattr(wrapper, "protocol", None), "connection", None)
        if not isinstance(connection, h11.Connection):
            return 0
        if connection.their_state not in (h11.IDLE, h11.DONE):
            return 0
        return len(connection.trailing_data[0])

    def _count_unsent(self) -> int:
        """Return the number of bytes that the caller's kernel has not acknowledged."""
        if self.writer.is_closing():
            return 0
        buffered = self.writer.transport.get_write_buffer_size()
        return buffered + unacknowledged_bytes(self._descriptor)

    @property
    def _descriptor(self) -> int:
        return int(self.writer.get_extra_info("socket").fileno())


def count_head_lines(data: bytes) -> int:
    """Return the number of lines of a head in bytes that may go beyond it."""
    end = data.find(b"\r\n\r\n")
    return data.count(b"\n", 0, end if end >= 0 else len(data))


def use_caller_servers() -> None:
    """Make hypercorn use these servers; it has no setting for it."""
    hypercorn.asyncio.run.TCPServer = CallerServer  # type: ignore[misc]
