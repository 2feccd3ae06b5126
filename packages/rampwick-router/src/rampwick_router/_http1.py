"""HTTP/1.1 connections that serve a request as such whatever else its caller offers.

What a caller sends in small pieces is handed on in larger ones.
"""

from collections.abc import Callable
from typing import Any

import attrs
import h11
import hypercorn.protocol
from hypercorn.events import Event
from hypercorn.protocol.h11 import H11Protocol

from rampwick_policy import PieceMeter
from rampwick_schema import ReprMixin

from ._caller_connections import CallerConnections
from ._caller_memory import CallerBound

#: Chunks of a body that are parsed and handed on together.
MAX_CHUNKS_COUNT = 32


@attrs.frozen(repr=False)
class ReadingPaused(Event, ReprMixin):
    """The connection is not read, since its request has ended and more has arrived."""

    is_paused: bool


class CallerConnectionParser(h11.Connection):
    """Hands the chunks of a body on together, and bounds their number."""

    def __init__(
        self, max_incomplete_event_size: int, note_exceeded: Callable[[], None]
    ) -> None:
        """``note_exceeded`` is called if a body has too many chunks for its size."""
        super().__init__(
            h11.SERVER, max_incomplete_event_size=max_incomplete_event_size
        )
        self._note_exceeded = note_exceeded
        self._next: Any = None
        self._meter = PieceMeter()

    @property
    def unparsed_bytes(self) -> int:
        """Number of bytes that were read and not parsed."""
        return len(self._receive_buffer)

    def next_event(self) -> Any:
        """Return the next event; raise RemoteProtocolError if chunks are too small."""
        event, self._next = self._next or super().next_event(), None
        if isinstance(event, h11.Request):
            self._meter = PieceMeter()
        if not isinstance(event, h11.Data):
            return event
        parts = []
        while isinstance(event, h11.Data):
            parts.append(bytes(event.data))
            if event.chunk_start:
                self._note_chunk(len(event.data))
            if len(parts) == MAX_CHUNKS_COUNT:
                break
            event = self._next = super().next_event()
        return h11.Data(data=b"".join(parts) if len(parts) > 1 else parts[0])

    def start_next_cycle(self) -> None:
        """Prepare for the next request, without what was read ahead of this one."""
        super().start_next_cycle()
        self._next = None

    def _note_chunk(self, chunk_bytes: int) -> None:
        self._meter.note(chunk_bytes)
        if self._meter.is_exceeded:
            self._note_exceeded()
            raise h11.RemoteProtocolError("the chunks are too small")


class PlainH11Protocol(H11Protocol):
    """Ignores offers of a websocket, as a server may.

    The base class hands such a request to the application as a websocket, which no
    upstream speaks, and answers it with an empty error.
    """

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.connection = CallerConnectionParser(
            self.config.h11_max_incomplete_size, self._note_small_chunks
        )
        self.can_read = _ReadingEvent(self.can_read, self.send)  # type: ignore[assignment]

    def _note_small_chunks(self) -> None:
        connections = getattr(self.config, "connections", None)
        if isinstance(connections, CallerConnections):
            connections.memory.note_limited(CallerBound.CHUNKS, "request refused")

    async def _create_stream(self, request: h11.Request) -> None:
        await super()._create_stream(_without_websocket(request))


class _ReadingEvent:
    """Tells the server while the connection waits for its response to end."""

    def __init__(self, event: Any, send: Any) -> None:
        self._event = event
        self._send = send

    async def clear(self) -> None:
        await self._event.clear()

    async def set(self) -> None:
        await self._event.set()

    async def wait(self) -> None:
        await self._send(ReadingPaused(True))
        await self._event.wait()
        await self._send(ReadingPaused(False))


def _without_websocket(request: h11.Request) -> h11.Request:
    headers = list(request.headers)
    kept = [item for item in headers if not _offers_websocket(*item)]
    if len(kept) == len(headers):
        return request
    return h11.Request(
        method=request.method,
        target=request.target,
        headers=kept,
        http_version=request.http_version,
    )


def _offers_websocket(name: bytes, value: bytes) -> bool:
    return name == b"upgrade" and value.strip().lower() == b"websocket"


def ignore_websockets() -> None:
    """Make hypercorn use this protocol; it has no setting for it."""
    hypercorn.protocol.H11Protocol = PlainH11Protocol  # type: ignore[assignment,misc]
