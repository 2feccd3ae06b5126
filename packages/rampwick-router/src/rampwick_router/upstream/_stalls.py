"""Noticing upstreams that fall silent in the middle of an answer.

A time-out for each piece costs more than relaying it. One task looks now and then at
all answers under way instead, so that silence is noticed a little later than its bound.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import anyio
import attrs

from rampwick_schema import Shown

#: Time between two looks: small against the bounds in use.
CHECK_INTERVAL_SECONDS = 0.2


@attrs.define(eq=False, repr=False)
class ReadMonitor(Shown):
    """An answer under way; its reader notes when it waits and when it does not."""

    timeout_seconds: float
    #: Since when the reader has been waiting for a piece; nothing while it is not.
    waiting_since_seconds: float | None = None
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)
    has_stalled: bool = False


class StallDetector:
    """Breaks off the reading of answers whose upstreams say nothing for too long."""

    def __init__(self, read_clock: Callable[[], float]) -> None:
        self._read_clock = read_clock
        self._active: set[ReadMonitor] = set()
        self._has_reads = anyio.Event()

    @contextmanager
    def monitor(self, timeout_seconds: float) -> Iterator[ReadMonitor]:
        """Watch an answer for the length of the context.

        Silence ends the context early, without an error, and sets ``is_silent``.
        """
        read = ReadMonitor(timeout_seconds)
        self._active.add(read)
        self._has_reads.set()
        try:
            with read.scope:
                yield read
        finally:
            self._active.discard(read)

    def note_waiting(self, read: ReadMonitor) -> None:
        """Note that the reader waits for the next piece from now on."""
        read.waiting_since_seconds = self._read_clock()

    async def run(self) -> None:
        """Look until cancelled."""
        while True:
            if not self._active:
                self._has_reads = anyio.Event()
                await self._has_reads.wait()
            await anyio.sleep(CHECK_INTERVAL_SECONDS)
            self.check(self._read_clock())

    def check(self, now_seconds: float) -> None:
        """Break off what has been silent for too long."""
        for read in list(self._active):
            since_seconds = read.waiting_since_seconds
            if since_seconds is None:
                continue
            if now_seconds - since_seconds > read.timeout_seconds:
                read.has_stalled = True
                read.scope.cancel()
