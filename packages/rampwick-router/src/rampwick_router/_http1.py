"""HTTP/1.1 connections that serve a request as such whatever else its caller offers."""

from typing import Any

import attrs
import h11
import hypercorn.protocol
from hypercorn.events import Event
from hypercorn.protocol.h11 import H11Protocol

from rampwick_schema import ReprMixin


@attrs.frozen(repr=False)
class ReadingPaused(Event, ReprMixin):
    """The connection is not read, since its request has ended and more has arrived."""

    is_paused: bool


class CallerConnectionParser(h11.Connection):
    """Tells how much it holds."""

    @property
    def unparsed_bytes(self) -> int:
        """Number of bytes that were read and not parsed."""
        return len(self._receive_buffer)


class PlainH11Protocol(H11Protocol):
    """Ignores offers of a websocket, as a server may.

    The base class hands such a request to the application as a websocket, which no
    upstream speaks, and answers it with an empty error.
    """

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.connection = CallerConnectionParser(
            h11.SERVER,
            max_incomplete_event_size=self.config.h11_max_incomplete_size,
        )
        self.can_read = _ReadingEvent(self.can_read, self.send)  # type: ignore[assignment]

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
