"""HTTP/2 connections on which each stream ends for itself.

An answer that was cut short is reset, and what arrives for a stream that has ended
leaves the others alone.
"""

from typing import Any

import anyio
import attrs
import h2.errors
import h2.events
import h2.exceptions
import hypercorn.protocol
import priority
from hypercorn.events import Closed, Event, RawData
from hypercorn.protocol.events import Event as StreamEvent, StreamClosed
from hypercorn.protocol.h2 import H2Protocol

from rampwick_policy import FrameAllowance, PieceMeter
from rampwick_schema import ReprMixin

from ._caller_connections import CallerConnections
from ._caller_memory import CallerBound

#: Bytes that are parsed before other connections get their turn.
TURN_BYTES = 4_096

#: Bytes beyond the largest head that may arrive without completing anything: frames of
#: content, and the frames of a head.
MAX_FRAME_BYTES = 32_768

#: What brings a request, or goes with what does.
CONTENT_EVENTS = (
    h2.events.RequestReceived,
    h2.events.StreamEnded,
    h2.events.TrailersReceived,
)

#: Time for which a caller may take what was sent before its stream is reset.
FLUSH_SECONDS = 0.25


class EndedStream:
    """Takes what arrives for a stream after its response."""

    idle = True

    async def handle(self, event: StreamEvent) -> None:
        """Discard an event of the caller."""


class OpenStreams(dict[int, Any]):
    """The open streams by id; any other one is a stream that has ended."""

    def __missing__(self, stream_id: int) -> EndedStream:
        return EndedStream()


@attrs.frozen(repr=False)
class LimitExceeded(Event, ReprMixin):
    """The caller has exceeded a bound on what it sends; its connection ends."""

    bound: CallerBound


class ResettingH2Protocol(H2Protocol):
    """Resets the stream of an application that returns before the end of its answer.

    The base class leaves such a stream open, so that its caller waits for the rest
    until its own timeout, and fails as a whole on data for a stream that has ended.
    """

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.streams = OpenStreams()
        self._has_announced_end = False
        self._allowance = FrameAllowance(anyio.current_time())
        self._meter = PieceMeter()
        #: Bytes received since the last event.
        self.unparsed_bytes = 0

    async def handle(self, event: Event) -> None:
        """Handle an event of the connection; announce the end of an idle one."""
        if isinstance(event, RawData):
            for start in range(0, len(event.data), TURN_BYTES):
                if start:
                    await anyio.sleep(0)
                if self.closed:
                    return
                await self._handle_bytes(event.data[start : start + TURN_BYTES])
            return
        if isinstance(event, Closed) and self.idle and not self.stream_buffers:
            await self._announce_end()
        await super().handle(event)

    async def _handle_bytes(self, data: bytes) -> None:
        try:
            events = self.connection.receive_data(data)
        except h2.exceptions.ProtocolError:
            await self._flush()
            await self.send(Closed())
            return
        self.unparsed_bytes = 0 if events else self.unparsed_bytes + len(data)
        if not self._is_within_bounds(events):
            await self._end_for_bound()
            return
        await self._handle_events(events)

    def _is_within_bounds(self, events: list[h2.events.Event]) -> bool:
        control_count = 0
        for event in events:
            if isinstance(event, h2.events.DataReceived) and event.data:
                self._meter.note(len(event.data))
            elif not isinstance(event, CONTENT_EVENTS):
                control_count += 1
        max_bytes = self.config.h11_max_incomplete_size + MAX_FRAME_BYTES
        return (
            self._allowance.take(control_count, anyio.current_time())
            and not self._meter.is_exceeded
            and self.unparsed_bytes <= max_bytes
        )

    async def _end_for_bound(self) -> None:
        with anyio.move_on_after(FLUSH_SECONDS):
            try:
                self.connection.close_connection(h2.errors.ErrorCodes.ENHANCE_YOUR_CALM)
                await self._flush()
            except h2.exceptions.ProtocolError:
                # The caller has closed the connection already.
                pass
        await self.send(LimitExceeded(CallerBound.FRAMES))
        await self.handle(Closed())

    async def _priority_updated(self, event: h2.events.PriorityUpdated) -> None:
        """Ignore priorities, as RFC 9113 (5.3.2) allows; they name any stream."""

    async def _announce_end(self) -> None:
        """Name the last stream that was read; the caller may repeat later ones."""
        if self._has_announced_end or self.closed:
            return
        self._has_announced_end = True
        try:
            self.connection.close_connection()
        except h2.exceptions.ProtocolError:
            return
        await self._flush()

    def _is_leaving(self) -> bool:
        connections = getattr(self.config, "connections", None)
        return isinstance(connections, CallerConnections) and connections.is_leaving()

    async def stream_send(self, event: StreamEvent) -> None:
        """Send an event of an application; its return ends its stream."""
        if isinstance(event, StreamClosed):
            await self._reset_if_cut(event.stream_id)
        await super().stream_send(event)
        await self._announce_end_if_leaving()

    async def _send_data(self, stream_id: int) -> None:
        """Send what is due of a stream, and then the end of the connection if due."""
        self._allowance.note_sent()
        await super()._send_data(stream_id)
        await self._announce_end_if_leaving()

    async def _announce_end_if_leaving(self) -> None:
        """Announce the end once all streams have ended; the caller closes its side.

        A stream has ended when the sending task has released its buffer. After the
        announcement nothing more can be sent.
        """
        if self.idle and not self.stream_buffers and self._is_leaving():
            await self._announce_end()

    async def _reset_if_cut(self, stream_id: int) -> None:
        buffer = self.stream_buffers.get(stream_id)
        is_open = stream_id in self.streams and not self.closed
        if not is_open or buffer is None or buffer._complete:
            return
        if buffer.buffer:
            with anyio.move_on_after(FLUSH_SECONDS):
                await buffer.drain()
        try:
            self.connection.reset_stream(stream_id, h2.errors.ErrorCodes.INTERNAL_ERROR)
            # The sending task releases a closed buffer when it is its turn.
            await buffer.close()
            self.priority.unblock(stream_id)
        except (h2.exceptions.ProtocolError, priority.MissingStreamError):
            # The caller has reset the stream or closed the connection already.
            return
        await self._flush()
        await self.has_data.set()


def reset_cut_streams() -> None:
    """Make hypercorn use this protocol; it has no setting for it."""
    hypercorn.protocol.H2Protocol = ResettingH2Protocol  # type: ignore[assignment,misc]
