"""A TCP proxy whose connections can be reset, as in transit."""

import asyncio
import random
import socket
import struct

#: Makes a close a reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Proxy:
    """Forwards the bytes of each connection to a server, in both directions."""

    def __init__(self, target: str) -> None:
        self._target = target
        self.address = ""
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, ip: str = "127.0.0.1") -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, ip, 0)
        port = server.sockets[0].getsockname()[1]
        self.address = f"{ip}:{port}"

    def reset(self, ratio: float) -> int:
        """Reset a part of the open connections towards the clients; return how many."""
        chosen = random.sample(sorted(self._writers, key=id), self.count(ratio))
        for writer in chosen:
            raw = writer.get_extra_info("socket")
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()
        return len(chosen)

    def count(self, ratio: float = 1.0) -> int:
        """Return a part of the number of open connections."""
        return round(ratio * len(self._writers))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        ip, _, port = self._target.rpartition(":")
        self._writers.add(writer)
        try:
            far_reader, far_writer = await asyncio.open_connection(ip, int(port))
            await asyncio.wait(
                [
                    asyncio.create_task(_forward(reader, far_writer)),
                    asyncio.create_task(_forward(far_reader, writer)),
                ],
                return_when=asyncio.FIRST_COMPLETED,
            )
            far_writer.close()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def _forward(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()
    except (OSError, asyncio.CancelledError):
        return
