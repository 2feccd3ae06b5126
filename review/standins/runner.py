"""A model runner: streams of events, reports, orders and cache events."""

import asyncio
import json
import random

from .http import Message, encode, encode_json, read_message
from .service import Note
from .store import Store


class Runner:
    """One runner; the token with number N is the event with id N."""

    def __init__(self, store: Store, note: Note, service: str, zone: str) -> None:
        self._store = store
        self._note = note
        self.service, self.zone = service, zone
        self.id = f"i-{random.getrandbits(32):08x}"
        self.address = ""
        self.model, self.version = "daka510000", 1
        #: Address in the entry, if it is another than the runner's own.
        self.public_address = ""
        #: Whether answers have chunks; others finish when their channel does.
        self.is_chunked = True
        self.slots_count = 64
        #: Time until the first event, number of events, and pause between them.
        self.first_seconds = 0.0
        self.events_count = 20
        self.event_seconds = 0.02
        self.load_seconds = 0.8
        self.seq = 0
        self.is_busy = False
        self.running_count = 0
        #: Highest version that the operator has named.
        self.named_version = 1
        self.epoch = random.getrandbits(16)
        self.writers: set[asyncio.StreamWriter] = set()

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
            "address": self.public_address or self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots_count,
            "state": state,
            "cold_remaining_ms": 0,
            "stage": "unified",
            "models": [{"name": self.model, "version": self.version, "adapters": []}],
            "seq": 1,
        }

    def report(self) -> dict[str, object]:
        """Return the report of the runner's state."""
        return {
            "stage": "unified",
            "models": [{"name": self.model, "version": self.version, "adapters": []}],
            "busy": self.is_busy,
            "seq": self.seq,
            "waiting": 0,
            "running": self.running_count,
            "kv_used": 0,
            "kv_total": 119045,
            "handles": 0,
            "pinned": 0,
            "held": 0,
            "state": "ready",
            "next_page_token": 0,
            "runs": [],
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while request := await read_message(reader):
                await self._answer(request, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        headers = request.headers
        path = request.target.partition("?")[0]
        if headers.get("x-rampwick-target-instance", self.id) != self.id:
            writer.write(self._refusal(request, 421))
        elif path == "/health":
            writer.write(encode("HTTP/1.1 200 OK", {"X-Rampwick-Instance-Id": self.id}))
        elif path == "/-/report":
            writer.write(encode_json(200, self.report()))
        elif path == "/-/kv-events":
            await asyncio.sleep(int(headers.get("wait-ms", "0")) / 1000)
            answer = {"epoch": self.epoch, "next_page_token": 0, "lost": False}
            writer.write(encode_json(200, {**answer, "events": []}))
        elif path == "/-/kv-list":
            answer = {"epoch": self.epoch, "next_page_token": 0, "held": []}
            writer.write(encode_json(200, answer))
        elif path == "/-/order":
            writer.write(self._take_order(json.loads(request.body)))
        else:
            await self.answer_stream(request, writer)

    def _refusal(self, request: Message, status: int) -> bytes:
        headers = {
            "X-Rampwick-Request-Id": request.headers.get("x-rampwick-request-id", ""),
            "X-Rampwick-Instance-Id": self.id,
            "X-Rampwick-Not-Executed": "1",
        }
        return encode(f"HTTP/1.1 {status} X", headers)

    def _take_order(self, order: dict[str, object]) -> bytes:
        self._note("order", self.id, json.dumps(order))
        version = int(str(order["version"]))
        expected = order.get("expected_revision")
        if version > self.named_version:
            return encode_json(400, {})
        if version == self.version:
            return encode_json(200, {})
        if self.is_busy or (expected is not None and expected != self.seq):
            return encode_json(409, {})
        self.seq += 1
        self.is_busy = True
        asyncio.get_running_loop().call_later(self.load_seconds, self._load, version)
        return encode_json(202, {})

    def _load(self, version: int) -> None:
        self.version = version
        self.is_busy = False
        self._store.put("servers", self.id, self.entry())

    async def answer_stream(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> None:
        """Run a request and answer with its events."""
        headers = request.headers
        request_id = headers.get("x-rampwick-request-id", "")
        expected = headers.get("x-rampwick-expect-version")
        if expected is not None and int(expected) != self.version:
            writer.write(self._refusal(request, 421))
            return
        if self.is_busy:
            writer.write(self._refusal(request, 503))
            return
        self._note("server", self.id, f"ran {request_id}")
        first = int(headers.get("last-event-id") or 0) + 1
        self.running_count += 1
        try:
            await asyncio.sleep(self.first_seconds)
            writer.write(self.stream_head(request_id))
            for number in range(first, self.events_count + 1):
                await asyncio.sleep(self.event_seconds)
                event = f"id: {number}\ndata: {request_id} {number}\n\n".encode()
                if self.is_chunked:
                    event = b"%x\r\n%s\r\n" % (len(event), event)
                writer.write(event)
                await writer.drain()
            if self.is_chunked:
                writer.write(b"0\r\n\r\n")
            else:
                writer.close()
        finally:
            self.running_count -= 1

    def stream_head(self, request_id: str) -> bytes:
        """Return the head of a stream."""
        lines = [
            "HTTP/1.1 200 OK",
            f"X-Rampwick-Request-Id: {request_id}",
            f"X-Rampwick-Instance-Id: {self.id}",
            f"X-Rampwick-Response-Signature: {self.id}.{request_id}",
            f"X-Rampwick-Weight-Versions: {self.version}",
            "Content-Type: text/event-stream",
        ]
        if self.is_chunked:
            lines.append("Transfer-Encoding: chunked")
        return ("\r\n".join(lines) + "\r\n\r\n").encode()
