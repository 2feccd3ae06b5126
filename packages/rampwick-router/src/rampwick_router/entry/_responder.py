"""Writing one answer to a caller over ASGI."""

import math
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import anyio
import orjson

from .._errors import CallerError

Message = dict[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]

Headers = Iterable[tuple[bytes, bytes]]

CLOSE = (b"connection", b"close")
JSON = (b"content-type", b"application/json")
EVENT_STREAM = (
    (b"content-type", b"text/event-stream"),
    (b"cache-control", b"no-store"),
)


class Responder:
    """Sends one response: its head once, its pieces, its end once.

    It notes since when a piece has been waiting to be taken, so that one task can
    look after all slow callers; a time-out for each piece would cost every token.
    """

    def __init__(
        self,
        send: Send,
        read_clock: Callable[[], float],
        is_leaving: Callable[[], bool] = lambda: False,
    ) -> None:
        self._send = send
        self._is_leaving = is_leaving
        self._read_clock = read_clock
        self.has_started = False
        self.has_ended = False
        #: Since when the caller has not taken a piece; nothing if none waits.
        self.waiting_since_seconds: float | None = None
        #: Whether the request was handed to an upstream.
        self.was_dispatched = False

    async def start(self, status: int, headers: Headers) -> None:
        """Send status and headers; a host that leaves closes the connection after."""
        self.has_started = True
        sent = list(headers)
        if self._is_leaving():
            sent.append(CLOSE)
        await self._send_watched(
            {"type": "http.response.start", "status": status, "headers": sent}
        )

    async def send(self, body: bytes) -> None:
        """Send a piece of the body."""
        await self._send_watched(
            {"type": "http.response.body", "body": body, "more_body": True}
        )

    async def end(self, body: bytes = b"") -> None:
        """Send the last piece."""
        self.has_ended = True
        await self._send_watched({"type": "http.response.body", "body": body})

    async def send_json(self, status: int, data: Any, headers: Headers = ()) -> None:
        """Send a whole response of JSON."""
        await self.start(status, [JSON, *headers])
        await self.end(orjson.dumps(data))

    async def send_error(self, error: CallerError) -> None:
        """Send an error: as a response, or as the last event of a begun stream."""
        if self.has_ended:
            return
        if self.has_started:
            body = orjson.dumps(error.body)
            await self.end(b"event: error\ndata: %s\n\n" % body)
            return
        headers: list[tuple[bytes, bytes]] = []
        if error.retry_after_seconds is not None:
            seconds = max(1, math.ceil(error.retry_after_seconds))
            headers.append((b"retry-after", str(seconds).encode()))
        await self.send_json(error.status, error.body, headers)

    async def _send_watched(self, message: Message) -> None:
        self.waiting_since_seconds = self._read_clock()
        await self._send(message)
        self.waiting_since_seconds = None


async def read_body(
    receive: Receive, *, max_body_bytes: int, timeout_seconds: float
) -> bytes:
    """Return a request's body; too large or too slow is a CallerError."""
    step = "read body"
    parts = []
    length = 0
    with anyio.move_on_after(timeout_seconds):
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                raise CallerError(
                    "the caller went away", status=400, code="cut_body", step=step
                )
            part = message.get("body", b"")
            length += len(part)
            if length > max_body_bytes:
                raise CallerError(
                    f"the body is larger than {max_body_bytes} bytes",
                    status=413,
                    code="body_too_large",
                    step=step,
                )
            parts.append(part)
            if not message.get("more_body"):
                return b"".join(parts)
    raise CallerError(
        f"the body did not come within {timeout_seconds:g} seconds",
        status=408,
        code="body_too_slow",
        step=step,
    )


async def wait_disconnect(receive: Receive) -> None:
    """Return when the caller goes away."""
    while (await receive())["type"] != "http.disconnect":
        continue
