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
from h2.frame_buffer import FrameBuffer
from hypercorn.events import Closed, Event, RawData
from hypercorn.protocol.events import Event as StreamEvent, StreamClosed
from hypercorn.protocol.h2 import H2Protocol
from hyperframe.frame import DataFrame, Frame, HeadersFrame, RstStreamFrame

from rampwick_policy import FRAMES_PER_RESET, FrameAllowance, PieceMeter
from rampwick_schema import ReprMixin

from ._caller_connections import CallerConnections
from ._caller_memory import CallerBound

#: Bytes that are parsed before other connections get their turn. They may bring several
#: requests.
TURN_BYTES = 512

#: Bytes beyond the largest head that may arrive without completing anything: frames of
#: content, and the frames of a head.
MAX_FRAME_BYTES = 32_768

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


class CallerFrames(FrameBuffer):
    """Counts the frames of a caller, also those that the parser makes nothing of."""

    def __init__(self, max_frame_size: int) -> None:
        super().__init__(server=True)
        self.max_frame_size = max_frame_size
        self._control_count = 0
        #: Frames with content.
        self.meter = PieceMeter()

    @property
    def unparsed_bytes(self) -> int:
        """Bytes of a frame, or of the frames of a head, that has not ended."""
        return len(self._data) + sum(len(frame.data) for frame in self._headers_buffer)

    def take_control_count(self) -> int:
        """Return the number of frames without content since the last call."""
        count, self._control_count = self._control_count, 0
        return count

    def __next__(self) -> Frame:
        frame = super().__next__()
        if isinstance(frame, DataFrame) and frame.data:
            self.meter.note(len(frame.data))
        elif isinstance(frame, RstStreamFrame):
            self._control_count += FRAMES_PER_RESET
        elif not isinstance(frame, HeadersFrame):
            self._control_count += 1
        return frame


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
        self._frames = CallerFrames(self.connection.max_inbound_frame_size)
        self.connection.incoming_buffer = self._frames
        self._send_frame = self.connection.send_data
        self.connection.send_data = self._send_counted  # type: ignore[assignment]

    @property
    def unparsed_bytes(self) -> int:
        """Number of bytes that were read and not parsed."""
        return self._frames.unparsed_bytes

    def _send_counted(self, stream_id: int, data: bytes, **options: Any) -> None:
        """Send content, which the caller may acknowledge."""
        self._send_frame(stream_id, data, **options)
        self._allowance.note_sent(len(data))

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
        if not self._is_within_bounds():
            await self._end_for_bound()
            return
        await self._handle_events(events)

    def _is_within_bounds(self) -> bool:
        max_bytes = self.config.h11_max_incomplete_size + MAX_FRAME_BYTES
        control_count = self._frames.take_control_count()
        return (
            self._allowance.take(control_count, anyio.current_time())
            and not self._frames.meter.is_exceeded
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

    async def _create_stream(self, request: h2.events.RequestReceived) -> None:
        """Begin a request; one in a turn, as on a connection of HTTP/1.1."""
        await anyio.sleep(0)
        await super()._create_stream(request)

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
            buffer = self.stream_buffers.get(event.stream_id)
            if buffer is None or buffer._complete:
                self._allowance.note_response()
            await self._reset_if_cut(event.stream_id)
        await super().stream_send(event)
        await self._announce_end_if_leaving()

    async def _send_data(self, stream_id: int) -> None:
        """Send what is due of a stream, and then the end of the connection if due."""
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
