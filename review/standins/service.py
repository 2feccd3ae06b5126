"""A plain service of a few servers that shed what exceeds their slots and queue."""

import asyncio
import random
from collections.abc import Callable

from .http import Message, encode, read_message
from .store import Store

Note = Callable[..., None]


class Server:
    """One server; it runs a request once it has taken a slot."""

    def __init__(self, store: Store, note: Note, service: str, zone: str) -> None:
        self._store = store
        self._note = note
        self.service, self.zone = service, zone
        self.id = f"i-{random.getrandbits(32):08x}"
        self.address = ""
        self.slots_count, self.queue_count = 6, 24
        self.work_seconds = 0.09
        self._slots = asyncio.Semaphore(self.slots_count)
        self._waiting_count = 0

    async def start(self, ip: str = "127.0.0.1") -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, ip, 0)
        port = server.sockets[0].getsockname()[1]
        self.address = f"{ip}:{port}"

    def register(self) -> None:
        """Write the entry in the store."""
        self._store.put("servers", self.id, self.entry())

    def entry(self, state: str = "ready") -> dict[str, object]:
        """Return the entry in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots_count,
            "state": state,
            "cold_remaining_ms": 0,
            "seq": 1,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while request := await read_message(reader):
                writer.write(await self._answer(request))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: Message) -> bytes:
        headers = request.headers
        if request.target == "/health":
            return encode("HTTP/1.1 200 OK", {"X-Rampwick-Instance-Id": self.id})
        request_id = headers.get("x-rampwick-request-id", "")
        echo = {"X-Rampwick-Request-Id": request_id, "X-Rampwick-Instance-Id": self.id}
        if headers.get("x-rampwick-target-instance", self.id) != self.id:
            return encode("HTTP/1.1 421 Misdirected Request", echo)
        if self._waiting_count >= self.queue_count:
            self._note("server", self.id, f"rejected {request_id}")
            refusal = {**echo, "X-Rampwick-Not-Executed": "1"}
            return encode("HTTP/1.1 503 Service Unavailable", refusal)
        self._waiting_count += 1
        async with self._slots:
            self._waiting_count -= 1
            self._note("server", self.id, f"ran {request_id}")
            await asyncio.sleep(self.work_seconds)
        echo["X-Rampwick-Response-Signature"] = f"{self.id}.{request_id}"
        return encode("HTTP/1.1 200 OK", echo, f"answer to {request_id}".encode())
