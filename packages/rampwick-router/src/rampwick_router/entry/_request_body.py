"""Reading of a request's body, to its end even if the response needs none of it."""

import io
from collections.abc import Awaitable, Callable, Iterable
from contextlib import nullcontext
from typing import Any

import anyio

from .._caller_memory import RequestMemory, memory_error
from .._caller_sockets import UNKNOWN_SOCKET, CallerSocket
from .._errors import CallerError

Message = dict[str, Any]
Receive = Callable[[], Awaitable[Message]]

#: Bounds on what is read after the response. Beyond them the connection is closed with
#: unread bytes, which may take the response from its caller.
DISCARD_TIMEOUT_SECONDS = 2.0
MAX_DISCARDED_BYTES = 67_108_864

#: Memory that is reserved at once for a body whose length is not announced.
RESERVED_BYTES = 65_536

#: Size up to which a body is read before its caller's access is checked.
SHORT_BODY_BYTES = 65_536

STEP = "read body"


class RequestBody:
    """Receives a request's messages and notes whether its body has been received."""

    def __init__(
        self,
        receive: Receive,
        memory: RequestMemory,
        caller: CallerSocket = UNKNOWN_SOCKET,
        headers: Iterable[tuple[bytes, bytes]] = (),
    ) -> None:
        self._receive = receive
        self._caller = caller
        self._headers = headers
        #: Memory that the request takes.
        self.memory = memory
        #: Whether nothing more of the request can arrive.
        self.is_received = False

    async def __call__(self) -> Message:
        """Return the next message of the server."""
        message = await self._receive()
        if message["type"] == "http.disconnect" or not message.get("more_body"):
            self.is_received = True
        return message

    async def read(self, *, max_body_bytes: int, timeout_seconds: float) -> bytes:
        """Return the body, or raise a CallerError.

        It may be too large or too slow, or there is no memory left for it.
        """
        announced_bytes = self._announced_bytes()
        if announced_bytes > max_body_bytes:
            raise _too_large(max_body_bytes)
        self.memory.hold_body(announced_bytes)
        with (
            anyio.move_on_after(timeout_seconds) as scope,
            self.memory.receiving(scope.cancel),
            self._caller.receiving_long_body() if self.is_long else nullcontext(),
        ):
            body = await self._collect(max_body_bytes)
        if self.memory.is_evicted:
            raise memory_error()
        if scope.cancelled_caught:
            raise CallerError(
                f"the body did not come within {timeout_seconds:g} seconds",
                status=408,
                code="body_too_slow",
                step=STEP,
            )
        return body

    @property
    def is_long(self) -> bool:
        """Whether the body is long, or may be as its length is not announced."""
        if self._announced_bytes() > SHORT_BODY_BYTES:
            return True
        return any(name == b"transfer-encoding" for name, _ in self._headers)

    def _announced_bytes(self) -> int:
        for name, value in self._headers:
            if name == b"content-length" and value.isdigit():
                return int(value)
        return 0

    async def _collect(self, max_body_bytes: int) -> bytes:
        message = await self()
        if message["type"] == "http.request" and not message.get("more_body"):
            chunk = bytes(message.get("body", b""))
            self._reserve(len(chunk), max_body_bytes)
            return chunk
        # One buffer that grows, since each of many small chunks would take much more.
        buffer = io.BytesIO()
        while True:
            if message["type"] == "http.disconnect":
                raise CallerError(
                    "the caller went away", status=400, code="cut_body", step=STEP
                )
            chunk = message.get("body", b"")
            self._reserve(buffer.tell() + len(chunk), max_body_bytes)
            buffer.write(chunk)
            if not message.get("more_body"):
                return buffer.getvalue()
            message = await self()

    def _reserve(self, length_bytes: int, max_body_bytes: int) -> None:
        if length_bytes > max_body_bytes:
            raise _too_large(max_body_bytes)
        whole_bytes = -(-length_bytes // RESERVED_BYTES) * RESERVED_BYTES
        self.memory.hold_body(min(whole_bytes, max_body_bytes), length_bytes)

    def hold_parsed(self, parsed_bytes: int) -> None:
        """Reserve memory of a parsed body, or raise a CallerError if there is none."""
        if not self.memory.can_hold(parsed_bytes):
            raise CallerError(
                "the values of the body take more memory than this host has for them",
                status=413,
                code="body_too_large",
                step=STEP,
            )
        self.memory.hold_body(parsed_bytes)

    async def make_room(self) -> None:
        """Take messages, so that the server can end the request."""
        while not self.is_received:
            await self()

    async def discard(self) -> None:
        """Read the rest of the body, within bounds of time, size and number."""
        if self.memory.is_evicted:
            return
        discarded_bytes = 0
        with (
            anyio.move_on_after(DISCARD_TIMEOUT_SECONDS),
            self.memory.discarding() as is_allowed,
        ):
            while (
                is_allowed
                and not self.is_received
                and discarded_bytes < MAX_DISCARDED_BYTES
            ):
                discarded_bytes += len((await self()).get("body", b""))


def _too_large(max_body_bytes: int) -> CallerError:
    return CallerError(
        f"the body is larger than {max_body_bytes} bytes",
        status=413,
        code="body_too_large",
        step=STEP,
    )


async def wait_disconnect(receive: Receive) -> None:
    """Return when the caller disconnects."""
    while (await receive())["type"] != "http.disconnect":
        continue
