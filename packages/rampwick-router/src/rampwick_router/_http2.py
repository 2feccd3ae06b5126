"""HTTP/2 connections on which an answer that was cut short is reset."""

import anyio
import h2.errors
import h2.exceptions
import hypercorn.protocol
from hypercorn.protocol.h2 import H2Protocol

#: Time for which a caller may take what was sent before its stream is reset.
FLUSH_SECONDS = 0.25


class ResettingH2Protocol(H2Protocol):
    """Resets the stream of an application that returns before the end of its answer.

    The base class leaves such a stream open, so that its caller waits for the rest
    until its own timeout.
    """

    async def _close_stream(self, stream_id: int) -> None:
        if stream_id in self.streams:
            await self._reset_if_cut(stream_id)
        await super()._close_stream(stream_id)

    async def _reset_if_cut(self, stream_id: int) -> None:
        buffer = self.stream_buffers.get(stream_id)
        if self.closed or buffer is None or buffer._complete:
            return
        if buffer.buffer:
            with anyio.move_on_after(FLUSH_SECONDS):
                await buffer.drain()
        try:
            self.connection.reset_stream(stream_id, h2.errors.ErrorCodes.INTERNAL_ERROR)
        except h2.exceptions.ProtocolError:
            # The caller has reset the stream or closed the connection already.
            return
        await self._flush()


def reset_cut_streams() -> None:
    """Make hypercorn use this protocol; it has no setting for it."""
    hypercorn.protocol.H2Protocol = ResettingH2Protocol  # type: ignore[misc]
