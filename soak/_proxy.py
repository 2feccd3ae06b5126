"""A loopback TCP forwarder that delays, silences and resets on command."""

import socket
import struct

import anyio
import attrs
from anyio.abc import SocketAttribute, SocketStream, TaskGroup

LOOPBACK = "127.0.0.1"

#: Bytes forwarded at once.
PIECE_BYTES = 65536

#: Time between two looks at whether a silenced way is open again.
STEP_SECONDS = 0.01

#: Makes a close send a reset instead of an end.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@attrs.define
class Weather:
    """What is wrong with a way at present, in its two directions."""

    delay_seconds: float = 0.0
    #: Whether bytes towards the target, or back from it, are held up.
    is_silent_out: bool = False
    is_silent_back: bool = False

    def clear(self) -> None:
        """Let everything through again."""
        self.delay_seconds = 0.0
        self.is_silent_out = self.is_silent_back = False


@attrs.define
class Proxy:
    """Forwards connections from one port to another; from port 0, a free one."""

    name: str
    port: int
    target_port: int
    weather: Weather = attrs.field(factory=Weather)
    _open: set[SocketStream] = attrs.field(factory=set)
    #: Connections that are silent for good, while new ones work.
    _stranded: set[SocketStream] = attrs.field(factory=set)

    @property
    def address(self) -> str:
        """Where to connect instead of to the target."""
        return f"{LOOPBACK}:{self.port}"

    async def run(self, tasks: TaskGroup) -> None:
        """Listen; return once connections are taken."""
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
                # It was closed in this moment, and is not taken off the set yet.
                continue
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            raw.shutdown(socket.SHUT_RD)

    def blackhole_connections(self) -> None:
        """Have all connections that are open now be silent for good.

        Neither end hears of it: what it sends is taken and lost, also its end.
        """
        self._stranded |= self._open

    async def _forward(self, near: SocketStream) -> None:
        async with near:
            while self.weather.is_silent_out:
                await anyio.sleep(STEP_SECONDS)
            try:
                far = await anyio.connect_tcp(LOOPBACK, self.target_port)
            except OSError:
                # Nobody listens there: as a closed port would, say so at once.
                return
            async with far, anyio.create_task_group() as tasks:
                self._open |= {near, far}
                try:
                    tasks.start_soon(self._pump, near, far, True, tasks)
                    await self._pump(far, near, False, tasks)
                finally:
                    self._open -= {near, far}
                    self._stranded -= {near, far}

    async def _pump(
        self, source: SocketStream, sink: SocketStream, is_out: bool, tasks: TaskGroup
    ) -> None:
        try:
            while True:
                piece = await source.receive(PIECE_BYTES)
                if source in self._stranded:
                    continue
                while self._is_silent(is_out):
                    await anyio.sleep(STEP_SECONDS)
                if self.weather.delay_seconds:
                    await anyio.sleep(self.weather.delay_seconds)
                await sink.send(piece)
        except (anyio.EndOfStream, anyio.BrokenResourceError, OSError):
            # One end is gone: the other one hears of it by the close.
            if source not in self._stranded:
                tasks.cancel_scope.cancel()

    def _is_silent(self, is_out: bool) -> bool:
        weather = self.weather
        return weather.is_silent_out if is_out else weather.is_silent_back
