"""State of the callers' connections that the event loop has not read yet.

An ASGI server learns of a close in a later loop iteration than of the request before
it, and not at all while it holds unread bytes of a next request. An event loop that was
blocked reads a request long after its bytes arrived. The kernel can report both.
"""

import asyncio
import select
import socket
import struct
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Any
from weakref import WeakValueDictionary

from rampwick_start import BACKLOG_COUNT

from ._kernel_bytes import unacknowledged_bytes
from ._logs import ComponentLogger
from ._new_connections import (
    DropMethod,
    DropResult,
    drop_new_connections,
    receive_again,
)
from ._refused_connections import RefusedConnections
from ._segment_age import segment_age_seconds

#: Size of the kernel's buffer for what a caller sends, and while a long body of one is
#: read. The kernel takes twice as much at most; without a size, it lets each buffer
#: grow to several megabytes.
RECEIVE_BUFFER_BYTES = 16_384
LONG_BODY_BUFFER_BYTES = 65_536

#: Key of a caller's socket among the extensions of an ASGI scope.
EXTENSION = "rampwick.caller_socket"

log = ComponentLogger("entry")

Address = tuple[Any, ...]
App = Callable[[Any, Any, Any], Awaitable[None]]


class CallerSocket:
    """A caller's connection; reading its state consumes no bytes."""

    def __init__(self, raw: "CallerConnection | None" = None) -> None:
        self._raw = raw

    def has_left(self) -> bool:
        """Return whether the caller has closed or reset its connection.

        Bytes of a next request are not a close, and do not conceal one.
        """
        if self._raw is None:
            return False
        if self._raw.fileno() < 0:
            return True
        # Errors and hang-ups are reported without being requested.
        poll = select.poll()
        poll.register(self._raw, select.POLLRDHUP)
        return bool(poll.poll(0))

    def unacknowledged_bytes(self) -> int:
        """Return the number of bytes sent that have not reached the caller's kernel."""
        return 0 if self._raw is None else unacknowledged_bytes(self._raw.fileno())

    def set_reset_on_close(self, is_reset: bool) -> None:
        """Make the close of the connection a reset, or an orderly one again."""
        if self._raw is not None and self._raw.fileno() >= 0:
            self._raw.set_reset_on_close(is_reset)

    @contextmanager
    def receiving_long_body(self) -> Iterator[None]:
        """Let the caller send more before it is read, within the context."""
        self._set_receive_buffer(LONG_BODY_BUFFER_BYTES)
        try:
            yield
        finally:
            self._set_receive_buffer(RECEIVE_BUFFER_BYTES)

    def _set_receive_buffer(self, size_bytes: int) -> None:
        if self._raw is not None and self._raw.fileno() >= 0:
            set_receive_buffer(self._raw, size_bytes)

    def unread_seconds(self) -> float:
        """Return for how long at least the bytes just read had been in the kernel.

        It is the age of the last segment with data. Segments of the request can only be
        older, so a request that is in time is never counted as
        late. The time for which the event loop did not poll would be an upper bound.
        """
        if self._raw is None:
            return 0.0
        return segment_age_seconds(self._raw)


def set_receive_buffer(connection: socket.socket, size_bytes: int) -> None:
    """Set the size of the kernel's buffer for bytes that have not been read."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size_bytes)


#: Stands for the connection of a caller whose socket is not known.
UNKNOWN_SOCKET = CallerSocket()


class CallerConnection(socket.socket):
    """A caller's connection whose close can be made a reset."""

    _is_reset_on_close = False

    def set_reset_on_close(self, is_reset: bool) -> None:
        """Make the close discard unsent bytes and send a reset, or not.

        The kernel does so, too, when it closes the connection of a killed process.
        """
        self._is_reset_on_close = is_reset
        linger = struct.pack("ii", is_reset, 0)
        self.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    def shutdown(self, how: int) -> None:
        """Shut one direction down, unless the connection is to be reset.

        The server shuts its direction down before each close, which the caller would
        read as the end of the response.
        """
        if not self._is_reset_on_close:
            super().shutdown(how)


#: Connections that one iteration of the event loop accepts. It processes what they send
#: in its next iterations, beside the open ones, which must not wait for long.
MAX_ACCEPTED_COUNT = 8

#: Connections that one iteration closes; each takes a few system calls only.
MAX_CLOSED_COUNT = 64

#: Connections that are refused as the listener is closed. More than its queue holds, as
#: they may go on arriving meanwhile.
MAX_REFUSED_COUNT = 4 * BACKLOG_COUNT


class CallerListener(socket.socket):
    """A listening socket that remembers the connections it accepted while they live.

    With ``is_handed_on`` it accepts few connections in one iteration of the event loop,
    and closes those that another host is to serve.
    """

    def __init__(
        self,
        fileno: int,
        is_handed_on: Callable[[float], bool] | None = None,
        note_accepted: Callable[[], None] = lambda: None,
    ) -> None:
        """``is_handed_on`` decides by the seconds that a connection has waited.

        ``note_accepted`` is called for each connection that is to be served.
        """
        super().__init__(fileno=fileno)
        self._is_handed_on = is_handed_on
        self._note_accepted = note_accepted
        self._is_accepting = True
        self._drop_result = DropResult(DropMethod.NONE)
        self._accepted_count = 0
        self._closed_count = 0
        self._accepted: WeakValueDictionary[tuple[Address, Address], CallerConnection]
        self._accepted = WeakValueDictionary()

    def accept(self) -> tuple[CallerConnection, Any]:
        """Accept a connection; raise BlockingIOError if none may be accepted now."""
        if not self._is_accepting:
            raise BlockingIOError
        if self._is_handed_on is None:
            connection, address = self._accept_next()
        else:
            connection, address = self._accept_paced(self._is_handed_on)
        self._accepted[_key(address, connection.getsockname())] = connection
        self._note_accepted()
        return connection, address

    def has_waiting(self) -> bool:
        """Return whether a connection waits to be accepted."""
        poll = select.poll()
        poll.register(self, select.POLLIN)
        return bool(poll.poll(0))

    def drop_new(self) -> bool:
        """Have the kernel drop new connections; those in the queue are accepted.

        Return whether it does.
        """
        self._drop_result = drop_new_connections(self)
        return self._drop_result.method is not DropMethod.NONE

    def stop_accepting(self, refused: RefusedConnections) -> None:
        """Refuse the connections in the queue, and have the kernel refuse others.

        The kernel resets those that arrive between the last one that is accepted here
        and the close, so both happen in one step.
        """
        if not self._is_accepting:
            return
        self._is_accepting = False
        refused_count = self._refuse_waiting(refused)
        asyncio.get_running_loop().remove_reader(self.fileno())
        self.shutdown(socket.SHUT_RDWR)
        log.info(
            "listener closed",
            new_connections_dropped_by=self._drop_result.method.value,
            errors=self._drop_result.errors,
            refused_count=refused_count,
        )

    def _refuse_waiting(self, refused: RefusedConnections) -> int:
        for count in range(MAX_REFUSED_COUNT):
            try:
                connection, _ = self._accept_next()
            except OSError as error:
                if not isinstance(error, BlockingIOError):
                    log.problem("queue not accepted", error=str(error))
                return count
            refused.refuse(connection)
        return MAX_REFUSED_COUNT

    def _accept_next(self) -> tuple[CallerConnection, Any]:
        accepted, address = super().accept()
        connection = CallerConnection(fileno=accepted.detach())
        if self._drop_result.method is DropMethod.HOP_LIMIT:
            receive_again(connection)
        return connection, address

    def _accept_paced(
        self, is_handed_on: Callable[[float], bool]
    ) -> tuple[CallerConnection, Any]:
        if not self._accepted_count and not self._closed_count:
            asyncio.get_running_loop().call_soon(self._begin_iteration)
        while self._may_accept():
            connection, address = self._accept_next()
            if not is_handed_on(segment_age_seconds(connection)):
                self._accepted_count += 1
                return connection, address
            self._closed_count += 1
            connection.close()
        raise BlockingIOError

    def _may_accept(self) -> bool:
        return (
            self._accepted_count < MAX_ACCEPTED_COUNT
            and self._closed_count < MAX_CLOSED_COUNT
        )

    def _begin_iteration(self) -> None:
        self._accepted_count = self._closed_count = 0

    def find(self, client: Address | None, server: Address | None) -> CallerSocket:
        """Return the connection between two addresses, as given in an ASGI scope."""
        if not client or not server:
            return UNKNOWN_SOCKET
        raw = self._accepted.get(_key(client, server))
        return CallerSocket(raw) if raw is not None else UNKNOWN_SOCKET

    def with_sockets(self, app: App) -> App:
        """Return an ASGI application that adds the caller's socket to each scope."""

        async def serve(scope: dict[str, Any], receive: Any, send: Any) -> None:
            if scope["type"] == "http":
                found = self.find(scope.get("client"), scope.get("server"))
                scope.setdefault("extensions", {})[EXTENSION] = found
            await app(scope, receive, send)

        return serve


def caller_socket(scope: dict[str, Any]) -> CallerSocket:
    """Return the caller's socket of an ASGI scope."""
    found = scope.get("extensions", {}).get(EXTENSION, UNKNOWN_SOCKET)
    assert isinstance(found, CallerSocket)
    return found


def _key(client: Address, server: Address) -> tuple[Address, Address]:
    # IPv6 addresses have further elements that ASGI omits.
    return tuple(client[:2]), tuple(server[:2])
