"""Sending of one response to a caller over ASGI."""

import math
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import anyio
import attrs
import orjson

from rampwick_schema import ReprMixin

from .._answer_buffers import WRITE_BYTES
from .._caller_sockets import UNKNOWN_SOCKET, CallerSocket
from .._errors import CallerError
from ._request_body import Message, RequestBody

Send = Callable[[Message], Awaitable[None]]

Headers = Iterable[tuple[bytes, bytes]]

CLOSE = (b"connection", b"close")
JSON = (b"content-type", b"application/json")
EVENT_STREAM = (
    (b"content-type", b"text/event-stream"),
    (b"cache-control", b"no-store"),
)


@attrs.define(repr=False)
class UpstreamProgress(ReprMixin):
    """When the parts of an upstream's response were received."""

    #: When bytes of it were read last; None before the first ones.
    bytes_at_seconds: float | None = None
    #: When its end was read; None before.
    ended_at_seconds: float | None = None

    def note_bytes(self, now_seconds: float) -> None:
        """Record that bytes were read, of a response that goes on."""
        self.bytes_at_seconds = now_seconds
        self.ended_at_seconds = None

    def note_ended(self, now_seconds: float) -> None:
        """Record that the end was read."""
        self.ended_at_seconds = now_seconds


class Responder:
    """Sends one response: status and headers, body chunks, end of the body.

    The start time of a pending write is recorded, so that a single task can detect all
    slow callers; a timeout around each write would add to the cost of every token.
    """

    def __init__(
        self,
        send: Send,
        read_clock: Callable[[], float],
        is_draining: Callable[[], bool] = lambda: False,
        caller_socket: CallerSocket = UNKNOWN_SOCKET,
        http_version: str = "",
        request: RequestBody | None = None,
    ) -> None:
        self._send = send
        self._request = request
        self._caller_socket = caller_socket
        #: Whether the caller may take the close of its connection for the end of the
        #: body. Until the end, the connection is set to be closed by a reset, so that
        #: the response is visibly cut even if this process is killed.
        self._ends_with_close = http_version == "1.0"
        self._is_draining = is_draining
        self._read_clock = read_clock
        self.has_started = False
        self.has_ended = False
        #: Whether the whole body was sent and only the rest of the request is read. A
        #: close with unread bytes is a reset, which may take the response.
        self.is_discarding = False
        #: Code of the error that ended a started response before its end, if any.
        self.cut_code = ""
        #: Start of the write that the caller has not accepted yet; None if idle.
        self.write_started_seconds: float | None = None
        #: Whether the request was dispatched to an upstream.
        self.was_dispatched = False
        #: Progress of the response that is forwarded.
        self.upstream = UpstreamProgress()
        #: Whether the server has reported that the caller disconnected.
        self.is_disconnected = False
        #: What the log line of a response that is not complete contains of its request.
        self.log_fields: dict[str, object] = {}
        #: Whether the response is a stream in which an error is an event.
        self._has_error_events = False

    def has_caller_left(self) -> bool:
        """Return whether the caller's close has reached this host."""
        return self.is_disconnected or self._caller_socket.has_left()

    def unacknowledged_bytes(self) -> int:
        """Return the number of bytes in the kernel that the caller's kernel lacks."""
        return self._caller_socket.unacknowledged_bytes()

    async def start(self, status: int, headers: Headers) -> None:
        """Send status and headers; during a shutdown, with ``Connection: close``."""
        self.has_started = True
        if self._ends_with_close:
            self._caller_socket.set_reset_on_close(True)
        all_headers = list(headers)
        if self._is_draining():
            all_headers.append(CLOSE)
        try:
            await self._send_timed(
                {
                    "type": "http.response.start",
                    "status": status,
                    "headers": all_headers,
                }
            )
        except Exception:
            # The server has sent nothing of a head that it refuses.
            self.has_started = False
            raise

    async def start_events(self, headers: Headers = ()) -> None:
        """Start a stream of the OpenAI dialect, which may end with an error event."""
        self._has_error_events = True
        await self.start(200, [*EVENT_STREAM, *headers])

    async def send(self, body: bytes) -> None:
        """Send a part of the body, in chunks that a slow caller takes one by one."""
        for start in range(0, max(1, len(body)), WRITE_BYTES):
            await self._send_timed(
                {
                    "type": "http.response.body",
                    "body": body[start : start + WRITE_BYTES],
                    "more_body": True,
                }
            )

    async def end(self, body: bytes = b"") -> None:
        """Send the last chunk of the body."""
        is_request_due = self._request is not None and not self._request.is_received
        is_long = len(body) > WRITE_BYTES
        if self._ends_with_close or is_request_due or is_long:
            await self.send(body)
            body = b""
            self._caller_socket.set_reset_on_close(False)
        self.has_ended = True
        if self._request is not None and not self._request.is_received:
            self.is_discarding = True
            await self._request.discard()
            await self._end_unread(self._request)
            return
        await self._send_timed({"type": "http.response.body", "body": body})

    async def _end_unread(self, request: RequestBody) -> None:
        """End the response, of whose request there may be more than can be discarded.

        The server waits for room in its queue of received messages before it ends.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(request.make_room)
            await self._send_timed({"type": "http.response.body", "body": b""})
            tasks.cancel_scope.cancel()

    async def send_json(self, status: int, data: Any, headers: Headers = ()) -> None:
        """Send a complete JSON response."""
        await self.send_json_bytes(status, orjson.dumps(data), headers)

    async def send_json_bytes(
        self, status: int, body: bytes, headers: Headers = ()
    ) -> None:
        """Send a complete JSON response that has been serialized."""
        length = (b"content-length", str(len(body)).encode())
        await self.start(status, [JSON, length, *headers])
        await self.end(body)

    async def send_error(self, error: CallerError) -> None:
        """Send an error as a response, or as the last event of a started stream.

        Any other started response stays without its end, so that it is visibly cut.
        """
        if self.has_ended:
            return
        if self.has_started:
            if not self._has_error_events:
                self.cut_code = error.code
                return
            body = orjson.dumps(error.body)
            await self.end(b"event: error\ndata: %s\n\n" % body)
            return
        headers: list[tuple[bytes, bytes]] = []
        if error.retry_after_seconds is not None:
            seconds = max(1, math.ceil(error.retry_after_seconds))
            headers.append((b"retry-after", str(seconds).encode()))
        await self.send_json(error.status, error.body, headers)

    async def _send_timed(self, message: Message) -> None:
        self.write_started_seconds = self._read_clock()
        await self._send(message)
        self.write_started_seconds = None
