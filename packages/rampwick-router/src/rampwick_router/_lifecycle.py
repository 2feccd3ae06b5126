"""Shutdown state of the daemon."""

import math

import anyio

from rampwick_platform import move_on_after_aligned


class Lifecycle:
    """Steps of a planned shutdown, with events that tasks can wait for.

    The first ``begin_stop`` starts a graceful shutdown, which lets open requests
    complete; the second one forces it, and open requests end with an error.
    """

    def __init__(self) -> None:
        self._stopping = anyio.Event()
        self._forced = anyio.Event()
        #: For how long the request to stop had waited when the shutdown began.
        self.stop_waited_seconds = 0.0
        #: Monotonic time of the request to stop; None before the shutdown.
        self.stop_requested_at_seconds: float | None = None
        #: Monotonic time by which the process exits; None if there is no such time.
        self.exit_deadline_seconds: float | None = None
        #: Monotonic time from which the balancer routes no callers here any more.
        self.balancer_done_at_seconds = math.inf
        #: Whether the open requests have completed or are being ended, and the callers'
        #: connections are being closed. No request is taken any more.
        self.has_drained = False

    @property
    def is_ready(self) -> bool:
        """Whether the balancer should route requests here."""
        return not self._stopping.is_set()

    @property
    def is_forced(self) -> bool:
        """Whether the shutdown does not wait for open requests."""
        return self._forced.is_set()

    def is_balancer_done(self, now_seconds: float) -> bool:
        """Return whether the balancer has had time to stop routing callers here."""
        return now_seconds >= self.balancer_done_at_seconds

    def begin_stop(self, waited_seconds: float = 0.0) -> None:
        """Begin a planned shutdown, or force one that has begun.

        ``waited_seconds`` is for how long the request to stop could not be handled.
        """
        if self._stopping.is_set():
            self._forced.set()
            # What is taken now would run and be ended at once.
            self.has_drained = True
            return
        self.stop_waited_seconds = waited_seconds
        self._stopping.set()

    async def wait_stopping(self) -> None:
        """Return when a shutdown has begun."""
        await self._stopping.wait()

    async def wait_forced(self) -> None:
        """Return when the shutdown no longer waits for open requests."""
        await self._forced.wait()

    async def pause(self, seconds: float) -> None:
        """Sleep, at most until the shutdown is forced."""
        with move_on_after_aligned(seconds):
            await self._forced.wait()
