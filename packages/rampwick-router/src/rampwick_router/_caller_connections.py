"""The callers' connections of a server, and what each one holds when it is ended.

A request is lost without a trace if its connection ends while its bytes wait in the
kernel or in the server, or while a part of its response has not been taken.
"""

from collections.abc import Callable, Iterator
from typing import Protocol

import attrs
from hypercorn.asyncio.worker_context import EventWrapper
from prometheus_client import Counter

from rampwick_schema import ReprMixin

from ._caller_memory import CallerMemory
from ._logs import ComponentLogger

log = ComponentLogger("entry")


@attrs.frozen(repr=False)
class HeldBytes(ReprMixin):
    """Bytes of one connection that have not reached the end of their way."""

    #: Bytes in the kernel, or in the server's reader.
    unread_count: int = 0
    #: Bytes of a request's head that has not arrived whole.
    unparsed_count: int = 0
    #: Bytes of responses that the caller's kernel has not acknowledged.
    unsent_count: int = 0

    def kinds(self) -> Iterator[str]:
        """Yield the kinds of bytes that are held."""
        for field in attrs.fields(HeldBytes):
            if getattr(self, field.name):
                yield field.name.removesuffix("_count")

    def __bool__(self) -> bool:
        return any(self.kinds())


class Connection(Protocol):
    """The server's side of a caller's connection."""

    def held_bytes(self) -> HeldBytes:
        """Return what it holds."""
        ...


class CallerConnections:
    """The connections of one server from their acceptance until they have ended."""

    def __init__(
        self,
        ended_with: Counter,
        is_leaving: Callable[[], bool],
        memory: CallerMemory,
    ) -> None:
        """``ended_with`` counts ends of connections by the kind of bytes held.

        ``is_leaving`` returns whether a planned shutdown has begun.
        """
        self.memory = memory
        self._ended_with = ended_with
        self._is_leaving = is_leaving
        self._open: set[Connection] = set()
        self._waiting_count = 0
        #: Set when the server stops; idle connections are then closed.
        self.closing = EventWrapper()

    def note_accepted(self) -> None:
        """Count a connection that the server has accepted and not begun to serve."""
        self._waiting_count += 1

    def begin(self, connection: Connection) -> None:
        """Add a connection."""
        self._waiting_count -= 1
        self._open.add(connection)

    def end(self, connection: Connection) -> None:
        """Remove a connection that has ended."""
        self._open.discard(connection)

    async def close_idle(self) -> None:
        """Close the idle connections now, and others after their response."""
        await self.closing.set()

    def is_leaving(self) -> bool:
        """Return whether the server ends connections because it stops."""
        return self._is_leaving() or self.closing.is_set()

    @property
    def open_count(self) -> int:
        """Number of connections, with those that are accepted and not begun."""
        return len(self._open) + self._waiting_count

    def holds_bytes(self) -> bool:
        """Return whether a connection has bytes that its close would discard."""
        return self._waiting_count > 0 or any(
            connection.held_bytes() for connection in self._open
        )

    def held_bytes(self) -> list[HeldBytes]:
        """Return what each open connection holds."""
        return [connection.held_bytes() for connection in self._open]

    def record_end(self, held: HeldBytes, *, cause: str) -> None:
        """Log and count what a connection held as the server ended it."""
        if not held:
            return
        for kind in held.kinds():
            self._ended_with.labels(kind).inc()
        log.problem(
            "connection ended holding bytes",
            cause=cause,
            is_leaving=self.is_leaving(),
            unread_count=held.unread_count,
            unparsed_count=held.unparsed_count,
            unsent_count=held.unsent_count,
        )

    def record_remaining(self) -> None:
        """Log and count what connections hold that end with the process."""
        for connection in self._open:
            self.record_end(connection.held_bytes(), cause="process ends")
        if self._waiting_count > 0:
            self._ended_with.labels("unread").inc(self._waiting_count)
            log.problem("connections not served", count=self._waiting_count)
