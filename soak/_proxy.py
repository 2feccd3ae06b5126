"""TCP proxy on loopback that delays, stalls, drops and resets on command."""

import contextlib
import socket
import struct

import anyio
import attrs
from anyio.abc import SocketAttribute, SocketStream, TaskGroup

LOOPBACK = "127.0.0.1"

#: Maximum bytes forwarded at once.
CHUNK_BYTES = 65536

#: Interval at which a stalled direction is checked again.
POLL_INTERVAL_SECONDS = 0.01

#: SO_LINGER value with which a close sends RST instead of FIN.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@attrs.define
class LinkConditions:
    """Faults currently applied to a link, by direction."""

    delay_seconds: float = 0.0
    #: Whether bytes to the target, or from it, are held back.
    is_stalled_to_target: bool = False
    is_stalled_from_target: bool = False
    #: Whether new connections are closed at once, or held back.
    refuses_new: bool = False
    holds_new: bool = False

    def clear(self) -> None:
        """Forward both directions without faults."""
        self.delay_seconds = 0.0
        self.is_stalled_to_target = self.is_stalled_from_target = False
        self.refuses_new = self.holds_new = False


@attrs.define
class Proxy:
    """Forwards connections from one port to another; port 0 selects a free port."""

    name: str
    port: int
    target_port: int
    conditions: LinkConditions = attrs.field(factory=LinkConditions)
    _open: set[SocketStream] = attrs.field(factory=set)
    #: Connections whose bytes are dropped for good, while new ones work.
    _blackholed: set[SocketStream] = attrs.field(factory=set)

    @property
    def address(self) -> str:
        """Address to connect to in place of the target."""
        return f"{LOOPBACK}:{self.port}"

    async def run(self, tasks: TaskGroup) -> None:
        """Listen; return once connections are accepted."""
        listener = await anyio.create_tcp_listener(
            local_host=LOOPBACK, local_port=self.port
        )
        self.port = listener.extra(SocketAttribute.local_port)
        tasks.start_soon(listener.serve, self._forward)

    def reset(self) -> None:
        """Reset all connections at both ends."""
        for stream in list(self._open):
            raw = stream.extra(SocketAttribute.raw_socket)
            if raw.fileno() < 0:
                # Closed concurrently and not yet removed from the set.
                continue
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            # The peer may have reset it already, as hosts do with unanswered attempts.
            with contextlib.suppress(OSError):
                raw.shutdown(socket.SHUT_RD)

    def blackhole_connections(self) -> None:
        """Drop all further bytes of the connections that are open now.

        Neither end is notified: what it sends is read and dropped, its FIN too.
        """
        self._blackholed |= self._open

    async def _forward(self, client_stream: SocketStream) -> None:
        async with client_stream:
            while self.conditions.is_stalled_to_target or self.conditions.holds_new:
                await anyio.sleep(POLL_INTERVAL_SECONDS)
            if self.conditions.refuses_new:
                return
            try:
                target_stream = await anyio.connect_tcp(LOOPBACK, self.target_port)
            except OSError:
                # Nothing listens on the target port: close at once, as the client
                # would get a refusal from a closed port.
                return
            async with target_stream, anyio.create_task_group() as tasks:
                self._open |= {client_stream, target_stream}
                try:
                    tasks.start_soon(
                        self._pump, client_stream, target_stream, True, tasks
                    )
                    await self._pump(target_stream, client_stream, False, tasks)
                finally:
                    self._open -= {client_stream, target_stream}
                    self._blackholed -= {client_stream, target_stream}

    async def _pump(
        self,
        source: SocketStream,
        sink: SocketStream,
        is_to_target: bool,
        tasks: TaskGroup,
    ) -> None:
        try:
            while True:
                chunk = await source.receive(CHUNK_BYTES)
                if source in self._blackholed:
                    continue
                while self._is_stalled(is_to_target):
                    await anyio.sleep(POLL_INTERVAL_SECONDS)
                if self.conditions.delay_seconds:
                    await anyio.sleep(self.conditions.delay_seconds)
                await sink.send(chunk)
        except (anyio.EndOfStream, anyio.BrokenResourceError, OSError):
            # One end is closed; cancelling the other direction closes the other end.
            if source not in self._blackholed:
                tasks.cancel_scope.cancel()

    def _is_stalled(self, is_to_target: bool) -> bool:
        conditions = self.conditions
        return (
            conditions.is_stalled_to_target
            if is_to_target
            else conditions.is_stalled_from_target
        )
