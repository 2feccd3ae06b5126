"""Reading of a request's body, to its end even if the response needs none of it."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from .._errors import CallerError

Message = dict[str, Any]
Receive = Callable[[], Awaitable[Message]]

#: Bounds on what is read after the response. Beyond them the connection is closed with
#: unread bytes, which may take the response from its caller.
DISCARD_TIMEOUT_SECONDS = 2.0
MAX_DISCARDED_BYTES = 67_108_864


class RequestBody:
    """Receives a request's messages and notes whether its body has been received."""

    def __init__(self, receive: Receive) -> None:
        self._receive = receive
        #: Whether nothing more of the request can arrive.
        self.is_received = False

    async def __call__(self) -> Message:
        """Return the next message of the server."""
        message = await self._receive()
        if message["type"] == "http.disconnect" or not message.get("more_body"):
            self.is_received = True
        return message

    async def discard(self) -> None:
        """Read the rest of the body, within bounds of time and size."""
        discarded_bytes = 0
        with anyio.move_on_after(DISCARD_TIMEOUT_SECONDS):
            while not self.is_received and discarded_bytes < MAX_DISCARDED_BYTES:
                discarded_bytes += len((await self()).get("body", b""))


async def read_body(
    receive: Receive, *, max_body_bytes: int, timeout_seconds: float
) -> bytes:
    """Return a request's body, or raise a CallerError if it is too large or slow."""
    step = "read body"
    chunks = []
    length = 0
    with anyio.move_on_after(timeout_seconds):
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                raise CallerError(
                    "the caller went away", status=400, code="cut_body", step=step
                )
            chunk = message.get("body", b"")
            length += len(chunk)
            if length > max_body_bytes:
                raise CallerError(
                    f"the body is larger than {max_body_bytes} bytes",
                    status=413,
                    code="body_too_large",
                    step=step,
                )
            chunks.append(chunk)
            if not message.get("more_body"):
                return b"".join(chunks)
    raise CallerError(
        f"the body did not come within {timeout_seconds:g} seconds",
        status=408,
        code="body_too_slow",
        step=step,
    )


async def wait_disconnect(receive: Receive) -> None:
    """Return when the caller disconnects."""
    while (await receive())["type"] != "http.disconnect":
        continue
