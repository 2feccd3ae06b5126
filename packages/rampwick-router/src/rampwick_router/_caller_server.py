"""The server of one caller's connection, and how long it rests between requests."""

import asyncio
import fcntl
import struct
import termios

import hypercorn.asyncio.run
from hypercorn.asyncio.tcp_server import TCPServer
from hypercorn.events import Closed, Event, Updated

from ._logs import ComponentLogger

#: Interval and number of checks whether what arrived by the end of a rest was read. A
#: connection is not read while its caller takes nothing of what was sent to it.
UNREAD_CHECK_SECONDS = 0.005
UNREAD_CHECKS_COUNT = 200

log = ComponentLogger("entry")


class CallerServer(TCPServer):
    """Closes no connection on which a request has arrived."""

    _has_read_all = False

    async def run(self) -> None:
        """Serve the connection until it ends."""
        try:
            await super().run()
        except BaseExceptionGroup as group:
            log.problem("connection failed", error=repr(group.exceptions))

    async def protocol_send(self, event: Event) -> None:
        """Send what the protocol has for the caller, or act on its state."""
        if isinstance(event, Updated) and event.idle and self._has_read_all:
            event = Closed()
        await super().protocol_send(event)

    async def _read_data(self) -> None:
        await super()._read_data()
        # The caller can send no further request that the connection would rest for.
        self._has_read_all = True
        await self.idle_task.stop()

    async def _idle_timeout(self) -> None:
        await self._rest()
        # An event loop that was late handles the end of the rest before the bytes that
        # arrived until then. Reading them stops this task.
        for _ in range(UNREAD_CHECKS_COUNT):
            if not self._has_unread():
                break
            await asyncio.sleep(UNREAD_CHECK_SECONDS)
        await asyncio.shield(self._initiate_server_close())

    async def _rest(self) -> None:
        """Return after the maximum rest, or when the server shuts down."""
        started_seconds = self.loop.time()
        idle_seconds = self.config.keep_alive_timeout
        while True:
            # Callers go by the bound that they know; a new one may not have arrived.
            idle_seconds = max(idle_seconds, self.config.keep_alive_timeout)
            rested_seconds = self.loop.time() - started_seconds
            if rested_seconds >= idle_seconds:
                return
            try:
                await asyncio.wait_for(
                    self.context.terminated.wait(), idle_seconds - rested_seconds
                )
            except TimeoutError:
                continue
            return

    def _has_unread(self) -> bool:
        """Return whether bytes of the caller wait in the reader or in the kernel."""
        if self.reader._buffer:  # type: ignore[attr-defined]
            return True
        descriptor = self.writer.get_extra_info("socket").fileno()
        if descriptor < 0:
            return False
        found = fcntl.ioctl(descriptor, termios.FIONREAD, bytes(4))
        return bool(struct.unpack("i", found)[0])


def use_caller_servers() -> None:
    """Make hypercorn use these servers; it has no setting for it."""
    hypercorn.asyncio.run.TCPServer = CallerServer  # type: ignore[misc]
