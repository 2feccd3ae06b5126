"""Detection of upstreams that stall in the middle of a response.

A timeout for each chunk of a body costs more than forwarding the chunk. Instead one
task periodically checks all responses in progress, so that a stall is detected slightly
later than its timeout.
"""

import math
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import anyio
import attrs

from rampwick_policy import max_idle_seconds
from rampwick_schema import ReprMixin

#: Time between two checks: small compared to the timeouts in use.
CHECK_INTERVAL_SECONDS = 0.2

#: Name of the bound on the time without an event, in logs and metrics.
IDLE_TIME_BOUND = "time without an event"


@attrs.define(eq=False, repr=False)
class ReadMonitor(ReprMixin):
    """State of reading one response; the reader records when it waits for data."""

    attempt_id: str
    timeout_seconds: float
    #: Returns whether a read that has stalled may be aborted.
    may_abort: Callable[[], bool]
    #: Time since which the reader has been waiting for data; none while it is not.
    waiting_since_seconds: float | None = None
    #: Time of the last event, or of the response head, as known at the last wait. A
    #: response without events brings progress with each read.
    progress_at_seconds: float | None = None
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)
    has_stalled: bool = False
    #: Whether it has stalled although data came.
    is_idle: bool = False


class StallDetector:
    """Aborts reading of responses whose upstreams send nothing for too long."""

    def __init__(self, read_clock: Callable[[], float]) -> None:
        self._read_clock = read_clock
        self._active: dict[str, ReadMonitor] = {}
        self._has_reads = anyio.Event()

    @contextmanager
    def monitor(
        self, attempt_id: str, timeout_seconds: float, may_abort: Callable[[], bool]
    ) -> Iterator[ReadMonitor]:
        """Monitor an attempt's response for the duration of the context.

        A stall ends the context early, without an error, and sets ``has_stalled``.
        ``may_abort`` is asked again at each check.
        """
        read = ReadMonitor(attempt_id, timeout_seconds, may_abort)
        self._active[attempt_id] = read
        self._has_reads.set()
        try:
            with read.scope:
                yield read
        finally:
            del self._active[attempt_id]

    def note_progress(self, read: ReadMonitor) -> None:
        """Record that an event of a stream has been passed on, or that one is due."""
        read.progress_at_seconds = self._read_clock()

    def note_waiting(self, read: ReadMonitor) -> None:
        """Record that the reader waits for data from now on."""
        read.waiting_since_seconds = self._read_clock()

    def silent_seconds(self, attempt_id: str, now_seconds: float) -> float:
        """Return for how long an attempt's reader has waited; infinity before its head.

        A reader that does not wait has data that its caller has not taken yet.
        """
        read = self._active.get(attempt_id)
        if read is None:
            return math.inf
        since_seconds = read.waiting_since_seconds
        return 0.0 if since_seconds is None else now_seconds - since_seconds

    async def run(self) -> None:
        """Check periodically until cancelled."""
        while True:
            if not self._active:
                self._has_reads = anyio.Event()
                await self._has_reads.wait()
            await anyio.sleep(CHECK_INTERVAL_SECONDS)
            self.check(self._read_clock())

    def check(self, now_seconds: float) -> None:
        """Abort the reads that have stalled."""
        for read in list(self._active.values()):
            since_seconds = read.waiting_since_seconds
            if since_seconds is None:
                continue
            has_timed_out = is_silent = (
                now_seconds - since_seconds > read.timeout_seconds
            )
            progress_seconds = read.progress_at_seconds
            if progress_seconds is not None:
                idle_seconds = now_seconds - progress_seconds
                has_timed_out |= idle_seconds > max_idle_seconds(read.timeout_seconds)
            if has_timed_out and read.may_abort():
                read.has_stalled = True
                read.is_idle = not is_silent
                read.scope.cancel()
